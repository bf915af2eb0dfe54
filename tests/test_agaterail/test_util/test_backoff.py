from __future__ import annotations

import unittest

from agaterail.gateway.controlstore import Feed
from agaterail.gateway.storebackoff import StoreBackoff
from agaterail.util.backoff import backoff_s
from tests.test_agaterail.test_gateway.test_targets import make_target

MANY = 3000


class BackoffTest(unittest.TestCase):
    def test_pauses_double_up_to_the_longest(self):
        pauses = [backoff_s(failures, 0.1, 0.8) for failures in range(6)]
        self.assertEqual(pauses, [0.1, 0.2, 0.4, 0.8, 0.8, 0.8])

    def test_many_consecutive_failures_do_not_overflow(self):
        """The 1,025th refusal or failed read in a row raised OverflowError."""
        self.assertEqual(backoff_s(MANY, 0.1, 0.8), 0.8)
        target, store = make_target(), StoreBackoff()
        for _ in range(MANY):
            target.record_refusal(0.0)
            target.record_failure(0.0)
            store.record_failure(Feed.TARGETS, 0.0, 0.5, 0.5)
        self.assertGreater(target.backoff_until, 0.0)
        self.assertAlmostEqual(store.wait_s(Feed.TARGETS, 0.0), 0.5)
