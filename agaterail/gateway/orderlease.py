"""Lease on ordering engines to load weights, based on conditional appends."""

from __future__ import annotations

import attrs

from agaterail.gateway.controlstore import LeaseEntry

# Long enough for a round of orders between two renewals. Short enough that, after a
# holder has died, another host can order within half of the time allowed for a rollout.
TERM_S = 2.0
RENEW_BEFORE_S = 1.0
# An order must arrive before the lease expires.
ORDER_MARGIN_S = 0.5
# Upper bound on the extra delay of a renewal at daemons that follow the log through a
# peer.
PEER_DELAY_S = 0.6
# Upper bound on the idle time that a release record reports.
MAX_IDLE_S = 60.0


@attrs.define
class OrderLease:
    """State of the lease on one host, without I/O.

    An append succeeds only if the writer knew the end of the log, so of two concurrent
    appends one fails. The offset of a record is its fencing number and only increases; a
    renewal appends another record. A host that reads another host's record waits for the
    term, counted from when it first saw the record, and then for another ``gap_s``. This
    keeps the orders of two hosts at least that far apart.

    Times are from a clock that also advances during suspension. The holder counts its term
    from before it sent the append, other hosts from after they read the record.

    Attributes
    ----------
    host
        Name of this host. It survives a restart, so a restarted host counts as the same
        holder.
    boot
        Identifies this process among all that ran on the host.
    gap_s
        Minimum time between orders of different hosts.
    acquirable_at
        Time from which this host may append after another host's record.
    ordered_at
        Time at which the last order was sent.
    fencing
        Fencing number of the lease; None if this host does not hold it.
    """

    host: str
    boot: str
    gap_s: float
    fencing: int | None = None
    held_until: float = float("-inf")
    end: int | None = None
    other_record: LeaseEntry | None = None
    other_record_end: int = -1
    acquirable_at: float = 0.0
    ordered_at: float = float("-inf")
    append_sent_at: dict[int, float] = attrs.field(factory=dict)

    def remaining_s(self, now: float) -> float:
        """Return the seconds for which orders may still be sent."""
        if self.fencing is None:
            return 0.0
        return max(0.0, self.held_until - ORDER_MARGIN_S - now)

    def is_held(self, now: float) -> bool:
        """Return whether some host holds the lease, as far as this host knows."""
        if self.fencing is not None:
            return now < self.held_until
        ends_at = self.acquirable_at - self.gap_s + PEER_DELAY_S
        return (
            self.other_record is not None
            and self.other_record.released_idle_s is None
            and now < ends_at
        )

    def needs_renewal(self, now: float) -> bool:
        """Return whether a record must be appended to continue sending orders."""
        return self.held_until - now < RENEW_BEFORE_S

    def observe(self, newest: LeaseEntry | None, end: int, now: float) -> None:
        """Process the newest record and the end offset of the log."""
        if self.end is not None and end < self.end:
            # Read before this host's own append and therefore stale.
            return
        self.end = end
        if newest is None:
            # Records expire long after a term, so their writers no longer hold the
            # lease.
            self.other_record = None
            return
        if newest.released_idle_s is not None:
            self._observe_release(newest, end, now)
            return
        if newest.host != self.host:
            self._observe_other(newest, end, now)
            return
        self.other_record = None
        sent_at = self.append_sent_at.get(end - 1)
        if newest.boot == self.boot and sent_at is not None:
            # An append whose answer was lost has succeeded after all.
            self._hold(end - 1, sent_at)

    def skip_records(self, end: int, now: float) -> None:
        """Skip records that expired unread or cannot be decoded.

        Another host may have taken the lease in one of them, so its term is waited out.
        Without the new end offset, every further append would conflict, and this host could
        never order a load again.
        """
        self.end = end
        self.acquirable_at = now + TERM_S + self.gap_s
        self._step_down(LeaseEntry("", ""), end)

    def wait_s(self, now: float) -> float:
        """Return the seconds until this host may append; 0 if it may now."""
        if self.other_record is None:
            return 0.0
        return max(0.0, self.acquirable_at - now)

    def begin_append(self, at: int, now: float) -> None:
        """Record the time before an append is sent."""
        self.append_sent_at = {at: now}

    def complete_append(self, offset: int) -> None:
        """Take the lease after a successful append at an offset."""
        sent_at = self.append_sent_at.get(offset)
        if sent_at is not None:
            self._hold(offset, sent_at)

    def release(self, now: float) -> LeaseEntry | None:
        """Release the lease and return the record that announces it.

        The record says how long no order was sent, so the next host only waits for the rest
        of the gap.
        """
        if self.fencing is None or self.end is None:
            return None
        self.fencing = None
        self.held_until = float("-inf")
        idle_s = min(now - self.ordered_at, MAX_IDLE_S)
        return LeaseEntry(self.host, self.boot, released_idle_s=idle_s)

    def mark_lost(self) -> None:
        """Drop the lease because another host holds a higher fencing number."""
        self.fencing = None
        self.held_until = float("-inf")

    def _hold(self, offset: int, sent_at: float) -> None:
        self.fencing = offset
        self.held_until = sent_at + TERM_S
        self.end = offset + 1
        self.append_sent_at = {}

    def _observe_other(self, newest: LeaseEntry, end: int, now: float) -> None:
        if self.other_record is None or self.other_record_end != end:
            self.acquirable_at = now + TERM_S + self.gap_s
        self._step_down(newest, end)

    def _observe_release(self, newest: LeaseEntry, end: int, now: float) -> None:
        assert newest.released_idle_s is not None
        if newest.host == self.host:
            self.other_record = None
            return
        if self.other_record is None or self.other_record_end != end:
            self.acquirable_at = now + max(0.0, self.gap_s - newest.released_idle_s)
        self._step_down(newest, end)

    def _step_down(self, newest: LeaseEntry, end: int) -> None:
        self.other_record = newest
        self.other_record_end = end
        self.fencing = None
        self.held_until = float("-inf")
