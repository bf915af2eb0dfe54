"""Direct reads of one feed of the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from returns.result import Success

from agaterail import logs
from agaterail.gateway.controlstore import NEVER, STORE, Arrival, Feed, Reading, StoreErrorKind
from agaterail.gateway.feedtimes import (
    DIRECT_WAITS_S,
    MAX_READING_AGE_S,
    PEER_WAIT_S,
    REQUEST_FEEDS,
)
from agaterail.gateway.storebackoff import LARGE_FLEET_DAEMONS, max_backoff_s

if TYPE_CHECKING:
    from returns.result import Result

    from agaterail.gateway.controlstore import FeedSlice, StoreError
    from agaterail.gateway.feedhub import FeedHub

logger = logs.get_logger("feeds")

# Pause between successful reads of daemons that are not readers. A read returns with the
# first record and engines write tens of records per second: without the pause, a daemon
# that falls back to the store for a second makes ten reads.
LARGE_FLEET_READ_PAUSE_S = 0.25
# Failures in which the store answered; they concern one feed only.
ANSWERED_KINDS = (StoreErrorKind.MALFORMED, StoreErrorKind.CONFLICT)


class DirectFollower:
    """Reads one feed of the store, one read at a time.

    Attributes
    ----------
    behind
        Whether the last read ended before the end of the feed.
    answered_at
        Time of the last answer of the store.
    """

    def __init__(self, hub: FeedHub, feed: Feed) -> None:
        self.hub = hub
        self.feed = feed
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
        wait_s = hub.store_backoff.wait_s(self.feed, sent_at)
        if wait_s > 0.0:
            hub.store_answered.wait(min(wait_s, PEER_WAIT_S))
            return
        offset = hub.offsets.get(self.feed)
        # Desired states may be published faster than the link can transfer them all. Only
        # the newest record of each key matters, and that is what a listing returns.
        listed = offset is None or (self.behind and self.feed is Feed.OPERATORS)
        answer = self._read(None if listed else offset, sent_at)
        if not isinstance(answer, Success):
            self._handle_error(answer.failure())
            return
        self._record_answer()
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

    def _read(self, offset: int | None, sent_at: float) -> Result[FeedSlice, StoreError]:
        """Read from an offset on, or the newest record of each key if it is None."""
        store, backoff = self.hub.daemon.store, self.hub.store_backoff
        is_probe = backoff.in_outage
        backoff.probes += is_probe
        try:
            if offset is None:
                return store.listing(self.feed)
            return store.follow(self.feed, offset, self._wait_s(sent_at))
        finally:
            backoff.probes -= is_probe

    def _record_answer(self) -> None:
        hub = self.hub
        hub.relay.feeds[self.feed].failing = False
        was_in_outage = hub.store_backoff.in_outage
        failures = hub.store_backoff.record_success(self.feed)
        if failures:
            logger.info("Store reachable again.", feed=self.feed.value, failures=failures)
            hub.poller.selector.reset()
        if was_in_outage:
            hub.store_answered.set()
            hub.store_answered.clear()

    def _is_due(self) -> bool:
        hub = self.hub
        for_callers = self.feed in REQUEST_FEEDS or hub.daemon.membership.is_reader
        if for_callers and hub.reads_directly:
            return True
        return hub.daemon.now() - hub.read_at[self.feed] > MAX_READING_AGE_S

    def _wait_s(self, now: float) -> float:
        """Return how long a read waits for new records."""
        if self.hub.store_backoff.in_outage:
            return 0.0
        wait_s = DIRECT_WAITS_S[self.feed]
        # The first read after a pause returns at once. If it waited, the daemons that
        # poll this one would meanwhile consider it cut off from the store.
        return wait_s if now - self.answered_at < 2.0 * wait_s else 0.0

    def _is_throttled(self) -> bool:
        daemon = self.hub.daemon
        return daemon.rules.daemons >= LARGE_FLEET_DAEMONS and not daemon.membership.is_reader

    def _handle_error(self, error: StoreError) -> None:
        if error.kind is StoreErrorKind.EXPIRED:
            # The store compacted the feed: only the newest record of each key is left.
            logger.info("Offset expired, listing the feed.", feed=self.feed.value)
            self._record_answer()
            self.hub.reset(self.feed)
            return
        daemon = self.hub.daemon
        failures = self.hub.store_backoff.record_failure(
            self.feed,
            daemon.now(),
            max_backoff_s(daemon.rules.daemons, daemon.membership.is_reader),
            daemon.random.random(),
            answered=error.kind in ANSWERED_KINDS,
        )
        if failures == 1:
            logger.warning(
                "Store lost.",
                feed=self.feed.value,
                error=error.kind.value,
                reason=error.reason,
            )
        # A timeout may be caused by this daemon's own answers to peers on a slow link, so
        # it does not send the peers away: this daemon can still relay records of other
        # readers, and peers detect a silent store by the time of its last data.
        self.hub.relay.feeds[self.feed].failing = not error.timed_out
