from __future__ import annotations

import json
import unittest

from agaterail.requesttrace import parse_log_lines, trace_request


def line(second, host, event, part="forward", **fields):
    stamp = f"2026-01-01T10:00:{second:09.6f}Z"
    found = {"timestamp": stamp, "host": host, "part": part, "event": event, **fields}
    return f"  12.3 {host} " + json.dumps(found)


class RequestTraceTest(unittest.TestCase):
    def setUp(self):
        self.texts = [
            line(5.2, "b", "Answered.", request="r1", target="t2"),
            line(5.0, "a", "Refused by the target.", request="r1", target="t1"),
            line(4.9, "a", "Target registered.", part="state", target="t1"),
            line(4.8, "a", "Target registered.", part="state", target="t9"),
            line(4.7, "a", "Desired state in force.", part="state", version=4),
            line(1.0, "a", "Desired state in force.", part="state", version=3),
            line(4.9, "c", "Store lost.", part="feeds"),
            line(5.1, "a", "Answered.", request="r2", target="t1"),
            "no log line",
            '{"cut": ',
        ]

    def test_a_trace_holds_request_and_state_lines_in_order(self):
        events = [
            (item.host, item.event, item.target)
            for item in trace_request(parse_log_lines(self.texts), "r1", 2.0)
        ]
        self.assertEqual(
            events,
            [
                ("a", "Desired state in force.", ""),
                ("a", "Target registered.", "t1"),
                ("a", "Refused by the target.", "t1"),
                ("b", "Answered.", "t2"),
            ],
        )

    def test_a_request_without_a_target_is_traced_to_what_targets_said(self):
        texts = [
            line(
                4.5, "a", "Target asked for rest.", part="targets", request="r7", target="t1"
            ),
            line(
                4.6, "c", "Target asked for rest.", part="targets", request="r8", target="t1"
            ),
            line(5.0, "a", "Request failed.", request="r1", detail="no usable target, of 1"),
            line(5.1, "a", "Request failed.", request="r2", detail="retry budget exhausted"),
        ]
        lines = parse_log_lines(texts)
        self.assertEqual(
            [item.event for item in trace_request(lines, "r1", 2.0)],
            ["Target asked for rest.", "Request failed."],
        )
        self.assertEqual(len(trace_request(lines, "r2", 2.0)), 1)

    def test_the_tries_of_a_stream_are_traced_together(self):
        texts = [
            line(4.0, "a", "Stream cut.", request="r1"),
            line(4.1, "b", "Stream taken up.", request="r2", resumes="r1"),
            line(4.2, "c", "Stream not known.", request="r3", resumes="r1"),
            line(4.3, "c", "Answered.", request="r4"),
        ]
        lines = parse_log_lines(texts)
        for name in ("r1", "r2", "r3"):
            with self.subTest(name):
                found = trace_request(lines, name, 2.0)
                self.assertEqual([item.request for item in found], ["r1", "r2", "r3"])

    def test_the_trace_of_an_unknown_request_is_empty(self):
        self.assertEqual(trace_request(parse_log_lines(self.texts), "r9", 2.0), [])

    def test_a_line_shows_its_fields(self):
        shown = str(parse_log_lines(self.texts)[4])
        self.assertTrue(shown.endswith("a state: Desired state in force. version=4"))
