"""Log-based lease that elects the daemon which sends orders to engines.

A record is accepted if and only if it directly follows the last record that
its writer had read. The first append therefore wins without a coordinator, and
a reader needs no state beyond the previous record.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

NO_OFFSET = -1
UNKNOWN_HOLDER = "unknown"
TERM_S = 10.0
RENEW_AFTER_S = 3.0
CLOCK_RATE_MARGIN = 1.1
RANK_DELAY_S = 2.0


class LeaseAction(enum.Enum):
    """Effect of a lease record."""

    ACQUIRE = "acquire"
    RENEW = "renew"
    RELEASE = "release"


@attrs.frozen(kw_only=True)
class LeaseRecord:
    """One record of the leases stream.

    Attributes
    ----------
    after
        Offset of the last lease record that the writer had read.
    fencing
        Offset of the acquire record that a renewal or release refers to.
    nonce
        Unique id of this append, by which its writer distinguishes it from its
        other appends.
    """

    holder: str
    action: LeaseAction
    after: int
    nonce: str
    fencing: int = NO_OFFSET
    term_s: float = TERM_S


@attrs.frozen
class LeaseView:
    """State of the lease as seen by one reader of the stream.

    Attributes
    ----------
    holder
        Holder of the last accepted record; empty if released or never held.
    fencing
        Offset of the accepted acquire record.
    last_offset
        Offset of the last record read, whether accepted or not.
    """

    holder: str = ""
    fencing: int = NO_OFFSET
    last_offset: int = NO_OFFSET
    nonce: str = ""
    term_s: float = TERM_S


def fold_lease(
    view: LeaseView, record: LeaseRecord, offset: int, gap: bool = False
) -> LeaseView:
    """Apply one record and return the resulting view.

    Parameters
    ----------
    gap
        Records before this one expired unread. The record is then assumed to
        be accepted, which can only delay the reader's attempt to acquire.
    """
    advanced = attrs.evolve(view, last_offset=offset)
    if not gap and record.after != view.last_offset:
        return advanced
    if record.action is LeaseAction.RELEASE:
        return attrs.evolve(advanced, holder="", nonce=record.nonce)
    fencing = offset if record.action is LeaseAction.ACQUIRE else record.fencing
    return attrs.evolve(
        advanced,
        holder=record.holder,
        fencing=fencing,
        nonce=record.nonce,
        term_s=record.term_s,
    )


class LeaseKeeper:
    """Acquires, renews and releases the lease for one daemon.

    Clocks of other hosts are never compared. The holder counts its term from
    before it sent the append; other candidates count the same term from when
    they read the record, which is later. The holder therefore always stops
    first, as long as the rates of the two clocks differ by less than
    ``CLOCK_RATE_MARGIN``.

    Parameters
    ----------
    holder
        Name of this process, unique to each start, so that a restarted daemon
        does not mistake itself for the holder of its previous lease.
    make_nonce
        Generator of unique ids for appends.
    """

    def __init__(self, holder: str, make_nonce: Callable[[], str]) -> None:
        self.holder = holder
        self.make_nonce = make_nonce
        self.view = LeaseView()
        self.caught_up = False
        self.changed_at = 0.0
        self.sent_at: dict[str, float] = {}
        self.held_until = float("-inf")

    def observe(self, record: LeaseRecord, offset: int, now: float, gap: bool = False) -> None:
        """Process the next record of the stream; records must come in order."""
        before = self.view
        self.view = fold_lease(before, record, offset, gap)
        accepted = self.view.nonce == record.nonce and before.nonce != record.nonce
        if not accepted:
            return
        self.changed_at = now
        sent_at = self.sent_at.pop(record.nonce, None)
        if self.view.holder != self.holder or sent_at is None:
            self.held_until = float("-inf")
            return
        self.held_until = sent_at + record.term_s

    def skip(self, offset: int, now: float) -> None:
        """Skip records that expired unread or cannot be decoded.

        One of them may have acquired the lease, and its term may still be
        running. The holder is therefore unknown, even if this daemon held the
        lease, and a wait for a whole term starts now. The next append refers
        to the skipped offset, as those of all other readers do: a record that
        refers to an older one would be accepted by this daemon only.
        """
        self.view = LeaseView(holder=UNKNOWN_HOLDER, last_offset=offset)
        self.changed_at = now
        self.held_until = float("-inf")

    def remaining_s(self, now: float) -> float:
        """Return the seconds for which orders may still be sent; 0 without the lease."""
        if self.view.holder != self.holder:
            return 0.0
        return max(0.0, self.held_until - now)

    def next_record(self, now: float, rank: int) -> LeaseRecord | None:
        """Return the record to append now, if any.

        Parameters
        ----------
        rank
            Rank of this daemon among the candidates. Lower ranks try first, so
            that most changes of holder take a single append.
        """
        if not self.caught_up:
            return None
        if self.view.holder == self.holder:
            return self._renewal(now)
        if self.view.holder:
            expired_at = self.changed_at + self.view.term_s * CLOCK_RATE_MARGIN
        else:
            expired_at = self.changed_at
        if now < expired_at + rank * RANK_DELAY_S:
            return None
        return self._record(LeaseAction.ACQUIRE, NO_OFFSET)

    def release(self) -> LeaseRecord | None:
        """Stop sending orders and return the record that releases the lease."""
        if self.view.holder != self.holder:
            return None
        self.held_until = float("-inf")
        return self._record(LeaseAction.RELEASE, self.view.fencing)

    def on_send(self, record: LeaseRecord, now: float) -> None:
        """Record the time just before an append is sent.

        Only the latest append is remembered. An earlier one that is accepted
        late grants no time.
        """
        self.sent_at = {record.nonce: now}

    def _renewal(self, now: float) -> LeaseRecord | None:
        remaining = self.remaining_s(now)
        if remaining <= 0.0:
            # An expired lease is not renewed, because another candidate may
            # already have waited for its end. It is acquired again, under a
            # new fencing number.
            return self._record(LeaseAction.ACQUIRE, NO_OFFSET)
        if remaining > self.view.term_s - RENEW_AFTER_S:
            return None
        return self._record(LeaseAction.RENEW, self.view.fencing)

    def _record(self, action: LeaseAction, fencing: int) -> LeaseRecord:
        return LeaseRecord(
            holder=self.holder,
            action=action,
            after=self.view.last_offset,
            nonce=self.make_nonce(),
            fencing=fencing,
        )
