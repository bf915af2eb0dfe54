from __future__ import annotations

import random
import unittest

from agaterail.startup import ANSWER_WAIT_S, HOSTS_WAIT_S, LOG_WAIT_S, Decision, StartUp

PEERS = [f"10.0.0.{number}:1" for number in range(1, 21)]


class StartUpTest(unittest.TestCase):
    def setUp(self):
        self.plan = StartUp(random.Random(3), 0.0, asked=4, wanted=2)

    def test_the_floor_of_the_peers_holds_against_a_log_that_answers_first(self):
        # The log answers from an older point before any peer has answered.
        # Serving at once would take back what this daemon served before.
        asked = self.plan.next_round(PEERS, 0.0)
        self.plan.log.at_end = True
        self.assertIs(self.plan.decide(7, 0.01), Decision.WAIT)
        self.plan.round.on_answer(asked[0], 9)
        self.plan.round.on_answer(asked[1], 8)
        self.assertIs(self.plan.decide(7, 0.02), Decision.FETCH)
        self.assertEqual(self.plan.round.best, asked[0])
        self.assertIs(self.plan.decide(9, 0.03), Decision.SERVE)

    def test_stalled_peers_hold_a_start_up_for_one_wait_only(self):
        self.plan.next_round(PEERS, 0.0)
        self.plan.log.at_end = True
        self.assertIs(self.plan.decide(7, ANSWER_WAIT_S / 2), Decision.WAIT)
        self.assertIs(self.plan.decide(7, ANSWER_WAIT_S), Decision.SERVE)

    def test_a_log_that_does_not_answer_is_waited_for_a_moment_only(self):
        asked = self.plan.next_round(PEERS, 0.0)
        for address in asked:
            self.plan.round.on_answer(address, 5)
        self.assertIs(self.plan.decide(-1, LOG_WAIT_S / 2), Decision.WAIT)
        self.assertIs(self.plan.decide(-1, LOG_WAIT_S), Decision.FETCH)

    def test_all_peers_are_asked_before_one_is_asked_again(self):
        seen = set()
        now = 0.0
        for _ in range(len(PEERS) // 4):
            asked = self.plan.next_round(PEERS, now)
            self.assertFalse(seen & set(asked))
            seen.update(asked)
            for address in asked:
                self.plan.round.on_answer(address, -1)
            now += 2.0
        self.assertEqual(seen, set(PEERS))

    def test_a_peer_that_cannot_give_its_tables_makes_room_for_the_next(self):
        asked = self.plan.next_round(PEERS, 0.0)
        self.plan.log.failed = True
        for address, through in zip(asked, (9, 8, 8, 8), strict=True):
            self.plan.round.on_answer(address, through)
        self.plan.round.on_failure(self.plan.round.best)
        self.assertIs(self.plan.decide(-1, 0.02), Decision.FETCH)
        self.assertEqual(self.plan.round.floor, 8)

    def test_a_host_list_that_does_not_answer_is_not_waited_for_long(self):
        self.assertEqual(self.plan.next_round(None, 0.01), ())
        self.assertIsNone(self.plan.round)
        self.plan.next_round(None, HOSTS_WAIT_S)
        self.plan.log.at_end = True
        self.assertIs(self.plan.decide(7, HOSTS_WAIT_S), Decision.SERVE)

    def test_nothing_is_served_without_log_and_peers(self):
        self.plan.next_round([], 0.0)
        self.plan.log.failed = True
        self.assertIs(self.plan.decide(-1, 60.0), Decision.WAIT)
