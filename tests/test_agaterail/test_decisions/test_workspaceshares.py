from __future__ import annotations

import unittest

from agaterail.decisions.decayedsums import KindSums
from agaterail.decisions.workspaceshares import WorkspaceDemand, share_refusals

LOWEST = 0.3


def make_demand(prompts, tokens=1000.0, lowest=LOWEST):
    sums = KindSums(prompts, prompts * tokens, prompts * tokens * tokens)
    return WorkspaceDemand.from_sums(sums, lowest)


def refused_tokens(demands, refused):
    return sum(item.tokens * refused[name] for name, item in demands.items())


class ShareRefusalsTest(unittest.TestCase):
    def setUp(self):
        self.demands = {f"w{n}": make_demand(20) for n in range(15)}
        self.demands["hot"] = make_demand(300)

    def test_who_asks_for_more_than_an_equal_share_is_refused(self):
        # One workspace sends fifteen times what each other one does.
        refused = share_refusals(0.3, self.demands)
        self.assertAlmostEqual(refused["hot"], 0.6, places=2)
        self.assertEqual(refused["w0"], 0.0)

    def test_the_part_of_the_load_stays_the_same(self):
        total = sum(item.tokens for item in self.demands.values())
        for part in (0.05, 0.3, 0.5, 0.65):
            refused = share_refusals(part, self.demands)
            self.assertAlmostEqual(
                refused_tokens(self.demands, refused) / total, part, places=3
            )

    def test_no_workspace_is_admitted_less_than_guaranteed(self):
        for part in (0.1, 0.4, 0.6, 0.7):
            for value in share_refusals(part, self.demands).values():
                self.assertLessEqual(value, 1.0 - LOWEST + 1e-9)

    def test_equal_workspaces_are_treated_alike(self):
        demands = {f"w{n}": make_demand(20) for n in range(16)}
        values = share_refusals(0.4, demands).values()
        self.assertAlmostEqual(min(values), max(values))
        self.assertAlmostEqual(max(values), 0.4, places=3)

    def test_few_prompts_say_little(self):
        # One prompt each, and two of one workspace by chance.
        demands = {f"w{n}": make_demand(1) for n in range(8)}
        demands["two"] = make_demand(2)
        refused = share_refusals(0.3, demands)
        self.assertLess(refused["two"] - refused["w0"], 0.1)

    def test_a_single_prompt_each_is_refused_alike(self):
        demands = {f"w{n}": make_demand(1, tokens=n * 100.0 + 1.0) for n in range(1, 9)}
        for value in share_refusals(0.3, demands).values():
            self.assertAlmostEqual(value, 0.3)
