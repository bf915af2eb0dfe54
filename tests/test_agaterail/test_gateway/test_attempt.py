from __future__ import annotations

import types
import unittest
from unittest import mock

from agaterail.engineloads.ownloads import OwnEngineLoads
from agaterail.gateway.attempt import Attempt
from agaterail.gateway.desired import RequestKind, Route
from agaterail.gateway.inbound import InboundRequest
from agaterail.gateway.placement import Choice
from agaterail.gateway.shedding import LoadShedder
from agaterail.gateway.targets import Registration, Target

STEP_S = 0.02


class Connection:
    waited_s = 0.0
    waiting_since = None

    def close(self):
        pass


class AttemptTest(unittest.TestCase):
    def setUp(self):
        self.time = 100.0
        registration = Registration(
            instance="e-1", service="llm", address="10.0.0.1:1", domain="z1", ready=True
        )
        self.target = Target(registration=registration)
        self.shedder = LoadShedder("llm", self.time)
        self.own_loads = OwnEngineLoads()
        self.own_loads.active = True
        self.route = Route(
            name="r",
            host="h",
            path_prefix=b"/",
            kind=RequestKind.STREAM,
            shares=(),
            timeout_s=5.0,
            objective_s=0.5,
            gap_objective_s=0.3,
            prompted=True,
        )

    def make_attempt(self):
        daemon = types.SimpleNamespace(
            now=lambda: self.time,
            connection_pool=None,
            shedder_of=lambda _service: self.shedder,
            own_loads=self.own_loads,
            silence=mock.Mock(),
        )
        inbound = InboundRequest(
            method=b"POST", target=b"/", headers=[], prompt_tokens=900, output_tokens=50
        )
        context = types.SimpleNamespace(route=self.route, service="llm", inbound=inbound)
        choice = Choice(target=self.target, cost_ms=0.0)
        return Attempt(daemon, context, choice, Connection())

    def relay(self, attempt, events=1, send_s=0.0):
        attempt.begin_send()
        self.time += send_s
        attempt.record_events(events)

    def test_target_counts_what_is_under_way(self):
        attempt = self.make_attempt()
        target = self.target
        self.assertEqual((target.in_flight, target.prefill_tokens), (1, 900))
        self.assertEqual((target.kv_tokens, target.busy_since), (950, 100.0))
        self.relay(attempt)
        self.assertEqual((target.prefill_tokens, target.kv_tokens), (0, 950))
        attempt.begin_send()
        attempt.abandon()
        attempt.abandon()
        self.assertEqual((target.in_flight, target.kv_tokens, target.sending), (0, 0, 0))

    def test_time_that_a_caller_takes_is_no_decode_step(self):
        """Guards against an engine that looks slow because a caller reads slowly."""
        attempt = self.make_attempt()
        self.relay(attempt)
        for _ in range(4):
            self.time += STEP_S
            self.relay(attempt)
        usual = self.target.take_steps()
        self.assertEqual(usual[0], 4)
        # Ten events arrive while the caller takes none.
        self.time += STEP_S
        self.relay(attempt, send_s=10 * STEP_S)
        self.relay(attempt, events=10)
        steps, sum_log_s = self.target.take_steps()
        self.assertAlmostEqual(sum_log_s / steps, usual[1] / usual[0])

    def test_engine_is_not_waited_for_during_a_send(self):
        attempt = self.make_attempt()
        self.time += 1.0
        self.assertEqual(self.target.waiting_s(self.time), 1.0)
        attempt.begin_send()
        self.time += 1.0
        self.assertEqual(self.target.waiting_s(self.time), 0.0)
