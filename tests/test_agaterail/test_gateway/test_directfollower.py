from __future__ import annotations

import unittest

from returns.result import Failure

from agaterail.gateway.controlstore import Feed, StoreError, StoreErrorKind
from agaterail.gateway.directfollower import DirectFollower
from agaterail.gateway.feedtimes import DIRECT_WAITS_S
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
