"""Backoff of one daemon's reads of the store, shared by all feeds."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from agaterail.util.backoff import backoff_s

if TYPE_CHECKING:
    from agaterail.gateway.controlstore import Feed

# Exponential backoff between failed reads. The end of an outage of seconds is detected
# within half a second.
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.5
# Daemons that are not readers make most of the calls in a fleet of this size and more. All
# of them together probe the store at about this rate, but each at least once per
# MAX_FLEET_BACKOFF_S.
LARGE_FLEET_DAEMONS = 16
LARGE_FLEET_MAX_BACKOFF_S = 1.0
FLEET_PROBES_PER_S = 50.0
MAX_FLEET_BACKOFF_S = 2.0
# A daemon that reads the store itself probes it within this time after each pause.
UNPROBED_S = 1.0


def max_backoff_s(daemons: float, is_reader: bool) -> float:
    """Return the longest pause between two probes of the store.

    Parameters
    ----------
    daemons
        Size of the fleet.
    is_reader
        Whether other daemons depend on this one's readings.
    """
    if is_reader or daemons < LARGE_FLEET_DAEMONS:
        return MAX_BACKOFF_S
    share_s = daemons / FLEET_PROBES_PER_S
    return min(MAX_FLEET_BACKOFF_S, max(LARGE_FLEET_MAX_BACKOFF_S, share_s))


@attrs.define
class StoreBackoff:
    """State of the reads of all feeds while some of them fail; does no I/O.

    A store that does not answer the read of one feed rarely answers another one. During
    such an outage one feed at a time probes the store; its success releases the others.

    Attributes
    ----------
    failures
        Consecutive failed reads of each feed.
    retry_at
        Time before which each feed is not read again.
    blocked_until
        Time before which no feed is read; None if the store answered the last read.
    probes
        Reads in flight that were sent during the outage.
    """

    failures: dict[Feed, int] = attrs.field(factory=dict)
    retry_at: dict[Feed, float] = attrs.field(factory=dict)
    blocked_until: float | None = None
    probes: int = 0

    @property
    def in_outage(self) -> bool:
        """Return whether the store did not answer the last call."""
        return self.blocked_until is not None

    def wait_s(self, feed: Feed, now: float) -> float:
        """Return how long a feed must not be read; infinite while a probe is in flight."""
        if self.probes:
            return float("inf")
        blocked_until = now if self.blocked_until is None else self.blocked_until
        return max(0.0, self.retry_at.get(feed, now) - now, blocked_until - now)

    def record_contact(self, now: float) -> None:
        """End an outage in which no more reads are made, as the store answered another call.

        A daemon that peers keep current makes no reads. Without this, it would take the
        store for lost long after it is back.
        """
        until = self.blocked_until
        if until is not None and not self.probes and now >= until + UNPROBED_S:
            self.blocked_until = None

    def record_success(self, feed: Feed) -> int:
        """End an outage for all feeds; return the failed reads of this feed before."""
        if self.in_outage:
            self.retry_at.clear()
        self.blocked_until = None
        return self.failures.pop(feed, 0)

    def record_failure(
        self, feed: Feed, now: float, longest_s: float, number: float, answered: bool = False
    ) -> int:
        """Back off and return the consecutive failures of the feed.

        Parameters
        ----------
        longest_s
            Longest pause.
        number
            Random number from 0 to 1 for the jitter.
        answered
            Whether the store answered, so that the failure concerns only this feed.
        """
        self.failures[feed] = self.failures.get(feed, 0) + 1
        failures = self.failures[feed] if answered else max(self.failures.values())
        pause_s = backoff_s(failures - 1, INITIAL_BACKOFF_S, longest_s) * (0.5 + number)
        self.retry_at[feed] = now + pause_s
        if not answered:
            self.blocked_until = now + pause_s
        return self.failures[feed]
