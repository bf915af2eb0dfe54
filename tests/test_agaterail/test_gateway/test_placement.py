from __future__ import annotations

import unittest
from collections import Counter

from agaterail.gateway.inbound import InboundRequest, PromptPart
from agaterail.gateway.placement import (
    PlacementRules,
    choose_by_hash,
    choose_engine,
    choose_least_loaded,
    rank_by_hash,
)
from agaterail.gateway.versionhistory import DesiredVersion, VersionHistory
from agaterail.gateway.weightsplan import MAX_REFUSED_TRIES
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
