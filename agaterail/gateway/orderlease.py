"""The lease of who gives orders to engines, by conditional appends."""

from __future__ import annotations

import attrs

from agaterail.gateway.controlstore import LeaseEntry

# Long enough to give a round of orders between two renewals, short enough that
# after the death of a holder another one orders within half of the time in
# which new weights must be everywhere.
TERM_S = 2.0
RENEW_LEFT_S = 1.0
# An order must have arrived before the lease ends.
ORDER_MARGIN_S = 0.5
# A renewal reaches the daemons that ask a peer for news up to so much later.
NEWS_DELAY_S = 0.6
# A release need not say of a longer time without orders how long it was.
LONGEST_IDLE_S = 60.0


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
    rival: LeaseEntry | None = None
    rival_end: int = -1
    rival_free_at: float = 0.0
    ordered_at: float = float("-inf")
    sent: dict[int, float] = attrs.field(factory=dict)

    def remaining_s(self, now: float) -> float:
        """Return the seconds for which orders may still be sent."""
        if self.fencing is None:
            return 0.0
        return max(0.0, self.held_until - ORDER_MARGIN_S - now)

    def is_held(self, now: float) -> bool:
        """Tell whether some host may give orders now, as far as is known here."""
        if self.fencing is not None:
            return now < self.held_until
        ends_at = self.rival_free_at - self.gap_s + NEWS_DELAY_S
        return self.rival is not None and self.rival.released_idle_s is None and now < ends_at

    def needs_renewal(self, now: float) -> bool:
        """Tell whether a record should be appended to go on giving orders."""
        return self.held_until - now < RENEW_LEFT_S

    def observe(self, newest: LeaseEntry | None, end: int, now: float) -> None:
        """Take in the newest record of the log and the offset of its end."""
        if self.end is not None and end < self.end:
            # Read before this host's own append, which it does not know of.
            return
        self.end = end
        if newest is None:
            # Records expire long after a term; whoever wrote them is out.
            self.rival = None
            return
        if newest.released_idle_s is not None:
            self._note_release(newest, end, now)
            return
        if newest.host != self.host:
            self._note_rival(newest, end, now)
            return
        self.rival = None
        sent_at = self.sent.get(end - 1)
        if newest.boot == self.boot and sent_at is not None:
            # An append that was never answered has been done after all.
            self._hold(end - 1, sent_at)

    def skip(self, end: int, now: float) -> None:
        """Pass over records that expired unread or cannot be read.

        Somebody may have taken the lease in them. Without the new end every
        append would name an old one and fail, and no weights be ordered again.
        """
        self.end = end
        self.rival_free_at = now + TERM_S + self.gap_s
        self._give_way(LeaseEntry("", ""), end)

    def wait_s(self, now: float) -> float:
        """Return the seconds until this host may append; 0 if it may now."""
        if self.rival is None:
            return 0.0
        return max(0.0, self.rival_free_at - now)

    def sending(self, at: int, now: float) -> None:
        """Note the time before a record is sent."""
        self.sent = {at: now}

    def appended(self, offset: int) -> None:
        """Take in that the record sent for an offset stands there."""
        sent_at = self.sent.get(offset)
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
        idle_s = min(now - self.ordered_at, LONGEST_IDLE_S)
        return LeaseEntry(self.host, self.boot, released_idle_s=idle_s)

    def lost(self) -> None:
        """Give the lease up: another one holds a higher number."""
        self.fencing = None
        self.held_until = float("-inf")

    def _hold(self, offset: int, sent_at: float) -> None:
        self.fencing = offset
        self.held_until = sent_at + TERM_S
        self.end = offset + 1
        self.sent = {}

    def _note_rival(self, newest: LeaseEntry, end: int, now: float) -> None:
        if self.rival is None or self.rival_end != end:
            self.rival_free_at = now + TERM_S + self.gap_s
        self._give_way(newest, end)

    def _note_release(self, newest: LeaseEntry, end: int, now: float) -> None:
        assert newest.released_idle_s is not None
        if newest.host == self.host:
            self.rival = None
            return
        if self.rival is None or self.rival_end != end:
            self.rival_free_at = now + max(0.0, self.gap_s - newest.released_idle_s)
        self._give_way(newest, end)

    def _give_way(self, newest: LeaseEntry, end: int) -> None:
        self.rival = newest
        self.rival_end = end
        self.fencing = None
        self.held_until = float("-inf")
