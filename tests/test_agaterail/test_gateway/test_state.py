from __future__ import annotations

import unittest
from unittest import mock

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from agaterail.gateway import state
from agaterail.gateway.controlstore import DesiredPublished, TargetChanged, WeightsNamed
from agaterail.gateway.freshness import Freshness
from agaterail.gateway.namedweights import MOST_VERSIONS
from agaterail.gateway.state import GatewayState
from agaterail.gateway.targets import TargetBook
from tests.test_agaterail.test_gateway.test_desired import make_desired
from tests.test_agaterail.test_gateway.test_targets import make_entry

GRACE_S = 2.0
INSTANCES = st.sampled_from(["i-1", "i-2", "i-3"])
PARTS = st.floats(0.0, 1.0)


class GatewayStateTest(unittest.TestCase):
    def setUp(self):
        self.state = GatewayState(Freshness(5.0, 2.0), TargetBook(2.0), unknown_age_s=9.0)

    def test_versions_of_the_desired_state_only_move_forward(self):
        # A read that was overtaken arrives late: a route that was dropped must
        # not be served again.
        self.state.apply([DesiredPublished(5, make_desired(version=7))], 0.0)
        self.state.apply([DesiredPublished(4, make_desired(version=6))], 0.0)
        self.assertEqual(self.state.desired.version, 7)

    def test_a_reading_beyond_the_bound_is_said_once_each_way(self):
        # A host whose news takes longer than the bound serves by a former version and
        # does not know it; whoever is on call must see since when.
        self.state.apply([DesiredPublished(5, make_desired(version=7))], 0.0)
        self.state.freshness.confirm(10.0)
        said = []
        for now in (11.0, 12.5, 13.0):
            said.append(self.noted(now))
        self.state.freshness.confirm(13.0)
        said += [self.noted(13.5), self.noted(14.0)]
        self.assertEqual(
            said, ["", "Desired state may be outdated.", "", "Desired state confirmed.", ""]
        )

    def noted(self, now):
        with mock.patch.object(state.logger, "info") as info:
            self.state.note_age(now)
        return info.call_args.args[0] if info.called else ""

    def test_weights_found_at_the_start_are_taken_for_old(self):
        # All daemons died and came back: when the version was named is not
        # known, and the engines' older weights may be overdue.
        self.state.apply([WeightsNamed(1, "m", 4)], 100.0, at_start=True)
        self.assertEqual(self.state.weights["m"].outdated_for_s(3, 100.0), 9.0)
        self.state.apply([WeightsNamed(2, "m", 5)], 101.0)
        self.assertEqual(self.state.weights["m"].outdated_for_s(4, 101.0), 0.0)
        self.assertEqual(self.state.weights["m"].newest, 5)

    def test_the_first_name_after_the_start_is_new(self):
        # No version had been named before. Taken for old, all engines were
        # loaded at once, and callers were refused for three seconds.
        self.state.apply([], 90.0, at_start=True)
        self.state.apply([WeightsNamed(1, "m", 2)], 100.0)
        self.assertEqual(self.state.weights["m"].outdated_for_s(1, 100.0), 0.0)

    def test_an_older_name_changes_nothing(self):
        self.state.apply([WeightsNamed(2, "m", 5), WeightsNamed(1, "m", 4)], 0.0)
        self.assertEqual(self.state.weights["m"].newest, 5)

    def test_a_change_that_was_overtaken_is_dropped(self):
        self.state.apply([TargetChanged(9, "i-1", make_entry(ready=False))], 0.0)
        self.state.apply([TargetChanged(8, "i-1", make_entry(ready=True))], 0.0)
        self.assertFalse(self.state.book.targets["i-1"].entry.ready)

    def test_a_target_that_vanished_may_come_back(self):
        self.state.apply([TargetChanged(1, "i-1", make_entry())], 0.0)
        self.state.apply([TargetChanged(2, "i-1", None)], 0.0)
        self.assertEqual(self.state.book.of_service("s"), [])
        self.state.apply([TargetChanged(3, "i-1", make_entry())], 0.0)
        self.assertEqual(len(self.state.book.of_service("s")), 1)


class OvertakenTargetsTest(unittest.TestCase):
    def setUp(self):
        self.book = TargetBook(GRACE_S)
        self.state = GatewayState(Freshness(5.0, 2.0), self.book)

    def test_a_late_slice_does_not_bring_a_vanished_target_back(self):
        # A read of the store is slow; meanwhile a peer told of the registration
        # and of its end. The slow answer still holds the registration: callers'
        # requests would go to an address that another engine may have by now.
        registered = TargetChanged(4, "i-1", make_entry())
        self.state.apply([registered, TargetChanged(5, "i-1", None)], 0.0)
        self.state.apply([registered], 0.1)
        self.assertEqual(self.book.of_service("s"), [])

    def test_a_late_listing_does_not_remove_a_newer_target(self):
        # The listing was read before the target registered, and arrives after.
        # The record is not read again, so the target would be missed for long.
        self.state.apply([TargetChanged(7, "i-1", make_entry())], 0.0)
        self.state.apply_listing([], 7, 0.1)
        self.assertEqual(len(self.book.of_service("s")), 1)

    def test_what_a_listing_removed_is_not_brought_back_by_an_older_slice(self):
        registered = TargetChanged(4, "i-1", make_entry())
        self.state.apply([registered], 0.0)
        self.state.apply_listing([], 6, 0.1)
        self.state.apply([registered], 0.2)
        self.assertEqual(self.book.of_service("s"), [])

    def test_an_older_listing_brings_no_target_back_that_vanished_twice(self):
        # A target vanishes, registers and vanishes again; only the first is heard of
        # before a listing that lacks it. A listing from in between arrives late, and
        # requests would be sent to a target that is gone.
        self.state.apply([TargetChanged(0, "i-1", None)], 0.0)
        self.state.apply_listing([], 3, 0.1)
        self.state.apply_listing([TargetChanged(1, "i-1", make_entry())], 2, 0.2)
        self.assertEqual(self.book.of_service("s"), [])

    def test_offsets_of_vanished_targets_are_bounded(self):
        for number in range(3000):
            name = f"i-{number}"
            self.state.apply([TargetChanged(2 * number, name, make_entry(name))], 0.0)
            self.state.apply([TargetChanged(2 * number + 1, name, None)], 0.0)
        self.assertLess(len(self.state.target_offsets), 1100)


class TargetsMachine(RuleBasedStateMachine):
    """Reads of the targets' registrations that overtake each other.

    The log is what targets wrote. A daemon hears of it by slices and listings,
    from the store or a peer, and any of them may arrive long after a newer one.
    """

    @initialize()
    def begin(self):
        self.log: list[TargetChanged] = []
        self.now = 100.0
        self.book = TargetBook(GRACE_S)
        self.state = GatewayState(Freshness(5.0, 2.0), self.book)
        # Newest that was heard of each target: its offset and whether it lives.
        self.heard: dict[str, tuple[int, TargetChanged]] = {}
        self.returned_at = float("-inf")
        self.lapsing: set[str] = set()

    @rule(instance=INSTANCES, ready=st.booleans(), restarted=st.booleans())
    def register(self, instance, ready, restarted):
        born = len(self.log) if restarted else 0
        entry = make_entry(instance, ready=ready, born=born)
        self.log.append(TargetChanged(len(self.log), instance, entry))

    @rule(instance=INSTANCES)
    def vanish(self, instance):
        self.log.append(TargetChanged(len(self.log), instance, None))

    @rule(begin=PARTS, end=PARTS)
    def hear_slice(self, begin, end):
        first, last = sorted(round(part * len(self.log)) for part in (begin, end))
        changes = self.log[first:last]
        self.state.apply(changes, self.now)
        for change in changes:
            self._hear(change)

    @rule(end=PARTS)
    def hear_listing(self, end):
        last = round(end * len(self.log))
        newest = {change.instance: change for change in self.log[:last]}
        listed = [change for change in newest.values() if change.entry is not None]
        self.state.apply_listing(listed, last, self.now)
        for change in listed:
            self._hear(change)
        for instance in set(self.heard) - {change.instance for change in listed}:
            self._hear(TargetChanged(last - 1, instance, None))

    @rule(seconds=st.floats(0.0, 3.0))
    def wait(self, seconds):
        self.now += seconds
        self.book.expire(self.now)
        if self.now - self.returned_at >= GRACE_S:
            self.lapsing.clear()

    @rule()
    def store_returns(self):
        self.returned_at = self.now
        self.book.store_returned(self.now)

    def _hear(self, change):
        known = self.heard.get(change.instance)
        if known is not None and change.offset < known[0]:
            return
        lived = known is not None and known[1].entry is not None
        if change.entry is not None:
            self.lapsing.discard(change.instance)
        elif lived and self.now - self.returned_at < GRACE_S:
            self.lapsing.add(change.instance)
        self.heard[change.instance] = (change.offset, change)

    @invariant()
    def the_newest_that_was_heard_holds(self):
        living = {name for name, (_, change) in self.heard.items() if change.entry is not None}
        known = set(self.book.targets)
        assert living <= known, f"forgotten: {living - known}"
        assert known <= living | self.lapsing, f"back from the dead: {known - living}"
        for name in living:
            assert self.book.targets[name].entry == self.heard[name][1].entry


class VersionsMachine(RuleBasedStateMachine):
    """Desired states and weights that arrive late, twice, or in the wrong order."""

    @initialize()
    def begin(self):
        self.state = GatewayState(Freshness(5.0, 2.0), TargetBook(GRACE_S), unknown_age_s=9.0)
        self.now = 0.0
        self.desired = -1
        self.first_heard: dict[int, float] = {}

    @rule(version=st.integers(0, 30))
    def hear_desired(self, version):
        self.desired = max(self.desired, version)
        self.state.apply([DesiredPublished(version, make_desired(version=version))], self.now)
        assert self.state.desired.version == self.desired

    @rule(version=st.integers(1, 30))
    def hear_weights(self, version):
        if version > max(self.first_heard, default=0):
            self.first_heard[version] = self.now
        self.state.apply([WeightsNamed(version, "m", version)], self.now)
        assert self.state.weights["m"].newest == max(self.first_heard)

    @rule(seconds=st.floats(0.0, 5.0))
    def wait(self, seconds):
        self.now += seconds

    @rule(held=st.integers(0, 30))
    def ask_for_how_long_weights_are_outdated(self, held):
        if not self.first_heard:
            return
        later = [at for version, at in self.first_heard.items() if version > held]
        expected = self.now - min(later) if later else None
        # Of more versions than are kept the first is forgotten.
        if len(self.first_heard) <= MOST_VERSIONS:
            assert self.state.weights["m"].outdated_for_s(held, self.now) == expected


TargetsMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=30)
VersionsMachine.TestCase.settings = settings(max_examples=40, stateful_step_count=30)


class TargetsMachineTest(TargetsMachine.TestCase):
    pass


class VersionsMachineTest(VersionsMachine.TestCase):
    pass
