from __future__ import annotations

import unittest

from agaterail.decisions.paths import EVIDENCE_WINDOW_S, MIN_FAILED_TARGETS, PathEvidence


class PathEvidenceTest(unittest.TestCase):
    def fail(self, evidence, names, now=1.0, ready="abcdefghij"):
        return [evidence.record_failure(name, ready, now) for name in names]

    def test_failures_of_several_targets_mean_a_lost_path(self):
        evidence = PathEvidence()
        self.assertEqual(self.fail(evidence, "abcd"), [False, False, True, False])
        self.assertEqual(evidence.lost_at, 1.0)

    def test_one_target_that_fails_often_does_not(self):
        evidence = PathEvidence()
        self.assertNotIn(True, self.fail(evidence, "aaaaaaaa"))

    def test_all_targets_of_a_small_service_are_enough(self):
        for known in range(1, MIN_FAILED_TARGETS):
            with self.subTest(known):
                evidence = PathEvidence()
                names = "abc"[:known]
                self.assertEqual(self.fail(evidence, names, ready=names).count(True), 1)

    def test_targets_that_failed_before_do_not_count_again(self):
        """A host that reached some targets lost and regained the path with each probe."""
        evidence = PathEvidence()
        self.fail(evidence, "abcd")
        evidence.record_success("e", 2.0)
        for now in range(3, 9):
            self.assertNotIn(True, self.fail(evidence, "abcd", now=now))

    def test_a_success_in_between_counts_against_it(self):
        evidence = PathEvidence()
        self.fail(evidence, "ab")
        self.assertIsNone(evidence.record_success("e", 1.1))
        self.assertNotIn(True, self.fail(evidence, "cd", now=1.2))

    def test_failures_far_apart_do_not_add_up(self):
        evidence = PathEvidence()
        self.fail(evidence, "ab")
        self.assertNotIn(True, self.fail(evidence, "c", now=1.1 + EVIDENCE_WINDOW_S))

    def test_a_success_says_since_when_the_path_was_lost(self):
        evidence = PathEvidence()
        self.fail(evidence, "abc")
        self.assertEqual(evidence.record_success("a", 2.0), 1.0)
        self.assertIsNone(evidence.lost_at)

    def test_a_success_shows_one_target_only(self):
        evidence = PathEvidence()
        self.fail(evidence, "abc")
        self.assertFalse(evidence.reaches("d"))
        evidence.record_success("a", 2.0)
        self.assertEqual(
            [evidence.reaches(name) for name in "abcd"], [True, False, False, True]
        )
