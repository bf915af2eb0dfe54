from __future__ import annotations

import json

import gevent

from standins.engine import EngineConfig
from tests.support import wait_until
from tests.test_agaterail.test_filters.test_relay import RelayCase


class HedgeTest(RelayCase):
    config = EngineConfig(block_tokens=10, prefill_ms_per_token=0.001, decode_ms=3.0)
    route = {"hedge_after_ms": 40}

    def running(self):
        jobs = [job for engine in self.engines for job in engine.jobs.values()]
        return [job for job in jobs if not job.done and not job.cancelled]

    def test_a_hedge_overtakes_a_slow_engine_and_cancels_its_run(self):
        self.preferred.faults.paused = True
        self.assert_complete(self.stream())
        self.assertEqual(self.counter("wasted.hedged"), 1)
        self.preferred.faults.paused = False
        wait_until(lambda: not self.running())
        wait_until(lambda: self.daemon.app.in_flight == 0)
        states = self.daemon.app.targets.states.values()
        self.assertEqual([state.in_flight for state in states], [0, 0])

    def test_hedges_are_limited_by_the_retry_budget(self):
        # Both engines hang, so every request would be hedged. The shared budget limits
        # the hedges to a fraction of the traffic.
        self.daemon.app.retry_budget.tokens = 2.0
        for engine in self.engines:
            engine.faults.paused = True
        jobs = [gevent.spawn(self.daemon.chat, max_tokens=2) for _ in range(6)]
        gevent.sleep(0.2)
        for engine in self.engines:
            engine.faults.paused = False
        gevent.joinall(jobs)
        self.assertTrue(all(job.get()[0].status_code == 200 for job in jobs))
        self.assertLessEqual(self.counter("wasted.hedged"), 3)

    def test_the_answer_comes_from_the_winning_run(self):
        self.preferred.faults.paused = True
        response, body = self.daemon.chat(max_tokens=2)
        self.preferred.faults.paused = False
        self.assertEqual(response.status_code, 200)
        self.assertTrue(json.loads(body)["id"].endswith(".2"))

    def test_a_caller_that_disconnects_cancels_both_runs(self):
        for engine in self.engines:
            engine.faults.paused = True
        caller = self.open_call()
        wait_until(lambda: self.other.journal or self.daemon.app.in_flight == 1)
        gevent.sleep(0.1)
        caller.close()
        wait_until(lambda: self.daemon.app.in_flight == 0)
        for engine in self.engines:
            engine.faults.paused = False
        wait_until(lambda: not self.running())


class FastEngineTest(RelayCase):
    route = {"hedge_after_ms": 5000}

    def test_a_fast_engine_is_not_hedged(self):
        self.assert_complete(self.stream())
        self.assertEqual(self.other.journal, [])


del RelayCase
