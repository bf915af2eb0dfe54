"""Controllers that follow the feeds of the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from returns.result import Success

from agaterail import logs
from agaterail.gateway.controlstore import Feed, StoreErrorKind

if TYPE_CHECKING:
    from agaterail.gateway.controlstore import FeedSlice, StoreError
    from agaterail.gateway.daemon import Daemon

logger = logs.get_logger("follow")

# Waits of a read for the next change. Keys are accepted for some 5 s after a
# read; a read that waits for a third of that and gets lost leaves time for a
# second one.
REVOKE_WAIT_PART = 0.3
LONGEST_WAIT_S = 2.0
# Pauses between failed reads, with jitter: an outage of seconds is noticed to
# be over within half a second, at three calls a second and daemon at most.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.5


class FeedFollower:
    """Keeps one feed's state current by one read after the other."""

    def __init__(self, daemon: Daemon, feed: Feed) -> None:
        self.daemon = daemon
        self.feed = feed
        self.offset: int | None = None
        self.failures = 0
        self.read_once = False
        revoke_s = daemon.settings.bounds.revoke_s
        self.wait_s = LONGEST_WAIT_S
        if feed is Feed.OPERATORS and revoke_s is not None:
            self.wait_s = min(LONGEST_WAIT_S, revoke_s * REVOKE_WAIT_PART)

    def run(self) -> None:
        """Follow the feed for good."""
        while True:
            try:
                self.step()
            except Exception:
                # A follower that ended would leave the daemon with ever older
                # state and no word of it.
                logger.exception("A read raised.", feed=self.feed.value)
                gevent.sleep(LONGEST_PAUSE_S)

    def step(self) -> None:
        """Make one read and take in what it brings."""
        sent_at = self.daemon.now()
        if self.offset is None:
            answer = self.daemon.store.listing(self.feed)
        else:
            answer = self.daemon.store.follow(self.feed, self.offset, self.wait_s)
        if isinstance(answer, Success):
            self._take_in(answer.unwrap(), sent_at)
            return
        self._failed(answer.failure())

    def _take_in(self, found: FeedSlice, sent_at: float) -> None:
        now = self.daemon.now()
        if self.failures:
            logger.info("Store regained.", feed=self.feed.value, failures=self.failures)
            self.failures = 0
            if self.feed is Feed.TARGETS:
                self.daemon.book.store_returned(now)
        listed = self.offset is None
        self.offset = found.next_offset
        if self.feed is Feed.OPERATORS:
            self.daemon.freshness.confirm(sent_at)
        if listed and self.feed is Feed.TARGETS:
            self._remove_unlisted(found, now)
        self.daemon.state.apply(found.changes, now, at_start=not self.read_once)
        self.read_once = True

    def _remove_unlisted(self, found: FeedSlice, now: float) -> None:
        listed = {getattr(change, "instance", "") for change in found.changes}
        for instance in list(self.daemon.book.targets):
            if instance not in listed:
                self.daemon.book.remove(instance, now)

    def _failed(self, error: StoreError) -> None:
        if error.kind is StoreErrorKind.EXPIRED:
            # The history was dropped; the newest record of each key is kept.
            logger.info("History expired.", feed=self.feed.value, offset=self.offset)
            self.offset = None
            return
        if not self.failures:
            logger.warning(
                "Store lost.",
                feed=self.feed.value,
                error=error.kind.value,
                reason=error.reason,
            )
        self.failures += 1
        pause = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2 ** (self.failures - 1))
        gevent.sleep(pause * (0.5 + self.daemon.random.random()))
