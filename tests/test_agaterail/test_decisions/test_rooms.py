from __future__ import annotations

import unittest

from agaterail.decisions.rooms import CALM_S, FEEDBACK_S, RoomLedger
from tests.room_fleet import RoomFleet


class RoomLedgerTest(unittest.TestCase):
    def setUp(self):
        self.ledger = RoomLedger()

    def granted(self, start, seconds, bearable=5.0, step_s=0.01):
        """Return how many of the requests that come regularly are granted."""
        times = [start + number * step_s for number in range(int(seconds / step_s))]
        return sum(self.ledger.grant("e", bearable, now) == 0.0 for now in times)

    def test_a_target_that_refuses_nothing_gets_all_requests(self):
        self.assertEqual(self.granted(0.0, 10.0), 1000)

    def test_no_request_is_granted_right_after_a_refusal(self):
        self.ledger.refuse("e", 5.0, 0.0)
        self.assertEqual(self.granted(0.0, 0.2), 0)

    def test_less_is_granted_after_a_refusal_and_more_again_later(self):
        self.granted(0.0, 1.0)
        self.ledger.refuse("e", 5.0, 1.0)
        after, later = self.granted(2.0, 1.0), self.granted(9.0, 1.0)
        self.assertLess(after, 90)
        self.assertGreater(later, after)

    def test_a_target_is_calm_after_a_while(self):
        self.ledger.refuse("e", 5.0, 0.0)
        self.assertEqual(self.granted(CALM_S + 0.1, 1.0), 100)

    def test_no_more_requests_than_may_be_refused_are_on_their_way(self):
        step_s = FEEDBACK_S / 10
        self.assertLessEqual(self.granted(0.0, FEEDBACK_S, bearable=2.0, step_s=step_s), 3)


class FallTest(unittest.TestCase):
    """Brittle engines fell over, since each refusal brought further requests elsewhere."""

    def test_few_engines_fall_at_any_load(self):
        for engines in (3, 5, 70):
            for bearable in (1, 2, 5, 10, 50):
                for load in (0.9, 1.5, 3.0):
                    offered = load * engines * 24.0
                    with self.subTest(engines=engines, bearable=bearable, load=load):
                        fleet = RoomFleet(engines, bearable, offered).play(5.0)
                        self.assertLessEqual(fleet.falls, 2 + engines / 10)

    def test_the_pace_keeps_most_of_the_work(self):
        paced = RoomFleet(5, 5, 1.5 * 5 * 24.0).play(10.0)
        unpaced = RoomFleet(5, 5, 1.5 * 5 * 24.0, paced=False).play(10.0)
        self.assertGreater(unpaced.falls, 2 + 5 / 10)
        self.assertGreater(paced.served, 3 * unpaced.served)
