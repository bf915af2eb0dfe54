from __future__ import annotations

import unittest
from types import SimpleNamespace
from unittest import mock

import attrs
import gevent
from returns.result import Success

from agaterail.gateway.controlstore import EngineLoad, LeaseEntry
from agaterail.gateway.loadannouncer import MIN_PERIOD_S, LoadAnnouncer, cordon_announced
from agaterail.gateway.versionhistory import DesiredVersion, VersionHistory
from agaterail.gateway.weightscontroller import WeightsController
from agaterail.gateway.weightsplan import (
    DRAIN_S,
    RolloutConditions,
    find_outdated,
    start_cordon,
)
from tests.test_agaterail.test_gateway.test_targets import make_target
from tests.test_agaterail.test_gateway.test_weightscontroller import (
    FakeEngines,
    count_cordoned,
    make_daemon,
    make_demand,
)

LIGHT = RolloutConditions(outdated_for_s=0.0, allowed_s=15.0, demand=1.0, load_s=1.9)
ENGINES = 30
STEP_S = 0.1
LONG_VERSION_S = 100.0


def make_engines():
    return [make_target(f"i-{number}", weights={"m": 1}) for number in range(ENGINES)]


class LoadAnnouncerTest(unittest.TestCase):
    def setUp(self):
        self.engines = make_engines()
        self.announcer = LoadAnnouncer()

    def plan(self, count, now):
        for target in self.engines[:count]:
            start_cordon(target, LIGHT, now)
        self.announcer.update(find_outdated(self.engines, {"m": 2}), now)

    def test_each_change_of_the_plan_is_announced_at_a_limited_rate(self):
        self.plan(3, 0.0)
        self.assertTrue(self.announcer.is_due(0.0))
        self.announcer.record_announced(0.0)
        self.assertFalse(self.announcer.is_due(1.0))
        self.plan(4, 0.1)
        self.assertFalse(self.announcer.is_due(0.1))
        self.assertTrue(self.announcer.is_due(MIN_PERIOD_S))

    def test_no_load_is_ordered_before_the_daemons_can_know_of_it(self):
        """Engines refused requests of daemons that had not heard of their loads."""
        self.plan(1, 0.0)
        self.assertFalse(self.announcer.may_order("i-0", 5.0))
        self.announcer.record_announced(5.0)
        self.assertFalse(self.announcer.may_order("i-0", 5.05))
        self.assertTrue(self.announcer.may_order("i-0", 5.15))
        self.assertFalse(self.announcer.may_order("i-1", 5.15))

    def test_a_completed_load_is_announced(self):
        self.announcer.record_announced(0.0)
        load = EngineLoad("i-0", "m", 2)
        self.announcer.record_loaded(load, 1.0)
        self.assertTrue(self.announcer.is_due(1.0))
        self.assertEqual(self.announcer.loaded(), {load})

    def test_only_engines_with_a_pending_load_are_cordoned(self):
        planned = [EngineLoad(f"i-{number}", "m", 2) for number in range(3)]
        self.engines[0].record_weights("m", 2)
        start_cordon(self.engines[7], LIGHT, 0.0)
        targets = {target.instance: target for target in self.engines}
        cordon_announced(targets, planned, LIGHT, 1.0)
        cordoned = [item.instance for item in self.engines if item.cordoned_at is not None]
        self.assertEqual(cordoned, ["i-1", "i-2"])


class VersionedEngines(FakeEngines):
    """Engines that report the version that they were last ordered to load."""

    def __init__(self, daemon, load_s):
        super().__init__(daemon, load_s)
        self.ordered = {}

    def report(self, target):
        report = super().report(target).unwrap()
        if report.loading or target.instance not in self.ordered:
            return Success(report)
        return Success(attrs.evolve(report, weights={"m": self.ordered[target.instance]}))

    def order(self, target, order):
        self.ordered[target.instance] = order.version
        return super().order(target, order)


class OnePlanTest(unittest.TestCase):
    """For 14 s of a rollout daemons kept prompts from up to 18 of 30 engines.

    Each daemon estimated the demand from its own few prompts, and so how many engines may
    load at once. The holder of the lease had ordered 11, and the other engines were full.
    """

    def setUp(self):
        self.engines = make_engines()
        self.records = []
        self.holder = self.make_controller(self.engines, demand=14.0)
        self.holder.daemon.membership.rank = 0
        self.holder.daemon.engine_control = VersionedEngines(self.holder.daemon, load_s=1.9)
        self.holder.on_lease(None, 0, 0.0)

    def make_controller(self, engines, demand):
        daemon = make_daemon(engines)
        daemon.demand = make_demand(demand)
        daemon.registry.targets = {target.instance: target for target in engines}
        daemon.state.apply_version_ages = lambda *_: None
        daemon.store = SimpleNamespace(append_lease=self.append)
        return WeightsController(daemon)

    def append(self, entry, at):
        self.records.append(entry)
        return Success(at)

    def advance(self, controller, now):
        controller.daemon.clock = now
        controller.step()

    def test_all_daemons_cordon_the_engines_that_the_holder_announces(self):
        for step in range(5):
            self.advance(self.holder, step * STEP_S)
        planned = {load.instance for load in self.records[-1].planned}
        self.assertGreater(len(planned), 5)
        for demand in (0.0, 8.0, 29.0):
            with self.subTest(demand=demand):
                engines = make_engines()
                other = self.make_controller(engines, demand)
                other.lease.host = "elsewhere"
                other.lease.boot = "b9"
                other.on_lease(self.records[-1], len(self.records), 1.0)
                for step in range(10):
                    self.advance(other, 1.0 + step * STEP_S)
                cordoned = {item.instance for item in engines if item.cordoned_at is not None}
                self.assertEqual(cordoned, planned)

    def start_small_holder(self):
        """Return a holder that loads one engine at a time, and its engines."""
        engines = make_engines()[:5]
        holder = self.make_controller(engines, demand=4.5)
        holder.daemon.settings.bounds.version_s = LONG_VERSION_S
        holder.daemon.membership.rank = 0
        holder.daemon.engine_control = VersionedEngines(holder.daemon, load_s=1.9)
        holder.on_lease(None, 0, 0.0)
        return holder, engines

    def name_version(self, holder, version):
        history = VersionHistory((DesiredVersion(version, holder.daemon.clock),))
        holder.daemon.state.weights = {"m": history}

    def advance_once(self, holder):
        self.advance(holder, holder.daemon.clock + STEP_S)
        gevent.sleep(0)

    def roll_out(self, holder, engines, version):
        """Advance until all engines hold a version; return the longest idle time."""
        done_at = holder.daemon.engine_control.done_at
        most_idle_s = idle_s = 0.0
        while any(item.weights_of("m") != version for item in engines):
            before = dict(done_at)
            self.advance_once(holder)
            now = holder.daemon.clock
            is_busy = any(now < at for at in done_at.values()) or done_at != before
            idle_s = 0.0 if is_busy else idle_s + STEP_S
            most_idle_s = max(most_idle_s, idle_s)
            self.assertLess(now, LONG_VERSION_S)
        return most_idle_s

    def test_loads_go_on_when_a_newer_version_changes_their_order(self):
        """Nothing was ordered for 6 s: the next engine in the new order was not announced."""
        for steps in range(1, 5):
            with self.subTest(steps_between_versions=steps):
                holder, engines = self.start_small_holder()
                for version in range(2, 8):
                    self.name_version(holder, version)
                    for _ in range(steps):
                        self.advance_once(holder)
                self.assertLess(self.roll_out(holder, engines, 7), DRAIN_S + 1.0)

    def test_a_completed_rollout_leaves_no_slot_occupied(self):
        """The last load of a version counted as running, and the next version never began."""
        holder, engines = self.start_small_holder()
        for version in range(2, 6):
            self.name_version(holder, version)
            self.assertLess(self.roll_out(holder, engines, version), DRAIN_S + 1.0)
            for _ in range(20):
                self.advance_once(holder)

    def test_a_completed_load_is_known_before_the_registration_reports_it(self):
        engines = make_engines()
        other = self.make_controller(engines, 0.0)
        load = EngineLoad("i-3", "m", 2)
        other.on_lease(LeaseEntry("there", "b7", planned=(load,), loaded=(load,)), 1, 0.0)
        self.advance(other, 0.1)
        self.assertEqual(engines[3].weights_of("m"), 2)
        self.assertEqual(count_cordoned(engines), 0)

    def test_log_fields_tell_the_plan_and_its_age(self):
        other = self.make_controller(make_engines(), 0.0)
        self.assertEqual(other.plan_fields(0.0), {})
        load = EngineLoad("i-3", "m", 2)
        for now in (1.0, 2.0):
            other.on_lease(LeaseEntry("there", "b7", planned=(load,)), 5, now)
        self.assertEqual(
            other.plan_fields(2.5), {"plan": 5, "plan_age_s": 1.5, "plan_loads": 1}
        )

    def test_a_holder_that_announces_nothing_is_followed_by_estimate(self):
        """Hosts are updated one by one, so a holder may run the former release."""
        engines = make_engines()
        other = self.make_controller(engines, 0.0)
        other.on_lease(LeaseEntry("there", "b7"), 1, 0.0)
        self.advance(other, 0.1)
        self.assertEqual(count_cordoned(engines), 12)

    def test_a_record_that_announces_nothing_is_not_logged_as_announcement(self):
        """Each renewal by a holder of the former release was logged on every host."""
        other = self.make_controller(make_engines(), 0.0)
        with mock.patch("agaterail.gateway.weightscontroller.logger") as logger:
            for end in range(1, 4):
                other.on_lease(LeaseEntry("there", "b7"), end, 0.0)
        logger.info.assert_not_called()

    def test_a_release_leaves_only_the_ordered_engines_cordoned(self):
        load = EngineLoad("i-3", "m", 2)
        engines = make_engines()
        other = self.make_controller(engines, 0.0)
        record = LeaseEntry("there", "b7", released_idle_s=0.1, planned=(load,))
        other.on_lease(record, 1, 0.0)
        self.advance(other, 0.1)
        cordoned = [item.instance for item in engines if item.cordoned_at is not None]
        self.assertEqual(cordoned, ["i-3"])

    def test_nothing_stays_cordoned_after_a_holder_vanished(self):
        engines = make_engines()
        other = self.make_controller(engines, 0.0)
        load = EngineLoad("i-3", "m", 2)
        other.on_lease(LeaseEntry("there", "b7", planned=(load,)), 1, 0.0)
        self.advance(other, 0.1)
        self.assertEqual(count_cordoned(engines), 1)
        self.advance(other, 3.0)
        self.assertEqual(count_cordoned(engines), 0)


if __name__ == "__main__":
    unittest.main()
