from __future__ import annotations

import json
import unittest

from agaterail import codec
from agaterail.chat import Message
from agaterail.logstore.memory import MemoryLogStore
from agaterail.prefix import ByteTokenizer, Scope, compute_prefix
from agaterail.records import TABLES_STREAM, TablesRecord
from standins.engine import EngineConfig, EngineStandIn
from tests.support import LocalDaemon, chat_route, edit, engine_pool, put, wait_until

PROMPT = "the same long history " * 8


def engine_of(version):
    return EngineStandIn(
        EngineConfig(
            block_tokens=10, prefill_ms_per_token=0.001, decode_ms=1.0, weights_version=version
        )
    )


def keys_of(version):
    scope = Scope("ws", "atlas", "", version)
    return compute_prefix(scope, [Message("user", PROMPT)], ByteTokenizer(4), 10).keys


class TwoVersionsTest(unittest.TestCase):
    def start(self, versions, **pool):
        self.engines = [engine_of(version) for version in versions]
        addresses = [engine.start() for engine in self.engines]
        log = MemoryLogStore()
        change = edit("e0", put(engine_pool(addresses, **pool)), put(chat_route()))
        log.append(TABLES_STREAM, codec.encode(change, TablesRecord)).unwrap()
        # Without the rollout controller the engines keep their versions.
        self.daemon = LocalDaemon(log)
        self.daemon.app.controllers["leases"].rank = None
        wait_until(lambda: self.daemon.app.ready)
        self.addCleanup(self.stop)

    def stop(self):
        self.daemon.stop()
        for engine in self.engines:
            engine.stop()

    def test_older_weights_use_block_keys_of_their_own_version(self):
        # A rollout to v2 has started; the engine still has v1, which the row of the
        # pool allows. Its blocks must have keys of v1: under keys of v2, the engine
        # could find them after it has loaded v2.
        self.start(["v1"], weights_version="v2", also_serve=("v1",))
        for _ in range(2):
            response, body = self.daemon.chat(PROMPT)
            self.assertEqual(response.status_code, 200)
            self.assertEqual(response["x-weights-version"], "v1")
        cached = set(self.engines[0].cache.keys)
        self.assertLessEqual(set(keys_of("v1")), cached)
        self.assertTrue(cached.isdisjoint(keys_of("v2")))
        details = json.loads(body)["usage"]["prompt_tokens_details"]
        self.assertGreater(details["cached_tokens"], 0)

    def test_an_engine_with_unlisted_weights_never_answers(self):
        self.start(["v1", "v2"], weights_version="v2")
        for _ in range(6):
            response, _ = self.daemon.chat(PROMPT)
            self.assertEqual(response.status_code, 200)
            self.assertEqual(response["x-weights-version"], "v2")

    def test_an_engine_that_changes_its_weights_is_retried_with_the_new_keys(self):
        # The engine loads v2 while the router assumes v1. Its first answer reports v2;
        # the router discards it and retries with block keys of v2.
        self.start(["v1"], weights_version="v2", also_serve=("v1",))
        self.daemon.chat(PROMPT)
        self.engines[0].weights_version = "v2"
        response, _ = self.daemon.chat(PROMPT)
        self.assertEqual(response.status_code, 200)
        self.assertEqual(response["x-weights-version"], "v2")
        self.assertLessEqual(set(keys_of("v2")), set(self.engines[0].cache.keys))
