from __future__ import annotations

import unittest

from agaterail.decisions.paths import EVIDENCE_WINDOW_S, MIN_FAILED_TARGETS, PathEvidence


class PathEvidenceTest(unittest.TestCase):
    def fail(self, evidence, names, now=1.0, known=10):
        return [evidence.record_failure(name, known, now) for name in names]

    def test_failures_of_several_targets_mean_a_lost_path(self):
        evidence = PathEvidence()
        self.assertEqual(self.fail(evidence, "abcd"), [False, False, True, False])
        self.assertEqual(evidence.lost_at, 1.0)

    def test_one_target_that_fails_often_does_not(self):
        evidence = PathEvidence()
        self.assertNotIn(True, self.fail(evidence, "aaaaaaaa"))

    def test_all_targets_of_a_small_service_are_enough(self):
        for known in range(MIN_FAILED_TARGETS):
            with self.subTest(known):
                evidence = PathEvidence()
                names = "abc"[: max(1, known)]
                self.assertTrue(self.fail(evidence, names, known=known)[-1])

    def test_a_success_in_between_counts_against_it(self):
        evidence = PathEvidence()
        self.fail(evidence, "ab")
        self.assertIsNone(evidence.record_success())
        self.assertNotIn(True, self.fail(evidence, "cd"))

    def test_failures_far_apart_do_not_add_up(self):
        evidence = PathEvidence()
        self.fail(evidence, "ab")
        self.assertNotIn(True, self.fail(evidence, "c", now=1.1 + EVIDENCE_WINDOW_S))

    def test_a_success_says_since_when_the_path_was_lost(self):
        evidence = PathEvidence()
        self.fail(evidence, "abc")
        self.assertEqual(evidence.record_success(), 1.0)
        self.assertIsNone(evidence.lost_at)
