from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies as st

from agaterail.limits import BURST_S, TokenBucket, concurrency_share, rate_share

MEMBERS = st.lists(st.integers(0, 400).map(str), min_size=1, max_size=60, unique=True)


class ShareTest(unittest.TestCase):
    @hypothesis.given(st.integers(1, 3000), MEMBERS)
    def test_shares_add_up_to_the_limit(self, limit, members):
        parts = [concurrency_share(limit, b"route", own, members) for own in members]
        self.assertEqual(sum(parts), max(limit, len(members)))
        self.assertLessEqual(max(parts) - min(parts), 1)

    def test_rates_add_up_to_the_limit(self):
        members = ["a", "b", "c"]
        total = sum(rate_share(100.0, own, members) for own in members)
        self.assertAlmostEqual(total, 100.0)

    def test_differing_views_exceed_the_limit_by_their_ratio_at_most(self):
        # Two of the eight daemons have a view in which two others are gone. Until
        # the views agree, the sum of the shares may exceed the limit by the ratio
        # of the view sizes.
        everyone = [str(number) for number in range(8)]
        fewer = everyone[:6]
        parts = [concurrency_share(96, b"r", own, everyone) for own in everyone[:4]]
        parts += [concurrency_share(96, b"r", own, fewer) for own in everyone[4:6]]
        parts += [concurrency_share(96, b"r", own, everyone) for own in everyone[6:]]
        self.assertLessEqual(sum(parts), 96 * 8 / 6)


class TokenBucketTest(unittest.TestCase):
    @hypothesis.given(
        st.lists(st.tuples(st.floats(0.0, 1.0), st.integers(1, 500)), max_size=60)
    )
    def test_no_more_is_taken_than_the_rate_and_one_burst_and_one_debt(self, steps):
        bucket, now, taken = TokenBucket(100.0, 0.0), 0.0, 0.0
        for delay, amount in steps:
            now += delay
            if bucket.take(amount, now) == 0.0:
                taken += amount
        self.assertLessEqual(taken, 100.0 * (now + BURST_S) + 500)

    def test_the_returned_wait_is_long_enough(self):
        bucket = TokenBucket(100.0, 0.0)
        bucket.take(1000.0, 0.0)
        wait_s = bucket.take(10.0, 0.0)
        self.assertGreater(wait_s, 0.0)
        self.assertEqual(bucket.take(10.0, wait_s), 0.0)
