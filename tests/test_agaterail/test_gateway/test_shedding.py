from __future__ import annotations

import random
import unittest
from collections import deque

import attrs

from agaterail.gateway.shedding import LoadShedder

OBJECTIVE_S = 0.5
# Callers abandon a stream that brings nothing for this long.
PATIENCE_S = 2.4
ENGINES = 5
DAEMONS = 6
WARM_S = 0.04
# Prefill time of a prompt whose prefix was evicted from the engine's memory.
COLD_S = 0.08
# Queued prompts that fit into an engine's memory besides its cached prefixes.
MAX_QUEUE = 20
STEP_S = 0.01


@attrs.define(eq=False)
class Prompt:
    sent_at: float
    daemon: int
    waiting: object


@attrs.define
class Counts:
    offered: int = 0
    refused: int = 0
    on_time: int = 0


class Fleet:
    """Engines that prefill one prompt at a time, and daemons in front of them."""

    def __init__(self, sheds: bool) -> None:
        self.random = random.Random(7)
        self.now = 0.0
        self.sheds = sheds
        self.shedders = [LoadShedder("s", 0.0) for _ in range(DAEMONS)]
        self.queues: list[deque[Prompt]] = [deque() for _ in range(ENGINES)]
        self.free_at = [0.0] * ENGINES

    def run(self, rate: float, seconds: float) -> Counts:
        counts = Counts()
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for _ in range(self._arrivals(rate * STEP_S)):
                self._offer(counts)
            for engine in range(ENGINES):
                self._work(engine, counts)
        return counts

    def _arrivals(self, mean: float) -> int:
        return int(mean) + (self.random.random() < mean % 1.0)

    def _offer(self, counts: Counts) -> None:
        counts.offered += 1
        daemon = self.random.randrange(DAEMONS)
        shedder = self.shedders[daemon]
        if self.sheds and shedder.should_refuse(self.random.random(), self.now):
            counts.refused += 1
            return
        waiting = shedder.begin(OBJECTIVE_S, self.now)
        two = self.random.sample(self.queues, 2)
        min(two, key=len).append(Prompt(self.now, daemon, waiting))

    def _work(self, engine: int, counts: Counts) -> None:
        queue = self.queues[engine]
        while queue and self.free_at[engine] <= self.now:
            prompt = queue.popleft()
            if self.now - prompt.sent_at > PATIENCE_S:
                self.shedders[prompt.daemon].end(prompt.waiting, self.now)
                continue
            cost = COLD_S if len(queue) > MAX_QUEUE else WARM_S
            self.free_at[engine] = max(self.now, self.free_at[engine]) + cost
            wait = self.free_at[engine] - prompt.sent_at
            self.shedders[prompt.daemon].end(prompt.waiting, self.now)
            if wait <= OBJECTIVE_S:
                counts.on_time += 1


class LoadShedderTest(unittest.TestCase):
    def test_a_sustainable_load_is_not_refused(self):
        counts = Fleet(sheds=True).run(rate=60.0, seconds=30.0)
        self.assertEqual(counts.refused, 0)
        self.assertGreater(counts.on_time, 0.95 * counts.offered)

    def test_shedding_under_overload_serves_more_prompts_in_time(self):
        # Callers send twice what the engines can prefill. If all prompts were admitted,
        # nearly every caller would wait for seconds: the queues evict cached prefixes,
        # which slows the engines down further.
        without = Fleet(sheds=False).run(rate=240.0, seconds=16.0)
        fleet = Fleet(sheds=True)
        counts = fleet.run(rate=240.0, seconds=16.0)
        self.assertLess(without.on_time, 0.1 * without.offered)
        self.assertGreater(counts.on_time, 0.25 * counts.offered)
        self.assertLess(counts.refused, 0.75 * counts.offered)

    def test_refusals_stop_after_the_overload(self):
        # Three seconds after the overload, callers are served as before it. A daemon
        # that kept refusing would turn callers away from idle engines.
        fleet = Fleet(sheds=True)
        fleet.run(rate=240.0, seconds=10.0)
        fleet.run(rate=60.0, seconds=3.0)
        counts = fleet.run(rate=60.0, seconds=10.0)
        self.assertLess(counts.refused, 0.01 * counts.offered)
        self.assertGreater(counts.on_time, 0.9 * counts.offered)

    def test_an_idle_period_resets_the_refusal_probability(self):
        fleet = Fleet(sheds=True)
        fleet.run(rate=300.0, seconds=6.0)
        shedder = fleet.shedders[0]
        self.assertGreater(shedder.refusal_probability, 0.2)
        for waiting in list(shedder.waiting):
            shedder.end(waiting, fleet.now)
        self.assertFalse(shedder.should_refuse(0.01, fleet.now + 60.0))

    def test_waits_below_the_objective_refuse_nobody(self):
        # After a load of new weights, prompts take nearly their whole objective for
        # some seconds. This recovers by itself, and shedding would not help.
        shedder = LoadShedder("s", 0.0)
        for step in range(100):
            now = step * 0.1
            shedder.end(shedder.begin(OBJECTIVE_S, now), now + 0.9 * OBJECTIVE_S)
            self.assertFalse(shedder.should_refuse(0.0, now))

    def test_prompts_that_still_wait_count_before_their_first_token(self):
        # The engines have stopped responding, so no first token ever arrives. The wait
        # so far must count; otherwise all further prompts would be added to the queue.
        shedder = LoadShedder("s", 0.0)
        for _ in range(10):
            shedder.begin(OBJECTIVE_S, 0.0)
        for step in range(1, 20):
            shedder.should_refuse(1.0, step * 0.1)
        self.assertTrue(shedder.should_refuse(0.5, 2.0))

    def test_one_stuck_prompt_among_many_causes_no_refusals(self):
        shedder = LoadShedder("s", 0.0)
        shedder.begin(OBJECTIVE_S, 0.0)
        for step in range(200):
            now = step * 0.05
            shedder.end(shedder.begin(OBJECTIVE_S, now - 0.1), now)
            shedder.should_refuse(1.0, now)
        self.assertLess(shedder.refusal_probability, 0.05)

    def test_a_resumed_host_refuses_nobody(self):
        # The host was suspended for 4 s with prompts in flight. Their first tokens
        # arrived long ago and only this host reads them late; the engines are idle.
        shedder = LoadShedder("s", 0.0)
        waiting = [shedder.begin(OBJECTIVE_S, 0.0) for _ in range(10)]
        self.assertFalse(shedder.should_refuse(0.0, 4.0))
        for item in waiting:
            shedder.end(item, 4.05)
        self.assertFalse(shedder.should_refuse(0.0, 4.2))

    def test_quick_refusals_of_full_engines_do_not_hide_an_overload(self):
        # Engines refuse nine of ten prompts within a millisecond, and the tenth gets
        # its first token after two objectives.
        shedder = LoadShedder("s", 0.0)
        for step in range(60):
            now = step * 0.05
            late = shedder.begin(OBJECTIVE_S, now - 2 * OBJECTIVE_S)
            shedder.end(late, now, first_token=True)
            for _ in range(9):
                shedder.end(shedder.begin(OBJECTIVE_S, now), now + 0.001, first_token=False)
            shedder.should_refuse(1.0, now)
        self.assertGreater(shedder.refusal_probability, 0.5)

    def test_a_route_without_an_objective_is_accepted(self):
        shedder = LoadShedder("s", 0.0)
        shedder.end(shedder.begin(0.0, 0.0), 0.05)
        self.assertFalse(shedder.should_refuse(0.0, 0.2))
