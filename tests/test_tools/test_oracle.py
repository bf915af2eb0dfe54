from __future__ import annotations

import unittest

from agaterail.policies import Placement
from agaterail.prefix import Prefix
from agaterail.targets import TargetState
from standins.engine import EngineConfig, EngineStandIn
from tests.support import chat_route, engine_pool
from tools.oracle import OraclePolicy

KEYS = tuple(bytes([number]) * 16 for number in range(4))


class OracleTest(unittest.TestCase):
    def setUp(self):
        config = EngineConfig(block_tokens=10, prefill_ms_per_token=1.0)
        self.engines = [EngineStandIn(config) for _ in range(2)]
        self.addresses = [engine.start() for engine in self.engines]
        for engine in self.engines:
            self.addCleanup(engine.stop)

    def choose(self, miss_weight):
        placement = Placement(
            pool=engine_pool(self.addresses, prefill_ms_per_token=1.0),
            route=chat_route(miss_weight=miss_weight),
            prefix=Prefix(KEYS, (3,), 45, KEYS[2]),
            deadline_ms=1e4,
        )
        targets = [TargetState(address) for address in self.addresses]
        return OraclePolicy().choose(placement, targets)

    def test_exact_queue_is_weighed_against_exact_cache(self):
        # The second engine has the prefix cached and 100 ms of work queued; the first
        # is idle and would prefill all 45 tokens, 40 of which the second has cached.
        self.engines[1].cache.store(KEYS)
        self.engines[1]._predict_cache_and_queue = lambda: (self.engines[1].cache.keys, 100.0)
        for weight, expected in ((2.0, self.addresses[0]), (3.0, self.addresses[1])):
            self.assertEqual(self.choose(weight).address, expected)

    def test_unreachable_engine_is_skipped(self):
        self.engines[0].stop()
        self.assertEqual(self.choose(3.0).address, self.addresses[1])
