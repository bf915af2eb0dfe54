from __future__ import annotations

import unittest

from agaterail.gateway.weightsplan import WeightsPlan, cordon, outdated
from tests.test_agaterail.test_gateway.test_targets import make_target


def make_engines(count, version=1):
    return [make_target(f"i-{number}", weights={"m": version}) for number in range(count)]


class WeightsPlanTest(unittest.TestCase):
    def setUp(self):
        self.engines = make_engines(5)
        self.plan = WeightsPlan()

    def give(self, loads, now, wait_s=1.0):
        for load in loads:
            self.plan.ordered(load, now, wait_s, counts=True)

    def test_two_of_five_load_at_once(self):
        loads = self.plan.next_loads(self.engines, {"m": 2}, 0.0)
        self.assertEqual(len(loads), 2)
        self.give(loads, 0.0)
        self.assertEqual(self.plan.next_loads(self.engines, {"m": 2}, 0.5), [])

    def test_more_engines_load_more_at_once(self):
        loads = self.plan.next_loads(make_engines(30), {"m": 2}, 0.0)
        self.assertEqual(len(loads), 12)

    def test_the_next_follows_when_one_is_done(self):
        loads = self.plan.next_loads(self.engines, {"m": 2}, 0.0)
        self.give(loads, 0.0)
        loads[0].target.note_weights("m", 2)
        following = self.plan.next_loads(self.engines, {"m": 2}, 0.5)
        self.assertEqual(len(following), 1)
        self.assertNotIn(following[0].target, [load.target for load in loads])

    def test_an_order_without_effect_is_looked_at_again(self):
        # The order was lost, or will be carried out late: the engine still
        # counts as loading, and it is asked again instead of a third one.
        loads = self.plan.next_loads(self.engines, {"m": 2}, 0.0)
        self.give(loads, 0.0, wait_s=1.0)
        again = self.plan.next_loads(self.engines, {"m": 2}, 1.1)
        self.assertEqual(again, loads)

    def test_a_newer_version_overtakes_the_one_being_loaded(self):
        self.give(self.plan.next_loads(self.engines, {"m": 2}, 0.0), 0.0)
        loads = self.plan.next_loads(self.engines, {"m": 3}, 1.1)
        self.assertEqual({load.version for load in loads}, {3})

    def test_leaving_engines_are_not_loaded(self):
        leaving = make_target("i-9", ready=False, weights={"m": 1})
        self.assertEqual(outdated([leaving], {"m": 2}), [])

    def test_every_daemon_avoids_the_engines_that_are_ordered(self):
        # Callers' requests would be refused by engines that load; all daemons
        # compute the same order, so the ones marked are the ones ordered.
        cordon(self.engines, {"m": 2}, 7.0)
        marked = {item.instance for item in self.engines if item.cordoned_at is not None}
        loads = self.plan.next_loads(list(reversed(self.engines)), {"m": 2}, 7.0)
        self.assertEqual(marked, {load.target.instance for load in loads})
        for load in loads:
            load.target.note_weights("m", 2)
        cordon(self.engines, {"m": 2}, 8.0)
        now_marked = {item.instance for item in self.engines if item.cordoned_at is not None}
        self.assertFalse(marked & now_marked)
