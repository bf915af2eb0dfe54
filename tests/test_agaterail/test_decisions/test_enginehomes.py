from __future__ import annotations

import unittest
from collections import Counter

import attrs

from agaterail.decisions.enginehomes import (
    KEEP_WEIGHTS_S,
    MAX_CACHED_NAMES,
    MAX_CACHED_ORDERS,
    EngineHomes,
    hash_number,
    rank_names,
)
from agaterail.engineloads.figures import EngineFigures

NAMES = [f"i-{number}" for number in range(20)]
KEYS = [f"part-{number}" for number in range(1000)]
NONE = frozenset()


class EngineHomesTest(unittest.TestCase):
    def setUp(self):
        self.homes = EngineHomes()
        self.figures = {name: EngineFigures() for name in NAMES}
        self.now = 100.0
        self.refresh()

    def refresh(self, after_s=1.0):
        self.now += after_s
        self.homes.refresh(NAMES, self.figures.get, self.now)

    def set_pace(self, name, pace):
        self.figures[name] = attrs.evolve(self.figures[name], pace=pace)
        self.refresh()

    def homes_of_keys(self, outdated=NONE):
        return [self.homes.order(key, NAMES, outdated)[0] for key in KEYS]

    def test_an_order_holds_every_engine_once(self):
        order = self.homes.order("k", NAMES, NONE)
        self.assertEqual(sorted(order), sorted(NAMES))
        self.assertEqual(self.homes.order("k", NAMES, NONE), order)

    def test_two_daemons_have_the_same_order(self):
        other = EngineHomes()
        other.refresh(NAMES[::-1], self.figures.get, 5.0)
        for key in KEYS[:50]:
            expected = self.homes.order(key, NAMES, NONE)
            self.assertEqual(other.order(key, NAMES, NONE), expected)

    def test_the_rank_follows_the_number_of_the_hash(self):
        expected = sorted(NAMES, key=lambda name: hash_number("k", name), reverse=True)
        self.assertEqual(rank_names("k", NAMES), expected)

    def test_excluded_engines_are_left_out_of_a_cached_order(self):
        order = self.homes.order("k", NAMES, NONE)
        self.assertEqual(self.homes.order("k", set(order[1:]), NONE), order[1:])

    def test_an_engine_is_ranked_before_the_next_refresh(self):
        self.assertIn("new", self.homes.order("k", [*NAMES, "new"], NONE))

    def test_a_quick_engine_is_home_of_more_parts_and_others_keep_theirs(self):
        before = self.homes_of_keys()
        self.set_pace("i-0", 0.5)
        after = self.homes_of_keys()
        counts = Counter(before)["i-0"], Counter(after)["i-0"]
        self.assertTrue(1.05 < counts[1] / counts[0] < 1.4, counts)
        for old, new in zip(before, after, strict=True):
            self.assertIn(new, (old, "i-0"))

    def test_homes_stay_while_an_estimate_varies(self):
        """Homes moved with each estimate, and their parts were read again."""
        self.set_pace("i-0", 0.5)
        before = self.homes_of_keys()
        for pace in (0.46, 0.53, 0.45, 0.55, 0.5):
            self.set_pace("i-0", pace)
            self.assertEqual(self.homes_of_keys(), before)

    def test_weights_stay_while_the_exchange_is_interrupted(self):
        self.set_pace("i-0", 0.5)
        weight = self.homes.weight("i-0")
        self.figures.clear()
        self.refresh(KEEP_WEIGHTS_S - 1.0)
        self.assertEqual(self.homes.weight("i-0"), weight)
        self.assertIsNone(self.homes.usual)
        self.refresh(2.0)
        self.assertEqual(self.homes.weight("i-0"), 1.0)

    def test_outdated_engines_are_home_of_fewer_parts(self):
        outdated = frozenset(NAMES[:10])
        counts = Counter(name in outdated for name in self.homes_of_keys(outdated))
        self.assertTrue(0.5 < counts[True] / counts[False] < 0.7, counts)

    def test_the_cache_of_orders_is_bounded(self):
        """Names of shared parts, which callers choose, took memory without end."""
        names = [f"i-{number}" for number in range(200)]
        for known, most in ((NAMES, MAX_CACHED_ORDERS), (names, MAX_CACHED_NAMES // 200)):
            self.homes.refresh(known, self.figures.get, self.now)
            for number in range(most + 10):
                self.homes.order(f"k{number}", known, NONE)
            self.assertEqual(len(self.homes.orders), most)
        self.homes.order("k" * 10_000, names, NONE)
        self.assertTrue(all(len(key) < 10 for key, _ in self.homes.orders))

    def test_new_shared_parts_are_known_by_route(self):
        for _ in range(50):
            self.homes.record_parts("once", True)
            self.homes.record_parts("often", False)
        self.assertGreater(self.homes.new_fractions["once"], 0.9)
        self.assertEqual(self.homes.new_fractions["often"], 0.0)

    def test_usual_figures_are_means(self):
        self.figures["i-0"] = EngineFigures(streams=20.0, prefill_tokens=2000.0)
        self.refresh()
        self.assertEqual(self.homes.usual.streams, 1.0)
        self.assertEqual(self.homes.usual.prefill_tokens, 100.0)
