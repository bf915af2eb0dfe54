from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from agaterail.gateway.retrybudget import RetryBudget, RetryBudgetLimits

LIMITS = RetryBudgetLimits(ratio=0.2, extra=52.0, window_s=10.0)


class RetryBudgetTest(unittest.TestCase):
    def test_without_requests_or_a_share_there_is_no_budget(self):
        self.assertFalse(RetryBudget(LIMITS).try_consume("s", 0.0))

    def test_each_service_has_its_own_budget(self):
        budget = RetryBudget(LIMITS)
        budget.share = 0.1
        while budget.try_consume("a", 0.0):
            pass
        self.assertTrue(budget.try_consume("b", 0.0))

    def test_the_budget_is_restored_after_the_window(self):
        budget = RetryBudget(LIMITS)
        budget.share = 0.04
        self.assertTrue(budget.try_consume("s", 0.0))
        self.assertFalse(budget.try_consume("s", 9.9))
        self.assertTrue(budget.try_consume("s", 10.1))

    @given(
        st.lists(
            st.tuples(st.integers(0, 5), st.booleans(), st.floats(0.0, 0.3)),
            max_size=400,
        ),
        st.integers(0, 5),
    )
    def test_daemons_with_overlapping_shares_stay_within_the_total_budget(self, steps, joined):
        # One of six daemons still uses a share that another one has already been
        # assigned, so the shares sum to more than 1.
        budgets = [RetryBudget(LIMITS) for _ in range(6)]
        for budget in budgets:
            budget.share = 1.0 / 6.0
        budgets[joined].share = 2.0 / 6.0
        now, requests, retries = 0.0, [], []
        for number, is_request, pause in steps:
            now += pause
            if is_request:
                budgets[number].record_request("s", now)
                requests.append(now)
            elif budgets[number].try_consume("s", now):
                retries.append(now)
        for end in retries:
            inside = sum(end - LIMITS.window_s < at <= end for at in retries)
            asked = sum(end - LIMITS.window_s < at <= end for at in requests)
            self.assertLessEqual(inside, LIMITS.ratio * asked + LIMITS.extra)
