from __future__ import annotations

import itertools
import unittest

from agaterail.decisions.urgency import (
    LOWEST_PRIORITY,
    UrgencyLoad,
    divide_refusals,
    effective_priority,
    rank_priorities,
)

LOWEST = 0.4
# Small urgent prompts beside large, less urgent ones of ten times their tokens.
SMALL_URGENT = [UrgencyLoad(0.5, 0.09), UrgencyLoad(0.5, 0.91)]
LARGE_URGENT = [UrgencyLoad(0.5, 0.91), UrgencyLoad(0.5, 0.09)]
EQUAL = [UrgencyLoad(0.5, 0.5), UrgencyLoad(0.5, 0.5)]
THREE = [UrgencyLoad(0.2, 0.1), UrgencyLoad(0.3, 0.5), UrgencyLoad(0.5, 0.4)]
RARE_URGENT = [UrgencyLoad(0.01, 0.01), UrgencyLoad(0.99, 0.99)]
MIXES = (SMALL_URGENT, LARGE_URGENT, EQUAL, THREE, RARE_URGENT)
PARTS = [step / 100.0 for step in range(91)]


def of_tokens(loads, refused):
    return sum(load.tokens * item for load, item in zip(loads, refused, strict=True))


def of_prompts(loads, refused):
    return sum(load.prompts * item for load, item in zip(loads, refused, strict=True))


class DivideRefusalsTest(unittest.TestCase):
    def test_one_urgency_is_refused_as_before(self):
        for part in (0.0, 0.37, 0.9, 1.0):
            self.assertEqual(divide_refusals(part, [UrgencyLoad(1.0, 1.0)], LOWEST), [part])

    def test_the_least_urgent_are_refused_first(self):
        urgent, other = divide_refusals(0.3, SMALL_URGENT, LOWEST)
        self.assertEqual(urgent, 0.0)
        self.assertAlmostEqual(other, 0.3 / 0.91)

    def test_more_urgent_prompts_are_refused_once_the_others_are_at_their_guarantee(self):
        urgent, other = divide_refusals(0.8, SMALL_URGENT, LOWEST)
        self.assertGreater(urgent, 0.0)
        admitted = 1.0 - of_prompts(SMALL_URGENT, (urgent, other))
        self.assertAlmostEqual(1.0 - other, LOWEST * admitted)

    def test_three_urgencies_are_refused_one_after_the_other(self):
        first, second, third = divide_refusals(0.2, THREE, LOWEST)
        self.assertEqual((first, second), (0.0, 0.0))
        self.assertAlmostEqual(third, 0.5)
        first, second, third = divide_refusals(0.5, THREE, LOWEST)
        self.assertEqual(first, 0.0)
        self.assertTrue(0.0 < second < third)

    def test_the_part_of_the_tokens_stays_the_same(self):
        for loads, part in itertools.product(MIXES, PARTS):
            refused = divide_refusals(part, loads, LOWEST)
            self.assertAlmostEqual(of_tokens(loads, refused), part)

    def test_urgent_prompts_are_never_refused_more_often(self):
        for loads, part in itertools.product(MIXES, PARTS):
            refused = divide_refusals(part, loads, LOWEST)
            self.assertEqual(refused, sorted(refused))
            self.assertTrue(refused[0] >= 0.0 and refused[-1] <= 1.0)

    def test_no_urgency_is_admitted_less_than_its_guarantee(self):
        for loads, part in itertools.product(MIXES, PARTS):
            refused = divide_refusals(part, loads, LOWEST)
            admitted = 1.0 - of_prompts(loads, refused)
            self.assertGreaterEqual(1.0 - max(refused) + 1e-9, LOWEST * admitted)

    def test_the_order_refuses_few_more_prompts_than_equal_treatment(self):
        # Refusing only the small prompts would turn away many callers for little room.
        for loads, part in itertools.product(MIXES, PARTS):
            refused = divide_refusals(part, loads, LOWEST)
            self.assertLessEqual(of_prompts(loads, refused), 1.25 * part + 1e-9)

    def test_the_result_is_continuous_in_the_part(self):
        for loads in MIXES:
            results = [divide_refusals(part, loads, LOWEST) for part in PARTS]
            for before, after in itertools.pairwise(results):
                for old, new in zip(before, after, strict=True):
                    self.assertLess(abs(new - old), 0.1)


class EffectivePriorityTest(unittest.TestCase):
    def test_the_priority_of_the_workspace_goes_first(self):
        self.assertEqual(effective_priority(3, None), 3)
        self.assertEqual(effective_priority(3, 0), 0)
        self.assertEqual(effective_priority(3, 70), LOWEST_PRIORITY)
        self.assertEqual(effective_priority(-1, None), 0)


class RankPrioritiesTest(unittest.TestCase):
    def test_the_workspace_comes_first_and_the_route_breaks_ties(self):
        ranks = rank_priorities([1, 0, None], [2, 0])
        ordered = sorted(ranks, key=ranks.__getitem__)
        self.assertEqual(ordered, [(0, 0), (0, 2), (1, 0), (1, 2), (2, 2)])
        self.assertEqual(sorted(ranks.values()), [0, 1, 2, 3, 4])

    def test_the_effective_priority_is_all_that_counts_without_workspace_priorities(self):
        self.assertEqual(rank_priorities([None], [2, 0]), {})
        self.assertEqual(rank_priorities([], [2, 0]), {})

    def test_too_many_pairs_are_not_told_apart(self):
        self.assertEqual(rank_priorities(range(6), [0, 2]), {})
