from __future__ import annotations

import random
import unittest

import attrs

from agaterail.decisions.refusalorder import OfferedPrompt, RefusalOrder, RefusalReason

URGENT = OfferedPrompt(
    urgency=0,
    route_priority=0,
    route="urgent",
    workspace="w0",
    tokens=884,
    time_limit_s=15.6,
)
LARGE = OfferedPrompt(
    urgency=2, route_priority=2, route="large", workspace="w0", tokens=9200, time_limit_s=5.1
)
WORKSPACES = 8


class RefusalOrderTest(unittest.TestCase):
    def setUp(self):
        self.order = RefusalOrder()
        self.random = random.Random(3)
        self.now = 0.0

    def offer(self, prompt, part=0.0, **changes):
        self.now += 0.02
        changes.setdefault("workspace", f"w{self.random.randrange(WORKSPACES)}")
        offer = self.order.offer(attrs.evolve(prompt, **changes), self.now)
        chance = self.order.chance(offer, part, self.now)
        self.order.record_chance(chance, self.now)
        return chance

    def offer_many(self, count, part=0.0, prompts=(URGENT, LARGE)):
        chances = {prompt.route: [] for prompt in prompts}
        for _ in range(count):
            for prompt in prompts:
                chances[prompt.route].append(self.offer(prompt, part).probability)
        return {route: sum(items) / len(items) for route, items in chances.items()}

    def test_with_one_urgency_all_have_the_same_probability(self):
        for part in (0.0, 0.123, 0.9):
            for workspace, limit_s in (("a", 5.1), ("b", 3.0), ("a", None)):
                chance = self.offer(
                    LARGE, part, workspace=workspace, time_limit_s=limit_s, route="x"
                )
                self.assertEqual(chance.probability, part)
                self.assertIs(chance.reason, RefusalReason.OVERLOAD)

    def test_the_first_prompts_are_refused_alike(self):
        self.assertEqual(self.offer(URGENT, 0.5).probability, 0.5)
        second = self.offer(LARGE, 0.5).probability
        self.assertTrue(0.5 <= second < 0.6)

    def test_urgent_prompts_are_spared(self):
        self.offer_many(50)
        means = self.offer_many(100, 0.4)
        self.assertLess(means["urgent"], 0.01)
        self.assertGreater(means["large"], 0.4)
        self.assertIs(self.offer(LARGE, 0.4).reason, RefusalReason.URGENCY)

    def test_the_route_decides_between_prompts_of_one_urgency(self):
        own = [attrs.evolve(prompt, urgency=1) for prompt in (URGENT, LARGE)]
        self.offer_many(50, prompts=own)
        means = self.offer_many(100, 0.4, prompts=own)
        self.assertLess(means["urgent"], 0.01)
        self.assertGreater(means["large"], 0.4)

    def test_the_urgency_goes_before_the_route(self):
        # The workspace of the large prompts is urgent, that of the others is not.
        large = attrs.evolve(LARGE, urgency=0)
        small = attrs.evolve(URGENT, urgency=1, tokens=9200)
        self.offer_many(50, prompts=(large, small))
        means = self.offer_many(100, 0.3, prompts=(large, small))
        self.assertLess(means["large"], 0.01)
        self.assertGreater(means["urgent"], 0.3)

    def test_a_long_overload_leaves_each_urgency_its_guarantee(self):
        # Nine tenths of the load are refused for a minute.
        means = self.offer_many(1500, 0.9)
        admitted = {route: 1.0 - mean for route, mean in means.items()}
        of_all = sum(admitted.values()) / 2
        self.assertGreater(admitted["large"], 0.25 * of_all)
        self.assertGreater(admitted["urgent"], admitted["large"])

    def test_a_short_overload_does_not_reach_the_urgent(self):
        # What is left of the load is about twice what the urgent prompts ask for.
        self.offer_many(100)
        means = self.offer_many(25, 0.8)
        self.assertLess(means["urgent"], 0.05)

    def test_a_workspace_with_much_load_is_refused_more(self):
        hot, others = [], []
        for step in range(400):
            self.offer(URGENT)
            others.append(self.offer(LARGE, 0.3, workspace=f"w{step % WORKSPACES}"))
            hot += [self.offer(LARGE, 0.3, workspace="hot") for _ in range(2)]
        means = [
            sum(item.probability for item in items[100:]) / len(items[100:])
            for items in (hot, others)
        ]
        self.assertGreater(means[0], 0.4)
        self.assertLess(means[1], 0.02)
        self.assertIs(hot[-1].reason, RefusalReason.WORKSPACE_SHARE)

    def test_a_workspace_with_much_load_keeps_its_guarantee(self):
        admitted, offered, hot = 0.0, 0, []
        for step in range(3000):
            chances = [self.offer(URGENT, 0.75)]
            chances.append(self.offer(LARGE, 0.75, workspace=f"w{step % WORKSPACES}"))
            hot.append(1.0 - self.offer(LARGE, 0.75, workspace="hot").probability)
            admitted += sum(1.0 - item.probability for item in chances) + hot[-1]
            offered += 3
        self.assertGreater(sum(hot) / len(hot), 0.25 * admitted / offered)

    def test_all_sizes_of_one_urgency_are_refused_alike(self):
        # The largest tenth, the fifth below it, and the others.
        sizes = [36_800] + [18_400] * 2 + [5_500] * 7
        for interval_s in (0.0, 0.6):  # added to the interval of a busy daemon
            admitted = {tokens: [] for tokens in sizes}
            for _ in range(1500):
                self.now += interval_s
                self.offer(URGENT, 0.4)
                tokens = self.random.choice(sizes)
                chance = self.offer(LARGE, 0.4, tokens=tokens)
                admitted[tokens].append(1.0 - chance.probability)
            every = [item for items in admitted.values() for item in items]
            for items in admitted.values():
                mean = sum(items) / len(items)
                self.assertGreater(mean, 0.8 * sum(every) / len(every))

    def test_callers_that_return_are_refused_last(self):
        self.offer_many(50)
        first, returned = [], []
        for step in range(300):
            self.offer(URGENT, 0.3)
            first.append(self.offer(LARGE, 0.3).probability)
            if step % 4 == 0:
                chance = self.offer(LARGE, 0.3, time_limit_s=3.9)
                self.assertTrue(chance.offer.has_returned)
                returned.append(chance.probability)
        self.assertLess(sum(returned) / len(returned), 0.1)
        self.assertGreater(sum(first) / len(first), 0.3)

    def test_the_text_for_the_log_names_the_inputs(self):
        self.offer_many(100)
        chance = self.offer(LARGE, 0.4, time_limit_s=3.9, workspace="w1")
        self.assertRegex(
            chance.describe(),
            r"^0\.\d\d of urgency 2, route 2, returned \(0\.\d\d, workspace 0\.\d\d\), "
            r"by \d+ prompts of \d\.\d s$",
        )

    def test_state_is_bounded(self):
        # A fleet may serve 23,000 workspaces.
        for number in range(3000):
            self.offer(LARGE, 0.5, workspace=f"w{number}")
            self.offer(URGENT, 0.5, workspace=f"w{number}")
        self.assertLessEqual(len(self.order.workspaces.kinds), 64)
        self.assertLessEqual(len(self.order.workspace_admissions.kinds), 64)
        self.assertLessEqual(len(self.order.loads.kinds), 4)
