from __future__ import annotations

import unittest

from agaterail.gateway.peerselector import (
    DIRECT_READ_S,
    INITIAL_BACKOFF_S,
    MAX_BACKOFF_S,
    PeerSelector,
)

READERS = ("a:1", "b:1", "c:1")


class PeerSelectorTest(unittest.TestCase):
    def setUp(self):
        self.selector = PeerSelector()

    def test_readers_are_polled_round_robin(self):
        available = self.selector.available(READERS, "b:1", 0.0)
        self.assertEqual({self.selector.pick(available) for _ in range(2)}, {"a:1", "c:1"})

    def test_failed_peer_backs_off(self):
        self.assertFalse(self.selector.record_failure("a:1", others=2, now=0.0))
        self.assertEqual(self.selector.available(READERS, "x:1", 0.1), ["b:1", "c:1"])
        self.assertEqual(
            self.selector.available(READERS, "x:1", INITIAL_BACKOFF_S), list(READERS)
        )

    def test_consecutive_failures_or_few_readers_trigger_direct_reads(self):
        self.selector.record_failure("a:1", others=2, now=0.0)
        self.assertTrue(self.selector.record_failure("b:1", others=2, now=0.0))
        self.assertEqual(self.selector.direct_until, DIRECT_READ_S)
        self.assertTrue(PeerSelector().record_failure("a:1", others=1, now=0.0))

    def test_success_resets_consecutive_failures(self):
        self.selector.record_failure("a:1", others=2, now=0.0)
        self.selector.record_success("b:1")
        self.assertFalse(self.selector.record_failure("c:1", others=2, now=0.1))

    def test_reset_makes_all_readers_available(self):
        # The store was away and all readers were behind. Left alone for longer and
        # longer, they would leave a hundred daemons to read the store.
        for address in READERS:
            self.selector.record_failure(address, others=2, now=0.0)
        self.assertEqual(self.selector.available(READERS, "x:1", 0.1), [])
        self.selector.reset()
        self.assertEqual(self.selector.available(READERS, "x:1", 0.1), list(READERS))


class TwoReadersTest(unittest.TestCase):
    """A caller's key is accepted though it was taken away over two seconds ago.

    The store turns both readers of a small fleet away at the same moment. One shows
    its age 0.6 s after the other; a daemon that asks the second one first, and waits
    for it, has the news too late.
    """

    def test_one_failure_of_two_readers_triggers_direct_reads(self):
        selector = PeerSelector()
        left = len(selector.available(READERS[:2], "x:1", 5.0))
        self.assertTrue(selector.record_failure("a:1", others=left - 1, now=5.0))
        self.assertGreater(selector.direct_until, 5.0)

    def test_failure_of_only_reader_triggers_direct_reads(self):
        selector = PeerSelector()
        selector.record_success("a:1")
        self.assertTrue(selector.record_failure("a:1", others=0, now=5.0))


class ReaderCutOffTest(unittest.TestCase):
    """Every daemon calls the store, and callers' keys are refused when it turns calls away.

    One of three readers is cut off from the store for 12 s and says so to whoever
    asks. The others ask again and again, and each time read the store themselves.
    """

    def test_one_lagging_reader_triggers_no_direct_reads(self):
        selector = PeerSelector()
        asked_bad = direct = 0
        for step in range(20):
            now = 0.6 * step
            address = selector.pick(selector.available(READERS, "x:1", now))
            if address == "a:1":
                asked_bad += 1
                direct += selector.record_failure(address, others=2, now=now)
            else:
                selector.record_success(address)
        self.assertEqual(direct, 0)
        self.assertLessEqual(asked_bad, 3)

    def test_backoff_is_capped(self):
        selector = PeerSelector()
        for _ in range(9):
            selector.record_failure("a:1", others=2, now=0.0)
        self.assertEqual(selector.available(READERS, "x:1", MAX_BACKOFF_S), list(READERS))


if __name__ == "__main__":
    unittest.main()
