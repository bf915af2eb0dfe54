from __future__ import annotations

import unittest

from agaterail.engines.http import HttpEngineReply


class Response(dict):
    """Head of an answer."""

    status_code = 503


class ReplyTest(unittest.TestCase):
    def test_a_retry_after_that_is_no_number_fails_the_request(self):
        """Guards against a 500 of our own for an engine's malformed header."""
        for text in ("soon", "", "nan", "inf", "-1", "1e999"):
            with self.subTest(text=text):
                reply = HttpEngineReply(Response({"retry-after": text}))
                self.assertIsNone(reply.retry_after_s)
        self.assertEqual(HttpEngineReply(Response({"retry-after": "0.5"})).retry_after_s, 0.5)
