from __future__ import annotations

import unittest

from agaterail.gateway.controlstore import Feed
from agaterail.gateway.storebackoff import (
    FLEET_PROBES_PER_S,
    MAX_BACKOFF_S,
    MAX_FLEET_BACKOFF_S,
    StoreBackoff,
    max_backoff_s,
)


class StoreBackoffTest(unittest.TestCase):
    def setUp(self):
        self.backoff = StoreBackoff()

    def fail(self, feed=Feed.OPERATORS, now=0.0, longest_s=MAX_BACKOFF_S):
        return self.backoff.record_failure(feed, now, longest_s, number=0.5)

    def test_a_failed_read_blocks_all_feeds(self):
        self.fail()
        self.assertTrue(self.backoff.in_outage)
        for feed in Feed:
            self.assertGreater(self.backoff.wait_s(feed, 0.0), 0.0)
            self.assertEqual(self.backoff.wait_s(feed, MAX_BACKOFF_S), 0.0)

    def test_no_other_feed_is_read_while_a_probe_is_in_flight(self):
        self.fail()
        self.backoff.probes += 1
        self.assertEqual(self.backoff.wait_s(Feed.TARGETS, 99.0), float("inf"))

    def test_one_success_releases_all_feeds(self):
        for feed in Feed:
            self.fail(feed)
        self.backoff.record_success(Feed.LEASE)
        self.assertFalse(self.backoff.in_outage)
        for feed in Feed:
            self.assertEqual(self.backoff.wait_s(feed, 0.0), 0.0)

    def test_a_malformed_answer_delays_only_its_own_feed(self):
        self.backoff.record_failure(Feed.LEASE, 0.0, MAX_BACKOFF_S, 0.5, answered=True)
        self.assertFalse(self.backoff.in_outage)
        self.assertGreater(self.backoff.wait_s(Feed.LEASE, 0.0), 0.0)
        self.assertEqual(self.backoff.wait_s(Feed.TARGETS, 0.0), 0.0)
        self.backoff.record_success(Feed.TARGETS)
        self.assertGreater(self.backoff.wait_s(Feed.LEASE, 0.0), 0.0)

    def test_pauses_grow_with_failures_of_any_feed_up_to_the_longest(self):
        pauses = []
        for number in range(8):
            now = 10.0 * number
            self.fail(list(Feed)[number % 2], now)
            pauses.append(self.backoff.wait_s(Feed.LEASE, now))
        self.assertEqual(pauses, sorted(pauses))
        self.assertAlmostEqual(pauses[-1], MAX_BACKOFF_S)

    def test_a_large_fleet_probes_the_store_at_a_bounded_rate(self):
        for daemons in (75.0, 100.0):
            self.assertLessEqual(
                daemons / max_backoff_s(daemons, False), FLEET_PROBES_PER_S + 50
            )
        self.assertEqual(max_backoff_s(410.0, is_reader=False), MAX_FLEET_BACKOFF_S)
        self.assertEqual(max_backoff_s(410.0, is_reader=True), MAX_BACKOFF_S)
