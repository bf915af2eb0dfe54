from __future__ import annotations

import random
import unittest
from types import SimpleNamespace

import gevent
from returns.result import Failure, Success

from agaterail.decisions.silence import FAILURE_VALID_S, MIN_SILENCE_S
from agaterail.engineloads.figures import EngineFigures, EngineLoads, NoEngineLoads
from agaterail.engineloads.silencecontroller import (
    MAX_PAUSE_S,
    MAX_TRIALS,
    PERIOD_S,
    SECOND_TRIER_AFTER_S,
    TRIAL_PERIOD_S,
    SilenceController,
)
from agaterail.gateway.metrics import GatewayMetrics
from agaterail.gateway.targets import Registration, TargetRegistry

SERVICE = "s"
DAEMONS = {f"10.0.0.{number}:1": f"z{number % 3}" for number in range(9)}
SILENT = EngineFigures(silent_daemons=3, silent_domains=2, heard_s=60.0)
HEARD = EngineFigures(heard_s=0.05)


class FakeAttempt(SimpleNamespace):
    __hash__ = object.__hash__


class FakeLoads(EngineLoads):
    """Figures that a test sets; engines without any are heard."""

    def __init__(self, **silent) -> None:
        self.found = {f"e-{number.removeprefix('e')}": item for number, item in silent.items()}

    def figures(self, instance):
        return self.found.get(instance, HEARD)


class ControllerTest(unittest.TestCase):
    def setUp(self):
        self.time = 100.0
        self.loads: EngineLoads = FakeLoads(e0=SILENT)
        self.registry = TargetRegistry(lapse_grace_s=0.0)
        for number in range(8):
            registration = Registration(
                instance=f"e-{number}",
                service=SERVICE,
                address=f"10.1.0.{number}:1",
                domain="z1",
                ready=True,
                weights={"m": 1},
            )
            self.registry.put(registration)
        self.asked: list[str] = []
        self.answer = Failure("no answer")

    def make(self, address):
        def report(target):
            self.asked.append(target.instance)
            return self.answer

        return SilenceController(
            lambda: self.loads,
            self.registry,
            lambda: DAEMONS,
            address,
            report,
            GatewayMetrics(),
            lambda: self.time,
            random.Random(1),
        )

    def step(self, *controllers, seconds=0.0):
        self.time += seconds
        for controller in controllers:
            controller.stepped_at = self.time
            controller.step()
        gevent.sleep(0.0)

    def attempt(self, controller, number=0, priority=0, **fields):
        """Return an attempt that waits at an engine for a second."""
        target = self.registry.targets[f"e-{number}"]
        found = FakeAttempt(
            target=target,
            instance=target.instance,
            has_events=False,
            hedged_early=False,
            choice=SimpleNamespace(relayed=fields.get("relayed", False)),
            connection=SimpleNamespace(waiting_since=self.time - 1.0),
            context=SimpleNamespace(
                service=SERVICE,
                workspace=None,
                route=SimpleNamespace(prompted=True, priority=priority),
                retry_state=SimpleNamespace(
                    may_run_again=lambda: fields.get("may_run_again", True)
                ),
            ),
        )
        controller.record_begin(found)
        return found


class SuspicionTest(ControllerTest):
    def test_engines_are_suspected_by_the_figures_of_others(self):
        controller = self.make("10.0.0.1:1")
        self.step(controller)
        self.assertEqual(set(controller.suspected(SERVICE)), {"e-0"})
        self.assertEqual(controller.suspected_count, 1)

    def test_without_figures_nothing_is_suspected_or_hedged_early(self):
        """A daemon acted on figures that it no longer had."""
        controller = self.make("10.0.0.1:1")
        attempt = self.attempt(controller)
        self.step(controller)
        self.loads = NoEngineLoads()
        self.step(controller, seconds=PERIOD_S)
        self.assertFalse(controller.suspected(SERVICE))
        self.assertFalse(controller.may_hedge_early(attempt))
        controller.record_failure(attempt.target)
        self.assertEqual(controller.failed_at, {})

    def test_suspicions_end_with_the_engines_of_a_service(self):
        """A service without engines kept its suspicions."""
        controller = self.make("10.0.0.1:1")
        self.step(controller)
        for target in list(self.registry.targets.values()):
            self.registry.remove(target.instance, self.time)
        self.step(controller, seconds=PERIOD_S)
        self.assertEqual(controller.services, {})

    def test_failures_are_forgotten(self):
        controller = self.make("10.0.0.1:1")
        self.step(controller)
        controller.record_failure(self.registry.targets["e-1"])
        self.step(controller, seconds=PERIOD_S)
        self.assertIn("e-1", controller.failed_at)
        self.step(controller, seconds=FAILURE_VALID_S)
        self.assertEqual(controller.failed_at, {})

    def test_waits_of_a_process_that_was_suspended_do_not_count(self):
        """After a pause of the host all engines looked silent to it."""
        controller = self.make("10.0.0.1:1")
        self.loads = FakeLoads()
        self.attempt(controller)
        for target in self.registry.of_service(SERVICE):
            target.data_at = self.time
        self.time += PERIOD_S + MAX_PAUSE_S + 0.01
        controller.step()
        self.assertEqual(controller.services[SERVICE].silent_here, frozenset())

    def test_a_request_that_was_given_up_stays_evidence(self):
        """The evidence against an engine ended with the hedges of its requests."""
        controller = self.make("10.0.0.1:1")
        self.step(controller)
        attempt = self.attempt(controller)
        controller.record_end(attempt)
        for target in self.registry.of_service(SERVICE)[1:]:
            target.data_at = self.time
        self.step(controller, seconds=0.1)
        self.assertEqual(controller.attempts, {})
        self.assertEqual(controller.services[SERVICE].silent_here, {"e-0"})
        self.assertGreater(controller.waiting_s(attempt.target, self.time), MIN_SILENCE_S)

    def test_a_byte_to_another_daemon_outdates_what_was_given_up(self):
        """An engine that had come back was suspected again by former failures."""
        controller = self.make("10.0.0.1:1")
        self.step(controller)
        attempt = self.attempt(controller)
        controller.record_end(attempt)
        self.loads = FakeLoads()
        self.assertEqual(controller.waiting_s(attempt.target, self.time + 0.1), 0.0)

    def test_figures_of_all_engines_are_read_once_for_each_answer(self):
        """Guards against steps that cost more than the requests that they serve."""
        controller = self.make("10.0.0.1:1")
        read, told_at = [], self.time

        def figures(instance):
            read.append(instance)
            return EngineFigures(age_s=self.time - told_at)

        self.loads.figures = figures
        self.step(controller)
        self.assertEqual(set(read), set(self.registry.targets))
        read.clear()
        self.step(controller, seconds=PERIOD_S)
        self.assertEqual(len(read), 1)
        read.clear()
        told_at = self.time
        self.step(controller, seconds=PERIOD_S)
        self.assertEqual(set(read), set(self.registry.targets))


class TrialTest(ControllerTest):
    def setUp(self):
        super().setUp()
        self.controllers = [self.make(address) for address in DAEMONS]

    def test_one_daemon_tries_an_engine(self):
        """All daemons opened connections to an engine that had just come back."""
        self.step(*self.controllers)
        self.assertEqual(self.asked, ["e-0"])
        self.step(*self.controllers, seconds=TRIAL_PERIOD_S / 2)
        self.assertEqual(self.asked, ["e-0"])
        self.step(*self.controllers, seconds=TRIAL_PERIOD_S / 2)
        self.assertEqual(self.asked, ["e-0"] * 2)

    def test_a_second_daemon_tries_an_engine_that_stays_suspected(self):
        """The daemon that was to try an engine was down, and the engine stayed out of use."""
        self.step(*self.controllers)
        self.asked.clear()
        self.step(*self.controllers, seconds=SECOND_TRIER_AFTER_S)
        self.assertEqual(self.asked, ["e-0"] * 2)

    def test_a_trial_that_is_answered_ends_the_suspicion_and_counts_as_heard(self):
        self.answer = Success(None)
        self.step(*self.controllers)
        clear = [item for item in self.controllers if not item.suspected(SERVICE)]
        self.assertEqual(len(clear), 1)
        self.assertEqual(self.registry.targets["e-0"].data_at, self.time)

    def test_trials_under_way_are_bounded(self):
        """A daemon that tried many engines did nothing else."""
        controller = self.make("10.0.0.1:1")
        controller.daemons = dict
        self.registry.targets.clear()
        self.registry.by_service.clear()
        for number in range(40):
            self.registry.put(
                Registration(
                    instance=f"e-{number}",
                    service=SERVICE,
                    address=f"10.1.0.{number}:1",
                    domain="z1",
                    ready=True,
                    weights={"m": 1},
                )
            )
        self.loads = FakeLoads(**{f"e{number}": SILENT for number in range(20)})
        controller.report = lambda _target: gevent.sleep(5.0)
        controller.step()
        self.assertEqual(len(controller.trials), MAX_TRIALS)


class EarlyHedgeTest(ControllerTest):
    def setUp(self):
        super().setUp()
        self.controller = self.make("10.0.0.1:1")
        self.step(self.controller)

    def test_a_request_at_a_suspected_engine_is_hedged_once(self):
        attempt = self.attempt(self.controller)
        self.assertTrue(self.controller.should_hedge(attempt, 5.0))
        self.assertFalse(self.controller.should_hedge(attempt, 5.0))

    def test_others_are_not(self):
        for attempt in (
            self.attempt(self.controller, number=1),
            self.attempt(self.controller, may_run_again=False),
            self.attempt(self.controller, relayed=True),
        ):
            self.assertFalse(self.controller.should_hedge(attempt, 5.0))

    def test_urgent_requests_get_the_last_retries(self):
        """Retries went to the requests that happened to ask first."""
        urgent = self.attempt(self.controller, priority=0)
        later = self.attempt(self.controller, priority=2)
        self.assertFalse(self.controller.should_hedge(later, 1.0))
        self.assertTrue(self.controller.should_hedge(urgent, 1.0))
        self.assertTrue(self.controller.should_hedge(later, 1.0))
