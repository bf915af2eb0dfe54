from __future__ import annotations

import unittest
from types import SimpleNamespace

import gevent
from returns.result import Success

from agaterail.gateway.controlstore import LeaseEntry
from agaterail.gateway.demand import Demand
from agaterail.gateway.desired import EngineTraits
from agaterail.gateway.enginecontrol import EngineReport, OrderOutcome
from agaterail.gateway.versionhistory import DesiredVersion, VersionHistory
from agaterail.gateway.weightscontroller import (
    MAX_UNLED_S,
    TAKEOVER_DELAY_S,
    WeightsController,
)
from agaterail.gateway.weightsplan import DRAIN_S, should_have_loaded
from tests.test_agaterail.test_gateway.test_targets import make_target

SERVICE = "s"
VERSION_S = 8.0
ENGINE = EngineTraits(slots=8, kv_tokens=0, kv_bytes_per_token=0.0, link_mbps=0.0)


def make_daemon(engines):
    """Return a stand-in for the daemon with a clock that is set by hand."""
    daemon = SimpleNamespace(
        clock=0.0,
        settings=SimpleNamespace(
            host="here", bounds=SimpleNamespace(lease_s=3.0, version_s=VERSION_S)
        ),
        boot="b1",
        stopping=False,
        membership=SimpleNamespace(rank=None),
        feeds=SimpleNamespace(store_backoff=SimpleNamespace(in_outage=False)),
        freshness=SimpleNamespace(age_s=lambda _now: 0.0),
        demand=Demand(),
        rules=SimpleNamespace(daemons=1.0),
        state=SimpleNamespace(
            desired=SimpleNamespace(
                services={SERVICE: SimpleNamespace(name=SERVICE, engine=ENGINE)}
            ),
            weights={"m": VersionHistory((DesiredVersion(2, 0.0),))},
        ),
        registry=SimpleNamespace(of_service=lambda _service: engines),
    )
    daemon.now = lambda: daemon.clock
    return daemon


def make_demand(engines):
    demand = Demand()
    demand.engines_needed = lambda _now: engines
    return demand


def count_cordoned(engines):
    return sum(target.cordoned_at is not None for target in engines)


class CordonLeaseTest(unittest.TestCase):
    """Engines were cordoned although no host could order them to load.

    The lease holder stops during a rollout, and the next host may order only after the
    lease has expired. Engines that every daemon cordons meanwhile neither load nor serve,
    and the prompts of five engines go to three.
    """

    def setUp(self):
        self.engines = [make_target(f"i-{number}", weights={"m": 1}) for number in range(5)]
        self.daemon = make_daemon(self.engines)
        self.controller = WeightsController(self.daemon)

    def test_no_engine_is_cordoned_without_a_lease_holder(self):
        self.controller.step()
        self.assertEqual(count_cordoned(self.engines), 0)

    def test_engines_are_cordoned_while_another_host_holds_the_lease(self):
        self.controller.on_lease(LeaseEntry("there", "b7"), 1, 0.0)
        self.controller.step()
        self.assertEqual(count_cordoned(self.engines), 2)
        self.daemon.clock = 3.0
        self.controller.step()
        self.assertEqual(count_cordoned(self.engines), 0)


class LeaseTest(unittest.TestCase):
    """One daemon with engines to load and a log for the lease."""

    def setUp(self):
        engines = [make_target(f"i-{number}", weights={"m": 1}) for number in range(5)]
        self.daemon = make_daemon(engines)
        self.daemon.membership.rank = 2
        self.records = []
        self.daemon.store = SimpleNamespace(append_lease=self.append)
        self.controller = WeightsController(self.daemon)
        self.controller.on_lease(None, 0, 0.0)

    def append(self, entry, at):
        self.records.append(entry)
        return Success(at)

    def advance(self, until):
        while self.daemon.clock < until:
            self.controller.step()
            self.daemon.clock += 0.1


class TakeoverTest(LeaseTest):
    """For eight seconds nobody ordered loads, as the first in line was cut off."""

    def test_a_daemon_takes_the_lease_in_its_turn(self):
        self.advance(2 * TAKEOVER_DELAY_S)
        self.assertEqual(self.records, [])
        self.advance(2 * TAKEOVER_DELAY_S + 0.3)
        self.assertTrue(self.records)

    def test_no_turn_comes_while_another_host_holds_the_lease(self):
        self.advance(2 * TAKEOVER_DELAY_S - 0.2)
        for end in range(1, 9):
            self.controller.on_lease(LeaseEntry("there", "b7"), end, self.daemon.clock)
            self.advance(self.daemon.clock + 1.0)
        self.assertEqual(self.records, [])

    def test_no_turn_comes_in_an_outage_of_the_store(self):
        self.daemon.feeds.store_backoff.in_outage = True
        self.advance(10.0)
        self.assertEqual(self.records, [])

    def test_a_daemon_without_a_place_never_takes_the_lease(self):
        self.daemon.membership.rank = None
        self.advance(10.0)
        self.assertEqual(self.records, [])


class BadlyPlacedHolderTest(LeaseTest):
    """No engine loaded new weights while the lease holder had no path to the engines."""

    def setUp(self):
        super().setUp()
        self.daemon.membership.rank = 0
        self.controller.is_badly_placed = lambda _service: True

    def test_the_lease_is_given_up(self):
        self.controller.is_badly_placed = lambda _service: False
        self.advance(1.0)
        self.controller.is_badly_placed = lambda service: service == SERVICE
        self.advance(2.0)
        self.assertIsNone(self.records[0].released_idle_s)
        self.assertIsNotNone(self.records[-1].released_idle_s)

    def test_a_host_in_the_same_position_does_not_take_it(self):
        self.advance(MAX_UNLED_S)
        self.assertEqual(self.records, [])

    def test_the_lease_is_taken_if_nobody_else_does(self):
        """With hosts far down the line only, nobody would have ordered loads."""
        self.advance(2 * MAX_UNLED_S - 1.0)
        self.assertTrue(self.records)
        self.assertTrue(all(item.released_idle_s is None for item in self.records))


class SharedLoadTimeTest(unittest.TestCase):
    """Loaded engines stayed idle while callers waited at the others.

    Only the lease holder observes how long a load takes. Without its estimate, the other
    daemons skip an engine until its registration reports the new weights.
    """

    def test_the_lease_record_carries_the_load_time(self):
        engines = [make_target(f"i-{number}", weights={"m": 1}) for number in range(5)]
        daemon = make_daemon(engines)
        controller = WeightsController(daemon)
        controller.on_lease(LeaseEntry("there", "b7", load_s=0.4), 1, 0.0)
        controller.step()
        cordoned = [item for item in engines if item.cordoned_at is not None]
        self.assertTrue(cordoned)
        for target in cordoned:
            self.assertFalse(should_have_loaded(target, DRAIN_S + 0.3))
            self.assertTrue(should_have_loaded(target, DRAIN_S + 0.6))

    def test_a_restarted_host_restores_its_measured_load_time(self):
        # All processes are killed, and the same host takes the lease again.
        controller = WeightsController(make_daemon([]))
        controller.on_lease(LeaseEntry("here", "b0", load_s=0.4), 1, 0.0)
        self.assertEqual(controller.load_time.known_s, 0.4)

    def test_the_release_record_carries_the_load_time(self):
        # All hosts are restarted in turn. A new lease holder reads only the newest
        # record, which is the release of the previous holder.
        records = []
        daemon = make_daemon([])
        daemon.store = SimpleNamespace(
            append_lease=lambda entry, at: records.append(entry) or Success(at)
        )
        controller = WeightsController(daemon)
        controller.lease.end, controller.lease.fencing = 4, 3
        controller.load_time.record(0.5)
        controller.release()
        self.assertEqual([entry.load_s for entry in records], [0.5])


class FakeEngines:
    """Engines that load in a given time and report their state when polled."""

    def __init__(self, daemon, load_s):
        self.daemon = daemon
        self.load_s = load_s
        self.done_at = {}

    def report(self, target):
        done_at = self.done_at.get(target.instance)
        now = self.daemon.clock
        return Success(
            EngineReport(
                loading=done_at is not None and now < done_at,
                orders_accepted=0,
                waiting=0,
                running=0,
                weights={"m": 2 if done_at is not None and now >= done_at else 1},
            )
        )

    def order(self, target, order):
        self.done_at[target.instance] = self.daemon.clock + self.load_s
        return OrderOutcome.ACCEPTED


class RolloutSimulationTest(unittest.TestCase):
    """Loaded engines stayed idle because the lease holder polled them too late.

    Five engines load one or two at a time, in 0.3 to 8 s each. If the holder polls late or
    uses the load time of other engines, the next load starts late and callers wait.
    """

    def simulate(self, load_s, demand):
        engines = [make_target(f"i-{number}", weights={"m": 1}) for number in range(5)]
        daemon = make_daemon(engines)
        daemon.membership.rank = 0
        daemon.demand = make_demand(demand)
        daemon.engine_control = FakeEngines(daemon, load_s)
        daemon.store = SimpleNamespace(append_lease=lambda _entry, at: Success(at))
        controller = WeightsController(daemon)
        controller.on_lease(None, 0, 0.0)
        seen = {}
        while len(seen) < len(engines) and daemon.clock < 90.0:
            controller.step()
            gevent.sleep(0)
            gevent.sleep(0)
            for target in engines:
                if target.weights_of("m") == 2:
                    seen.setdefault(target.instance, daemon.clock)
            daemon.clock += 0.05
        done = daemon.engine_control.done_at
        idle = [seen[name] - done[name] for name in sorted(done, key=done.__getitem__)]
        return daemon.clock, idle, controller.load_time.load_s

    def test_completed_loads_are_detected_promptly(self):
        for load_s in (0.3, 0.42, 0.9, 1.9, 4.0, 8.0):
            for demand in (1.0, 4.5):
                with self.subTest(load_s=load_s, demand=demand):
                    lasted, idle, known = self.simulate(load_s, demand)
                    self.assertLess(max(idle), 0.4)
                    self.assertAlmostEqual(known, load_s, delta=0.4)
                    self.assertLess(lasted, 5 * (DRAIN_S + load_s + 0.6))


if __name__ == "__main__":
    unittest.main()
