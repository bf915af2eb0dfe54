from __future__ import annotations

import unittest

from returns.result import Success

from agaterail import codec
from agaterail.logstore.memory import MemoryLogStore
from agaterail.records import TABLES_STREAM, TablesRecord
from standins.engine import EngineConfig, EngineStandIn
from tests.support import LocalDaemon, chat_route, edit, engine_pool, put, wait_until

FAST = EngineConfig(block_tokens=10, prefill_ms_per_token=0.001, decode_ms=1.0)
HISTORY = "history of one customer " * 40


class ChooseFilterCase(unittest.TestCase):
    policy = "cost"

    def setUp(self):
        self.engines = {
            engine.start(): engine for engine in (EngineStandIn(FAST), EngineStandIn(FAST))
        }
        log = MemoryLogStore()
        pool = engine_pool(tuple(self.engines), policy=self.policy)
        change = edit("e0", put(pool), put(chat_route()))
        self.assertIsInstance(
            log.append(TABLES_STREAM, codec.encode(change, TablesRecord)), Success
        )
        self.daemon = LocalDaemon(log)
        wait_until(lambda: self.daemon.app.ready)
        self.homes = self.daemon.app.controllers["homes"]
        wait_until(lambda: len(self.homes.followed) == 2)
        wait_until(lambda: all(item.load.report for item in self.homes.followed.values()))

    def tearDown(self):
        self.daemon.stop()
        for engine in self.engines.values():
            engine.stop()

    def running(self):
        return sum(len(item.load.running) for item in self.homes.followed.values())

    def predicted(self):
        return sum(len(item.index.predicted) for item in self.homes.followed.values())

    def blocks(self):
        return sum(len(item.index.table) for item in self.homes.followed.values())


class ChooseFilterTest(ChooseFilterCase):
    def test_requests_with_one_prefix_go_to_one_engine_and_are_released(self):
        for _ in range(6):
            response, _ = self.daemon.chat(HISTORY)
            self.assertEqual(response.status_code, 200)
        served = sorted(len(engine.journal) for engine in self.engines.values())
        self.assertEqual(served, [0, 6])
        wait_until(lambda: self.running() == 0)

    def test_events_of_the_engine_confirm_the_prediction(self):
        self.daemon.chat(HISTORY)
        wait_until(lambda: self.predicted() == 0 and self.blocks() > 0)
        cached = sum(len(engine.cache.keys) for engine in self.engines.values())
        self.assertEqual(self.blocks(), cached)

    def test_a_refused_request_leaves_no_predicted_blocks(self):
        # Both engines refuse the request before running it. If the predicted blocks
        # remained, the next requests would be placed on an engine that has none of
        # them.
        for engine in self.engines.values():
            engine.faults.refuse = True
        response, _ = self.daemon.chat(HISTORY)
        self.assertEqual(response.status_code, 503)
        self.assertEqual((self.predicted(), self.running()), (0, 0))

    def test_a_request_with_a_mispredicted_hit_is_answered(self):
        # The engine loses its cache, and its home has not received the events yet.
        self.daemon.chat(HISTORY)
        for engine in self.engines.values():
            engine.faults.event_delay_ms = 60_000
            engine.cache.clear()
        response, _ = self.daemon.chat(HISTORY)
        self.assertEqual(response.status_code, 200)
        self.assertEqual(sum(engine.cached_tokens for engine in self.engines.values()), 0)


class BaselinePolicyTest(ChooseFilterCase):
    policy = "round_robin"

    def test_baseline_policies_exchange_no_messages_with_homes(self):
        for _ in range(6):
            self.daemon.chat(HISTORY)
        served = [len(engine.journal) for engine in self.engines.values()]
        self.assertEqual(served, [3, 3])
        self.assertEqual(self.predicted() + self.running(), 0)
