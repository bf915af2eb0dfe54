from __future__ import annotations

import random
import unittest

import attrs

from agaterail.gateway.shedding import LoadShedder
from agaterail.gateway.streampace import MIN_LENGTHS, WINDOW_S, StreamPace
from tests.test_agaterail.test_gateway.test_desired import make_route

ROUTE = make_route(timeout_s=10.0)


class StreamPaceTest(unittest.TestCase):
    def setUp(self):
        self.pace = StreamPace()

    def end_streams(self, counts, route=ROUTE):
        for count in counts:
            self.pace.record_end(route, count)

    def test_a_long_stream_is_projected_at_the_current_pace(self):
        self.end_streams([10] * 94 + [80] * 6)
        self.pace.record(2.0, 20, 5.0)
        self.assertAlmostEqual(self.pace.timeout_ratio(5.0), 80 * 0.1 / 10.0)

    def test_the_ratio_is_zero_with_too_few_samples(self):
        self.end_streams([50] * (MIN_LENGTHS - 1))
        self.pace.record(2.0, 20, 5.0)
        self.assertEqual(self.pace.timeout_ratio(5.0), 0.0)
        self.end_streams([50])
        self.pace.record(1.0, 10, 6.1 + WINDOW_S)
        self.assertGreater(self.pace.timeout_ratio(6.1 + WINDOW_S), 0.0)
        self.assertEqual(self.pace.timeout_ratio(6.2 + 2 * WINDOW_S), 0.0)

    def test_the_route_with_the_highest_ratio_counts(self):
        self.end_streams([50] * MIN_LENGTHS)
        self.end_streams([30] * MIN_LENGTHS, make_route("short", timeout_s=2.0))
        self.pace.record(2.0, 20, 5.0)
        self.assertAlmostEqual(self.pace.timeout_ratio(5.0), 30 * 0.1 / 2.0)

    def test_a_changed_route_keeps_its_stream_lengths(self):
        self.end_streams([50] * (MIN_LENGTHS - 1))
        self.end_streams([50], make_route(timeout_s=5.0))
        self.pace.record(2.0, 20, 5.0)
        self.assertAlmostEqual(self.pace.timeout_ratio(5.0), 50 * 0.1 / 5.0)


@attrs.define(eq=False)
class Stream:
    """A stream at the simulated engine."""

    events: int
    came_at: float
    waiting: object
    passed: int = 0
    event_at: float = 0.0


class SimulatedEngine:
    """Engine that prefills one prompt per step, which makes the step several times as long."""

    STEP_S, PREFILL_S, TOKENS = 0.005, 0.035, 4
    LIMIT_S, OBJECTIVE_S, CHANCE_OF_LONG_KIND = 15.0, 0.4, 0.4

    def __init__(self, seed, use_pace=True):
        self.random = random.Random(seed)
        self.now = 0.0
        self.shedder = LoadShedder("llm", 0.0)
        if not use_pace:
            self.shedder.pace.timeout_ratio = lambda _now: 0.0
        self.route = make_route(timeout_s=self.LIMIT_S, objective_s=self.OBJECTIVE_S)
        self.queue, self.running = [], []
        self.offered, self.served = [], []

    def run(self, seconds, per_s):
        next_at = 0.0
        while self.now < seconds:
            while next_at <= self.now:
                self.offer()
                next_at += self.random.expovariate(per_s)
            self.step()

    def offer(self):
        """Offer a prompt, which is queued or refused."""
        mean = 73 if self.random.random() < self.CHANCE_OF_LONG_KIND else 13
        events = max(1, min(213, int(mean * self.random.lognormvariate(-0.24, 0.69))))
        self.offered.append(events)
        if self.shedder.should_refuse(self.random.random(), self.now):
            return
        waiting = self.shedder.begin(self.OBJECTIVE_S, self.now)
        self.queue.append(Stream(events, self.now, waiting))

    def step(self):
        """Prefill one prompt if any is queued, and decode a token of each running stream."""
        self.now += self.STEP_S + (self.PREFILL_S if self.queue else 0.0)
        if self.queue:
            stream = self.queue.pop(0)
            self.shedder.end(stream.waiting, self.now)
            stream.event_at = self.now
            self.running.append(stream)
        for stream in list(self.running):
            self.make_token(stream)

    def make_token(self, stream):
        stream.passed += 1
        if stream.passed % self.TOKENS == 0:
            self.shedder.pace.record(self.now - stream.event_at, 1, self.now)
            stream.event_at = self.now
        done = stream.passed >= stream.events * self.TOKENS
        if not done and self.now - stream.came_at < self.LIMIT_S:
            return
        self.running.remove(stream)
        self.shedder.pace.record_end(self.route, stream.passed // self.TOKENS)
        if done:
            self.served.append(stream.events)

    def served_fractions(self):
        """Return the fractions served of the largest tenth and of all streams."""
        bound = sorted(self.offered)[int(0.9 * len(self.offered))]
        largest = sum(item >= bound for item in self.served)
        offered = sum(item >= bound for item in self.offered)
        return largest / offered, len(self.served) / len(self.offered)


class LongStreamFairnessTest(unittest.TestCase):
    """Long answers hit their time limit under overload while first tokens stayed fast."""

    SECONDS, PER_S = 90.0, 62.5

    def test_the_largest_tenth_is_served_at_least_half_as_often_as_all(self):
        for seed in range(3):
            with self.subTest(seed):
                engine = SimulatedEngine(seed)
                engine.run(self.SECONDS, self.PER_S)
                largest, whole = engine.served_fractions()
                self.assertGreaterEqual(largest, whole / 2.0)

    def test_without_the_pace_measure_long_streams_are_starved(self):
        engine = SimulatedEngine(0, use_pace=False)
        engine.run(self.SECONDS, self.PER_S)
        largest, whole = engine.served_fractions()
        self.assertLess(largest, whole / 2.0)
