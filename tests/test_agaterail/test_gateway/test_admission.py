from __future__ import annotations

import random
import unittest

from agaterail.engineloads.figures import EngineFigures
from agaterail.gateway.admission import expected_wait_s, retry_after_s, would_miss_deadline
from tests.test_agaterail.test_gateway.test_targets import make_target


class AdmissionTest(unittest.TestCase):
    def setUp(self):
        self.engines = [make_target(f"i-{n}") for n in range(4)]

    def test_one_long_prompt_does_not_count_as_a_queue(self):
        # An engine is prefilling a prompt of 40,000 tokens that this daemon sent. The
        # next caller, with 5 s until its deadline, must not be refused because of it.
        self.engines[0].prefill_tokens = 40000
        wait_s = expected_wait_s(self.engines[0], self.engines, daemons=6.0)
        self.assertLess(wait_s, 2.0)
        self.assertFalse(would_miss_deadline(wait_s, 5.0))

    def test_a_prompt_that_would_miss_its_deadline_is_refused(self):
        # Every daemon has seconds' worth of prompts queued at all engines. An admitted
        # caller would wait until its deadline and get no answer.
        for engine in self.engines:
            engine.prefill_tokens = 60000
        wait_s = expected_wait_s(self.engines[0], self.engines, daemons=6.0)
        self.assertTrue(would_miss_deadline(wait_s, 5.0))
        self.assertFalse(would_miss_deadline(wait_s, 15.0))

    def test_figures_tell_what_waits_at_the_engine_itself(self):
        """A prompt was sent to a full engine since the mean of all engines was short."""
        figures = EngineFigures(prefill_tokens=300_000.0, pace=1.5)
        self.engines[0].prefill_tokens = 10_000
        wait_s = expected_wait_s(self.engines[0], self.engines, 81.0, figures)
        self.assertAlmostEqual(wait_s, 310_000 * 0.016e-3 * 1.5)

    def test_retry_hints_are_jittered_and_within_the_deadline(self):
        # Callers that were refused together must not retry together, and no hint may
        # exceed a caller's remaining time.
        hints = [retry_after_s(0.6, number / 10) for number in range(10)]
        self.assertLessEqual(max(hints), 0.2)
        self.assertEqual(len(set(hints)), 10)
        self.assertLessEqual(retry_after_s(100.0, 0.0), 1.0)
        self.assertEqual(retry_after_s(-1.0, 0.5), 0.0)

    def test_overload_hints_are_longer(self):
        # Callers that retry after one second meet the same overload and are refused
        # again.
        self.assertEqual(retry_after_s(15.0, 0.0, overloaded=True), 4.5)
        self.assertEqual(retry_after_s(15.0, 0.0), 1.0)
        self.assertLessEqual(retry_after_s(0.6, 0.0, overloaded=True), 0.2)

    def test_most_callers_refused_under_overload_return_after_it(self):
        # Engines are lost for 3 to 8 s, and 10% to 90% of the prompts are refused. Each
        # caller retries once at the hinted time and fails if it is refused again. With
        # hints in proportion to the refusal rate, 0.268 of the refused callers failed;
        # with the fixed maximum, 0.175.
        rng = random.Random(5)
        lost = refused = 0
        for _ in range(4000):
            lasts, part = rng.uniform(3.0, 8.0), rng.uniform(0.1, 0.9)
            came = rng.uniform(0.0, lasts)
            refused += 1
            back = came + retry_after_s(15.0, rng.random(), overloaded=True)
            lost += back < lasts and rng.random() < part
        self.assertLess(lost / refused, 0.2)

    def test_an_idle_fleet_has_no_wait(self):
        self.assertEqual(expected_wait_s(self.engines[0], self.engines, daemons=81.0), 0.0)
