from __future__ import annotations

import unittest

from agaterail.decisions.ratelimits import RateLimit
from agaterail.gateway.targets import (
    MAX_DEPARTED,
    PRESUMED_LEAVING_S,
    Registration,
    Target,
    TargetRegistry,
)


def make_registration(instance="i-1", service="s", address="10.0.0.1:80", **fields):
    fields.setdefault("ready", True)
    fields.setdefault("domain", "a")
    return Registration(instance=instance, service=service, address=address, **fields)


def make_target(instance="i-1", **fields):
    return Target(registration=make_registration(instance, **fields))


class TargetTest(unittest.TestCase):
    def test_backoff_grows_with_each_failure(self):
        target = make_target()
        target.record_failure(0.0)
        self.assertFalse(target.is_usable(0.2))
        self.assertTrue(target.is_usable(0.3))
        target.record_failure(0.3)
        self.assertFalse(target.is_usable(0.7))
        target.record_success()
        self.assertTrue(target.is_usable(0.7))

    def test_a_draining_target_gets_no_new_requests(self):
        self.assertFalse(make_target(ready=False).is_usable(0.0))

    def test_success_of_an_older_request_ends_no_rest(self):
        target = make_target()
        target.rest_until = 13.0
        target.record_refusal(10.0)
        target.record_success()
        self.assertFalse(target.is_usable(12.9))
        self.assertFalse(target.is_only_refusing(12.9))
        self.assertTrue(target.is_usable(13.0))

    def test_time_at_which_a_target_takes_requests_again(self):
        target = make_target()
        self.assertEqual(target.takes_requests_at(10.0), 10.0)
        target.rest_until = 13.0
        self.assertEqual(target.takes_requests_at(10.0), 13.0)
        target.gone = True
        self.assertEqual(target.takes_requests_at(10.0), float("inf"))

    def test_an_answer_may_know_newer_weights_than_the_registration(self):
        target = make_target(weights={"m": 1})
        target.record_weights("m", 2)
        self.assertEqual(target.weights_of("m"), 2)
        target.record_weights("m", 1)
        self.assertEqual(target.weights_of("m"), 2)
        self.assertIsNone(target.weights_of("other"))


class TargetRegistryTest(unittest.TestCase):
    def setUp(self):
        self.registry = TargetRegistry(lapse_grace_s=2.0)
        self.gone = []
        self.registry.on_gone = self.gone.append

    def test_a_removed_target_is_dropped_immediately(self):
        self.registry.put(make_registration())
        self.registry.remove("i-1", now=0.0)
        self.assertEqual(self.registry.of_service("s"), [])
        self.assertTrue(self.gone[0].gone)

    def test_a_restart_under_the_same_id_clears_observations(self):
        # An engine crashed and came back empty. Observations of the old process must
        # not apply to the new one.
        old = self.registry.put(make_registration(born=1, weights={"m": 1}))
        old.record_weights("m", 5)
        new = self.registry.put(make_registration(born=2, weights={"m": 1}))
        self.assertIsNot(new, old)
        self.assertTrue(old.gone)
        self.assertEqual(new.weights_of("m"), 1)

    def test_targets_are_found_by_their_present_service(self):
        self.registry.put(make_registration("i-1", service="s", born=1))
        self.registry.put(make_registration("i-2", service="s", born=1))
        self.registry.put(make_registration("i-1", service="t", born=1))
        self.registry.put(make_registration("i-2", service="t", born=2))
        self.assertEqual(self.registry.of_service("s"), [])
        found = [item.instance for item in self.registry.of_service("t")]
        self.assertEqual(found, ["i-1", "i-2"])
        self.registry.remove("i-1", now=0.0)
        self.assertEqual([item.instance for item in self.registry.of_service("t")], ["i-2"])

    def test_what_a_restarted_target_says_before_it_registers_is_kept(self):
        """An engine said that it leaves, registered its restart, and got requests again."""
        target = self.registry.put(make_registration(born=7))
        target.leaving, target.rest_until = True, 50.0
        target.record_restart(8)
        self.assertEqual((target.leaving, target.rest_until), (False, 50.0))
        target.leaving, target.rest_until = True, 90.0
        target.record_restart(8)
        restarted = self.registry.put(make_registration(born=8))
        self.assertEqual((restarted.leaving, restarted.rest_until), (True, 90.0))
        again = self.registry.put(make_registration(born=9))
        self.assertEqual((again.leaving, again.rest_until), (False, 90.0))

    def test_target_that_leaves_leaves_until_it_starts_anew(self):
        # Its registration lapses and is read again, or a heartbeat still says ready.
        target = self.registry.put(make_registration(born=7))
        target.leaving = True
        self.assertTrue(self.registry.put(make_registration(born=7)).leaving)
        self.registry.remove("i-1", 0.0)
        self.assertFalse(self.registry.put(make_registration(born=7)).is_usable(1.0))
        self.assertTrue(self.registry.put(make_registration(born=8)).is_usable(1.0))

    def test_a_start_that_registers_late_is_used_although_it_leaves(self):
        """Guards against requests to a target that left before it was registered."""
        for say_before_report in (True, False):
            with self.subTest(say_before_report=say_before_report):
                registry = TargetRegistry(lapse_grace_s=2.0)
                target = registry.put(make_registration(born=7))
                target.record_break(1.0)
                if say_before_report:
                    registry.record_leaving("i-1", 7, is_start_known=False)
                    target.record_restart(8)
                    self.assertFalse(target.is_ready)
                else:
                    registry.record_leaving("i-1", 7, is_start_known=False)
                self.assertFalse(registry.put(make_registration(born=8)).is_ready)

    def test_a_late_start_is_used_although_its_entry_lapsed_before(self):
        """Guards against a presumption that ends with the former registration."""
        self.registry.put(make_registration(born=7)).record_break(1.0)
        self.registry.record_leaving("i-1", 7, is_start_known=False)
        self.registry.remove("i-1", 2.0)
        self.assertFalse(self.registry.put(make_registration(born=8)).is_ready)

    def test_a_start_after_the_target_had_left_is_out_of_use(self):
        """Guards against targets out of use that surely started after they had left."""
        for started_after, is_ready in ((4.0, False), (6.0, True)):
            with self.subTest(started_after=started_after):
                registry = TargetRegistry(lapse_grace_s=2.0)
                registry.put(make_registration(born=7))
                registry.record_leaving("i-1", 7, is_start_known=False, at=5.0)
                found = registry.put(make_registration(born=8), started_after)
                self.assertEqual(found.is_ready, is_ready)

    def test_a_presumption_that_a_target_leaves_ends(self):
        """Guards against a target that is out of use for good as its former start left."""
        self.registry.put(make_registration(born=7)).record_break(1.0)
        self.registry.record_leaving("i-1", 7, is_start_known=False)
        target = self.registry.put(make_registration(born=8))
        self.assertEqual(self.registry.expire_presumptions(10.0), [])
        self.assertEqual(
            self.registry.expire_presumptions(10.0 + PRESUMED_LEAVING_S), [target]
        )
        self.assertTrue(target.is_ready)
        self.assertEqual(self.registry.expire_presumptions(100.0), [])

    def test_an_entry_without_a_start_does_not_end_that_a_target_leaves(self):
        """An entry that named no start was taken for a restart of a leaving target."""
        for starts in ((5, 0, 5), (0, 5, 5), (5, 0, 0)):
            with self.subTest(starts):
                registry = TargetRegistry(lapse_grace_s=2.0)
                first, *others = starts
                registry.put(make_registration(born=first))
                registry.record_leaving("i-1", first)
                for born in others:
                    self.assertTrue(registry.put(make_registration(born=born)).leaving)

    def test_limits_and_rests_outlast_a_registration_that_lapses(self):
        """After an outage of the store each host sent a request without a permit."""
        target = self.registry.put(make_registration(born=5))
        target.rate_limit = RateLimit(rate_per_s=1.6, since=0.0, heard_at=0.0)
        target.brittle = RateLimit(rate_per_s=3.0, since=0.0, heard_at=0.0)
        target.rest_until = 50.0
        self.registry.remove("i-1", 0.0)
        again = self.registry.put(make_registration(born=5))
        self.assertEqual(again.rate_limit, target.rate_limit)
        self.assertEqual((again.brittle, again.rest_until), (target.brittle, 50.0))
        self.assertIsNone(self.registry.put(make_registration("i-2", born=5)).rate_limit)

    def test_few_targets_that_are_gone_are_remembered(self):
        for number in range(MAX_DEPARTED + 10):
            name = f"t-{number}"
            self.registry.put(make_registration(name)).rest_until = 50.0
            self.registry.remove(name, 0.0)
        self.assertEqual(len(self.registry.departed), MAX_DEPARTED)
        self.assertEqual(self.registry.put(make_registration(name)).rest_until, 50.0)

    def test_an_entry_without_a_start_comes_back_as_leaving(self):
        self.registry.put(make_registration(born=5)).leaving = True
        self.registry.remove("i-1", 0.0)
        self.assertTrue(self.registry.put(make_registration(born=0)).leaving)
        self.assertFalse(self.registry.put(make_registration(born=6)).leaving)

    def test_a_heartbeat_keeps_observations(self):
        target = self.registry.put(make_registration(born=1))
        target.record_failure(0.0)
        self.assertIs(self.registry.put(make_registration(born=1, slots=4)), target)
        self.assertEqual(target.failures, 1)

    def test_targets_that_lapsed_in_an_outage_are_kept_for_the_grace_period(self):
        # Right after the store recovers, its answers show registrations that lapsed
        # during the outage. Callers would be refused although the targets are alive and
        # register again within two seconds.
        self.registry.put(make_registration("i-1"))
        self.registry.put(make_registration("i-2"))
        self.registry.store_returned(now=100.0)
        self.registry.remove("i-1", now=100.1)
        self.registry.remove("i-2", now=100.1)
        self.assertEqual(len(self.registry.of_service("s")), 2)
        self.registry.put(make_registration("i-1"))
        self.assertEqual(self.registry.expire(now=101.9), [])
        self.assertEqual([item.instance for item in self.registry.expire(now=102.1)], ["i-2"])
        self.assertEqual([item.instance for item in self.registry.of_service("s")], ["i-1"])
