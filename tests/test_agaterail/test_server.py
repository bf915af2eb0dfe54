from __future__ import annotations

import json
import unittest

from returns.result import Success

from agaterail import codec
from agaterail.logstore.memory import MemoryLogStore
from agaterail.records import TABLES_STREAM, TablesRecord
from standins.engine import EngineConfig, EngineStandIn
from standins.service import ServiceStandIn
from tests.support import (
    LocalDaemon,
    chat_route,
    edit,
    engine_pool,
    put,
    service_pool,
    service_route,
    wait_until,
)

FAST = EngineConfig(block_tokens=10, prefill_ms_per_token=0.001, decode_ms=1.0)


class EndToEndTest(unittest.TestCase):
    def setUp(self):
        self.engines = [EngineStandIn(FAST) for _ in range(2)]
        self.service = ServiceStandIn()
        addresses = [engine.start() for engine in self.engines]
        log = MemoryLogStore()
        change = edit(
            "e0",
            put(engine_pool(addresses)),
            put(chat_route()),
            put(service_pool([self.service.start()])),
            put(service_route(at_most_once_methods=())),
        )
        self.assertIsInstance(
            log.append(TABLES_STREAM, codec.encode(change, TablesRecord)), Success
        )
        self.daemon = LocalDaemon(log)
        wait_until(lambda: self.daemon.app.ready)

    def tearDown(self):
        self.daemon.stop()
        for stand_in in [*self.engines, self.service]:
            stand_in.stop()

    def test_a_completion_is_returned_complete(self):
        response, body = self.daemon.chat()
        self.assertEqual(response.status_code, 200)
        fields = json.loads(body)
        self.assertEqual(fields["usage"]["completion_tokens"], 4)

    def test_a_stream_is_returned_complete_and_in_order(self):
        response, body = self.daemon.chat(stream=True, max_tokens=20)
        self.assertEqual(response.status_code, 200)
        event_ids = [line for line in body.split(b"\n") if line.startswith(b"id: ")]
        self.assertEqual(event_ids, [b"id: %d" % number for number in range(22)])
        self.assertTrue(body.endswith(b"data: [DONE]\n\n"))

    def test_a_stream_with_a_missing_frame_ends_with_an_error_event(self):
        # An engine skips a frame, both engines refuse to resume, and the rerun skips a
        # frame as well. The caller must see the failure: a stream that simply continued
        # or ended would look like a complete answer.
        for engine in self.engines:
            engine.faults.skip_frame = 9
            engine.faults.no_resume = True
        _, body = self.daemon.chat(stream=True, max_tokens=20)
        self.assertIn(b"event: error", body)
        self.assertNotIn(b"[DONE]", body)

    def test_an_answer_for_another_request_never_reaches_the_caller(self):
        # Both engines answer with the id of another request. The router discards the
        # answers and their connections. Since an engine may have run the request, the
        # error must not say "not run" when no engine is left.
        for engine in self.engines:
            engine.faults.crossed = 1
        response, body = self.daemon.chat()
        self.assertEqual(response.status_code, 502)
        self.assertEqual(json.loads(body)["error"]["outcome"], "unknown")
        response, _ = self.daemon.chat()
        self.assertEqual(response.status_code, 200)

    def test_a_refusing_engine_is_skipped(self):
        self.engines[0].faults.refuse = True
        for _ in range(4):
            response, _ = self.daemon.chat()
            self.assertEqual(response.status_code, 200)
        self.assertEqual(self.engines[0].journal, [])

    def test_a_service_call_is_forwarded(self):
        response, body = self.daemon.post("/booking/swap?site=4", b"two bottles")
        self.assertEqual(response.status_code, 200)
        self.assertEqual(json.loads(body)["echo"], "two bottles")

    def test_an_unknown_key_is_refused_as_not_run(self):
        response, body = self.daemon.chat(headers={"authorization": "Bearer wrong"})
        self.assertEqual(response.status_code, 401)
        self.assertEqual(json.loads(body)["error"]["outcome"], "not_run")

    def test_a_malformed_body_is_refused(self):
        for body in (b"", b"{", b"[]", b'{"model": 3}', b"\xff\xfe"):
            response, _ = self.daemon.post("/v1/chat/completions", body)
            self.assertEqual(response.status_code, 400, body)
        self.assertEqual(sum(len(engine.journal) for engine in self.engines), 0)
