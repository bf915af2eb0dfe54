from __future__ import annotations

import math
import unittest

from agaterail.engineloads.ownloads import OwnEngineLoads
from agaterail.gateway.targets import Registration, Target


class OwnEngineLoadsTest(unittest.TestCase):
    def setUp(self):
        registration = Registration(
            instance="e-1",
            service="llm",
            address="10.0.0.1:1",
            domain="z1",
            ready=True,
            born=7,
        )
        self.target = Target(registration=registration)
        self.own = OwnEngineLoads()
        self.own.active = True

    def take(self, now):
        return self.own.take_rows([self.target], now)

    def test_engine_without_anything_to_tell_has_no_row(self):
        self.assertEqual(self.take(10.0), ())
        self.target.heard_at = self.target.data_at = 8.0
        self.assertEqual(self.take(10.0), ())

    def test_row_tells_of_requests_under_way(self):
        self.target.begin_request(9.0)
        self.target.prefill_tokens, self.target.kv_tokens = 900, 1000
        (row,) = self.take(10.0)
        self.assertEqual((row.instance, row.start, row.streams), ("e-1", 7, 1))
        self.assertEqual((row.prefill_tokens, row.kv_tokens), (900, 1000))
        self.assertEqual((row.heard_s, row.waiting_s), (math.inf, 1.0))

    def test_engine_that_streamed_lately_has_a_row(self):
        self.target.heard_at = self.target.data_at = 9.5
        (row,) = self.take(10.0)
        self.assertEqual((row.streams, row.heard_s, row.waiting_s), (0, 0.5, 0.0))

    def test_a_connection_that_opens_is_no_byte(self):
        """An engine that accepts connections and answers nothing counted as heard."""
        self.target.heard_at = 9.9
        self.assertEqual(self.take(10.0), ())

    def test_an_engine_whose_requests_were_given_up_has_a_row(self):
        """The evidence against a silent engine ended with the hedges of its requests."""
        self.own.waiting_s = lambda _target, _now: 0.7
        (row,) = self.take(10.0)
        self.assertEqual((row.streams, row.waiting_s), (0, 0.7))

    def test_wait_begins_with_the_request_or_the_last_byte(self):
        self.target.heard_at = 2.0
        self.target.begin_request(9.0)
        self.assertEqual(self.target.waiting_s(10.0), 1.0)
        self.target.begin_request(9.9)
        self.assertEqual(self.target.waiting_s(10.0), 1.0)
        self.target.heard_at = 9.8
        self.assertAlmostEqual(self.target.waiting_s(10.0), 0.2)

    def test_engine_does_not_keep_a_daemon_waiting_for_its_caller(self):
        """Guards against engines that look silent because a caller reads slowly."""
        self.target.begin_request(5.0)
        self.target.sending = 1
        self.assertEqual(self.target.waiting_s(10.0), 0.0)
        self.target.begin_request(6.0)
        self.assertEqual(self.target.waiting_s(10.0), 5.0)

    def test_steps_are_taken_once(self):
        self.own.record_step(self.target, 0.04, 2, 0.3)
        self.own.record_step(self.target, 0.03, 1, 0.3)
        (row,) = self.take(10.0)
        self.assertEqual(row.steps, 2)
        self.assertAlmostEqual(row.sum_log_s, math.log(0.02) + math.log(0.03))
        self.assertEqual(self.take(10.0), ())

    def test_pauses_and_events_that_came_together_are_no_samples(self):
        for seconds, events in ((0.31, 1), (0.00001, 1), (0.02, 0)):
            self.own.record_step(self.target, seconds, events, 0.3)
        self.assertEqual(self.target.steps, 0)
        self.own.record_step(self.target, 0.31, 1, 0.0)
        self.assertEqual(self.target.steps, 1)

    def test_nothing_is_recorded_without_reports(self):
        self.own.active = False
        self.own.record_step(self.target, 0.02, 1, 0.3)
        self.assertEqual(self.target.steps, 0)
