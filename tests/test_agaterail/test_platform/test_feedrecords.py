from __future__ import annotations

import json
import unittest

from hypothesis import given
from hypothesis import strategies as st

from agaterail.gateway.controlstore import (
    EngineLoad,
    Feed,
    FeedRecord,
    LeaseEntry,
    WeightsNamed,
)
from agaterail.platform.feedrecords import RecordDecoder, decode_log, split_records
from agaterail.platform.store import PlatformStore
from agaterail.util.address import Address
from standins.platform_store import PlatformStoreStandIn

NAMES = """
version routes services tenants limits name host path_prefix kind service timeout_ms weight
target_latency_ms traffic_split kv_store_addr engine models slots unit rate_per_s address
zone state born model naming written_at reading_age_s ages planned loaded boot load_s
released_idle_s at by target prompts survived parts crashes requests x
"""
MEMBERS = st.sampled_from(NAMES.split())
FEEDS_AND_KEYS = st.sampled_from(
    [
        (Feed.OPERATORS, "config"),
        (Feed.OPERATORS, "version/m"),
        (Feed.TARGETS, "i-1"),
        (Feed.LEASE, ""),
        (Feed.CRASHES, "crash/1"),
        (Feed.CRASHES, "survived/1"),
        (Feed.CRASHES, "part/a"),
    ]
)
LOADS = (EngineLoad("i-1", "m", 2), EngineLoad("i-2", "m", 3))


def record(offset, value, key="config"):
    return FeedRecord(offset, key, value)


class RecordDecoderTest(unittest.TestCase):
    def setUp(self):
        self.decoder = RecordDecoder()

    def to_records(self, *records):
        found = self.decoder.to_records(Feed.OPERATORS, list(records))
        return [(item.offset, item.document.members) for item in found]

    def test_only_the_newest_record_of_each_key_is_kept(self):
        weights = record(2, b'{"version": 9}', key="version/m")
        found = self.to_records(record(1, b'{"v": 1}'), weights, record(3, b'{"v": 3}'))
        self.assertEqual(found, [(2, {"version": b"9"}), (3, {"v": b"3"})])

    def test_a_malformed_record_does_not_hide_the_previous_one(self):
        # A malformed record follows right after a valid state. If the valid state were
        # dropped as well, hosts would stay on an older one.
        found = self.to_records(record(1, b'{"v": 1}'), record(2, b'{"v": '), record(3, b""))
        self.assertEqual(found, [(1, {"v": b"1"})])

    def test_weights_are_decoded_from_their_document(self):
        weights = record(2, b'{"model": "m", "version": 9}', key="version/m")
        (found,) = self.decoder.to_records(Feed.OPERATORS, [weights])
        self.assertEqual(
            self.decoder.decode_change(Feed.OPERATORS, found), WeightsNamed(2, "m", 9)
        )

    def test_other_feeds_keep_each_record(self):
        records = [record(1, b"x"), record(2, b"y")]
        self.assertEqual(self.decoder.to_records(Feed.TARGETS, records), records)


class LogRecordsTest(unittest.TestCase):
    def test_records_are_split_by_their_lengths(self):
        data = b"\0\0\0\x02\x01a" + b"\0\0\0\x03\x01bc"
        raw = split_records(data, 7)
        self.assertEqual(raw, [(7, b"\x01a"), (8, b"\x01bc")])
        self.assertEqual(
            decode_log(Feed.TARGETS, raw), [FeedRecord(7, "a", b""), FeedRecord(8, "b", b"c")]
        )

    def test_a_truncated_record_is_detected(self):
        for data in (b"\0\0", b"\0\0\0\x02a", b"\0\0\0\0\0"):
            self.assertIsNone(split_records(data, 0))


class LeaseRecordTest(unittest.TestCase):
    def setUp(self):
        stand_in = PlatformStoreStandIn()
        address = stand_in.start()
        self.addCleanup(stand_in.stop)
        self.store = PlatformStore(Address.parse(address), 16)

    def pass_on(self, entry):
        """Return a record as another daemon reads it."""
        self.store.append_lease(entry, 0).unwrap()
        records = self.store.listing(Feed.LEASE).unwrap().records
        (change,) = self.store.decode(Feed.LEASE, records)
        return change.entry

    def test_announced_loads_arrive(self):
        entry = LeaseEntry("h", "b", planned=LOADS, loaded=LOADS[:1])
        self.assertEqual(self.pass_on(entry), entry)

    def test_an_empty_plan_differs_from_none(self):
        """A holder of the former release announces nothing; then daemons estimate."""
        entry = LeaseEntry("h", "b", planned=())
        self.assertEqual(self.pass_on(entry), entry)

    def test_a_record_without_a_plan_is_read_as_before(self):
        entry = LeaseEntry("h", "b", released_idle_s=1.5, load_s=0.5)
        self.assertEqual(self.pass_on(entry), entry)

    def test_malformed_loads_are_refused(self):
        for loads in ("x", [["i-1", "m"]], [["i-1", "m", -1]], [[1, "m", 2]], {}):
            with self.subTest(loads=loads):
                value = json.dumps({"host": "h", "boot": "b", "planned": loads}).encode()
                record = FeedRecord(0, "", value)
                self.assertEqual(self.store.decode(Feed.LEASE, [record]), [])


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(MEMBERS, inner, max_size=4),
    max_leaves=30,
)


class AnyRecordTest(unittest.TestCase):
    """No record of another writer makes the decoder of its feed fail."""

    def decode(self, feed, key, value):
        decoder = RecordDecoder()
        records = decoder.to_records(feed, [FeedRecord(1, key, value)])
        for record in records:
            decoder.decode_change(feed, record)

    @given(FEEDS_AND_KEYS, st.dictionaries(MEMBERS, JSON_VALUES))
    def test_members_of_any_type_are_skipped(self, place, members):
        self.decode(*place, json.dumps(members).encode())

    @given(FEEDS_AND_KEYS, st.binary())
    def test_any_bytes_are_skipped(self, place, value):
        self.decode(*place, value)

    def test_rows_of_any_type_leave_the_others_in_force(self):
        """Guards against an unhashable or huge value that ends the decoding of a state."""
        rows = [{"name": "w", "unit": []}, {"name": "w", "rate_per_s": int("9" * 400)}, 7]
        state = {"version": 1, "tenants": [*rows, {"name": "w1"}]}
        decoder = RecordDecoder()
        value = json.dumps(state).encode()
        (record,) = decoder.to_records(Feed.OPERATORS, [FeedRecord(1, "config", value)])
        change = decoder.decode_change(Feed.OPERATORS, record)
        self.assertIn("w1", [item.name for item in change.state.workspaces])
