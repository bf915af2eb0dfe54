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
        # After an outage of the store all readers lag and are in backoff. Without a reset,
        # a hundred daemons would go on to read the store directly.
        for address in READERS:
            self.selector.record_failure(address, others=2, now=0.0)
        self.assertEqual(self.selector.available(READERS, "x:1", 0.1), [])
        self.selector.reset()
        self.assertEqual(self.selector.available(READERS, "x:1", 0.1), list(READERS))


class TwoReadersTest(unittest.TestCase):
    """A key was still accepted more than two seconds after it was revoked.

    The store refuses both readers of a small fleet at the same time. One of them is
    detected as stale 0.6 s after the other; a daemon that polls this one before it reads
    the store, and waits for the answer, gets the change too late.
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
    """All daemons read the store, which refused calls, so callers' keys were refused.

    One of three readers is cut off from the store for 12 s, and its answers show it.
    The other daemons polled it repeatedly and read the store directly after each poll.
    """

    def test_one_lagging_reader_triggers_no_direct_reads(self):
        selector = PeerSelector()
        polls_of_lagging_reader = direct = 0
        for step in range(20):
            now = 0.6 * step
            address = selector.pick(selector.available(READERS, "x:1", now))
            if address == "a:1":
                polls_of_lagging_reader += 1
                direct += selector.record_failure(address, others=2, now=now)
            else:
                selector.record_success(address)
        self.assertEqual(direct, 0)
        self.assertLessEqual(polls_of_lagging_reader, 3)

    def test_backoff_is_capped(self):
        selector = PeerSelector()
        for _ in range(9):
            selector.record_failure("a:1", others=2, now=0.0)
        self.assertEqual(selector.available(READERS, "x:1", MAX_BACKOFF_S), list(READERS))


if __name__ == "__main__":
    unittest.main()
