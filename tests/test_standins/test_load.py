from __future__ import annotations

import json
import unittest

from standins.load import Seen, _judge

DONE = b"data: [DONE]\n\n"
ERROR = b'data: {"error": {"code": "target_lost"}}\n\n'


def token(number, answer_id="a"):
    choice = {"delta": {"content": f"{answer_id}:{number} "}}
    return b"data: " + json.dumps({"choices": [choice]}).encode() + b"\n\n"


def judged(*frames, max_tokens=3):
    seen = Seen()
    _judge(seen, b"".join(frames), max_tokens)
    return seen


class JudgeTest(unittest.TestCase):
    def test_a_whole_stream_in_order(self):
        self.assertTrue(judged(token(0), token(1), token(2), DONE).whole)

    def test_missing_repeated_and_foreign_tokens_are_seen(self):
        for frames in (
            (token(0), token(2), DONE),
            (token(0), token(0), token(1), token(2), DONE),
            (token(0), token(1, "b"), token(2), DONE),
            (token(0), token(1), token(2)),
        ):
            self.assertFalse(judged(*frames).whole)

    def test_an_error_event_is_told_from_a_cut(self):
        # Both end without the final frame, but only the first tells the caller
        # that the answer is not whole and why.
        self.assertIn("target_lost", judged(token(0), ERROR).error)
        self.assertEqual(judged(token(0)).error, "no final frame")
