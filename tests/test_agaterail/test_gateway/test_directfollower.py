from __future__ import annotations

import unittest

import gevent
from returns.result import Failure

from agaterail.gateway.controlstore import Feed, StoreError, StoreErrorKind
from agaterail.gateway.directfollower import DirectFollower
from agaterail.gateway.feedtimes import DIRECT_WAITS_S
from agaterail.gateway.storebackoff import StoreBackoff
from tests.gateway_fleet import Fleet

WAIT_S = DIRECT_WAITS_S[Feed.OPERATORS]


class DirectFollowerTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.stop)
        self.daemon = self.fleet.daemons[0]
        self.follower = DirectFollower(self.daemon.feeds, Feed.OPERATORS)

    def redirects_peers(self, error):
        """Let a read fail, and return whether peers are redirected to another reader."""
        self.daemon.feeds.relay.feeds[Feed.OPERATORS].failing = False
        self.daemon.feeds.store_backoff = StoreBackoff()
        self.daemon.store.follow = lambda *_: Failure(error)
        self.follower.step()
        return self.daemon.feeds.relay.feeds[Feed.OPERATORS].failing

    def test_timeout_does_not_redirect_peers(self):
        """A read that was delayed by the reader's own answers sent its peers to the store."""
        late = StoreError(StoreErrorKind.UNANSWERED, "timed out", timed_out=True)
        self.assertFalse(self.redirects_peers(late))

    def test_refused_read_redirects_peers(self):
        self.assertTrue(self.redirects_peers(StoreError(StoreErrorKind.REFUSED, "status 503")))
        self.assertTrue(self.redirects_peers(StoreError(StoreErrorKind.UNANSWERED, "reset")))

    def test_first_read_after_pause_does_not_wait(self):
        # A daemon becomes a reader. While its first read waited for new records, the daemons
        # that polled it considered it cut off, and all of them read the store directly.
        self.assertEqual(self.follower._wait_s(self.daemon.now()), 0.0)
        self.follower.step()
        self.assertEqual(self.follower._wait_s(self.daemon.now()), WAIT_S)
        self.assertEqual(self.follower._wait_s(self.daemon.now() + 3.0 * WAIT_S), 0.0)


class OutageTest(unittest.TestCase):
    OUTAGE_S = 3.0

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.stop)
        self.daemon = self.fleet.daemons[0]

    def read_calls(self):
        """Return the reads of the store so far, without joins and lookups of readers."""
        return (
            self.fleet.store.calls_by_name["read"] + self.fleet.store.calls_by_name["newest"]
        )

    def test_one_feed_at_a_time_probes_the_store(self):
        """Each daemon probed the store once per feed, three times as often as needed."""
        self.fleet.store.down = True
        self.fleet.wait(lambda: self.daemon.feeds.store_backoff.in_outage)
        before = self.read_calls()
        gevent.sleep(self.OUTAGE_S)
        self.assertLessEqual(self.read_calls() - before, self.OUTAGE_S / 0.25 + 3)

    def test_no_reader_is_looked_up_while_joins_fail(self):
        """Lookups of readers failed too, at the price of a whole call each."""
        self.fleet.store.down = True
        self.fleet.wait(lambda: self.daemon.feeds.store_backoff.in_outage)
        self.daemon.membership.readers_stale = True
        before = self.fleet.store.calls_by_name["owners"]
        gevent.sleep(self.OUTAGE_S)
        self.assertEqual(self.fleet.store.calls_by_name["owners"], before)

    def test_a_join_ends_the_outage_of_a_daemon_that_reads_nothing_itself(self):
        """A daemon whose peers read the store for it never took the lease over."""
        backoff = self.daemon.feeds.store_backoff
        self.daemon.greenlets.kill()
        now = self.daemon.now()
        self.daemon.now = lambda: now
        backoff.record_failure(Feed.TARGETS, now, 0.5, 0.5)
        self.daemon.membership.step()
        self.assertTrue(backoff.in_outage)  # it is still probed
        now += 2.0
        self.daemon.membership.step()
        self.assertFalse(backoff.in_outage)

    def test_all_feeds_are_read_again_once_one_probe_succeeds(self):
        self.fleet.store.down = True
        self.fleet.wait(lambda: self.daemon.feeds.store_backoff.in_outage)
        gevent.sleep(1.0)
        self.fleet.store.down = False
        self.fleet.wait(lambda: not self.daemon.feeds.store_backoff.in_outage, 2.0)
        for feed in (Feed.OPERATORS, Feed.TARGETS):
            with self.subTest(feed=feed):
                self.fleet.wait(
                    lambda feed=feed: (
                        self.daemon.now() - self.daemon.feeds.read_at[feed] < 1.0
                    ),
                    1.5,
                )
