from __future__ import annotations

import collections
import unittest

from agaterail.candidates import CandidateState
from agaterail.policies import Placement
from agaterail.policies.cost import HASH_CANDIDATES, CostPolicy, PoolRanking
from agaterail.prefix import Prefix
from agaterail.targets import TargetStateTable
from agaterail.util.ring import hash_64
from tests.support import chat_route, engine_pool

ADDRESSES = tuple(f"10.0.1.{number}:80" for number in range(6))
PROMPT_TOKENS = 100


def make_placement(key=b"k" * 16, views=(), **route):
    return Placement(
        pool=engine_pool(ADDRESSES, prefill_ms_per_token=1.0),
        route=chat_route(**{"miss_weight": 3.0, **route}),
        prefix=Prefix((key,), (1,), PROMPT_TOKENS, key),
        deadline_ms=1e4,
        now=10.0,
        views={view.engine: view for view in views},
    )


def make_states(*addresses, **fields):
    targets = TargetStateTable()
    pool = engine_pool(addresses or ADDRESSES)
    found = targets.usable(pool, 0.0)
    for state in found:
        for name, value in fields.items():
            setattr(state, name, value)
    return found


class CostPolicyTest(unittest.TestCase):
    def setUp(self):
        self.policy = CostPolicy("a", seed=1)
        self.one, self.two, self.three = ADDRESSES[:3]

    def choose(self, *views, **route):
        return self.policy.choose(
            make_placement(views=views, **route), make_states(*ADDRESSES[:3])
        )

    def test_a_hit_is_worth_the_weighted_prefill_in_queue(self):
        # The engine that has the prefix cached also has a queue. Waiting is
        # cheaper while the queue is shorter than three prefills of the missing
        # tokens (miss_weight=3.0); otherwise recomputing them is.
        for queue_ms, expected in ((290.0, self.two), (420.0, self.one)):
            cached = CandidateState(self.two, depth=10, queue_ms=queue_ms)
            decision = self.choose(CandidateState(self.one), cached)
            self.assertEqual(decision.address, expected)

    def test_a_route_may_weight_misses_less(self):
        cached = CandidateState(self.two, depth=10, queue_ms=200.0)
        decision = self.choose(CandidateState(self.one), cached, miss_weight=1.0)
        self.assertEqual(decision.address, self.one)
        self.assertAlmostEqual(decision.expected_ms, 100.0)

    def test_a_suspect_hit_counts_for_less(self):
        suspect = CandidateState(self.one, depth=10, confidence=0.3)
        sure = CandidateState(self.two, depth=8)
        self.assertEqual(self.choose(suspect, sure).address, self.two)

    def test_other_weights_and_leaving_engines_are_not_chosen(self):
        # The home learns of both before the tables or the host list change.
        stale = CandidateState(self.one, depth=10, weights_version="v0")
        leaving = CandidateState(self.two, depth=10, leaving=True)
        self.assertEqual(self.choose(stale, leaving).address, self.three)

    def test_another_domain_costs_little_but_something(self):
        for state_domains, expected in ((("b", "a"), 1), (("a", "b"), 0)):
            targets = make_states(*ADDRESSES[:2])
            for state, domain in zip(targets, state_domains, strict=True):
                state.domain = domain
            views = [CandidateState(state.address, depth=10) for state in targets]
            decision = self.policy.choose(make_placement(views=views), targets)
            self.assertEqual(decision.address, ADDRESSES[expected])

    def test_without_answers_own_requests_bound_the_first_by_hash(self):
        targets = make_states(*ADDRESSES[:3])
        chosen = []
        for _ in range(30):
            decision = self.policy.choose(make_placement(), targets)
            state = next(item for item in targets if item.address == decision.address)
            state.in_flight += 1
            chosen.append(decision.address)
        self.assertEqual(chosen[:3], [self.one] * 3)
        self.assertEqual(set(chosen), set(ADDRESSES[:3]))

    def test_without_answers_a_prefix_stays_where_it_was_sent_last(self):
        # No home answers, for example on an overloaded machine. The first engine
        # by hash is not necessarily the one that has the prefix cached, and
        # sending the request there would recompute the prefix.
        cached = CandidateState(self.three, depth=10)
        self.choose(CandidateState(self.one, queue_ms=900.0), cached)
        decision = self.choose()
        self.assertEqual(decision.address, self.three)
        self.assertIsNone(decision.expected_ms)
        candidates_again = [
            entry.address for entry in self.policy.candidates(make_placement(), ())
        ]
        self.assertIn(self.three, candidates_again)

    def test_every_decision_names_its_terms(self):
        names = [name for name, _ in self.choose(CandidateState(self.one)).terms]
        self.assertEqual(
            names, ["queue_ms", "miss_ms", "domain_ms", "rank_ms", "transfer_ms", "views"]
        )

    def test_candidates_include_the_least_loaded_known_engine(self):
        ranked = self.policy.candidates(make_placement(), ())
        outside = next(
            address
            for address in ADDRESSES
            if address not in {entry.address for entry in ranked[:HASH_CANDIDATES]}
        )
        self.choose(CandidateState(outside), CandidateState(self.one, queue_ms=5.0))
        self.policy.least_loaded.searched_at = 0.0
        again = self.policy.candidates(make_placement(), ())
        self.assertEqual([entry.address for entry in again][HASH_CANDIDATES:], [outside])

    def test_a_hot_prefix_gets_more_candidates(self):
        for _ in range(200):
            found = self.policy.candidates(make_placement(), ())
        self.assertEqual(len(found), len(ADDRESSES))

    def test_an_excluded_target_is_no_candidate(self):
        first = self.policy.candidates(make_placement(), ())[0]
        left = self.policy.candidates(make_placement(), {first.address})
        self.assertNotIn(first, left)


class PoolRankingTest(unittest.TestCase):
    def test_keys_are_spread_evenly_and_independently(self):
        targets = engine_pool(tuple(f"10.0.1.{n}:80" for n in range(40))).targets
        ranking = PoolRanking(targets)
        pairs = collections.Counter()
        for number in range(8000):
            first, second = ranking.ranked(hash_64(b"%d" % number).to_bytes(8, "big"), 2)
            pairs[first.address] += 1
            pairs[first.address, second.address] += 1
        firsts = [count for name, count in pairs.items() if isinstance(name, str)]
        self.assertEqual(len(firsts), 40)
        # With 96 points per target the shares deviate by about 10%; the bounds
        # allow 40% around the mean of 200.
        self.assertLess(max(firsts), 280)
        self.assertGreater(min(firsts), 120)
        self.assertGreater(len(pairs) - 40, 1000)

    def test_a_lost_target_leaves_the_order_of_the_others(self):
        targets = engine_pool(ADDRESSES).targets
        whole, fewer = PoolRanking(targets), PoolRanking(targets[1:])
        for number in range(50):
            key = hash_64(b"%d" % number).to_bytes(8, "little")
            kept = [entry for entry in whole.ranked(key, 6) if entry != targets[0]]
            self.assertEqual(kept, fewer.ranked(key, 6))
