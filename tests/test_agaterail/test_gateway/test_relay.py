from __future__ import annotations

import unittest
from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st
from returns.result import Success

from agaterail.gateway.controlstore import Feed, FeedRecord, Membership
from agaterail.gateway.membership import (
    MembershipController,
    address_of,
    choose_readers,
    member_name,
    reader_count,
)
from agaterail.gateway.peerfeed import (
    decode_answer,
    decode_question,
    encode_answer,
    encode_question,
)
from agaterail.gateway.relay import KEPT_RECORDS, Relay, RelayedFeed
from tests.large_state import make_rows, make_state, with_row_changed


def record(offset):
    return FeedRecord(offset, f"k{offset}", b"\x00value")


class RelayedFeedTest(unittest.TestCase):
    def setUp(self):
        self.feed = RelayedFeed()

    def test_nothing_is_known_before_the_first_read(self):
        self.assertIsNone(self.feed.since(0))

    def test_a_peer_gets_what_it_lacks(self):
        self.feed.take_in([], 5, 1.0, listed=True)
        self.feed.take_in([record(5), record(6)], 7, 2.0, listed=False)
        self.assertEqual(self.feed.since(6), [record(6)])
        self.assertEqual(self.feed.since(7), [])
        self.assertEqual(self.feed.since(9), [])

    def test_a_peer_that_lacks_more_than_is_kept_is_sent_to_the_store(self):
        # A daemon that was cut off asks for records that are gone here. With an
        # empty answer it would believe that nothing happened.
        self.feed.take_in([], 0, 1.0, listed=True)
        for offset in range(KEPT_RECORDS + 10):
            self.feed.take_in([record(offset)], offset + 1, 2.0, listed=False)
        self.assertIsNone(self.feed.since(9))
        self.assertEqual(len(self.feed.since(10)), KEPT_RECORDS)

    def test_a_listing_begins_anew(self):
        # The history expired: what lay between is known by its newest state
        # only, which a peer must read for itself.
        self.feed.take_in([], 5, 1.0, listed=True)
        self.feed.take_in([record(5)], 6, 1.0, listed=False)
        self.feed.take_in([record(80)], 90, 2.0, listed=True)
        self.assertIsNone(self.feed.since(6))
        self.assertEqual(self.feed.since(90), [])

    def test_an_answer_that_was_overtaken_leaves_no_gap(self):
        # A peer's answer up to 5 comes after a read of the store up to 8. Were
        # the copy set back, the next read would join at 8, and a peer that asks
        # from 6 would never see the records 6 and 7.
        self.feed.take_in([], 5, 1.0, listed=True)
        self.feed.take_in([record(5), record(6), record(7)], 8, 2.0, listed=False)
        self.feed.take_in([], 5, 1.5, listed=False)
        self.feed.take_in([record(8)], 9, 3.0, listed=False)
        self.assertEqual(self.feed.since(6), [record(6), record(7), record(8)])

    def test_records_that_do_not_join_begin_anew(self):
        self.feed.take_in([], 5, 1.0, listed=True)
        self.feed.take_in([record(8)], 9, 2.0, listed=False)
        self.assertIsNone(self.feed.since(6))
        self.assertEqual(self.feed.since(9), [])

    def test_records_that_come_twice_are_kept_once(self):
        self.feed.take_in([], 5, 1.0, listed=True)
        self.feed.take_in([record(5), record(6)], 7, 2.0, listed=False)
        self.feed.take_in([record(6), record(7)], 8, 2.5, listed=False)
        self.assertEqual(self.feed.since(5), [record(5), record(6), record(7)])

    def test_a_late_answer_does_not_make_the_reading_older(self):
        self.feed.take_in([], 5, 3.0, listed=True)
        self.feed.take_in([], 5, 2.0, listed=False)
        self.assertEqual(self.feed.read_at, 3.0)


class PeerFeedTest(unittest.TestCase):
    def test_a_question_and_its_answer_survive_the_wire(self):
        relay = Relay()
        relay.feeds[Feed.TARGETS].take_in([], 4, 9.0, listed=True)
        relay.feeds[Feed.TARGETS].take_in([record(4)], 5, 9.5, listed=False)
        question = encode_question({Feed.TARGETS: 4, Feed.LEASE: 2}, 0.6)
        offsets, wait_s = decode_question(question.partition("?")[2].encode())
        self.assertEqual((offsets, wait_s), ({Feed.TARGETS: 4, Feed.LEASE: 2}, 0.6))
        body = encode_answer(relay, offsets, ("1.2.3.4:5",), now=10.0, waited_s=0.25)
        answer = decode_answer(body).unwrap()
        news = answer.feeds[Feed.TARGETS]
        self.assertEqual(news.records, (record(4),))
        self.assertEqual((news.age_s, news.next_offset), (0.5, 5))
        self.assertNotIn(Feed.LEASE, answer.feeds)
        self.assertEqual((answer.readers, answer.waited_s), (("1.2.3.4:5",), 0.25))

    def test_rubbish_is_no_answer(self):
        for body in (b"", b"[]", b'{"feeds": 1}', b'{"feeds": {"x": {}}, "readers": []}'):
            self.assertIsInstance(decode_answer(body).failure(), str)

    @given(st.floats(0.0, 5.0), st.floats(0.0, 2.0), st.floats(0.0, 2.0))
    def test_a_reading_is_never_taken_for_newer_than_it_is(self, age_s, way_s, wait_s):
        # The asker counts from when it asked, less the age that the peer names
        # at its answer; the true reading is later than that in any case.
        asked_at = 100.0
        answered_at = asked_at + way_s + wait_s
        true_read_at = answered_at - age_s
        self.assertLessEqual(asked_at - age_s, true_read_at + 1e-9)


class LargeStateTest(unittest.TestCase):
    """A route that was added is denied, a moved one goes to its former service.

    Operators publish a state of some thousand routes and then change single rows, one
    version after the other. Each version is acknowledged and read from the store in
    time, but some hosts have it in force seconds after the others.
    """

    # Sent to each of 410 daemons at 2,100 changes a day, half of the 5 KB/s that a
    # daemon may use is 100 KB a change. A row has 250 bytes; ten times that leaves room
    # for the frame and stays far below.
    MOST_BYTES_OF_A_ROW = 2560

    def test_changes_of_single_rows_are_passed_on_in_some_kilobytes(self):
        rows = make_rows(2800)
        relay = Relay()
        kept = relay.feeds[Feed.OPERATORS]
        kept.take_in([], 4, 0.0, listed=True)
        for offset in range(4, 8):
            value = make_state(offset, with_row_changed(rows, 100 * offset))
            kept.take_in([FeedRecord(offset, "config", value)], offset + 1, 1.0, listed=False)
        body = encode_answer(relay, {Feed.OPERATORS: 5}, (), now=2.0)
        # Three versions came since; two rows of them differ from what the asker has.
        self.assertLess(len(body), 2 * self.MOST_BYTES_OF_A_ROW)


class FakeStore:
    """Deals all first partitions to members; their owners show bit by bit."""

    def __init__(self) -> None:
        self.owners: dict[int, str] = {}

    def join(self, _member, _ttl_s, _generation):
        return Success(Membership(generation=72, share=1 / 64, ranks=frozenset({0})))

    def ranked_members(self):
        return Success(dict(self.owners))


class ReadersTest(unittest.TestCase):
    def make_membership(self, now, store, hub):
        daemon = SimpleNamespace(
            stopping=False,
            now=lambda: now[0],
            store=store,
            feeds=hub,
            rules=SimpleNamespace(daemons=64.0),
            budget=SimpleNamespace(share=0.0),
            set_fleet_size=lambda _daemons: None,
            settings=SimpleNamespace(
                host="h",
                ip="10.0.0.1",
                peer_ports=(7000, 7010),
                store=SimpleNamespace(member_ttl_min_s=1.0),
            ),
            boot="b",
        )
        return MembershipController(daemon)

    def test_a_former_reader_finds_out_who_reads_now(self):
        # The fleet changes and two readers lose their partitions. Both know of none
        # but each other, and pass that on to whoever asks: all find old readings and
        # read the store themselves, and its calls are turned away.
        now, store, hub = [100.0], FakeStore(), SimpleNamespace(readers=())
        membership = self.make_membership(now, store, hub)
        own = member_name("h", "10.0.0.1:7000", "b")
        store.owners = {0: own, 1: member_name("h", "10.0.0.2:7000", "b")}
        membership.step()
        now[0] += 2.1
        membership.step()
        self.assertIn("10.0.0.1:7000", hub.readers)
        store.join = lambda *_: Success(
            Membership(generation=73, share=1 / 64, ranks=frozenset())
        )
        store.owners = {n: member_name("h", f"10.0.0.{n}:7000", "b") for n in range(3, 8)}
        now[0] += 2.1
        membership.step()
        self.assertNotIn("10.0.0.1:7000", hub.readers)
        self.assertIn("10.0.0.3:7000", hub.readers)
        # It reads on for a while, as the others may not know yet.
        self.assertTrue(membership.is_reader)

    def test_a_daemon_whose_readers_have_no_news_looks_for_others(self):
        now, store = [100.0], FakeStore()
        hub = SimpleNamespace(readers=("10.0.0.8:7000", "10.0.0.9:7000"))
        membership = self.make_membership(now, store, hub)
        store.join = lambda *_: Success(
            Membership(generation=73, share=1 / 64, ranks=frozenset())
        )
        store.owners = {n: member_name("h", f"10.0.0.{n}:7000", "b") for n in range(3, 8)}
        membership.step()
        self.assertIn("10.0.0.8:7000", hub.readers)
        membership.misled = True
        now[0] += 2.1
        membership.step()
        self.assertNotIn("10.0.0.8:7000", hub.readers)

    def test_readers_are_looked_up_again_until_all_are_known(self):
        # At a start 70 hosts join, and the partitions are dealt anew. The first
        # look finds one owner. Were it the last look, 70 hosts would hang on one
        # reader; when the store turned that one away, 25 others that it had turned
        # away too accepted no key for 6 s, though 45 hosts read the store.
        now = [100.0]
        store = FakeStore()
        hub = SimpleNamespace(readers=())
        membership = self.make_membership(now, store, hub)
        store.owners = {0: member_name("h", "10.0.0.1:7000", "b")}
        membership.step()
        self.assertEqual(len(hub.readers), 1)
        store.owners |= {n: member_name("h", f"10.0.0.{n}:7000", "b") for n in range(2, 8)}
        now[0] += 2.1
        membership.step()
        self.assertEqual(len(hub.readers), 3)
        store.owners.clear()
        now[0] += 2.1
        membership.step()
        self.assertEqual(len(hub.readers), 3)


class MemberNameTest(unittest.TestCase):
    def test_a_member_s_name_says_where_it_is_reached(self):
        name = member_name("edge-1", "10.0.0.1:7340", "ab12")
        self.assertEqual(address_of(name), "10.0.0.1:7340")
        self.assertEqual(address_of("foreign"), "")

    def test_readers_are_different_daemons(self):
        # Two of the ranks lie at one member. Taken for two readers, its silence
        # would leave everybody without news.
        ranked = {0: "a@1:1", 1: "a@1:1", 2: "foreign", 3: "b@2:2", 4: "c@3:3"}
        self.assertEqual(choose_readers(ranked, 6.0), ("1:1", "2:2"))

    def test_readers_grow_with_the_fleet_but_stay_few(self):
        self.assertEqual(reader_count(1.0), 2)
        self.assertEqual(reader_count(6.0), 2)
        self.assertEqual(reader_count(81.0), 4)
        self.assertEqual(reader_count(410.0), 8)
