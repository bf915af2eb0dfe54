from __future__ import annotations

import math
import random
import unittest

from agaterail.decisions.enginepaces import FORGET_AFTER_S, PaceEstimator

STEP_S = 0.006
SAMPLES_PER_S = 10
REPORT_S = 0.5
ENGINES = [f"i-{number}" for number in range(70)]


class EnginePacesTest(unittest.TestCase):
    def setUp(self):
        self.estimator = PaceEstimator()
        self.random = random.Random(1)
        self.now = 100.0

    def play(self, seconds, speeds=None, engines=ENGINES):
        """Report steps of all engines, at some multiple of the usual time."""
        for _ in range(round(seconds / REPORT_S)):
            self.now += REPORT_S
            for name in engines:
                factor = (speeds or {}).get(name, 1.0)
                count = round(SAMPLES_PER_S * REPORT_S)
                logs = [
                    math.log(STEP_S * factor) + self.random.gauss(0.0, 0.3)
                    for _ in range(count)
                ]
                self.estimator.record(name, count, sum(logs), self.now)

    def pace(self, name):
        return self.estimator.pace(name, self.now)

    def test_an_engine_at_half_or_twice_the_usual_speed_is_known_within_3_s(self):
        """As many prompts went to engines at half the speed as to the others."""
        self.play(3.0, {"i-0": 2.0, "i-1": 0.5})
        self.assertGreater(self.pace("i-0"), 1.6)
        self.assertLess(self.pace("i-1"), 0.62)
        for name in ENGINES[2:]:
            self.assertTrue(0.8 < self.pace(name) < 1.25, name)

    def test_a_quarter_of_quick_engines_does_not_shape_the_median(self):
        quick = ENGINES[::4]
        speeds = {name: 0.55 if name in quick else 1.2 for name in ENGINES}
        self.play(6.0, speeds)
        for name in ENGINES:
            expected = 0.55 / 1.2 if name in quick else 1.0
            self.assertAlmostEqual(math.log(self.pace(name) / expected), 0.0, delta=0.25)

    def test_an_engine_slowed_for_parts_of_a_second_is_no_slow_engine(self):
        """An engine that read one long prompt lost prompts to others for seconds."""
        self.play(5.0)
        self.play(0.5, {"i-0": 2.5})
        self.assertLess(self.pace("i-0"), 1.25)

    def test_short_slowdowns_of_changing_engines_leave_their_paces(self):
        self.play(5.0)
        for _ in range(20):
            slowed = self.random.sample(ENGINES, 10)
            self.play(0.5, dict.fromkeys(slowed, 2.5))
            self.assertTrue(all(0.6 < self.pace(name) < 1.6 for name in ENGINES))

    def test_one_absurd_sample_changes_a_pace_little(self):
        self.play(5.0)
        self.estimator.record("i-0", 1, math.log(1e9), self.now)
        self.estimator.record("i-1", 1, math.log(1e-9), self.now)
        self.assertLess(self.pace("i-0"), 1.25)
        self.assertGreater(self.pace("i-1"), 0.8)

    def test_values_that_are_no_numbers_are_dropped(self):
        self.play(3.0)
        for count, total in ((0, 1.0), (-1, 1.0), (1, math.nan), (math.inf, 1.0)):
            self.estimator.record("i-0", count, total, self.now)
        self.assertTrue(0.8 < self.pace("i-0") < 1.25)

    def test_a_pace_stays_within_its_bounds(self):
        self.play(10.0, {"i-0": 7.9, "i-1": 1 / 7.9})
        self.assertEqual(self.pace("i-0"), 4.0)
        self.assertEqual(self.pace("i-1"), 0.25)

    def test_a_service_that_is_slow_as_a_whole_has_no_slow_engine(self):
        self.play(3.0)
        self.play(3.0, dict.fromkeys(ENGINES, 3.0))
        self.assertTrue(all(0.7 < self.pace(name) < 1.4 for name in ENGINES))

    def test_an_engine_without_samples_has_the_usual_pace(self):
        self.assertEqual(self.pace("i-0"), 1.0)
        self.play(3.0)
        self.assertEqual(self.pace("unknown"), 1.0)

    def test_a_former_slowness_fades(self):
        self.play(5.0, {"i-0": 2.0})
        self.play(15.0)
        self.assertLess(self.pace("i-0"), 1.25)

    def test_engines_that_left_are_forgotten(self):
        self.play(3.0)
        self.now += FORGET_AFTER_S - 1.0
        self.play(3.0, engines=ENGINES[:5])
        self.pace("i-0")
        self.assertEqual(set(self.estimator.samples), set(ENGINES[:5]))
        self.estimator.forget("i-0")
        self.assertNotIn("i-0", self.estimator.samples)


USUAL_S = 0.02


class FewEnginesTest(unittest.TestCase):
    """Samples of a service with five engines."""

    def setUp(self):
        self.paces = PaceEstimator()
        self.time = 0.0

    def play(self, seconds, slow=1.0, per_s=20):
        """Let five engines stream, the first one of them at another pace."""
        for _ in range(int(seconds * per_s)):
            self.time += 1.0 / per_s
            for number in range(5):
                step_s = USUAL_S * (slow if number == 0 else 1.0)
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
        self.paces.record("e-9", 1, math.log(3.0 * USUAL_S), self.time)
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
