from __future__ import annotations

import collections
import random
import unittest

from agaterail.decisions.relays import (
    ASKED_AT_ONCE,
    DENIAL_VALID_S,
    KEPT,
    REACHES_VALID_S,
    RelayCandidates,
)

KNOWN = [f"d-{number}" for number in range(20)]


class RelayCandidatesTest(unittest.TestCase):
    def setUp(self):
        self.candidates = RelayCandidates()
        self.rng = random.Random(1)

    def to_ask(self, now=0.0, own=0.0, known=KNOWN):
        return self.candidates.to_ask(own, known, self.rng, now)

    def test_some_random_daemons_are_asked_at_once(self):
        asked = self.to_ask()
        self.assertEqual(len(set(asked)), ASKED_AT_ONCE)
        self.assertNotEqual(asked, self.to_ask())

    def test_enough_daemons_that_forward_are_kept(self):
        kept = KNOWN[:KEPT]
        for address in kept:
            self.candidates.record_reaches(address, 1.0, 0.0)
        self.assertEqual(self.to_ask(), kept)

    def test_a_daemon_that_denied_is_left_alone_for_a_while(self):
        self.candidates.record_denial("d-0", 0.0)
        self.assertEqual(self.to_ask(known=["d-0"]), [])
        self.assertEqual(self.to_ask(known=["d-0"], now=DENIAL_VALID_S), ["d-0"])

    def test_answers_expire(self):
        self.candidates.record_reaches("d-0", 1.0, 0.0)
        self.assertEqual(self.candidates.usable(0.0, REACHES_VALID_S + 0.1), [])

    def test_daemons_that_reach_most_targets_go_first(self):
        for address, fraction in (("d-0", 0.4), ("d-1", 1.0), ("d-2", 0.4)):
            self.candidates.record_reaches(address, fraction, 0.0)
        self.assertEqual(self.candidates.usable(0.2, 0.0), ["d-1"])
        self.assertEqual(self.candidates.usable(0.2, 0.0, excluded=["d-1"]), ["d-0", "d-2"])

    def test_a_daemon_that_reaches_no_more_than_this_one_is_not_used(self):
        self.candidates.record_reaches("d-0", 0.4, 0.0)
        self.assertEqual(self.candidates.usable(0.4, 0.0), [])

    def test_a_sound_daemon_helps_one_that_does_not_know_of_a_loss_yet(self):
        self.candidates.record_reaches("d-0", 1.0, 0.0)
        self.assertEqual(self.candidates.usable(1.0, 0.0), ["d-0"])


class SpreadTest(unittest.TestCase):
    """With half of 410 daemons cut, all of them leaned on the few that they knew."""

    daemons = 410
    readers = 8
    named = 8

    def play(self, cut_share, rounds=4, seed=1):
        """Return the requests by forwarding daemon and the daemons left without one."""
        rng = random.Random(seed)
        everyone = [f"d-{number}" for number in range(self.daemons)]
        cut = set(rng.sample(everyone, int(cut_share * self.daemons)))
        load = collections.Counter()
        alone = 0
        for origin in sorted(cut):
            candidates = RelayCandidates(spared=frozenset(everyone[: self.readers]))
            known = dict.fromkeys(everyone[: self.readers])
            known.pop(origin, None)
            asked = candidates.to_ask(0.0, list(known), rng, 0.0)
            for _ in range(rounds):
                for address in asked:
                    known |= dict.fromkeys(rng.sample(everyone, self.named))
                    known.pop(origin, None)
                    if address in cut:
                        candidates.record_denial(address, 0.0)
                    else:
                        candidates.record_reaches(address, 1.0, 0.0)
                asked = candidates.others_to_ask(0.0, list(known), rng, 0.0)
            usable = candidates.usable(0.0, 0.0)
            alone += not usable
            for address in usable:
                load[address] += 1 / len(usable)
        return load, alone

    def test_every_cut_daemon_finds_one_that_forwards(self):
        for share in (0.25, 0.5):
            with self.subTest(share):
                self.assertEqual(self.play(share)[1], 0)

    def test_no_daemon_forwards_for_many(self):
        load, _ = self.play(0.5)
        self.assertLess(max(load.values()), 10)
