from __future__ import annotations

import json
import unittest

import falcon

from agaterail.errors import ANSWERS, ErrorKind, Failure, Outcome
from agaterail.server import _send_failure
from tests.support import ROOT

DOC_PAGE = ROOT / "docs" / "operators" / "errors.md"


# No later try learns which build began a stream, or finds one that is gone; and a
# quarantine outlasts every caller.
USELESS_TO_RETRY = {
    ErrorKind.STREAM_UNKNOWN,
    ErrorKind.BUILD_UNAVAILABLE,
    ErrorKind.QUARANTINED,
}


class AnswersTest(unittest.TestCase):
    def test_every_kind_has_an_answer(self):
        self.assertEqual(set(ANSWERS), set(ErrorKind))

    def test_statuses_are_errors_and_not_run_server_errors_hint_a_retry(self):
        for kind, answer in ANSWERS.items():
            with self.subTest(kind=kind):
                self.assertGreaterEqual(answer.status, 400)
                if kind in USELESS_TO_RETRY:
                    self.assertIsNone(answer.retry_after_s)
                elif answer.outcome is Outcome.NOT_RUN and answer.status >= 500:
                    self.assertIsNotNone(answer.retry_after_s)

    def test_a_failure_prefers_its_own_hint(self):
        self.assertEqual(Failure(ErrorKind.OVERLOADED, retry_after_s=9.0).retry_hint_s, 9.0)
        self.assertEqual(
            Failure(ErrorKind.OVERLOADED).retry_hint_s,
            ANSWERS[ErrorKind.OVERLOADED].retry_after_s,
        )

    def test_each_kind_is_answered_as_the_table_says(self):
        for kind, answer in ANSWERS.items():
            with self.subTest(kind=kind):
                response = falcon.Response()
                _send_failure(response, Failure(kind, "Detail."), "r1")
                error = json.loads(response.render_body())["error"]
                self.assertEqual(response.status, answer.status)
                self.assertEqual(error["code"], kind.value)
                self.assertEqual(error["type"], answer.error_type)
                self.assertEqual(error["outcome"], answer.outcome.value)
                self.assertEqual(error["message"], f"{answer.message} Detail.")
                self.assertEqual(
                    response.get_header("x-agaterail-outcome"), answer.outcome.value
                )
                hinted = response.get_header("retry-after") is not None
                self.assertEqual(hinted, answer.retry_after_s is not None)
                self.assertEqual(
                    response.get_header("x-should-retry"), "true" if hinted else "false"
                )

    def test_a_request_that_may_have_run_gets_a_retry_hint_only_if_a_retry_is_safe(self):
        # Clients retry a request with a hint on their own.
        safe = {ErrorKind.DUPLICATE_IN_PROGRESS, ErrorKind.WRONG_WEIGHTS}
        for kind, answer in ANSWERS.items():
            if answer.outcome is not Outcome.NOT_RUN and kind not in safe:
                self.assertIsNone(answer.retry_after_s, kind)

    def test_the_documentation_lists_the_table(self):
        rows = [
            [cell.strip().strip("`") for cell in line.strip("|").split("|")]
            for line in DOC_PAGE.read_text(encoding="utf-8").splitlines()
            if line.startswith("| `")
        ]
        wanted = [
            [
                kind.value,
                str(answer.status),
                answer.outcome.value,
                "-" if answer.retry_after_s is None else f"{answer.retry_after_s:g}",
                answer.message,
            ]
            for kind, answer in ANSWERS.items()
        ]
        self.assertEqual(rows, wanted)
