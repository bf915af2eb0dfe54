from __future__ import annotations

import math
import random
import unittest
from collections import Counter

import attrs

from agaterail.decisions.enginehomes import hash_number
from agaterail.engineloads.figures import EngineFigures, EngineLoads
from agaterail.gateway.desired import EngineTraits
from agaterail.gateway.inbound import InboundRequest, PromptPart
from agaterail.gateway.placement import (
    PREFILL_MS_PER_TOKEN,
    FleetView,
    PlacementRules,
    choose_by_hash,
    choose_engine,
    choose_least_loaded,
    rank_by_hash,
)
from agaterail.gateway.versionhistory import DesiredVersion, VersionHistory
from agaterail.gateway.weightsplan import MAX_REFUSED_TRIES
from tests.engine_queues import QUICK_ENGINES, Fleet
from tests.test_agaterail.test_gateway.test_targets import make_target

RULES = PlacementRules(domain="a", version_s=15.0)


def make_inbound(history="h1", tokens=6000):
    parts = (PromptPart("sys", 2000), PromptPart(history, tokens), PromptPart("own", 500))
    total = sum(part.tokens for part in parts)
    return InboundRequest(
        method=b"POST", target=b"/", headers=[], model="m", prompt=parts, prompt_tokens=total
    )


class PlacementTest(unittest.TestCase):
    def setUp(self):
        self.engines = [make_target(f"i-{n}", weights={"m": 1}) for n in range(5)]

    def choose(self, inbound=None, history=None, now=0.0, tried=()):
        return choose_engine(
            inbound or make_inbound(), self.engines, tried, RULES, history, now
        )

    def test_one_prefix_goes_to_one_engine_from_every_daemon(self):
        first = self.choose().target
        self.engines.reverse()
        self.assertIs(self.choose().target, first)

    def test_prefixes_spread_over_the_engines(self):
        counts = Counter(
            self.choose(make_inbound(f"h{n}")).target.instance for n in range(500)
        )
        self.assertEqual(len(counts), 5)
        self.assertLess(max(counts.values()), 150)

    def test_removing_an_engine_moves_only_its_prefixes(self):
        before = {n: self.choose(make_inbound(f"h{n}")).target for n in range(200)}
        gone = self.engines.pop()
        for number, target in before.items():
            if target is not gone:
                self.assertIs(self.choose(make_inbound(f"h{number}")).target, target)

    def test_a_refusing_engine_is_used_if_there_is_no_other(self):
        """All engines were full for a moment, and no prompt was sent for up to 0.8 s."""
        for engine in self.engines:
            engine.record_refusal(0.0)
        self.assertIsNotNone(self.choose(now=0.01))
        self.engines[0].refusals, self.engines[0].backoff_until = 0, 0.0
        for number in range(20):
            chosen = self.choose(make_inbound(f"h{number}"), now=0.01)
            self.assertIs(chosen.target, self.engines[0])

    def test_a_failing_engine_is_not_used_even_if_there_is_no_other(self):
        for engine in self.engines:
            engine.record_refusal(0.0)
            engine.record_failure(0.0)
        self.assertIsNone(self.choose(now=0.01))

    def test_a_refusing_plain_target_is_used_if_there_is_no_other(self):
        for target in self.engines:
            target.record_refusal(0.0)
        self.assertIsNotNone(choose_least_loaded(self.engines, (), RULES, 0.01))

    def test_a_long_queue_at_the_first_engine_moves_a_request(self):
        first = self.choose().target
        first.prefill_tokens = 50000
        self.assertIsNot(self.choose().target, first)

    def test_a_short_queue_does_not_move_a_request(self):
        first = self.choose().target
        first.prefill_tokens = 2000
        self.assertIs(self.choose().target, first)

    def test_the_first_engine_on_new_weights_is_not_overloaded(self):
        # One of five engines has loaded the new weights. If all requests went to it,
        # callers would wait behind five engines' worth of prompts.
        history = VersionHistory((DesiredVersion(2, 0.0),))
        newest = self.engines[-1]
        newest.registration.weights["m"] = 2
        chosen = [self.choose(make_inbound(f"h{n}"), history, 5.0).target for n in range(500)]
        before = [self.choose(make_inbound(f"h{n}"), history, 1.0).target for n in range(500)]
        self.assertGreater(chosen.count(newest), before.count(newest))
        self.assertLess(chosen.count(newest), 200)

    def test_no_request_starts_on_weights_past_the_age_limit(self):
        history = VersionHistory((DesiredVersion(2, 0.0),))
        self.assertIsNotNone(self.choose(history=history, now=10.0))
        self.assertIsNone(self.choose(history=history, now=14.9))

    def test_a_newer_version_does_not_reset_the_age_of_an_older_one(self):
        # An engine missed versions 2 and 3. Its weights have been outdated since
        # version 2 was set, and requests must not start on them past the limit.
        history = VersionHistory((DesiredVersion(2, 0.0), DesiredVersion(3, 10.0)))
        self.assertIsNone(self.choose(history=history, now=14.9))
        self.assertEqual(history.outdated_for_s(2, 14.0), 4.0)
        self.assertIsNone(history.outdated_for_s(3, 14.0))

    def test_a_cordoned_engine_is_used_only_as_a_last_resort(self):
        for engine in self.engines[1:]:
            engine.cordoned_at = 0.0
        for number in range(20):
            chosen = self.choose(make_inbound(f"h{number}"), now=1.0).target
            self.assertIs(chosen, self.engines[0])
        self.engines[0].cordoned_at = 0.0
        self.assertIsNotNone(self.choose(now=1.0))

    def test_an_engine_that_should_have_loaded_is_tried_with_the_new_weights(self):
        # The registration reports the new weights only with the next heartbeat. Until
        # then the engine would stay idle.
        history = VersionHistory((DesiredVersion(2, 0.0),))
        first = self.choose(history=history, now=0.0).target
        first.cordoned_at, first.expected_loaded_at = 0.0, 2.0
        self.assertIsNot(self.choose(history=history, now=1.9).target, first)
        choice = self.choose(history=history, now=2.0)
        self.assertIs(choice.target, first)
        self.assertEqual(choice.weights_version, 2)

    def test_an_engine_that_refuses_repeatedly_is_skipped(self):
        # The order to load was lost. Each further try costs a retry from the budget.
        history = VersionHistory((DesiredVersion(2, 0.0),))
        first = self.choose(history=history, now=0.0).target
        first.cordoned_at, first.expected_loaded_at = 0.0, 2.0
        for _ in range(MAX_REFUSED_TRIES):
            first.record_refusal(2.0)
        self.assertIsNot(self.choose(history=history, now=4.0).target, first)

    def test_an_unused_cordon_expires(self):
        first = self.choose().target
        first.cordoned_at = 0.0
        self.assertIsNot(self.choose(now=1.0).target, first)
        self.assertIs(self.choose(now=7.0).target, first)

    def test_a_model_that_no_engine_serves_has_no_target(self):
        inbound = make_inbound()
        inbound.model = "other"
        self.assertIsNone(self.choose(inbound))

    def test_tried_and_failing_targets_are_skipped(self):
        first = self.choose().target
        second = self.choose(tried={first.instance}).target
        self.assertIsNot(second, first)
        second.record_failure(0.0)
        third = self.choose(tried={first.instance}).target
        self.assertNotIn(third, (first, second))

    def test_requests_without_a_prompt_go_to_the_least_loaded_target(self):
        near, far = make_target("n", domain="a"), make_target("f", domain="b")
        self.assertIs(choose_least_loaded([far, near], (), RULES, 0.0).target, near)
        near.in_flight = 1
        self.assertIs(choose_least_loaded([far, near], (), RULES, 0.0).target, far)
        self.assertIsNone(choose_least_loaded([], (), RULES, 0.0))

    def test_prefixes_spread_over_the_stores(self):
        counts = Counter(choose_by_hash(f"h{n}", ["a:1", "b:1", "c:1"]) for n in range(600))
        self.assertLess(max(counts.values()), 260)

    def test_hash_ranking_contains_every_target(self):
        self.assertEqual(len({item.instance for item in rank_by_hash("k", self.engines)}), 5)


class KnownLoads(EngineLoads):
    """Figures as a test sets them."""

    def __init__(self):
        self.known = {}

    def figures(self, instance):
        return self.known.get(instance)


class PlacementByFiguresTest(unittest.TestCase):
    def setUp(self):
        self.engines = [make_target(f"i-{n}", weights={"m": 1}) for n in range(20)]
        self.loads = KnownLoads()
        traits = EngineTraits(
            slots=12, kv_tokens=86_000, kv_bytes_per_token=1.0, link_mbps=1.0
        )
        self.view = FleetView(loads=self.loads, traits=traits)
        self.rules = attrs.evolve(RULES, daemons=81.0)

    def choose(self, inbound, now=0.0):
        if self.view.homes.is_due(now):
            names = [item.instance for item in self.engines]
            self.view.homes.refresh(names, self.loads.figures, now)
        return choose_engine(inbound, self.engines, (), self.rules, None, now, self.view)

    def know(self, **figures):
        for engine in self.engines:
            self.loads.known[engine.instance] = EngineFigures(**figures)

    def test_without_figures_choices_are_as_before(self):
        draw = random.Random(1)
        for number in range(300):
            for engine in draw.sample(self.engines, 5):
                engine.in_flight = draw.choice((0, 0, 1, 3))
                engine.prefill_tokens = draw.choice((0, 0, 700, 9000)) * engine.in_flight
            inbound = make_inbound(f"h{number}", draw.choice((0, 50, 6000)))
            choice = self.choose(inbound, number)
            self.assertIs(choice.target, self.cheapest_by_own_requests(inbound))
            self.assertIsNone(choice.cost)

    def cheapest_by_own_requests(self, inbound):
        """Return the engine of lowest cost if all daemons send as much as this one."""
        key, shared = inbound.shared_parts[-1].name, inbound.prompt_tokens - 500
        ordered = sorted(
            self.engines, key=lambda item: 1.0 / math.log(hash_number(key, item.instance))
        )

        def cost_ms(rank):
            item = ordered[rank]
            queue_ms = item.prefill_tokens * PREFILL_MS_PER_TOKEN + item.in_flight
            miss_ms = shared * PREFILL_MS_PER_TOKEN if rank else 0.0
            return queue_ms * 81.0 + miss_ms

        return ordered[min(range(len(ordered)), key=cost_ms)]

    def test_a_lapse_of_all_figures_leads_back_to_own_requests(self):
        self.know(prefill_tokens=2000.0)
        self.assertIsNotNone(self.choose(make_inbound()).cost)
        self.loads.known.clear()
        self.assertIsNone(self.choose(make_inbound(), now=0.1).cost)

    def test_prompts_of_other_daemons_move_a_prompt(self):
        self.know(prefill_tokens=1000.0, age_s=0.3)
        home = self.choose(make_inbound()).target
        self.loads.known[home.instance] = EngineFigures(prefill_tokens=60_000.0)
        choice = self.choose(make_inbound(), now=0.1)
        self.assertIsNot(choice.target, home)
        self.assertIs(choice.preferred, home)
        self.assertEqual(choice.figures_age_s, 0.3)

    def test_prompts_without_shared_parts_spread_over_the_engines(self):
        """All daemons took the first three engines of the registry."""
        self.know(prefill_tokens=1000.0)
        chosen = Counter()
        for number in range(400):
            inbound = make_inbound()
            inbound.prompt, inbound.request_id = inbound.prompt[-1:], f"r{number}"
            chosen[self.choose(inbound).target.instance] += 1
        self.assertEqual(len(chosen), 20)
        self.assertLess(max(chosen.values()), 50)


SEEDS = (1, 2, 3)


class PlacementUnderLoadTest(unittest.TestCase):
    """Loads on which prompts of two lengths meet at engines of two paces."""

    def setUp(self):
        self.missed = Counter()

    def check(self, **load):
        """Compare choices by figures with those by own requests, on the same prompts."""
        alone = [Fleet(seed=seed, **{**load, "period_s": math.inf}) for seed in SEEDS]
        informed = [Fleet(seed=seed, **load) for seed in SEEDS]
        late = [sum(item.late for item in group) for group in (alone, informed)]
        paused = [sum(item.paused for item in group) for group in (alone, informed)]
        self.assertLessEqual(late[1], late[0] / 2, (late, paused))
        self.assertLessEqual(paused[1], paused[0], (late, paused))
        self.missed["alone"] += sum(item.missed_tokens for item in alone)
        self.missed["informed"] += sum(item.missed_tokens for item in informed)

    def test_uneven_loads(self):
        """Callers waited at the home of a prompt while other engines were idle."""
        loads = {
            "six daemons": {"daemons": 6, "period_s": 0.1},
            "a burst": {"daemons": 81, "burst": 2.0},
            "half of the figures are lost": {"daemons": 81, "lost": 0.5},
            "figures of two seconds": {"daemons": 410, "period_s": 2.0},
            "a hot shared part": {"daemons": 81, "hot": 0.6},
            "a quarter of the engines is gone": {"daemons": 81, "gone_at": 3.0},
        }
        for name, load in loads.items():
            with self.subTest(name):
                self.check(**load)
        self.assertLessEqual(self.missed["informed"], self.missed["alone"])

    def test_overload_of_all_engines(self):
        """Daemons left crowded homes for engines that old figures showed as less busy."""
        load = {
            "kind": QUICK_ENGINES,
            "daemons": 195,
            "engine_count": 24,
            "seconds": 12.0,
            "period_s": 1.0,
            "rate": 6.5,
            "parts": 800,
        }
        alone = [Fleet(seed=seed, **{**load, "period_s": math.inf}) for seed in SEEDS]
        informed = [Fleet(seed=seed, **load) for seed in SEEDS]
        late = [sum(item.late for item in group) for group in (alone, informed)]
        self.assertLessEqual(late[1], late[0])

    def test_no_herd(self):
        """All daemons turned to the engines that old figures showed as idle."""
        for daemons, period_s in ((81, 0.5), (410, 2.0)):
            with self.subTest(daemons=daemons):
                fleet = Fleet(
                    seed=1, daemons=daemons, period_s=period_s, parts=1000, seconds=20.0
                )
                self.assertLess(fleet.imbalance, 1.25)
