from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from agaterail.gateway.freshness import Freshness


class FreshnessTest(unittest.TestCase):
    def setUp(self):
        self.freshness = Freshness(bound_s=5.0, denial_bound_s=2.0)

    def test_nothing_is_allowed_before_the_first_read(self):
        self.assertFalse(self.freshness.allows_keys(0.0))
        self.assertFalse(self.freshness.allows_denial(0.0))

    def test_a_resumed_host_accepts_no_key_before_a_read(self):
        # A caller uses a key that was revoked 6 s ago on a host that has just resumed
        # and read nothing meanwhile. The clock also advances during suspension, so the
        # key is refused until the store has been read again.
        self.freshness.confirm(100.0)
        self.assertTrue(self.freshness.allows_keys(104.7))
        self.assertFalse(self.freshness.allows_keys(106.0))

    def test_an_out_of_order_answer_does_not_increase_the_age(self):
        self.freshness.confirm(100.0)
        self.freshness.confirm(99.0)
        self.assertEqual(self.freshness.age_s(100.0), 0.0)

    def test_an_unknown_key_is_denied_only_after_a_recent_read(self):
        # A key was added 3 s ago, and the last read is older. A 401 would be permanent:
        # the caller would not retry.
        self.freshness.confirm(100.0)
        self.assertTrue(self.freshness.allows_denial(101.9))
        self.assertFalse(self.freshness.allows_denial(102.1))

    @given(
        st.lists(st.tuples(st.floats(0.0, 3.0), st.floats(0.0, 8.0)), min_size=1, max_size=20),
        st.floats(0.0, 30.0),
        st.floats(0.0, 40.0),
    )
    def test_no_request_sent_past_the_bound_after_a_revocation_is_allowed(
        self, reads, revoked_at, asked_at
    ):
        # Reads are sent one after the other and answered after a delay. A read sent
        # after the revocation returns it.
        freshness = Freshness(bound_s=5.0, denial_bound_s=2.0)
        now = 0.0
        known_revoked = False
        for pause, delay in reads:
            sent_at = now + pause
            answered_at = sent_at + delay
            if answered_at > asked_at:
                break
            now = answered_at
            freshness.confirm(sent_at)
            known_revoked = known_revoked or sent_at >= revoked_at
        allowed = freshness.allows_keys(asked_at) and not known_revoked
        if asked_at > revoked_at + 5.0:
            self.assertFalse(allowed)
