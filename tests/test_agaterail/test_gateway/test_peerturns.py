from __future__ import annotations

import unittest

from agaterail.gateway.peerturns import DIRECT_S, LEFT_ALONE_S, LONGEST_LEFT_ALONE_S, PeerTurns

READERS = ("a:1", "b:1", "c:1")


class PeerTurnsTest(unittest.TestCase):
    def setUp(self):
        self.turns = PeerTurns()

    def test_readers_are_asked_in_turn(self):
        sound = self.turns.sound(READERS, "b:1", 0.0)
        self.assertEqual({self.turns.pick(sound) for _ in range(2)}, {"a:1", "c:1"})

    def test_after_one_old_answer_another_peer_is_asked(self):
        self.assertFalse(self.turns.had_none("a:1", others=2, now=0.0))
        self.assertEqual(self.turns.sound(READERS, "x:1", 0.1), ["b:1", "c:1"])
        self.assertEqual(self.turns.sound(READERS, "x:1", LEFT_ALONE_S), list(READERS))

    def test_two_problems_in_a_row_or_one_of_few_lead_to_the_store(self):
        self.turns.had_none("a:1", others=2, now=0.0)
        self.assertTrue(self.turns.had_none("b:1", others=2, now=0.0))
        self.assertEqual(self.turns.direct_until, DIRECT_S)
        self.assertTrue(PeerTurns().had_none("a:1", others=1, now=0.0))

    def test_good_answers_in_between_forget_the_problem(self):
        self.turns.had_none("a:1", others=2, now=0.0)
        self.turns.had_news("b:1")
        self.assertFalse(self.turns.had_none("c:1", others=2, now=0.1))

    def test_after_an_outage_all_are_asked_again(self):
        # The store was away and all readers were behind. Left alone for longer and
        # longer, they would leave a hundred daemons to read the store.
        for address in READERS:
            self.turns.had_none(address, others=2, now=0.0)
        self.assertEqual(self.turns.sound(READERS, "x:1", 0.1), [])
        self.turns.forgive()
        self.assertEqual(self.turns.sound(READERS, "x:1", 0.1), list(READERS))


class TwoReadersTest(unittest.TestCase):
    """A caller's key is accepted though it was taken away over two seconds ago.

    The store turns both readers of a small fleet away at the same moment. One shows
    its age 0.6 s after the other; a daemon that asks the second one first, and waits
    for it, has the news too late.
    """

    def test_with_two_readers_one_problem_leads_to_the_store_at_once(self):
        turns = PeerTurns()
        left = len(turns.sound(READERS[:2], "x:1", 5.0))
        self.assertTrue(turns.had_none("a:1", others=left - 1, now=5.0))
        self.assertGreater(turns.direct_until, 5.0)

    def test_without_any_other_reader_too(self):
        turns = PeerTurns()
        turns.had_news("a:1")
        self.assertTrue(turns.had_none("a:1", others=0, now=5.0))


class ReaderCutOffTest(unittest.TestCase):
    """Every daemon calls the store, and callers' keys are refused when it turns calls away.

    One of three readers is cut off from the store for 12 s and says so to whoever
    asks. The others ask again and again, and each time read the store themselves.
    """

    def test_one_reader_that_is_behind_sends_nobody_to_the_store(self):
        turns = PeerTurns()
        asked_bad = direct = 0
        for step in range(20):
            now = 0.6 * step
            address = turns.pick(turns.sound(READERS, "x:1", now))
            if address == "a:1":
                asked_bad += 1
                direct += turns.had_none(address, others=2, now=now)
            else:
                turns.had_news(address)
        self.assertEqual(direct, 0)
        self.assertLessEqual(asked_bad, 3)

    def test_pauses_are_bounded(self):
        turns = PeerTurns()
        for _ in range(9):
            turns.had_none("a:1", others=2, now=0.0)
        self.assertEqual(turns.sound(READERS, "x:1", LONGEST_LEFT_ALONE_S), list(READERS))


if __name__ == "__main__":
    unittest.main()
