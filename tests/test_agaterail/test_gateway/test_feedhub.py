from __future__ import annotations

import unittest

from returns.result import Failure, Success

from agaterail.gateway.controlstore import (
    Arrival,
    Feed,
    FeedRecord,
    FeedSlice,
    Reading,
    StoreError,
    StoreErrorKind,
)
from agaterail.gateway.directfollower import DirectFollower
from tests.gateway_fleet import Fleet

PEER = "127.0.0.1:9"
TARGET = "p-0"
POLL_S = 0.6
# Shortly after a heartbeat, a registration lapses in an outage of two more.
OUTAGE_S = 2.5
UNANSWERED = Failure(StoreError(StoreErrorKind.UNANSWERED, "timed out", timed_out=True))


class LapsedRegistrationsTest(unittest.TestCase):
    """A daemon without its loops, which reads the targets step by step."""

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.stop)
        self.daemon = self.fleet.daemons[0]
        self.hub = self.daemon.feeds
        self.daemon.greenlets.kill()
        self.now = self.daemon.now()
        self.daemon.now = lambda: self.now
        self.follower = DirectFollower(self.hub, Feed.TARGETS)
        self.read_store()

    @property
    def next_offset(self):
        return self.hub.offsets[Feed.TARGETS]

    def wait(self, seconds):
        self.now += seconds
        self.daemon.housekeep()

    def read_store(self, *records):
        found = FeedSlice(records, self.next_offset + len(records), self.next_offset)
        self.daemon.store.follow = lambda *_: Success(found)
        self.follower.step()

    def lose_store(self):
        self.daemon.store.follow = lambda *_: UNANSWERED
        self.follower.step()

    def read_peer(self, *records):
        arrival = Arrival(PEER, 0.0, self.now, self.now)
        next_offset = self.next_offset + len(records)
        reading = Reading(records, next_offset, self.now, arrival=arrival)
        self.hub.apply_reading(Feed.TARGETS, reading)

    def removal(self):
        return FeedRecord(self.next_offset, TARGET, b"")

    def poll_peer(self, seconds):
        for _ in range(round(seconds / POLL_S)):
            self.wait(POLL_S)
            self.read_peer()

    def is_known(self):
        return TARGET in self.daemon.registry.targets

    def test_a_target_that_leaves_after_an_outage_of_one_daemon_is_dropped_at_once(self):
        """A daemon that read the store again long after its outage kept a target that left."""
        self.lose_store()
        self.poll_peer(12.0)
        self.read_store()
        self.wait(0.1)
        self.read_peer(self.removal())
        self.assertFalse(self.is_known())

    def test_one_lost_read_holds_no_removal_back(self):
        """After a read without an answer, a daemon kept targets that left for two seconds."""
        self.lose_store()
        self.wait(POLL_S)
        self.read_store()
        self.wait(0.1)
        self.read_store(self.removal())
        self.assertFalse(self.is_known())

    def test_a_registration_that_lapsed_in_an_outage_is_kept_until_it_may_be_back(self):
        """Callers were refused while targets that are alive had not registered again."""
        self.lose_store()
        self.wait(OUTAGE_S)
        self.read_store(self.removal())
        self.wait(1.9)
        self.assertTrue(self.is_known())
        self.wait(0.2)
        self.assertFalse(self.is_known())

    def test_a_peer_that_reads_the_store_again_begins_the_grace_period_too(self):
        """Daemons that poll dropped targets whose registration lapsed in a short outage."""
        self.wait(OUTAGE_S)
        self.read_peer(self.removal())
        self.assertTrue(self.is_known())
        self.wait(2.1)
        self.assertFalse(self.is_known())
