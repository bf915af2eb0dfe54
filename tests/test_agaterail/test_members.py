from __future__ import annotations

import unittest

from agaterail.members import CALL_WEIGHT, MAX_EJECTION_S, QUERY_WEIGHT, MemberView

OWN = "10.0.0.1:1"
OTHER = "10.0.0.2:1"


class MemberViewTest(unittest.TestCase):
    def setUp(self):
        self.view = MemberView(OWN)
        self.view.on_list([OWN, OTHER])

    def miss_for(self, start_s, seconds, weight=CALL_WEIGHT):
        for tenth in range(int(seconds * 10) + 1):
            self.view.on_unanswered(OTHER, weight, start_s + tenth / 10)

    def test_failed_calls_eject_a_member_for_a_bounded_time(self):
        self.miss_for(0.0, 1.5)
        self.assertEqual(self.view.live(1.6), (OWN,))
        self.assertEqual(self.view.live(12.0), (OWN, OTHER))

    def test_an_ejection_never_exceeds_its_bound(self):
        now = 0.0
        for _ in range(8):
            self.miss_for(now, 1.5)
            now += 1.5 + MAX_EJECTION_S
            self.assertIn(OTHER, self.view.live(now))

    def test_queries_that_time_out_in_a_pause_of_this_process_eject_nobody(self):
        # This process is paused for 10 s. When it continues, all queries that
        # were in flight time out at once, although the members are healthy.
        for _ in range(50):
            self.view.on_unanswered(OTHER, QUERY_WEIGHT, 10.0)
        self.assertIn(OTHER, self.view.live(10.0))

    def test_an_answer_clears_earlier_failures(self):
        self.miss_for(0.0, 0.9)
        self.view.on_message_received(OTHER)
        self.view.on_unanswered(OTHER, CALL_WEIGHT, 1.5)
        self.assertIn(OTHER, self.view.live(1.5))

    def test_a_drain_notice_overrides_the_lagging_list(self):
        # A daemon announces that it drains, but stays on the platform's list for
        # a while. Once the list has dropped it, a new listing takes effect at
        # once.
        self.view.on_drain(OTHER, 0.0)
        self.view.on_list([OWN, OTHER])
        self.assertNotIn(OTHER, self.view.live(5.0))
        self.view.on_list([OWN])
        self.view.on_list([OWN, OTHER])
        self.assertIn(OTHER, self.view.live(6.0))

    def test_an_empty_list_is_ignored(self):
        # The platform returns an empty list after a fault. If it were accepted,
        # every daemon would consider itself the home of all engines.
        self.view.on_list([])
        self.assertIn(OTHER, self.view.live(0.0))

    def test_contacts_are_bounded(self):
        for number in range(400):
            self.view.on_message_received(f"10.0.1.{number}:1")
        self.assertEqual(len(self.view.contacts), 16)
