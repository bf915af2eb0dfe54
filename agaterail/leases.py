"""The lease of who gives orders to engines, kept on the log.

A record is accepted iff no other record stands between it and the record that
its writer had read last. So the first offset wins without a coordinator, and a
reader needs no state older than the record before.
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
    """What a lease record does."""

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
        Offset of the acquire record that a renewal or release belongs to.
    nonce
        Names this append, so that its writer can tell it from a resent one.
    """

    holder: str
    action: LeaseAction
    after: int
    nonce: str
    fencing: int = NO_OFFSET
    term_s: float = TERM_S


@attrs.frozen
class LeaseView:
    """The lease as one reader of the stream knows it.

    Attributes
    ----------
    holder
        Holder of the last accepted record; empty when released or never held.
    fencing
        Offset of the accepted acquire record.
    last_offset
        Offset of the last record read, accepted or not.
    """

    holder: str = ""
    fencing: int = NO_OFFSET
    last_offset: int = NO_OFFSET
    nonce: str = ""
    term_s: float = TERM_S


def fold_lease(
    view: LeaseView, record: LeaseRecord, offset: int, gap: bool = False
) -> LeaseView:
    """Judge one record and return the lease after it.

    Parameters
    ----------
    gap
        Records before this one expired unread. It is then taken as accepted,
        which only makes the reader wait longer before it tries to acquire.
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
    """One daemon's side of the lease: what to append and what it holds.

    No clock of another host is read. The holder counts its term from before
    the append was sent, and a rival counts the same term from when it read
    the record, which is later; so the holder always stops first, as long as
    the rates of the two clocks differ by less than the margin.

    Parameters
    ----------
    holder
        Name of this process, new at each start: a restarted daemon must not
        take itself for the holder of its former life.
    make_nonce
        Source of unique names for appends.
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
        """Take in one record of the stream in order."""
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
        """Pass over records that expired unread or cannot be decoded.

        Someone may have acquired the lease in them and be within its term.
        The holder is therefore unknown, also to a daemon that held it itself,
        and the wait for a whole term starts now. The next append names the
        last offset as every other reader does: one that rested on an older
        record would count here and nowhere else.
        """
        self.view = LeaseView(holder=UNKNOWN_HOLDER, last_offset=offset)
        self.changed_at = now
        self.held_until = float("-inf")

    def remaining_s(self, now: float) -> float:
        """Return the seconds for which orders may still be given; 0 without the lease."""
        if self.view.holder != self.holder:
            return 0.0
        return max(0.0, self.held_until - now)

    def next_record(self, now: float, rank: int) -> LeaseRecord | None:
        """Return the record to append now, if any.

        Parameters
        ----------
        rank
            Place of this daemon among the candidates; a lower one tries first,
            so that most changes of holder see a single append.
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
        """Return the record that gives the lease up and stop giving orders."""
        if self.view.holder != self.holder:
            return None
        self.held_until = float("-inf")
        return self._record(LeaseAction.RELEASE, self.view.fencing)

    def on_send(self, record: LeaseRecord, now: float) -> None:
        """Note the time before an append is sent."""
        self.sent_at = {record.nonce: now}

    def _renewal(self, now: float) -> LeaseRecord | None:
        remaining = self.remaining_s(now)
        if remaining <= 0.0:
            # A lapsed lease is not renewed: a rival may have waited it out
            # already. It is acquired anew, under a new fencing number.
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
