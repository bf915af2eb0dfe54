from __future__ import annotations

import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from agaterail.decisions.fleetmembers import FleetMembers
from agaterail.gateway.controlstore import Feed, FeedRecord, Reading
from agaterail.gateway.demand import DemandReport
from agaterail.gateway.peerprotocol import (
    PeerQuery,
    decode_answer,
    decode_query,
    encode_answer,
    encode_query,
)
from agaterail.gateway.relay import Relay
from agaterail.gateway.relayed import PackedRecord


def record(offset):
    return FeedRecord(offset, f"k{offset}", b"\x00value")


class PeerProtocolTest(unittest.TestCase):
    def test_query_and_answer_round_trip(self):
        relay = Relay()
        relay.feeds[Feed.TARGETS].add_reading(Reading([], 4, 9.0, listed=True))
        relay.feeds[Feed.TARGETS].add_reading(Reading([record(4)], 5, 9.5, listed=False))
        original = PeerQuery({Feed.TARGETS: 4, Feed.LEASE: 2}, (3, 17), 0.6)
        query = decode_query(encode_query(original).partition("?")[2].encode())
        self.assertEqual(query, original)
        body = encode_answer(relay, query, ("1.2.3.4:5",), now=10.0, waited_s=0.25)
        answer = decode_answer(body).unwrap()
        news = answer.feeds[Feed.TARGETS]
        self.assertEqual(news.records, (PackedRecord(4, "k4", b"\x00value"),))
        self.assertEqual((news.age_s, news.next_offset), (0.5, 5))
        self.assertNotIn(Feed.LEASE, answer.feeds)
        self.assertEqual((answer.readers, answer.waited_s), (("1.2.3.4:5",), 0.25))

    def test_reports_and_estimates_of_the_demand_round_trip(self):
        original = PeerQuery({Feed.LEASE: 2}, (), 0.6, DemandReport(12345, 0.625))
        query = decode_query(encode_query(original).partition("?")[2].encode())
        self.assertEqual(query, original)
        body = encode_answer(Relay(), query, (), 10.0, offered_tokens_per_s=88.5)
        self.assertEqual(decode_answer(body).unwrap().offered_tokens_per_s, 88.5)

    def test_a_malformed_report_does_not_fail_the_poll(self):
        for report in ("x", "1:", "-1:0.5", "1:nan", "1:inf", "1:0", f"{10**12}:1", "1:99"):
            with self.subTest(report=report):
                query = decode_query(f"lease=2&held=&wait=0.6&offered={report}".encode())
                self.assertEqual(query, PeerQuery({Feed.LEASE: 2}, (), 0.6))

    def test_members_are_sent_only_to_daemons_with_another_list(self):
        members = FleetMembers()
        members.update({"a:1": "z1", "b:1": "z2"}, 0.0)
        for tag, sent in (("", members.domains), ("0f", members.domains), (None, None)):
            with self.subTest(tag=tag):
                original = PeerQuery({}, (), 0.6, members_tag=tag)
                query = decode_query(encode_query(original).partition("?")[2].encode())
                self.assertEqual(query, original)
                answer = decode_answer(encode_answer(Relay(), query, (), 1.0, members=members))
                self.assertEqual(answer.unwrap().members, sent)
        query = PeerQuery({}, (), 0.6, members_tag=members.tag)
        answer = decode_answer(encode_answer(Relay(), query, (), 1.0, members=members))
        self.assertIsNone(answer.unwrap().members)

    def test_answers_of_a_former_release_have_no_estimate(self):
        body = msgspec.msgpack.encode({"feeds": {}, "readers": ["a:1"], "waited_s": 0.1})
        self.assertIsNone(decode_answer(body).unwrap().offered_tokens_per_s)
        newer = msgspec.msgpack.encode({"feeds": {}, "readers": [], "added_later": 1})
        self.assertEqual(decode_answer(newer).unwrap().readers, ())

    def test_malformed_answers_are_rejected(self):
        whole = encode_answer(Relay(), PeerQuery({}, (), 0.0), ("1.2.3.4:5",), now=10.0)
        wrong_type = msgspec.msgpack.encode({"feeds": 1, "readers": []})
        unknown_feed = msgspec.msgpack.encode({"feeds": {"x": {}}, "readers": []})
        cut, longer = whole[:-1], whole + b"x"
        for body in (b"", b"[]", b"\x80", cut, longer, wrong_type, unknown_feed):
            self.assertIsInstance(decode_answer(body).failure(), str)

    @given(st.floats(0.0, 5.0), st.floats(0.0, 2.0), st.floats(0.0, 2.0))
    def test_reading_age_is_never_underestimated(self, age_s, way_s, wait_s):
        # The polling daemon adds the reported wait to the time of its query and subtracts
        # the reported age. The true time of the reading is never earlier than the result.
        sent_at = 100.0
        answered_at = sent_at + way_s + wait_s
        true_read_at = answered_at - age_s
        self.assertLessEqual(sent_at + wait_s - age_s, true_read_at + 1e-9)
