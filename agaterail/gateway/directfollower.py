"""Reads of one feed of the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from returns.result import Success

from agaterail import logs
from agaterail.gateway.controlstore import NEVER, STORE, Arrival, Feed, Reading, StoreErrorKind
from agaterail.gateway.feedtimes import DIRECT_WAITS_S, PEER_WAIT_S, REQUIRED_FEEDS

if TYPE_CHECKING:
    from agaterail.gateway.controlstore import StoreError
    from agaterail.gateway.feedhub import FeedHub

logger = logs.get_logger("feeds")

# Pauses between failed reads, with jitter: an outage of seconds is noticed to
# be over within half a second, at three calls a second and daemon at most. In a
# larger fleet those that are no readers wait longer: their calls are most of all.
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.5
LARGE_FLEET_MAX_BACKOFF_S = 1.0
LARGE_FLEET_DAEMONS = 16
# A read returns with the first record, and engines write some tens of them a second:
# without a pause a daemon that reads for a second makes ten reads.
LARGE_FLEET_READ_PAUSE_S = 0.25
# Whatever peers say of a feed, it is read once if nothing was heard of it for so long;
# a reader that began later than this daemon cannot continue from its offset.
MAX_READING_AGE_S = 6.0


class DirectFollower:
    """Reads one feed of the store, one read after the other."""

    def __init__(self, hub: FeedHub, feed: Feed) -> None:
        self.hub = hub
        self.feed = feed
        self.failures = 0
        self.behind = False
        self.answered_at = NEVER

    def step(self) -> None:
        """Make one read and take in what it brings, if it is on this daemon."""
        hub = self.hub
        if not self._is_due():
            hub.wake_direct.wait(PEER_WAIT_S)
            return
        daemon = hub.daemon
        sent_at = daemon.now()
        offset = hub.offsets.get(self.feed)
        # Desired states follow each other faster than a link brings each of them; the
        # newest record of each key is all that counts, and a listing has just these.
        listed = offset is None or (self.behind and self.feed is Feed.OPERATORS)
        if offset is None or listed:
            answer = daemon.store.listing(self.feed)
        else:
            answer = daemon.store.follow(self.feed, offset, self._wait_s(sent_at))
        if not isinstance(answer, Success):
            self._handle_error(answer.failure())
            return
        hub.relay.feeds[self.feed].failing = False
        if self.failures:
            logger.info("Store regained.", feed=self.feed.value, failures=self.failures)
            self.failures = 0
            hub.poller.selector.reset()
            if self.feed is Feed.TARGETS:
                daemon.book.store_returned(daemon.now())
        found = answer.unwrap()
        now = self.answered_at = daemon.now()
        self.behind = found.end > found.next_offset
        if self.behind:
            logger.info(
                "Behind the store.",
                feed=self.feed.value,
                next=found.next_offset,
                end=found.end,
            )
        # An answer is bounded in size. Were one that was cut taken for the end of the
        # feed, revoked keys would be accepted and added routes denied.
        read_at = NEVER if self.behind else sent_at
        arrival = Arrival(STORE, now - sent_at, known_at=now, heard_at=now)
        reading = Reading(found.records, found.next_offset, read_at, listed, arrival)
        hub.apply_reading(self.feed, reading)
        if self._is_throttled():
            gevent.sleep(LARGE_FLEET_READ_PAUSE_S)

    def _is_due(self) -> bool:
        hub = self.hub
        for_callers = self.feed in REQUIRED_FEEDS or hub.daemon.membership.is_reader
        if for_callers and hub.reads_directly:
            return True
        return hub.daemon.now() - hub.read_at[self.feed] > MAX_READING_AGE_S

    def _wait_s(self, now: float) -> float:
        """Return how long a read waits for news."""
        wait_s = DIRECT_WAITS_S[self.feed]
        # Whoever begins to read must know at once how the store stands: while its first
        # read waited, all that ask it would call it cut off.
        return wait_s if now - self.answered_at < 2.0 * wait_s else 0.0

    def _is_throttled(self) -> bool:
        daemon = self.hub.daemon
        return daemon.rules.daemons >= LARGE_FLEET_DAEMONS and not daemon.membership.is_reader

    def _max_backoff_s(self) -> float:
        return LARGE_FLEET_MAX_BACKOFF_S if self._is_throttled() else MAX_BACKOFF_S

    def _handle_error(self, error: StoreError) -> None:
        if error.kind is StoreErrorKind.EXPIRED:
            # The history was dropped; the newest record of each key is kept.
            logger.info("History expired.", feed=self.feed.value)
            self.hub.reset(self.feed)
            return
        if not self.failures:
            logger.warning(
                "Store lost.",
                feed=self.feed.value,
                error=error.kind.value,
                reason=error.reason,
            )
        self.failures += 1
        # A read that timed out may have waited behind our own answers on a slow link,
        # and others that read pass on what they have; silence shows by itself.
        self.hub.relay.feeds[self.feed].failing = not error.timed_out
        pause = min(self._max_backoff_s(), INITIAL_BACKOFF_S * 2 ** (self.failures - 1))
        gevent.sleep(pause * (0.5 + self.hub.daemon.random.random()))
