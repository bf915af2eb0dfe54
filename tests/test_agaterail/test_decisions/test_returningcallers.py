from __future__ import annotations

import random
import unittest

from agaterail.decisions.returningcallers import ReturningCallers, prefer_returned


class ReturningCallersTest(unittest.TestCase):
    def test_a_shortened_time_limit_shows_that_a_caller_returned(self):
        callers = ReturningCallers()
        for _ in range(20):
            self.assertFalse(callers.record("r", 5.0))
        self.assertTrue(callers.record("r", 3.9))
        self.assertFalse(callers.record("r", 4.9))

    def test_routes_have_time_limits_of_their_own(self):
        callers = ReturningCallers()
        for _ in range(20):
            callers.record("slow", 15.0)
            self.assertFalse(callers.record("quick", 5.0))

    def test_few_callers_and_none_without_a_time_limit_are_judged(self):
        callers = ReturningCallers()
        for limit_s in (9.0, 9.0, 2.0, 2.0):
            self.assertFalse(callers.record("r", limit_s))
        self.assertFalse(callers.record("r", None))

    def test_single_long_time_limits_do_not_make_the_others_look_returned(self):
        callers = ReturningCallers()
        for number in range(100):
            limit_s = 60.0 if number % 8 == 0 else 5.0
            self.assertFalse(callers.record("r", limit_s))

    def test_most_callers_may_have_returned(self):
        callers = ReturningCallers()
        rng = random.Random(1)
        for _ in range(50):
            callers.record("r", 5.0 if rng.random() < 0.45 else 4.0)
        self.assertTrue(callers.record("r", 4.0))

    def test_routes_are_bounded(self):
        callers = ReturningCallers()
        for number in range(2000):
            callers.record(f"r{number}", 5.0)
        self.assertLessEqual(len(callers.limits), 256)


class PreferReturnedTest(unittest.TestCase):
    def test_returned_callers_are_refused_last(self):
        self.assertEqual(prefer_returned(0.3, 0.2, True, 0.9), 0.0)
        self.assertAlmostEqual(prefer_returned(0.3, 0.2, False, 0.9), 0.375)

    def test_the_mean_stays_and_the_bound_holds(self):
        for part in (0.05, 0.2, 0.3, 0.4, 0.45):
            for probability in (0.1, 0.4, 0.7, 0.9):
                highest = 1.0 - 0.7 * (1.0 - probability)
                first = prefer_returned(probability, part, False, highest)
                returned = prefer_returned(probability, part, True, highest)
                self.assertAlmostEqual(part * returned + (1.0 - part) * first, probability)
                self.assertLessEqual(first, highest)
                self.assertTrue(0.0 <= returned <= probability <= first)

    def test_callers_that_repeat_often_push_nobody_aside(self):
        # Most of the load comes from callers that repeat at once.
        self.assertEqual(prefer_returned(0.5, 0.6, False, 0.9), 0.5)
        self.assertEqual(prefer_returned(0.5, 0.6, True, 0.9), 0.5)

    def test_the_preference_fades_out_smoothly(self):
        results = [prefer_returned(0.3, part / 100, False, 0.9) for part in range(25, 61)]
        for before, after in zip(results, results[1:], strict=False):
            self.assertLess(abs(after - before), 0.03)
