from __future__ import annotations

import json
import unittest

import gevent

from agaterail import codec
from agaterail.controllers.rollout import PROBE_PREFIX
from agaterail.logstore.memory import MemoryLogStore
from agaterail.records import TABLES_STREAM, TablesRecord
from standins.engine import EngineConfig, EngineStandIn
from tests.support import LocalDaemon, chat_route, edit, engine_pool, put, wait_until

SLOW = EngineConfig(block_tokens=10, prefill_ms_per_token=1.0, decode_ms=1.0)


class LimitsTest(unittest.TestCase):
    def start(self, route, **settings):
        self.engine = EngineStandIn(SLOW)
        self.addCleanup(self.engine.stop)
        pool = engine_pool([self.engine.start()], prefill_ms_per_token=1.0)
        log = MemoryLogStore()
        change = edit("e0", put(pool), put(chat_route(**route)))
        log.append(TABLES_STREAM, codec.encode(change, TablesRecord))
        self.daemon = LocalDaemon(log, **settings)
        self.addCleanup(self.daemon.stop)
        wait_until(lambda: self.daemon.app.ready)

    def chat_concurrently(self, count, content="hello"):
        jobs = [
            gevent.spawn(self.daemon.chat, content=f"{number} {content}", max_tokens=4)
            for number in range(count)
        ]
        gevent.joinall(jobs)
        return [job.get() for job in jobs]

    def assert_refused_requests_did_not_run(self, answers, codes):
        """Check that each refusal says 'not run' and that the engine's journal agrees."""
        served = [response for response, _ in answers if response.status_code == 200]
        refused = [(item, body) for item, body in answers if item.status_code != 200]
        self.assertTrue(served and refused)
        for response, body in refused:
            error = json.loads(body)["error"]
            self.assertIn(error["code"], codes)
            self.assertEqual(error["outcome"], "not_run")
            self.assertGreater(int(response["retry-after-ms"]), 0)
        # Leaves out the probes that the rollout sends to the engine.
        callers = [name for name in self.engine.journal if not name.startswith(PROBE_PREFIX)]
        ran = {name.partition(".")[0] for name in callers}
        self.assertEqual(ran, {item["x-request-id"] for item in served})
        hints = {response["retry-after-ms"] for response, _ in refused}
        self.assertGreater(len(hints), len(refused) // 2)

    def test_concurrency_above_the_limit_is_refused(self):
        self.start({"max_concurrency": 2})
        answers = self.chat_concurrently(8)
        self.assert_refused_requests_did_not_run(answers, {"rate_limited"})
        self.assertEqual(sum(item.status_code == 200 for item, _ in answers), 2)
        self.assertEqual(self.daemon.chat()[0].status_code, 200)

    def test_a_token_rate_above_the_limit_is_refused(self):
        self.start({"tokens_per_s": 10})
        self.assert_refused_requests_did_not_run(self.chat_concurrently(8), {"rate_limited"})

    def test_the_daemon_limit_of_requests_in_flight_is_enforced(self):
        self.start({}, max_in_flight=3)
        self.assert_refused_requests_did_not_run(self.chat_concurrently(8), {"overloaded"})

    def test_one_workspace_does_not_fill_the_queue_of_an_engine(self):
        # Forty prompts of 100 ms each arrive at the same time at one engine, with a
        # deadline of 3 s. Requests that would only wait there are refused immediately
        # instead of shortly before their deadline.
        self.start({"deadline_ms": 3_000})
        self.assert_refused_requests_did_not_run(
            self.chat_concurrently(40, "x" * 400), {"overloaded"}
        )

    def test_a_burst_that_fits_the_deadline_is_served(self):
        # A queue of fixed length would refuse a burst that can be answered long before
        # its deadline.
        self.start({"deadline_ms": 30_000})
        answers = self.chat_concurrently(12, "x" * 400)
        self.assertEqual({item.status_code for item, _ in answers}, {200})
