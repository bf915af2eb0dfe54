from __future__ import annotations

import random
import unittest
from collections import deque

import attrs

from agaterail.gateway.shedding import LoadShedder
from tests.prompt_load import LARGE, URGENT, PromptLoad

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


class UrgencyTest(unittest.TestCase):
    """Urgent prompts keep their room while less urgent ones ask for too much."""

    BURST_S = 6.0
    # Three times the usual rate of the less urgent prompts.
    BURST_RATE = 300.0
    OTHERS = range(1, 16)

    def play(self, prepare=None, **options):
        """Play the usual load, and a burst; return the load before and after."""
        rates = options.pop("rates", {"large": self.BURST_RATE})
        load = PromptLoad(**options)
        load.run(10.0)
        load.run(self.BURST_S)
        load.finish()
        usual = {kind.name: load.of(kind).part() for kind in (URGENT, LARGE)}
        load.run(10.0)
        if prepare is not None:
            prepare(load)
        load.run(self.BURST_S, **rates)
        load.finish()
        return usual, load

    def assert_urgent_spared(self, usual, load):
        self.assertGreaterEqual(load.of(URGENT).part(), 0.97 * usual["urgent"])

    def assert_guaranteed(self, load):
        urgent, large = load.of(URGENT), load.of(LARGE)
        of_all = (urgent.served + large.served) / (urgent.offered + large.offered)
        self.assertGreater(large.part(), 0.25 * of_all)

    def test_with_one_probability_the_urgent_are_refused_as_often(self):
        _, load = self.play(ordered=False)
        urgent, large = load.of(URGENT), load.of(LARGE)
        self.assertGreater(urgent.refused / urgent.offered, 0.2)
        self.assertGreater(
            urgent.refused / urgent.offered, 0.8 * large.refused / large.offered
        )

    def test_a_burst_of_less_urgent_prompts_does_not_reach_the_urgent(self):
        for daemons in (6, 81, 410):
            with self.subTest(daemons=daemons):
                usual, load = self.play(daemons=daemons)
                self.assert_urgent_spared(usual, load)
                self.assert_guaranteed(load)

    def test_routes_differ_where_all_workspaces_have_one_priority(self):
        # The priority of a workspace goes first, so that all prompts had one urgency and
        # those of the most urgent route were refused as often as the others.
        usual, load = self.play(daemons=81, own_urgency=1)
        self.assert_urgent_spared(usual, load)
        self.assert_guaranteed(load)

    def test_the_order_refuses_no_more_prompts_than_one_probability(self):
        refused = {}
        for ordered in (False, True):
            _, load = self.play(daemons=81, ordered=ordered)
            refused[ordered] = load.of(URGENT).refused + load.of(LARGE).refused
        self.assertLess(refused[True], 1.1 * refused[False])

    def test_a_burst_while_a_quarter_of_the_engines_is_gone(self):
        usual, load = self.play(
            lambda load: load.fail_engines(0.25),
            daemons=81,
            rates={"large": 200.0, "hot": 7.0},
        )
        self.assert_urgent_spared(usual, load)
        self.assert_guaranteed(load)

    def test_daemons_whose_callers_differ(self):
        # Four fifths of the large prompts come in at a quarter of the daemons.
        usual, load = self.play(daemons=81, skew=0.8)
        self.assert_urgent_spared(usual, load)
        self.assert_guaranteed(load)

    def test_a_workspace_with_seven_times_its_usual_load(self):
        for daemons in (6, 81, 410):
            with self.subTest(daemons=daemons):
                usual, load = self.play(daemons=daemons, engines=11, rates={"hot": 7.0})
                self.assert_urgent_spared(usual, load)
                others = load.of(LARGE, self.OTHERS)
                self.assertGreaterEqual(others.part(), usual["large"] - 0.02)

    def test_a_workspace_with_too_much_load_is_refused_before_the_others(self):
        # One workspace sends more than all others together, for half a minute.
        load = PromptLoad(daemons=81)
        load.run(10.0)
        load.run(30.0, hot=21.0)
        hot, others = load.of(LARGE, range(1)), load.of(LARGE, self.OTHERS)
        self.assertGreater(others.part(), hot.part() + 0.2)
        every = [load.of(URGENT), load.of(LARGE)]
        of_all = sum(item.served for item in every) / sum(item.offered for item in every)
        self.assertGreater(hot.part(), 0.25 * of_all)

    def test_bursts_that_come_and_go_start_shedding_once_each(self):
        load = PromptLoad(daemons=81)
        load.run(10.0)
        changes, refusing = 0, [item.refusing for item in load.shedders]
        urgent_offered = urgent_served = 0
        for rate in (self.BURST_RATE, 100.0) * 6:
            for _ in range(30):
                load.run(0.1, large=rate)
                urgent = load.of(URGENT)
                urgent_offered += urgent.offered
                urgent_served += urgent.served
                now = [item.refusing for item in load.shedders]
                changes += sum(a != b for a, b in zip(refusing, now, strict=True))
                refusing = now
        self.assertLess(changes, 2 * 6 * len(load.shedders))
        self.assertGreater(urgent_served, 0.97 * urgent_offered)

    def test_returned_callers_are_refused_less_often_than_without_the_order(self):
        again = {}
        for ordered in (False, True):
            _, load = self.play(daemons=6, ordered=ordered)
            both = [load.of(URGENT), load.of(LARGE)]
            again[ordered] = sum(item.refused_again for item in both)
        self.assertLess(again[True], again[False])
