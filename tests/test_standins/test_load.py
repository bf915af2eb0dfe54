from __future__ import annotations

import json
import unittest

from standins.load import StreamResult, _check_stream

DONE = b"data: [DONE]\n\n"
ERROR = b'data: {"error": {"code": "target_lost"}}\n\n'


def token(number, answer_id="a"):
    choice = {"delta": {"content": f"{answer_id}:{number} "}}
    return b"data: " + json.dumps({"choices": [choice]}).encode() + b"\n\n"


def checked(*frames, max_tokens=3):
    result = StreamResult()
    _check_stream(result, b"".join(frames), max_tokens)
    return result


class CheckStreamTest(unittest.TestCase):
    def test_complete_stream_in_order_passes(self):
        self.assertTrue(checked(token(0), token(1), token(2), DONE).complete)

    def test_missing_repeated_and_foreign_tokens_are_detected(self):
        for frames in (
            (token(0), token(2), DONE),
            (token(0), token(0), token(1), token(2), DONE),
            (token(0), token(1, "b"), token(2), DONE),
            (token(0), token(1), token(2)),
        ):
            self.assertFalse(checked(*frames).complete)

    def test_error_event_is_distinguished_from_cut_stream(self):
        # Both streams end without the final frame, but only the error event tells
        # the caller that the answer is incomplete and why.
        self.assertIn("target_lost", checked(token(0), ERROR).error)
        self.assertEqual(checked(token(0)).error, "no final frame")
