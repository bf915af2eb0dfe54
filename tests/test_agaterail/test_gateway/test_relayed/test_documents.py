from __future__ import annotations

import unittest

import attrs

from agaterail.gateway import documents
from agaterail.gateway.controlstore import DocumentRecord, Feed, Reading
from agaterail.gateway.peerprotocol import PeerQuery, encode_answer
from agaterail.gateway.relay import Relay
from agaterail.gateway.relayed.documents import MAX_VERSIONS, DocumentFeed
from tests.large_state import make_rows, make_state, with_row_changed


def make_document(version, rows):
    return documents.parse(make_state(version, rows)).unwrap()


def changed(feed, offset, rows, key="config"):
    """Add a state that was written at an offset to a feed."""
    record = DocumentRecord(offset, key, make_document(offset, rows))
    feed.add_reading(Reading([record], offset + 1, 1.0, listed=False))
    return record


class LargeStateTest(unittest.TestCase):
    """Each version of a large state was relayed whole and took effect seconds late."""

    # Half of the 5 KB/s that a daemon may use is 100 KB per change, at 2,100 changes a day
    # sent to each of 410 daemons. A row has 250 bytes; ten times that leaves room for the
    # framing and is far below the limit.
    MAX_BYTES_PER_ROW = 2560

    def test_row_changes_are_sent_as_small_differences(self):
        rows = make_rows(2800)
        relay = Relay()
        relayed_feed = relay.feeds[Feed.OPERATORS]
        relayed_feed.add_reading(Reading([], 4, 0.0, listed=True))
        for offset in range(4, 8):
            state = make_document(offset, with_row_changed(rows, 100 * offset))
            relayed_feed.add_reading(
                Reading(
                    [DocumentRecord(offset, "config", state)], offset + 1, 1.0, listed=False
                )
            )
        query = PeerQuery({Feed.OPERATORS: 5}, base_offsets=(4,), wait_s=0.0)
        body = encode_answer(relay, query, (), now=2.0)
        # Three versions followed; two rows differ from what the polling daemon has.
        self.assertLess(len(body), 2 * self.MAX_BYTES_PER_ROW)


class DocumentFeedTest(unittest.TestCase):
    def setUp(self):
        self.rows = make_rows(20)
        self.reader = DocumentFeed()
        self.reader.add_reading(Reading([], 4, 0.0, listed=True))
        self.peer = DocumentFeed()
        self.peer.add_reading(Reading([], 4, 0.0, listed=True))

    def transfer(self, offset):
        """Return the records that the peer unpacks from the reader's answer."""
        packed = self.reader.pack_since(offset, self.peer.base_offsets)
        return self.peer.unpack(packed)

    def test_nothing_is_packed_before_listing(self):
        self.assertIsNone(DocumentFeed().pack_since(0))

    def test_new_peer_gets_whole_document(self):
        newest = changed(self.reader, 4, self.rows)
        self.assertEqual(self.transfer(4).unwrap(), [newest])

    def test_lagging_peer_gets_newest_version(self):
        changed(self.reader, 4, self.rows)
        self.peer.add_reading(Reading(self.transfer(4).unwrap(), 5, 1.0, listed=False))
        for offset in range(5, 9):
            newest = changed(self.reader, offset, with_row_changed(self.rows, offset))
        self.assertEqual(self.transfer(5).unwrap(), [newest])

    def test_evicted_version_is_not_used_as_base(self):
        # A peer reconnects after a long time with a version that the reader no longer has.
        # A difference from another version would yield a state that was never published.
        changed(self.reader, 4, self.rows)
        self.peer.add_reading(Reading(self.transfer(4).unwrap(), 5, 1.0, listed=False))
        for offset in range(5, 6 + MAX_VERSIONS):
            newest = changed(self.reader, offset, with_row_changed(self.rows, offset % 20))
        self.assertEqual(self.transfer(5).unwrap(), [newest])

    def test_packed_difference_is_cached(self):
        # When the answer was encoded again for each peer, the work of a reader grew with the
        # number of its peers, and the last of them got the change seconds later.
        changed(self.reader, 4, self.rows)
        changed(self.reader, 5, with_row_changed(self.rows, 3))
        first, second = (self.reader.pack_since(5, base_offsets=(4,))[0] for _ in range(2))
        self.assertIs(first.value, second.value)

    def test_small_documents_of_other_keys_do_not_wait_behind_a_large_one(self):
        # New weights are named while a state with thousands of routes is being relayed.
        changed(self.reader, 4, self.rows)
        weights = documents.parse(b'{"model": "m", "version": 2}').unwrap()
        record = DocumentRecord(5, "version/m", weights)
        self.reader.add_reading(Reading([record], 6, 1.0, listed=False))
        self.assertEqual(self.transfer(5).unwrap(), [record])

    def test_any_offset_can_continue_after_history_expired(self):
        # The store dropped its history, and the reader has only a listing. Peers with older
        # offsets would all read the store directly.
        changed(self.peer, 4, self.rows)
        newest = DocumentRecord(80, "config", make_document(80, self.rows[:5]))
        self.reader.add_reading(Reading([newest], 90, 2.0, listed=True))
        self.assertEqual(self.transfer(5).unwrap(), [newest])

    def test_older_version_is_ignored(self):
        newest = changed(self.reader, 6, self.rows)
        changed(self.reader, 5, self.rows[:3])
        self.assertEqual(self.transfer(4).unwrap(), [newest])

    def test_corrupt_or_mismatched_differences_are_rejected(self):
        changed(self.reader, 4, self.rows)
        self.peer.add_reading(Reading(self.transfer(4).unwrap(), 5, 1.0, listed=False))
        changed(self.reader, 5, with_row_changed(self.rows, 3))
        (packed,) = self.reader.pack_since(5, self.peer.base_offsets)
        for value in (b"", packed.value[:-3], packed.value[:20], b"x" * 40):
            broken = attrs.evolve(packed, value=value)
            self.assertIsInstance(self.peer.unpack([broken]).failure(), str)
        other = attrs.evolve(packed, base=3)
        self.assertIsInstance(self.peer.unpack([other]).failure(), str)
