from __future__ import annotations

import unittest

from agaterail.decisions import buildhistory
from agaterail.decisions.buildhistory import BuildHistory

WINDOW_S = 20.0


class BuildHistoryTest(unittest.TestCase):
    def setUp(self):
        self.history = BuildHistory()
        self.history.begin(0.0)

    def only(self, registered, now, service="s"):
        return self.history.builds(service, registered, WINDOW_S, now)

    def test_one_build_for_the_whole_time(self):
        self.assertEqual(self.only(["b1", "b1"], 30.0), {"b1"})
        self.assertEqual(self.only(["b1", "b2"], 30.0), {"b1", "b2"})
        self.assertEqual(self.only([], 30.0), set())

    def test_a_host_that_just_started_knows_nothing_of_before(self):
        """A host took the builds that it found at its start for all there had been."""
        self.assertIsNone(self.only(["b1"], 19.0))
        self.assertIsNone(BuildHistory().builds("s", ["b1"], WINDOW_S, 99.0))

    def test_builds_that_are_gone_count_for_a_time(self):
        """Streams that engines of a former build began may still be taken up."""
        self.history.record_gone("s", "b2", 25.0)
        self.assertEqual(self.only(["b1"], 44.0), {"b1", "b2"})
        self.assertEqual(self.only(["b1"], 30.0, "other"), {"b1"})
        self.assertEqual(self.only(["b1"], 46.0), {"b1"})
        self.history.record_gone("s", "b1", 50.0)
        self.assertEqual(self.only([], 60.0), {"b1"})

    def test_a_history_that_is_full_says_nothing(self):
        for number in range(buildhistory.MAX_GONE + 1):
            self.history.record_gone("t", str(number), 25.0)
        self.assertIsNone(self.only(["b1"], 30.0))
        self.assertEqual(self.only(["b1"], 46.0), {"b1"})
