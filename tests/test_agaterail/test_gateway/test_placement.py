from __future__ import annotations

import unittest
from collections import Counter

from agaterail.gateway.inbound import InboundRequest, PromptPart
from agaterail.gateway.namedweights import NamedVersion, NamedWeights
from agaterail.gateway.placement import (
    PlacementRules,
    choose_by_hash,
    choose_engine,
    choose_plain,
    hash_order,
)
from agaterail.gateway.weightsplan import MOST_TRIES
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

    def choose(self, inbound=None, named=None, now=0.0, tried=()):
        return choose_engine(inbound or make_inbound(), self.engines, tried, RULES, named, now)

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

    def test_an_engine_more_or_less_moves_few_prefixes(self):
        before = {n: self.choose(make_inbound(f"h{n}")).target for n in range(200)}
        gone = self.engines.pop()
        for number, target in before.items():
            if target is not gone:
                self.assertIs(self.choose(make_inbound(f"h{number}")).target, target)

    def test_a_long_queue_at_the_first_engine_moves_a_request(self):
        first = self.choose().target
        first.prefill_tokens = 50000
        self.assertIsNot(self.choose().target, first)

    def test_a_short_queue_does_not(self):
        first = self.choose().target
        first.prefill_tokens = 2000
        self.assertIs(self.choose().target, first)

    def test_the_first_engine_on_new_weights_is_not_flooded(self):
        # One of five engines has loaded. Were every request sent to it, callers
        # would wait behind five engines' worth of prompts.
        named = NamedWeights((NamedVersion(2, 0.0),))
        newest = self.engines[-1]
        newest.entry.weights["m"] = 2
        chosen = [self.choose(make_inbound(f"h{n}"), named, 5.0).target for n in range(500)]
        before = [self.choose(make_inbound(f"h{n}"), named, 1.0).target for n in range(500)]
        self.assertGreater(chosen.count(newest), before.count(newest))
        self.assertLess(chosen.count(newest), 200)

    def test_weights_that_are_outdated_for_too_long_begin_nothing(self):
        named = NamedWeights((NamedVersion(2, 0.0),))
        self.assertIsNotNone(self.choose(named=named, now=10.0))
        self.assertIsNone(self.choose(named=named, now=14.9))

    def test_a_second_version_does_not_renew_the_time_of_the_first(self):
        # An engine missed versions 2 and 3. Its requests would begin on weights
        # that have been outdated since version 2 was named.
        named = NamedWeights((NamedVersion(2, 0.0), NamedVersion(3, 10.0)))
        self.assertIsNone(self.choose(named=named, now=14.9))
        self.assertEqual(named.outdated_for_s(2, 14.0), 4.0)
        self.assertIsNone(named.outdated_for_s(3, 14.0))

    def test_an_engine_next_to_load_is_asked_only_if_there_is_no_other(self):
        for engine in self.engines[1:]:
            engine.cordoned_at = 0.0
        for number in range(20):
            chosen = self.choose(make_inbound(f"h{number}"), now=1.0).target
            self.assertIs(chosen, self.engines[0])
        self.engines[0].cordoned_at = 0.0
        self.assertIsNotNone(self.choose(now=1.0))

    def test_an_engine_that_should_have_loaded_is_tried_with_the_new_weights(self):
        # Its registration says so a heartbeat later; until then it would stand idle.
        named = NamedWeights((NamedVersion(2, 0.0),))
        first = self.choose(named=named, now=0.0).target
        first.cordoned_at, first.loaded_at = 0.0, 2.0
        self.assertIsNot(self.choose(named=named, now=1.9).target, first)
        choice = self.choose(named=named, now=2.0)
        self.assertIs(choice.target, first)
        self.assertEqual(choice.weights_version, 2)

    def test_an_engine_that_refuses_the_tries_is_left_alone(self):
        # The order to load was lost: each try is a repeat that costs budget.
        named = NamedWeights((NamedVersion(2, 0.0),))
        first = self.choose(named=named, now=0.0).target
        first.cordoned_at, first.loaded_at = 0.0, 2.0
        for _ in range(MOST_TRIES):
            first.note_refusal(2.0)
        self.assertIsNot(self.choose(named=named, now=4.0).target, first)

    def test_a_cordon_that_nobody_uses_ends(self):
        first = self.choose().target
        first.cordoned_at = 0.0
        self.assertIsNot(self.choose(now=1.0).target, first)
        self.assertIs(self.choose(now=7.0).target, first)

    def test_a_model_that_no_engine_serves_has_no_target(self):
        inbound = make_inbound()
        inbound.model = "other"
        self.assertIsNone(self.choose(inbound))

    def test_tried_and_failing_targets_are_left_out(self):
        first = self.choose().target
        second = self.choose(tried={first.instance}).target
        self.assertIsNot(second, first)
        second.note_failure(0.0)
        third = self.choose(tried={first.instance}).target
        self.assertNotIn(third, (first, second))

    def test_plain_requests_go_to_the_least_loaded_and_nearest(self):
        near, far = make_target("n", domain="a"), make_target("f", domain="b")
        self.assertIs(choose_plain([far, near], (), RULES, 0.0).target, near)
        near.in_flight = 1
        self.assertIs(choose_plain([far, near], (), RULES, 0.0).target, far)
        self.assertIsNone(choose_plain([], (), RULES, 0.0))

    def test_stores_share_the_prefixes(self):
        counts = Counter(choose_by_hash(f"h{n}", ["a:1", "b:1", "c:1"]) for n in range(600))
        self.assertLess(max(counts.values()), 260)

    def test_the_order_of_a_key_is_total(self):
        self.assertEqual(len({item.instance for item in hash_order("k", self.engines)}), 5)
