from __future__ import annotations

import unittest

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from agaterail.gateway.controlstore import WeightsNamed
from agaterail.gateway.freshness import Freshness
from agaterail.gateway.placement import choose_engine
from agaterail.gateway.state import MAX_REGULAR_READING_GAP_S, GatewayState
from agaterail.gateway.targets import TargetRegistry
from agaterail.gateway.versionhistory import (
    KEPT_S,
    MAX_VERSIONS,
    MAX_YOUNG_VERSIONS,
    DesiredVersion,
    VersionAge,
    VersionAgeRecord,
    VersionHistory,
    record_ages,
)
from tests.gateway_fleet import BOUNDS, MODEL, Fleet
from tests.test_agaterail.test_gateway.test_placement import RULES, make_inbound
from tests.test_agaterail.test_gateway.test_targets import make_target

ALLOWED_S, SKEW_S = 15.0, 5.0


def make_state():
    return GatewayState(Freshness(5.0, 2.0), TargetRegistry(2.0), ALLOWED_S, SKEW_S)


class RestoredAgesTest(unittest.TestCase):
    """After a restart of all hosts, requests started on weights that were overdue."""

    def setUp(self):
        self.state = make_state()

    def age(self, held, now):
        return self.state.weights["m"].outdated_for_s(held, now)

    def test_a_version_of_unknown_age_counts_as_overdue(self):
        """A starting process assumed part of the allowed time, but the age was higher."""
        self.state.apply([WeightsNamed(1, "m", 2)], 100.0, at_start=True)
        self.assertEqual(self.age(1, 100.0), ALLOWED_S)

    def test_a_record_restores_the_age_of_a_version(self):
        """After a short rollout, a starting process refused engines that could still serve."""
        record = VersionAgeRecord(1000.0, 0.0, {"m": (VersionAge(2, 3.0),)})
        for order in ("record first", "version first"):
            with self.subTest(order):
                self.state = make_state()
                steps = [
                    lambda: self.state.apply_version_ages(record, 50.0, 1001.5),
                    lambda: self.state.apply([WeightsNamed(1, "m", 2)], 50.0, at_start=True),
                ]
                for step in steps if order == "record first" else reversed(steps):
                    step()
                self.assertEqual(self.age(1, 50.0), 3.0 + 1.5 + SKEW_S)

    def test_a_record_from_the_future_is_at_least_as_old_as_the_skew(self):
        """After the wall clock jumped back, an old version looked new."""
        self.state.apply([WeightsNamed(1, "m", 2)], 50.0, at_start=True)
        record = VersionAgeRecord(1000.0, 0.0, {"m": (VersionAge(2, 3.0),)})
        self.state.apply_version_ages(record, 50.0, 997.0)
        self.assertEqual(self.age(1, 50.0), 3.0 + SKEW_S)

    def test_a_version_missing_from_the_record_is_newer_than_its_last_read(self):
        """A version that was set right before a power failure counted as overdue."""
        self.state.apply([WeightsNamed(1, "m", 3)], 50.0, at_start=True)
        record = VersionAgeRecord(1000.0, 0.5, {"m": (VersionAge(2, 9.0),)})
        self.state.apply_version_ages(record, 50.0, 1001.0)
        self.assertEqual(self.age(2, 50.0), 0.5 + 1.0 + SKEW_S)
        self.assertEqual(self.age(1, 50.0), 9.0 + 1.0 + SKEW_S)

    def test_a_record_with_a_known_write_time_needs_no_wall_clock(self):
        """A single restarted host overestimated the ages written by others by seconds."""
        self.state.apply([WeightsNamed(1, "m", 2)], 50.0, at_start=True)
        record = VersionAgeRecord(1000.0, 0.0, {"m": (VersionAge(2, 3.0),)})
        self.state.apply_version_ages(record, 52.0, 1000.0, written_after=51.5)
        self.assertEqual(self.age(1, 52.0), 3.5)

    def test_an_older_record_does_not_increase_an_age(self):
        self.state.apply([WeightsNamed(1, "m", 2)], 50.0, at_start=True)
        self.state.apply_version_ages(
            VersionAgeRecord(1000.0, 0.0, {"m": (VersionAge(2, 1.0),)}), 50.0, 1000.0
        )
        self.state.apply_version_ages(
            VersionAgeRecord(990.0, 0.0, {"m": (VersionAge(2, 4.0),)}), 50.0, 1000.0
        )
        self.assertEqual(self.age(1, 50.0), 1.0 + SKEW_S)

    def test_an_observed_version_keeps_its_age(self):
        self.state.apply([WeightsNamed(1, "m", 2)], 50.0)
        self.state.apply_version_ages(
            VersionAgeRecord(1000.0, 0.0, {"m": (VersionAge(2, 9.0),)}), 51.0, 1000.0
        )
        self.assertEqual(self.age(1, 51.0), 1.0)

    def test_a_version_set_during_a_suspension_counts_from_the_last_read(self):
        """A resumed host took a version that was set during its suspension for new."""
        self.state.apply([WeightsNamed(1, "m", 2)], 60.0, previous_read_at=48.0)
        self.assertEqual(self.age(1, 60.0), 12.0)
        self.state.apply(
            [WeightsNamed(2, "m", 3)], 62.0, previous_read_at=62.0 - MAX_REGULAR_READING_GAP_S
        )
        self.assertEqual(self.age(2, 62.0), 0.0)

    def test_an_overdue_engine_is_not_chosen_after_a_restart_of_all_hosts(self):
        """Twelve streams started on weights that had been replaced 15.6 s before."""
        self.state.apply([WeightsNamed(1, "m", 2)], 11.3, at_start=True)
        record = VersionAgeRecord(1000.0, 0.0, {"m": (VersionAge(2, 9.5),)})
        self.state.apply_version_ages(record, 11.3, 1001.8)
        engine, history = make_target("i-1", weights={"m": 1}), self.state.weights["m"]
        found = choose_engine(make_inbound("h"), [engine], set(), RULES, history, 14.5)
        self.assertIsNone(found)


class ManyVersionsTest(unittest.TestCase):
    def name(self, count, every_s):
        found = VersionHistory(())
        for version in range(2, 2 + count):
            found = found.with_version(version, version * every_s)
        return found

    def test_weights_count_as_outdated_since_a_later_version(self):
        """Guards against requests on weights that many versions have made outdated."""
        found = self.name(30, 0.3)
        self.assertEqual(found.first_after(1).version, 2)
        ages = found.ages(10.0)
        started = VersionHistory((DesiredVersion(31, 9.0, assumed=True),))
        restored = started.with_restored_ages(ages, since=10.0, read_at=10.0)
        self.assertEqual(restored.first_after(1).version, 2)

    def test_versions_without_effect_are_dropped(self):
        self.assertEqual(len(self.name(100, 2 * KEPT_S).versions), MAX_VERSIONS)
        self.assertEqual(len(self.name(1000, 0.01).versions), MAX_YOUNG_VERSIONS)
        self.assertEqual(self.name(1000, 0.01).newest, 1001)


class VersionAgeMachine(RuleBasedStateMachine):
    """Processes that start, are suspended, read and write records, on inaccurate clocks."""

    @initialize()
    def begin(self):
        self.time = 100.0
        self.named: dict[int, float] = {}
        self.record: VersionAgeRecord | None = None
        self.start(0.0, 0.0)

    def start(self, clock_zero, clock_error):
        """Start a process with its own clocks."""
        self.clock_zero, self.clock_error = clock_zero, clock_error
        self.state = make_state()
        self.read_at = None
        self.read()
        if self.record is not None:
            self.state.apply_version_ages(self.record, self.now(), self.time_of_day())

    def now(self):
        return self.time - self.clock_zero

    def time_of_day(self):
        return self.time + self.clock_error

    def read(self):
        newest = max(self.named, default=0)
        changes = [WeightsNamed(newest, "m", newest)] if newest else []
        at_start = self.read_at is None
        self.state.apply(changes, self.now(), at_start, previous_read_at=self.read_at)
        self.read_at = self.now()

    @precondition(lambda self: len(self.named) < MAX_VERSIONS)
    @rule()
    def name(self):
        self.named[max(self.named, default=0) + 1] = self.time

    @rule(seconds=st.floats(0.0, 1.9))
    def run(self, seconds):
        self.time += seconds
        self.read()

    @rule(seconds=st.floats(0.0, 12.0))
    def freeze(self, seconds):
        self.time += seconds

    @rule()
    def write(self):
        reading_age_s = self.now() - self.read_at
        self.record = record_ages(
            self.state.weights, self.now(), self.time_of_day(), reading_age_s
        )

    @rule(
        seconds=st.floats(0.0, 20.0),
        zero=st.floats(-1e3, 1e3),
        error=st.floats(-SKEW_S / 2, SKEW_S / 2),
    )
    def restart(self, seconds, zero, error):
        self.time += seconds
        self.start(zero, error)

    @invariant()
    def ages_are_never_underestimated(self):
        weights = self.state.weights.get("m")
        if weights is None:
            return
        for held in range(weights.newest):
            named_at = min(at for version, at in self.named.items() if version > held)
            late_s = min(self.time - named_at, ALLOWED_S)
            believed = weights.outdated_for_s(held, self.now())
            assert believed >= late_s - MAX_REGULAR_READING_GAP_S - 1e-6


VersionAgeMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=30)


class VersionAgeMachineTest(VersionAgeMachine.TestCase):
    pass


class FullRestartTest(unittest.TestCase):
    def test_ages_written_by_the_lease_holder_are_restored_at_start(self):
        """After a restart of all hosts, no process knew the ages of the versions."""
        bounds = attrs.evolve(BOUNDS, clock_skew_s=2.0)
        fleet = Fleet(bounds=bounds)
        self.addCleanup(fleet.stop)
        for name in ("e-0", "e-1"):
            fleet.targets[name].load_s = 60.0
            fleet.targets[name].announced_version = 2
        value = b'{"model": "%s", "version": 2}' % MODEL.encode()
        fleet.wait(lambda: fleet.daemons[0].membership.leads)
        fleet.store.put("keyed.op", f"version/{MODEL}", value)
        fleet.wait(lambda: fleet.daemons[0].weights.lease.fencing is not None)
        fleet.daemons.pop().close()
        started = fleet.add_gateway("g-9", bounds)
        fleet.daemons.append(started)
        fleet.wait(lambda: started.state.weights and started.state.naming)
        age_s = started.state.weights[MODEL].outdated_for_s(1, started.now())
        self.assertTrue(2.0 <= age_s < 6.0, age_s)
