from __future__ import annotations

import unittest

from tools.bench.figures import EngineCounts, gap_closed, hit_rate, percentile, wasted_tokens
from tools.bench.workloads import CARONI, ISIKOVA, Trace


def counts(prompt=0, cached=0, **blocks):
    return EngineCounts(
        prompt_tokens=prompt,
        cached_tokens=cached,
        computed_tokens=0,
        imported_blocks=0,
        blocks=blocks,
    )


class WorkloadTest(unittest.TestCase):
    def test_equal_seeds_give_equal_traces(self):
        for profile in (CARONI, ISIKOVA):
            first, second = Trace(profile, 7), Trace(profile, 7)
            self.assertEqual(first.warm_up(20, 100.0), second.warm_up(20, 100.0))
            self.assertEqual(first.arrivals(4.0), second.arrivals(4.0))
            self.assertNotEqual(first.arrivals(4.0), Trace(profile, 8).arrivals(4.0))

    def test_hot_prefixes_move_at_half_time(self):
        arrivals = Trace(CARONI, 7).arrivals(120.0)
        early = [item.prompt.customer for item in arrivals if item.at_s < 60]
        late = [item.prompt.customer for item in arrivals if item.at_s >= 60]
        hottest = max(set(early), key=early.count)
        moved = (hottest + CARONI.shift) % CARONI.prefixes
        self.assertEqual(max(set(late), key=late.count), moved)

    def test_arrival_rate_doubles_at_half_time(self):
        arrivals = Trace(ISIKOVA, 7).arrivals(120.0)
        early = sum(item.at_s < 60 for item in arrivals)
        self.assertAlmostEqual((len(arrivals) - early) / early, 2.0, delta=0.2)


class FiguresTest(unittest.TestCase):
    def test_first_computation_is_not_waste(self):
        before = [counts(), counts()]
        self.assertEqual(wasted_tokens(before, [counts(a=1), counts(b=1)], 64), 0)

    def test_recomputation_on_any_engine_is_waste(self):
        # Engine 1 computes "a" in the warm-up. In the run, engine 1 computes it
        # again after an eviction, engine 2 computes it too, and engine 2 computes
        # "b" twice. Only the first computation of "b" is not waste.
        before = [counts(a=1), counts()]
        after = [counts(a=2), counts(a=1, b=2)]
        self.assertEqual(wasted_tokens(before, after, 64), 3 * 64)

    def test_hit_rate_is_between_snapshots(self):
        before = [counts(prompt=100, cached=0), counts(prompt=50, cached=50)]
        after = [counts(prompt=200, cached=75), counts(prompt=150, cached=75)]
        self.assertEqual(hit_rate(before, after), 0.5)
        self.assertEqual(hit_rate(before, before), 0.0)

    def test_percentiles_are_by_nearest_rank(self):
        self.assertEqual(percentile(range(1, 101), 0.99), 99)
        self.assertEqual(percentile([5.0], 0.5), 5.0)
        self.assertEqual(percentile([], 0.5), 0.0)

    def test_gap_closed(self):
        self.assertEqual(gap_closed(0.8, 0.4, 0.9), 0.8)
        self.assertEqual(gap_closed(0.5, 0.5, 0.5), 1.0)
