from __future__ import annotations

import unittest

from agaterail.gateway.weightsplan import (
    RolloutConditions,
    WeightsPlan,
    cordon,
    find_outdated,
    max_concurrent_loads,
    may_interrupt,
)
from tests.slot_fleet import late_part
from tests.test_agaterail.test_gateway.test_targets import make_target

LIGHT = RolloutConditions(outdated_for_s=0.0, allowed_s=15.0, demand=1.0, load_s=1.9)
HEAVY = RolloutConditions(outdated_for_s=0.0, allowed_s=15.0, demand=5.0, load_s=1.9)


def make_engines(count, version=1):
    return [make_target(f"i-{number}", weights={"m": version}) for number in range(count)]


class WeightsPlanTest(unittest.TestCase):
    def setUp(self):
        self.engines = make_engines(5)
        self.plan = WeightsPlan()

    def record_orders(self, loads, now, wait_s=1.0):
        for load in loads:
            self.plan.record_order(load, now, wait_s, may_be_loading=True)

    def test_two_of_five_load_at_once(self):
        loads = self.plan.next_loads(self.engines, {"m": 2}, LIGHT, 0.0)
        self.assertEqual(len(loads), 2)
        self.record_orders(loads, 0.0)
        self.assertEqual(self.plan.next_loads(self.engines, {"m": 2}, LIGHT, 0.5), [])

    def test_more_engines_load_more_at_once(self):
        loads = self.plan.next_loads(make_engines(30), {"m": 2}, LIGHT, 0.0)
        self.assertEqual(len(loads), 12)

    def test_the_next_load_starts_when_one_completes(self):
        loads = self.plan.next_loads(self.engines, {"m": 2}, LIGHT, 0.0)
        self.record_orders(loads, 0.0)
        loads[0].target.record_weights("m", 2)
        following = self.plan.next_loads(self.engines, {"m": 2}, LIGHT, 0.5)
        self.assertEqual(len(following), 1)
        self.assertNotIn(following[0].target, [load.target for load in loads])

    def test_an_order_without_effect_is_polled_again(self):
        # The order was lost or will be carried out late. The engine still counts as
        # loading and is polled again, and no third engine is ordered.
        loads = self.plan.next_loads(self.engines, {"m": 2}, LIGHT, 0.0)
        self.record_orders(loads, 0.0, wait_s=1.0)
        again = self.plan.next_loads(self.engines, {"m": 2}, LIGHT, 1.1)
        self.assertEqual(again, loads)

    def test_a_newer_version_supersedes_the_one_being_loaded(self):
        self.record_orders(self.plan.next_loads(self.engines, {"m": 2}, LIGHT, 0.0), 0.0)
        loads = self.plan.next_loads(self.engines, {"m": 3}, LIGHT, 1.1)
        self.assertEqual({load.version for load in loads}, {3})

    def test_leaving_engines_are_not_loaded(self):
        leaving = make_target("i-9", ready=False, weights={"m": 1})
        self.assertEqual(find_outdated([leaving], {"m": 2}), [])

    def test_every_daemon_cordons_the_engines_that_are_ordered_to_load(self):
        # Loading engines refuse requests. All daemons compute the same order, so
        # each cordons exactly the engines that are ordered to load.
        cordon(self.engines, {"m": 2}, LIGHT, 7.0)
        cordoned = {item.instance for item in self.engines if item.cordoned_at is not None}
        loads = self.plan.next_loads(list(reversed(self.engines)), {"m": 2}, LIGHT, 7.0)
        self.assertEqual(cordoned, {load.target.instance for load in loads})
        for load in loads:
            load.target.record_weights("m", 2)
        cordon(self.engines, {"m": 2}, LIGHT, 8.0)
        now_cordoned = {item.instance for item in self.engines if item.cordoned_at is not None}
        self.assertFalse(cordoned & now_cordoned)

    def test_under_heavy_load_one_engine_loads_at_a_time(self):
        # Five engines receive five engines' worth of prompts. If two of them loaded,
        # callers of the other three would wait for seconds.
        self.assertEqual(len(self.plan.next_loads(self.engines, {"m": 2}, HEAVY, 0.0)), 1)

    def test_a_rollout_meets_its_deadline_under_heavy_load(self):
        # Requests must not start on outdated weights after 15 s. Loads of 3 s each are
        # paced so that the last one completes before then.
        engines = make_engines(12)
        now, done_at = 0.0, {}
        while find_outdated(engines, {"m": 2}) and now < 30.0:
            conditions = RolloutConditions(
                outdated_for_s=now, allowed_s=15.0, demand=12.0, load_s=1.9
            )
            for load in self.plan.next_loads(engines, {"m": 2}, conditions, now):
                self.plan.record_order(load, now, 10.0, may_be_loading=True)
                done_at[load.target.instance] = now + 3.0
            now += 0.1
            for engine in engines:
                if done_at.get(engine.instance, now + 1) <= now:
                    engine.record_weights("m", 2)
        self.assertLess(now, 15.0)

    def test_at_most_two_fifths_load_at_once_under_light_load(self):
        self.assertEqual(max_concurrent_loads(10, 10, LIGHT), 4)

    def test_some_engines_stay_in_service_when_a_rollout_is_late(self):
        # New versions arrive faster than engines load, so all engines are overdue.
        late = RolloutConditions(outdated_for_s=12.0, allowed_s=15.0, demand=0.5, load_s=1.9)
        self.assertEqual(max_concurrent_loads(5, 5, late), 3)
        self.assertEqual(max_concurrent_loads(1, 1, late), 1)
        for second in range(5):
            cordon(self.engines, {"m": 2}, late, 10.0 + second)
        self.assertEqual(sum(e.cordoned_at is not None for e in self.engines), 3)

    def test_an_unreachable_engine_does_not_count_as_loading(self):
        # Two engines are unreachable; the others load meanwhile.
        for engine in self.engines[:2]:
            engine.record_failure(0.0)
        loads = self.plan.next_loads(self.engines, {"m": 2}, LIGHT, 0.1)
        self.assertFalse({load.target for load in loads} & set(self.engines[:2]))

    def test_an_engine_that_missed_two_versions_comes_first(self):
        self.engines[3].registration.weights["m"] = 0
        self.assertIs(find_outdated(self.engines, {"m": 2})[0].target, self.engines[3])

    def test_an_engine_stays_cordoned_until_it_has_loaded(self):
        # A burst of callers halves the number of concurrent loads. The second engine is
        # already loading; if it were uncordoned, it would get requests and refuse them.
        cordon(self.engines, {"m": 2}, LIGHT, 10.0)
        cordoned = {item.instance for item in self.engines if item.cordoned_at is not None}
        cordon(self.engines, {"m": 2}, HEAVY, 11.0)
        still = {item.instance for item in self.engines if item.cordoned_at is not None}
        self.assertEqual(still, cordoned)

    def test_the_next_engines_drain_while_the_first_load(self):
        cordon(self.engines, {"m": 2}, LIGHT, 10.0)
        cordon(self.engines, {"m": 2}, LIGHT, 10.9)
        self.assertEqual(sum(e.cordoned_at is not None for e in self.engines), 2)
        cordon(self.engines, {"m": 2}, LIGHT, 11.1)
        self.assertEqual(sum(e.cordoned_at is not None for e in self.engines), 3)

    def test_no_engine_drains_ahead_if_the_others_would_be_fully_used(self):
        """31 of 59 engines were out at once, and the others had no spare capacity left."""
        engines = make_engines(59)
        busy = RolloutConditions(outdated_for_s=0.0, allowed_s=20.0, demand=28.0, load_s=1.9)
        cordon(engines, {"m": 2}, busy, 10.0)
        cordon(engines, {"m": 2}, busy, 11.1)
        self.assertEqual(sum(e.cordoned_at is not None for e in engines), 24)

    def test_under_heavy_load_no_engine_is_cordoned_early(self):
        cordon(self.engines, {"m": 2}, HEAVY, 10.0)
        cordon(self.engines, {"m": 2}, HEAVY, 11.6)
        self.assertEqual(sum(e.cordoned_at is not None for e in self.engines), 1)

    def test_running_requests_get_time_to_finish(self):
        cordon(self.engines, {"m": 2}, LIGHT, 10.0)
        cordoned = [item for item in self.engines if item.cordoned_at is not None]
        self.assertFalse(may_interrupt(cordoned[0], 10.9))
        self.assertTrue(may_interrupt(cordoned[0], 11.1))


class FreeSlotsTest(unittest.TestCase):
    """Engines loaded while the requests in flight needed the slots of the others."""

    ENGINES = 70
    OCCUPIED = 35.0
    MAX_LATE = 0.05

    def conditions(self, outdated_for_s=0.0):
        return RolloutConditions(
            outdated_for_s=outdated_for_s,
            allowed_s=20.0,
            demand=22.0,
            load_s=1.9,
            occupied=self.OCCUPIED,
        )

    def test_callers_get_their_first_tokens_in_time_during_a_rollout(self):
        loading = max_concurrent_loads(self.ENGINES, self.ENGINES, self.conditions())
        self.assertGreater(loading, 1)
        late = late_part(self.ENGINES - loading, self.OCCUPIED)
        self.assertLess(late, self.MAX_LATE)

    def test_engines_that_drain_ahead_leave_free_slots_too(self):
        engines = make_engines(self.ENGINES)
        for step in range(20):
            cordon(engines, {"m": 2}, self.conditions(), step * 0.1)
        cordoned = sum(engine.cordoned_at is not None for engine in engines)
        late = late_part(self.ENGINES - cordoned, self.OCCUPIED)
        self.assertLess(late, self.MAX_LATE)

    def test_a_late_rollout_goes_on_without_free_slots(self):
        late = max_concurrent_loads(self.ENGINES, self.ENGINES, self.conditions(14.0))
        self.assertGreater(late, 30)
