from __future__ import annotations

import unittest

from agaterail.decisions.decayedsums import DecayedSums


def make_sums(max_kinds=8):
    return DecayedSums(span_s=3.0, min_prompts=8.0, max_span_s=30.0, max_kinds=max_kinds)


class DecayedSumsTest(unittest.TestCase):
    def test_a_busy_daemon_forgets_within_seconds(self):
        sums = make_sums()
        for step in range(1000):
            sums.record("a" if step < 500 else "b", 10.0, step * 0.02)
        self.assertLess(sums.kinds["a"].amount, 0.05 * sums.total.amount)
        self.assertAlmostEqual(sums.prompts, 150.0, delta=15.0)
        self.assertAlmostEqual(sums.mean_age_s, 2.7, delta=0.5)

    def test_a_daemon_with_few_prompts_reaches_back_further(self):
        # One in 410 daemons sees less than one prompt a second.
        sums = make_sums()
        for step in range(40):
            sums.record("a", 10.0, step * 1.5)
        self.assertGreater(sums.prompts, 6.0)

    def test_old_prompts_are_forgotten_at_last(self):
        sums = make_sums()
        sums.record("a", 10.0, 0.0)
        sums.record("b", 10.0, 120.0)
        self.assertLess(sums.kinds["a"].amount, 0.1 * sums.total.amount)
        sums.record("c", 10.0, 9000.0)
        self.assertEqual(list(sums.kinds), ["c"])

    def test_kinds_are_bounded_and_the_largest_stay(self):
        sums = make_sums(max_kinds=8)
        for number in range(1000):
            sums.record("large", 10.0, number * 0.01)
            sums.record(f"k{number}", 1.0, number * 0.01)
            self.assertLessEqual(len(sums.kinds), 8)
        self.assertIn("large", sums.kinds)

    def test_weights_stay_bounded(self):
        sums = make_sums()
        for step in range(20_000):
            sums.record("a", 1.0, step * 0.5)
        self.assertLessEqual(sums.weight, 1e6)
        self.assertAlmostEqual(sums.mean("a", 0.0), 1.0)
        self.assertEqual(sums.mean("unknown", 0.3), 0.3)

    def test_a_clock_that_stands_still_is_borne(self):
        sums = make_sums()
        for _ in range(3):
            sums.record("a", 5.0, 1.0)
        sums.record("a", 5.0, 0.5)
        self.assertAlmostEqual(sums.total.amount, 20.0)
