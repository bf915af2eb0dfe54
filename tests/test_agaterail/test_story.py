from __future__ import annotations

import json
import unittest

from agaterail.story import parse, story


def line(second, host, event, part="forward", **fields):
    stamp = f"2026-01-01T10:00:{second:09.6f}Z"
    found = {"timestamp": stamp, "host": host, "part": part, "event": event, **fields}
    return f"  12.3 {host} " + json.dumps(found)


class StoryTest(unittest.TestCase):
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

    def test_the_lines_of_one_request_come_in_order_with_what_its_hosts_believed(self):
        events = [
            (item.host, item.event, item.target)
            for item in story(parse(self.texts), "r1", 2.0)
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

    def test_an_unknown_request_has_none(self):
        self.assertEqual(story(parse(self.texts), "r9", 2.0), [])

    def test_a_line_shows_its_fields(self):
        shown = str(parse(self.texts)[4])
        self.assertTrue(shown.endswith("a state: Desired state in force. version=4"))
