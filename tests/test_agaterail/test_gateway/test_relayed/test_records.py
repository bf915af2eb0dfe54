from __future__ import annotations

import unittest

from agaterail.gateway.controlstore import FeedRecord, Reading
from agaterail.gateway.relayed.records import MAX_RECORDS, RecordFeed


def record(offset):
    return FeedRecord(offset, f"k{offset}", b"\x00value")


class RecordFeedTest(unittest.TestCase):
    def setUp(self):
        self.feed = RecordFeed()

    def test_nothing_is_known_before_first_read(self):
        self.assertIsNone(self.feed.records_since(0))

    def test_peer_gets_missing_records(self):
        self.feed.add_reading(Reading([], 5, 1.0, listed=True))
        self.feed.add_reading(Reading([record(5), record(6)], 7, 2.0, listed=False))
        self.assertEqual(self.feed.records_since(6), [record(6)])
        self.assertEqual(self.feed.records_since(7), [])
        self.assertEqual(self.feed.records_since(9), [])

    def test_too_old_offset_cannot_be_served(self):
        # A daemon that was cut off polls for records that are no longer kept. An empty
        # answer would mean that nothing changed.
        self.feed.add_reading(Reading([], 0, 1.0, listed=True))
        for offset in range(MAX_RECORDS + 10):
            self.feed.add_reading(Reading([record(offset)], offset + 1, 2.0, listed=False))
        self.assertIsNone(self.feed.records_since(9))
        self.assertEqual(len(self.feed.records_since(10)), MAX_RECORDS)

    def test_listing_resets_kept_records(self):
        # The history expired: only the newest record of each key is known of the changes
        # in between, so a peer must read the listing from the store.
        self.feed.add_reading(Reading([], 5, 1.0, listed=True))
        self.feed.add_reading(Reading([record(5)], 6, 1.0, listed=False))
        self.feed.add_reading(Reading([record(80)], 90, 2.0, listed=True))
        self.assertIsNone(self.feed.records_since(6))
        self.assertEqual(self.feed.records_since(90), [])

    def test_out_of_order_reading_leaves_no_gap(self):
        # A peer's answer up to 5 arrives after a read of the store up to 8. If it reset the
        # copy to 5, the next read would be appended at 8, and a peer that polls from 6
        # would never get the records 6 and 7.
        self.feed.add_reading(Reading([], 5, 1.0, listed=True))
        self.feed.add_reading(Reading([record(5), record(6), record(7)], 8, 2.0, listed=False))
        self.feed.add_reading(Reading([], 5, 1.5, listed=False))
        self.feed.add_reading(Reading([record(8)], 9, 3.0, listed=False))
        self.assertEqual(self.feed.records_since(6), [record(6), record(7), record(8)])

    def test_gap_resets_kept_records(self):
        self.feed.add_reading(Reading([], 5, 1.0, listed=True))
        self.feed.add_reading(Reading([record(8)], 9, 2.0, listed=False))
        self.assertIsNone(self.feed.records_since(6))
        self.assertEqual(self.feed.records_since(9), [])

    def test_duplicate_records_are_kept_once(self):
        self.feed.add_reading(Reading([], 5, 1.0, listed=True))
        self.feed.add_reading(Reading([record(5), record(6)], 7, 2.0, listed=False))
        self.feed.add_reading(Reading([record(6), record(7)], 8, 2.5, listed=False))
        self.assertEqual(self.feed.records_since(5), [record(5), record(6), record(7)])

    def test_late_reading_does_not_move_read_at_back(self):
        self.feed.add_reading(Reading([], 5, 3.0, listed=True))
        self.feed.add_reading(Reading([], 5, 2.0, listed=False))
        self.assertEqual(self.feed.read_at, 3.0)
