from __future__ import annotations

import unittest

from agaterail.errors import ANSWERS, ErrorKind, Failure, Outcome


class TableTest(unittest.TestCase):
    def test_every_kind_has_an_answer(self):
        self.assertEqual(set(ANSWERS), set(ErrorKind))

    def test_statuses_are_errors_and_not_run_server_errors_hint_a_retry(self):
        for kind, answer in ANSWERS.items():
            with self.subTest(kind=kind):
                self.assertGreaterEqual(answer.status, 400)
                if answer.outcome is Outcome.NOT_RUN and answer.status >= 500:
                    self.assertIsNotNone(answer.retry_after_s)

    def test_a_failure_prefers_its_own_hint(self):
        self.assertEqual(Failure(ErrorKind.OVERLOADED, retry_after_s=9.0).retry_hint_s, 9.0)
        self.assertEqual(
            Failure(ErrorKind.OVERLOADED).retry_hint_s,
            ANSWERS[ErrorKind.OVERLOADED].retry_after_s,
        )
