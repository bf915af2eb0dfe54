from __future__ import annotations

import random
import unittest

from agaterail.decisions.streamrecords import StreamRecords, rank_keepers, stream_key
from agaterail.decisions.streamsources import StreamSource

VALID_S = 10.0
COPIES, ASKED = 3, 8
DOMAINS = 3


class StreamRecordsTest(unittest.TestCase):
    def setUp(self):
        self.records = StreamRecords(max_records=3)
        self.source = StreamSource("s", "b1")

    def put(self, key, now, source=None):
        self.records.put(key, source or self.source, VALID_S, now)

    def test_a_record_is_kept_after_its_last_use(self):
        self.put(b"k", 0.0)
        self.assertIsNotNone(self.records.find(b"k", VALID_S, 9.0))
        found = self.records.find(b"k", VALID_S, 18.0)
        self.assertEqual((found.source, found.recorded_at), (self.source, 0.0))
        self.assertIsNone(self.records.find(b"k", VALID_S, 28.0))

    def test_records_that_contradict_each_other_say_nothing(self):
        """The later of two streams of one id was taken for the earlier."""
        self.put(b"k", 0.0)
        self.put(b"k", 1.0, StreamSource("s", "b2"))
        self.assertFalse(self.records.find(b"k", VALID_S, 2.0).source.is_known)
        self.put(b"k", 3.0)
        self.assertFalse(self.records.find(b"k", VALID_S, 4.0).source.is_known)

    def test_a_flood_drops_the_records_used_longest_ago(self):
        for number in range(3):
            self.put(b"%d" % number, 0.0)
        self.records.find(b"0", VALID_S, 1.0)
        self.put(b"3", 2.0)
        self.assertEqual(list(self.records.records), [b"2", b"0", b"3"])

    def test_expired_records_are_dropped(self):
        self.put(b"a", 0.0)
        self.put(b"b", 99.0)
        self.assertEqual(list(self.records.records), [b"b"])

    def test_keys_differ_by_workspace(self):
        keys = {stream_key("w", "1r"), stream_key("w1", "r"), stream_key("", "w1r")}
        self.assertEqual(len(keys), 3)


class KeepersTest(unittest.TestCase):
    """How many streams are known after hosts are lost, for several sizes of the fleet."""

    streams = 200

    def fleet(self, hosts):
        return {f"h{number}:1": f"z{number % DOMAINS}" for number in range(hosts)}

    def known_fraction(self, hosts, lost, changed=()):
        """Return the fraction of streams that a random remaining host learns of.

        Parameters
        ----------
        lost
            Returns the hosts that are lost after the records were sent, with the one
            that sent them.
        changed
            Hosts that come between recording and asking, with new addresses.
        """
        rng, members = random.Random(hosts), self.fleet(hosts)
        known = 0
        for number in range(self.streams):
            key, origin = stream_key("w", str(number)), rng.choice(list(members))
            ranked = [item for item in rank_keepers(key, members) if item != origin]
            holders = {origin, *ranked[:COPIES]}
            gone = lost(rng, members, origin)
            left = {
                name: domain for name, domain in members.items() if name not in gone
            } | dict(changed)
            asking = rng.choice(list(left))
            asked = [item for item in rank_keepers(key, left) if item != asking][:ASKED]
            known += bool((holders - gone) & {asking, *asked})
        return known / self.streams

    def lose_origin(self, _rng, _members, origin):
        return {origin}

    def lose_domain(self, _rng, members, origin):
        return {name for name, domain in members.items() if domain == members[origin]}

    def lose_half(self, rng, members, origin):
        return {origin, *rng.sample(list(members), len(members) // 2)}

    def test_streams_are_known_after_the_loss_of_hosts(self):
        """The records of a stream were lost together with its first host."""
        for hosts in (6, 8, 69, 410):
            with self.subTest(hosts=hosts):
                self.assertEqual(self.known_fraction(hosts, self.lose_origin), 1.0)
                self.assertEqual(self.known_fraction(hosts, self.lose_domain), 1.0)
                self.assertGreater(self.known_fraction(hosts, self.lose_half), 0.8)

    def test_streams_are_known_while_hosts_come(self):
        """Hosts that come take the place of keepers, and have no records."""
        for hosts in (6, 8, 69, 410):
            with self.subTest(hosts=hosts):
                new = {f"n{number}:1": f"z{number % DOMAINS}" for number in range(hosts // 2)}
                known = self.known_fraction(hosts, self.lose_origin, new.items())
                self.assertGreater(known, 0.95)
