from __future__ import annotations

import unittest

from agaterail.gateway.controlstore import FeedRecord, Reading
from agaterail.gateway.relayed.records import KEPT_RECORDS, RecordFeed


def record(offset):
    return FeedRecord(offset, f"k{offset}", b"\x00value")


class RecordFeedTest(unittest.TestCase):
    def setUp(self):
        self.feed = RecordFeed()

    def test_nothing_is_known_before_the_first_read(self):
        self.assertIsNone(self.feed.since(0))

    def test_a_peer_gets_what_it_lacks(self):
        self.feed.take_in(Reading([], 5, 1.0, listed=True))
        self.feed.take_in(Reading([record(5), record(6)], 7, 2.0, listed=False))
        self.assertEqual(self.feed.since(6), [record(6)])
        self.assertEqual(self.feed.since(7), [])
        self.assertEqual(self.feed.since(9), [])

    def test_a_peer_that_lacks_more_than_is_kept_is_sent_to_the_store(self):
        # A daemon that was cut off asks for records that are gone here. With an
        # empty answer it would believe that nothing happened.
        self.feed.take_in(Reading([], 0, 1.0, listed=True))
        for offset in range(KEPT_RECORDS + 10):
            self.feed.take_in(Reading([record(offset)], offset + 1, 2.0, listed=False))
        self.assertIsNone(self.feed.since(9))
        self.assertEqual(len(self.feed.since(10)), KEPT_RECORDS)

    def test_a_listing_begins_anew(self):
        # The history expired: what lay between is known by its newest state
        # only, which a peer must read for itself.
        self.feed.take_in(Reading([], 5, 1.0, listed=True))
        self.feed.take_in(Reading([record(5)], 6, 1.0, listed=False))
        self.feed.take_in(Reading([record(80)], 90, 2.0, listed=True))
        self.assertIsNone(self.feed.since(6))
        self.assertEqual(self.feed.since(90), [])

    def test_an_answer_that_was_overtaken_leaves_no_gap(self):
        # A peer's answer up to 5 comes after a read of the store up to 8. Were
        # the copy set back, the next read would join at 8, and a peer that asks
        # from 6 would never see the records 6 and 7.
        self.feed.take_in(Reading([], 5, 1.0, listed=True))
        self.feed.take_in(Reading([record(5), record(6), record(7)], 8, 2.0, listed=False))
        self.feed.take_in(Reading([], 5, 1.5, listed=False))
        self.feed.take_in(Reading([record(8)], 9, 3.0, listed=False))
        self.assertEqual(self.feed.since(6), [record(6), record(7), record(8)])

    def test_records_that_do_not_join_begin_anew(self):
        self.feed.take_in(Reading([], 5, 1.0, listed=True))
        self.feed.take_in(Reading([record(8)], 9, 2.0, listed=False))
        self.assertIsNone(self.feed.since(6))
        self.assertEqual(self.feed.since(9), [])

    def test_records_that_come_twice_are_kept_once(self):
        self.feed.take_in(Reading([], 5, 1.0, listed=True))
        self.feed.take_in(Reading([record(5), record(6)], 7, 2.0, listed=False))
        self.feed.take_in(Reading([record(6), record(7)], 8, 2.5, listed=False))
        self.assertEqual(self.feed.since(5), [record(5), record(6), record(7)])

    def test_a_late_answer_does_not_make_the_reading_older(self):
        self.feed.take_in(Reading([], 5, 3.0, listed=True))
        self.feed.take_in(Reading([], 5, 2.0, listed=False))
        self.assertEqual(self.feed.read_at, 3.0)
