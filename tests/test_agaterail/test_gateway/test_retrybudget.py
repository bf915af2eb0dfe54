from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from agaterail.gateway.retrybudget import BudgetTerms, RetryBudget

TERMS = BudgetTerms(ratio=0.2, extra=52.0, window_s=10.0)


class RetryBudgetTest(unittest.TestCase):
    def test_without_requests_and_share_nothing_is_repeated(self):
        self.assertFalse(RetryBudget(TERMS).take("s", 0.0))

    def test_services_have_budgets_of_their_own(self):
        budget = RetryBudget(TERMS)
        budget.share = 0.1
        while budget.take("a", 0.0):
            pass
        self.assertTrue(budget.take("b", 0.0))

    def test_a_repeat_is_free_again_after_the_window(self):
        budget = RetryBudget(TERMS)
        budget.share = 0.04
        self.assertTrue(budget.take("s", 0.0))
        self.assertFalse(budget.take("s", 9.9))
        self.assertTrue(budget.take("s", 10.1))

    @given(
        st.lists(
            st.tuples(st.integers(0, 5), st.booleans(), st.floats(0.0, 0.3)),
            max_size=400,
        ),
        st.integers(0, 5),
    )
    def test_daemons_with_differing_views_stay_within_the_whole_budget(self, steps, joined):
        # Six daemons; one of them held its share until a moment ago and another
        # was dealt the same partitions meanwhile, so shares sum to more than 1.
        budgets = [RetryBudget(TERMS) for _ in range(6)]
        for budget in budgets:
            budget.share = 1.0 / 6.0
        budgets[joined].share = 2.0 / 6.0
        now, requests, repeats = 0.0, [], []
        for number, is_request, pause in steps:
            now += pause
            if is_request:
                budgets[number].note_request("s", now)
                requests.append(now)
            elif budgets[number].take("s", now):
                repeats.append(now)
        for end in repeats:
            inside = sum(end - TERMS.window_s < at <= end for at in repeats)
            asked = sum(end - TERMS.window_s < at <= end for at in requests)
            self.assertLessEqual(inside, TERMS.ratio * asked + TERMS.extra)
