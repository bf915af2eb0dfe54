from __future__ import annotations

import unittest

from agaterail.util.answerheads import MalformedHead, check_head, check_single


class HeadTest(unittest.TestCase):
    def test_valid_heads_pass(self):
        for status in (100, 200, 421, 599):
            check_head(status, b"Any Reason", [(b"Via", b"HTTP/1.1 proxy"), (b"X", b"HTTP/2")])

    def test_invalid_statuses_are_refused(self):
        for status in (0, 99, 600, 999):
            with self.subTest(status=status), self.assertRaises(MalformedHead):
                check_head(status, b"", [])

    def test_parts_of_another_answer_are_refused(self):
        line = b"HTTP/1.1 200 OK"
        for reason, value in ((b"Unav" + line, b""), (b"", line), (b"", b"1" + line)):
            with self.subTest(reason=reason, value=value), self.assertRaises(MalformedHead):
                check_head(503, reason, [(b"Not-Run", value)])

    def test_single_headers_come_once(self):
        headers = [(b"A", b"1"), (b"B", b"1"), (b"a", b"1")]
        check_single(headers, {b"b", b"c"})
        with self.assertRaises(MalformedHead):
            check_single(headers, {b"a"})
