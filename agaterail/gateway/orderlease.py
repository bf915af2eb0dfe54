"""The lease of who gives orders to engines, by conditional appends."""

from __future__ import annotations

import attrs

from agaterail.gateway.controlstore import LeaseEntry

# Long enough to give a round of orders between two renewals, short enough that
# after the death of a holder another one orders within half of the time in
# which new weights must be everywhere.
TERM_S = 2.0
RENEW_BEFORE_S = 1.0
# An order must have arrived before the lease ends.
ORDER_MARGIN_S = 0.5
# A renewal reaches the daemons that ask a peer for news up to so much later.
PROPAGATION_DELAY_S = 0.6
# A release need not say of a longer time without orders how long it was.
MAX_IDLE_S = 60.0


@attrs.define
class OrderLease:
    """One host's side of the lease; free of I/O.

    A record stands in the log iff its writer knew the log's end, so of two
    writers one fails. The offset of the record is the fencing number and only
    grows; a renewal is one more record. A host that finds another's record
    waits for its term, counted from when it first saw that record, and then
    for ``gap_s`` more, so that the orders of two hosts never alternate within
    that time.

    Times are of a clock that counts suspension. The holder counts its term
    from before the append was sent, the others from after it was done.

    Attributes
    ----------
    host
        Own name; survives a restart, whose orders count as the same holder's.
    boot
        Names this process among those that ran on the host.
    gap_s
        Time that must lie between the orders of two hosts.
    rival_free_at
        Time from which on this host may append after a rival's record.
    ordered_at
        Time at which the last order was sent.
    fencing
        Number of the lease held; None without one.
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
        """Tell whether some host may give orders now, as far as is known here."""
        if self.fencing is not None:
            return now < self.held_until
        ends_at = self.acquirable_at - self.gap_s + PROPAGATION_DELAY_S
        return (
            self.other_record is not None
            and self.other_record.released_idle_s is None
            and now < ends_at
        )

    def needs_renewal(self, now: float) -> bool:
        """Tell whether a record should be appended to go on giving orders."""
        return self.held_until - now < RENEW_BEFORE_S

    def observe(self, newest: LeaseEntry | None, end: int, now: float) -> None:
        """Take in the newest record of the log and the offset of its end."""
        if self.end is not None and end < self.end:
            # Read before this host's own append, which it does not know of.
            return
        self.end = end
        if newest is None:
            # Records expire long after a term; whoever wrote them is out.
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
            # An append that was never answered has been done after all.
            self._hold(end - 1, sent_at)

    def skip_records(self, end: int, now: float) -> None:
        """Pass over records that expired unread or cannot be read.

        Somebody may have taken the lease in them. Without the new end every
        append would name an old one and fail, and no weights be ordered again.
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
        """Note the time before a record is sent."""
        self.append_sent_at = {at: now}

    def complete_append(self, offset: int) -> None:
        """Take in that the record sent for an offset stands there."""
        sent_at = self.append_sent_at.get(offset)
        if sent_at is not None:
            self._hold(offset, sent_at)

    def release(self, now: float) -> LeaseEntry | None:
        """Give up a lease in good order; returns the record that says so.

        It tells for how long no order was sent, so that the next host waits
        for the rest of the gap only.
        """
        if self.fencing is None or self.end is None:
            return None
        self.fencing = None
        self.held_until = float("-inf")
        idle_s = min(now - self.ordered_at, MAX_IDLE_S)
        return LeaseEntry(self.host, self.boot, released_idle_s=idle_s)

    def mark_lost(self) -> None:
        """Give the lease up: another one holds a higher number."""
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
