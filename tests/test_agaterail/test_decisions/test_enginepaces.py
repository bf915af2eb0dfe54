from __future__ import annotations

import math
import unittest

from agaterail.decisions.enginepaces import PaceEstimator

STEP_S = 0.02


class PaceEstimatorTest(unittest.TestCase):
    def setUp(self):
        self.paces = PaceEstimator()
        self.time = 0.0

    def play(self, seconds, slow=1.0, per_s=20):
        """Let five engines stream, the first one of them at another pace."""
        for _ in range(int(seconds * per_s)):
            self.time += 1.0 / per_s
            for number in range(5):
                step_s = STEP_S * (slow if number == 0 else 1.0)
                self.paces.record(f"e-{number}", 1, math.log(step_s), self.time)

    def test_engine_without_samples_has_the_usual_pace(self):
        self.assertEqual(self.paces.pace("e-0", self.time), 1.0)

    def test_slow_engine_is_found_within_some_seconds(self):
        self.play(10.0)
        self.play(15.0, slow=2.0)
        self.assertAlmostEqual(self.paces.pace("e-0", self.time), 2.0, delta=0.3)
        self.assertAlmostEqual(self.paces.pace("e-1", self.time), 1.0, delta=0.05)

    def test_slowdown_of_parts_of_a_second_changes_little(self):
        self.play(10.0)
        self.play(0.5, slow=3.0)
        self.assertLess(self.paces.pace("e-0", self.time), 1.15)

    def test_few_samples_are_shrunk_to_the_usual_pace(self):
        self.play(10.0)
        self.paces.record("e-9", 1, math.log(3.0 * STEP_S), self.time)
        self.assertLess(self.paces.pace("e-9", self.time), 1.3)

    def test_pace_is_bounded(self):
        for factor in (1e-6, 1e6):
            self.paces = PaceEstimator()
            self.play(10.0, slow=factor)
            pace = self.paces.pace("e-0", self.time)
            self.assertTrue(0.249 < pace < 4.001, pace)

    def test_silent_engine_is_forgotten(self):
        self.play(10.0, slow=2.0)
        self.assertEqual(self.paces.pace("e-0", self.time + 120.0), 1.0)
        self.assertEqual(self.paces.samples, {})
