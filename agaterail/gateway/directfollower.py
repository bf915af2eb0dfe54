"""Direct reads of one feed of the platform's store."""

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

# Exponential backoff between failed reads, with jitter. The end of an outage of seconds
# is detected within half a second, at three calls per second and daemon at most. In a
# large fleet daemons that are not readers back off longer, as they make most of the calls.
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.5
LARGE_FLEET_MAX_BACKOFF_S = 1.0
LARGE_FLEET_DAEMONS = 16
# Pause between successful reads of daemons that are not readers. A read returns with the
# first record and engines write tens of records per second: without the pause, a daemon
# that falls back to the store for a second makes ten reads.
LARGE_FLEET_READ_PAUSE_S = 0.25
# A feed whose reading is older than this is read once, whatever peers answer: a reader
# that started later than this daemon cannot continue from this daemon's offset.
MAX_READING_AGE_S = 6.0


class DirectFollower:
    """Reads one feed of the store, one read at a time.

    Attributes
    ----------
    failures
        Consecutive failed reads.
    behind
        Whether the last read ended before the end of the feed.
    answered_at
        Time of the last answer of the store.
    """

    def __init__(self, hub: FeedHub, feed: Feed) -> None:
        self.hub = hub
        self.feed = feed
        self.failures = 0
        self.behind = False
        self.answered_at = NEVER

    def step(self) -> None:
        """Make one read and apply it, or wait if this daemon need not read the feed."""
        hub = self.hub
        if not self._is_due():
            hub.wake_direct.wait(PEER_WAIT_S)
            return
        daemon = hub.daemon
        sent_at = daemon.now()
        offset = hub.offsets.get(self.feed)
        # Desired states may be published faster than the link can transfer them all. Only
        # the newest record of each key matters, and that is what a listing returns.
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
            logger.info("Store reachable again.", feed=self.feed.value, failures=self.failures)
            self.failures = 0
            hub.poller.selector.reset()
            if self.feed is Feed.TARGETS:
                daemon.registry.store_returned(daemon.now())
        found = answer.unwrap()
        now = self.answered_at = daemon.now()
        self.behind = found.end > found.next_offset
        if self.behind:
            logger.info(
                "Read ended before the end of the feed.",
                feed=self.feed.value,
                next=found.next_offset,
                end=found.end,
            )
        # Answers are bounded in size. If a truncated answer counted as the end of the
        # feed, revoked keys would be accepted and requests to new routes denied.
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
        """Return how long a read waits for new records."""
        wait_s = DIRECT_WAITS_S[self.feed]
        # The first read after a pause returns at once. If it waited, the daemons that
        # poll this one would meanwhile consider it cut off from the store.
        return wait_s if now - self.answered_at < 2.0 * wait_s else 0.0

    def _is_throttled(self) -> bool:
        daemon = self.hub.daemon
        return daemon.rules.daemons >= LARGE_FLEET_DAEMONS and not daemon.membership.is_reader

    def _max_backoff_s(self) -> float:
        return LARGE_FLEET_MAX_BACKOFF_S if self._is_throttled() else MAX_BACKOFF_S

    def _handle_error(self, error: StoreError) -> None:
        if error.kind is StoreErrorKind.EXPIRED:
            # The store compacted the feed: only the newest record of each key is left.
            logger.info("Offset expired, listing the feed.", feed=self.feed.value)
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
        # A timeout may be caused by this daemon's own answers to peers on a slow link, so
        # it does not send the peers away: this daemon can still relay records of other
        # readers, and peers detect a silent store by the time of its last data.
        self.hub.relay.feeds[self.feed].failing = not error.timed_out
        pause = min(self._max_backoff_s(), INITIAL_BACKOFF_S * 2 ** (self.failures - 1))
        gevent.sleep(pause * (0.5 + self.hub.daemon.random.random()))
