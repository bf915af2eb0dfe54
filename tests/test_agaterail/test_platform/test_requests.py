from __future__ import annotations

import unittest

from returns.result import Success

from agaterail.gateway.inbound import AttemptHead, InboundRequest, PromptPart
from agaterail.platform.requests import (
    decode_answer_head,
    decode_request,
    encode_attempt,
    encode_failure_headers,
)

HEADERS = [
    (b"Host", b"H.example:8080"),
    (b"Request-Id", b"abc"),
    (b"Model", b"m1"),
    (b"Token-Usage", b"1460,80"),
    (b"Prompt-Prefix", b"5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
    (b"Deadline-Ms", b"5000"),
    (b"Authorization", b"Bearer k1"),
]


def make_inbound(headers=HEADERS, method=b"POST", body=b"xyz"):
    return InboundRequest(method=method, target=b"/a/%2F?q", headers=list(headers), body=body)


class DecodeRequestTest(unittest.TestCase):
    def test_all_headers_are_decoded(self):
        inbound = decode_request(make_inbound()).unwrap()
        self.assertEqual(inbound.host, "h.example")
        self.assertEqual(inbound.request_id, "abc")
        self.assertEqual(inbound.api_key, "k1")
        self.assertEqual(inbound.time_limit_s, 5.0)
        self.assertEqual((inbound.prompt_tokens, inbound.output_tokens), (1460, 80))
        self.assertEqual(inbound.prompt[1], PromptPart("91bd3f06", 410))
        self.assertEqual(len(inbound.shared_parts), 2)

    def test_a_duplicate_single_valued_header_is_refused(self):
        # Router and target might each use a different one of the two values.
        for name in (b"Request-Id", b"host", b"AUTHORIZATION", b"Model", b"Deadline-Ms"):
            with self.subTest(name):
                found = decode_request(make_inbound([*HEADERS, (name, b"1")]))
                self.assertNotIsInstance(found, Success)

    def test_malformed_headers_are_refused(self):
        for name, value in (
            (b"Deadline-Ms", b"soon"),
            (b"Deadline-Ms", b"-1"),
            (b"Token-Usage", b"12"),
            (b"Prompt-Prefix", b"zz:1"),
            (b"Prompt-Prefix", b"ab:"),
        ):
            with self.subTest(value):
                rest = [item for item in HEADERS if item[0] != name]
                found = decode_request(make_inbound([*rest, (name, value)]))
                self.assertNotIsInstance(found, Success)


class EncodeAttemptTest(unittest.TestCase):
    def lines(self, inbound, **fields):
        head = AttemptHead(time_left_s=1.5, instance="i-1", **fields)
        return encode_attempt(inbound, head).split(b"\r\n")

    def test_the_caller_s_headers_are_forwarded_without_the_api_key(self):
        lines = self.lines(make_inbound(), workspace="w")
        self.assertEqual(lines[0], b"POST /a/%2F?q HTTP/1.1")
        self.assertIn(b"Request-Id: abc", lines)
        self.assertIn(b"Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250", lines)
        self.assertIn(b"Tenant: w", lines)
        self.assertIn(b"Expect-Instance: i-1", lines)
        self.assertIn(b"Deadline-Ms: 1500", lines)
        self.assertIn(b"Content-Length: 3", lines)
        self.assertFalse(any(b"Bearer" in line for line in lines))

    def test_a_caller_cannot_set_router_only_headers(self):
        # By setting a cache scope, a memory handle or a tenant, a caller could read or
        # hold what belongs to another workspace.
        forged = [
            (name, b"evil")
            for name in (
                b"Tenant",
                b"cache-salt",
                b"Kv-Fetch",
                b"Kv-Save",
                b"Kv-From",
                b"Kv-Backup",
                b"HOLD",
                b"Pin-Ms",
                b"Expect-Instance",
                b"Expect-Version",
                b"Request-Priority",
            )
        ]
        lines = self.lines(make_inbound([*HEADERS, *forged]))
        self.assertFalse(any(b"evil" in line for line in lines))

    def test_hop_by_hop_headers_are_removed(self):
        extra = [(b"Connection", b"close, X-Hop"), (b"X-Hop", b"1"), (b"TE", b"trailers")]
        lines = self.lines(make_inbound([*HEADERS, *extra]))
        self.assertFalse(any(b"X-Hop" in line or b"TE:" in line for line in lines))

    def test_a_caller_cannot_have_a_single_valued_header_removed(self):
        extra = [(b"Connection", b"Model, Request-Id")]
        self.assertIn(b"Model: m1", self.lines(make_inbound([*HEADERS, *extra])))

    def test_a_request_without_a_body_has_no_content_length(self):
        lines = self.lines(make_inbound(method=b"GET", body=b""))
        self.assertFalse(any(line.startswith(b"Content-Length") for line in lines))


class DecodeAnswerHeadTest(unittest.TestCase):
    def test_only_an_explicit_refusal_counts_as_not_run(self):
        self.assertTrue(decode_answer_head(503, [(b"Not-Run", b"1")]).not_run)
        self.assertTrue(decode_answer_head(421, []).not_run)
        self.assertFalse(decode_answer_head(503, []).not_run)

    def test_hop_by_hop_headers_are_not_forwarded(self):
        head = decode_answer_head(
            200,
            [
                (b"Server-Stamp", b"s"),
                (b"Keep-Alive", b"timeout=7"),
                (b"Transfer-Encoding", b"chunked"),
                (b"Weight-Versions", b"3"),
            ],
        )
        self.assertEqual(head.headers, ((b"Server-Stamp", b"s"), (b"Weight-Versions", b"3")))
        self.assertTrue(head.has_server_stamp)
        self.assertEqual(head.keep_alive_s, 7.0)
        self.assertEqual(head.weights_version, 3)

    def test_a_generated_answer_has_the_request_id_and_retry_after(self):
        self.assertEqual(
            encode_failure_headers("abc", 0.25), [b"Request-Id: abc", b"Retry-After: 0.250"]
        )
