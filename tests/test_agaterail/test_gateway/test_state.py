from __future__ import annotations

import unittest

from agaterail.gateway.controlstore import DesiredPublished, TargetChanged, WeightsNamed
from agaterail.gateway.freshness import Freshness
from agaterail.gateway.state import GatewayState
from agaterail.gateway.targets import TargetBook
from tests.test_agaterail.test_gateway.test_desired import make_desired
from tests.test_agaterail.test_gateway.test_targets import make_entry


class GatewayStateTest(unittest.TestCase):
    def setUp(self):
        self.state = GatewayState(Freshness(5.0, 2.0), TargetBook(2.0), unknown_age_s=9.0)

    def test_versions_of_the_desired_state_only_move_forward(self):
        # A read that was overtaken arrives late: a route that was dropped must
        # not be served again.
        self.state.apply([DesiredPublished(5, make_desired(version=7))], 0.0)
        self.state.apply([DesiredPublished(4, make_desired(version=6))], 0.0)
        self.assertEqual(self.state.desired.version, 7)

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
