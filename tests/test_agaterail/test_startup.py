from __future__ import annotations

import random
import unittest

from agaterail.startup import (
    ANSWER_WAIT_S,
    HOST_LIST_WAIT_S,
    LOG_WAIT_S,
    Decision,
    StartupPlan,
)

PEERS = [f"10.0.0.{number}:1" for number in range(1, 21)]


class StartupPlanTest(unittest.TestCase):
    def setUp(self):
        self.plan = StartupPlan(random.Random(3), 0.0, peers_per_round=4, sufficient_answers=2)

    def test_a_log_older_than_the_peers_is_not_served(self):
        # The log returns stale data before any peer has answered. Serving it at
        # once could revert tables that this daemon served before its restart.
        queried = self.plan.next_round(PEERS, 0.0)
        self.plan.log.at_end = True
        self.assertIs(self.plan.decide(7, 0.01), Decision.WAIT)
        self.plan.round.on_answer(queried[0], 9)
        self.plan.round.on_answer(queried[1], 8)
        self.assertIs(self.plan.decide(7, 0.02), Decision.FETCH)
        self.assertEqual(self.plan.round.best_peer, queried[0])
        self.assertIs(self.plan.decide(9, 0.03), Decision.SERVE)

    def test_stalled_peers_delay_startup_by_one_answer_wait(self):
        self.plan.next_round(PEERS, 0.0)
        self.plan.log.at_end = True
        self.assertIs(self.plan.decide(7, ANSWER_WAIT_S / 2), Decision.WAIT)
        self.assertIs(self.plan.decide(7, ANSWER_WAIT_S), Decision.SERVE)

    def test_a_silent_log_delays_startup_by_the_log_wait(self):
        queried = self.plan.next_round(PEERS, 0.0)
        for address in queried:
            self.plan.round.on_answer(address, 5)
        self.assertIs(self.plan.decide(-1, LOG_WAIT_S / 2), Decision.WAIT)
        self.assertIs(self.plan.decide(-1, LOG_WAIT_S), Decision.FETCH)

    def test_all_peers_are_queried_before_one_is_queried_again(self):
        seen = set()
        now = 0.0
        for _ in range(len(PEERS) // 4):
            queried = self.plan.next_round(PEERS, now)
            self.assertFalse(seen & set(queried))
            seen.update(queried)
            for address in queried:
                self.plan.round.on_answer(address, -1)
            now += 2.0
        self.assertEqual(seen, set(PEERS))

    def test_a_failed_fetch_moves_on_to_the_next_peer(self):
        queried = self.plan.next_round(PEERS, 0.0)
        self.plan.log.failed = True
        for address, through in zip(queried, (9, 8, 8, 8), strict=True):
            self.plan.round.on_answer(address, through)
        self.plan.round.on_failure(self.plan.round.best_peer)
        self.assertIs(self.plan.decide(-1, 0.02), Decision.FETCH)
        self.assertEqual(self.plan.round.floor, 8)

    def test_a_silent_host_list_delays_startup_by_its_wait(self):
        self.assertEqual(self.plan.next_round(None, 0.01), ())
        self.assertIsNone(self.plan.round)
        self.plan.next_round(None, HOST_LIST_WAIT_S)
        self.plan.log.at_end = True
        self.assertIs(self.plan.decide(7, HOST_LIST_WAIT_S), Decision.SERVE)

    def test_nothing_is_served_without_log_and_peers(self):
        self.plan.next_round([], 0.0)
        self.plan.log.failed = True
        self.assertIs(self.plan.decide(-1, 60.0), Decision.WAIT)
