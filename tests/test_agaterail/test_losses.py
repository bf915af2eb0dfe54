from __future__ import annotations

import json
import unittest

from agaterail.errors import ErrorKind
from agaterail.losses import CAUSE_OF_KIND, DENIALS, Cause, cause_of, find_losses
from agaterail.requesttrace import parse_log_lines


def line(event, request="r1", at="09:52:20.5", **fields):
    found = {"timestamp": f"2026-01-01T{at}Z", "host": "h", "part": "forward"}
    return json.dumps(found | {"event": event, "request": request, "route": "a", **fields})


class LossesTest(unittest.TestCase):
    def test_requests_answered_in_time_are_not_counted(self):
        for text in (
            line("Answered.", status=200, late=False),
            line("Stream complete.", events=9, late=False),
            line("Request failed.", kind="no_route"),
            line("Attempt failed.", outcome="silent"),
        ):
            self.assertEqual(find_losses(parse_log_lines([text]), 2), [])

    def test_groups_name_route_time_and_examples(self):
        texts = [
            line("Request failed.", f"r{n}", f"09:52:2{n}.0", kind="overloaded")
            for n in range(5)
        ]
        (loss,) = find_losses(parse_log_lines(texts), 2)
        self.assertEqual((loss.cause, loss.count, loss.route), (Cause.OVERLOAD, 5, "a"))
        start = 9 * 3600 + 52 * 60 + 20
        self.assertEqual(loss.by_slot, {start: 2, start + 2: 2, start + 4: 1})
        self.assertEqual(loss.examples, ["r0", "r1", "r2"])

    def test_refused_prompts_are_grouped_by_urgency(self):
        detail = "wait 1.40 objectives, 0.62 refused; 0.70 of urgency 2 (0.68, workspace 0.70)"
        texts = [line("Request failed.", kind="overloaded", detail=detail)] * 2
        texts.append(line("Request failed.", kind="overloaded", detail="expected wait 6.1 s"))
        found = [(loss.urgency, loss.count) for loss in find_losses(parse_log_lines(texts), 2)]
        self.assertEqual(found, [(2, 2), (None, 1)])

    def test_a_forwarded_request_counts_once(self):
        """Requests that the first daemon had served elsewhere counted as lost."""
        failed = line("Request failed.", kind="no_target", relayed=True)
        left = line("Caller left.", first_byte=True, relayed=True)
        self.assertEqual(find_losses(parse_log_lines([failed, left]), 2), [])
        refused = line("Request failed.", kind="overloaded", detail="not run by 10.0.0.1:7")
        (loss,) = find_losses(parse_log_lines([refused]), 2)
        self.assertEqual((loss.cause, loss.count), (Cause.NOT_FORWARDED, 1))

    def test_the_largest_group_comes_first(self):
        texts = [line("Request failed.", kind="target_lost")]
        texts += [line("Stream cut.", left_s=0.01)] * 2
        causes = [loss.cause for loss in find_losses(parse_log_lines(texts), 2)]
        self.assertEqual(causes, [Cause.TIME_LIMIT, Cause.LOST_TARGET])

    def test_each_outcome_has_its_cause(self):
        late = {"late": True, "events": 5}
        for event, fields, cause in (
            ("Stream cut.", {"left_s": 2.0}, Cause.CUT),
            ("Caller left.", {"first_byte": False}, Cause.LEFT_WAITING),
            ("Caller left.", {"first_byte": True}, Cause.LEFT_STREAM),
            ("Answered.", {"status": 500, "late": False}, Cause.TARGET_FAILURE),
            ("Answered.", {"status": 200, "late": True}, Cause.LATE_PLAIN),
            ("Stream complete.", late | {"sends": 2}, Cause.LATE_RETRY),
            ("Stream complete.", late | {"queue_ms": 300.0}, Cause.LATE_QUEUE),
            ("Stream complete.", late | {"rank": 2}, Cause.LATE_ELSEWHERE),
            ("Stream complete.", late | {"rank": 0}, Cause.LATE_HOME),
            ("Stream complete.", {"late": False, "paused": True}, Cause.LATE_PAUSE),
            ("Request failed.", {"kind": "internal"}, Cause.OTHER_REFUSAL),
            (
                "Request failed.",
                {
                    "kind": "overloaded",
                    "detail": "no usable target, of 5 3 over their limits, 2 resting",
                },
                Cause.TARGETS_AT_LIMIT,
            ),
        ):
            with self.subTest(cause=cause):
                self.assertIs(cause_of(event, fields), cause)

    def test_error_kinds_are_those_of_the_gateway(self):
        kinds = {kind.value for kind in ErrorKind}
        self.assertLessEqual(set(CAUSE_OF_KIND) | DENIALS, kinds)

    def test_malformed_lines_are_skipped(self):
        self.assertEqual(find_losses(parse_log_lines(["", "{", "{}", "noise"]), 2), [])


if __name__ == "__main__":
    unittest.main()
