"""Account of the bytes that one process holds for its callers and their answers.

Load that it answers: thousands of callers and targets that read slowly, each within its
own bounds, whose buffers together exceed the memory of the host.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from agaterail.util.callbacks import do_nothing
from agaterail.util.units import BYTES_PER_MB

if TYPE_CHECKING:
    from collections.abc import Callable

# What the process needs itself: code, tables of the fleet, idle connections.
OWN_BYTES = 64 * BYTES_PER_MB
MIN_ROOM_FRACTION = 0.25
# Buffers are copied when they are joined or sent, and freed memory is reused late, so
# that the process grows by about twice what it holds.
LOW_FRACTION = 0.3
HIGH_FRACTION = 0.5
# Connections that hold less give no room, whatever their requests have come to.
MIN_ENDED_BYTES = 64 * 1024
# Hysteresis, so that readiness does not change with each buffer.
RECOVERY_FRACTION = 0.7


@attrs.frozen
class Marks:
    """Limits of the bytes that a process holds.

    Attributes
    ----------
    low
        Bytes above which no new connections are read.
    high
        Bytes above which requests that are being read are turned away, and if none is, the
        caller that holds most for longest is ended.
    """

    low: int
    high: int

    @classmethod
    def of_memory(cls, memory_mb: float) -> Marks:
        """Return the limits of a host with some memory."""
        memory = memory_mb * BYTES_PER_MB
        room = max(memory - OWN_BYTES, memory * MIN_ROOM_FRACTION)
        return cls(int(room * LOW_FRACTION), int(room * HIGH_FRACTION))


class HolderState(enum.IntEnum):
    """What ending a connection costs its caller, the cheapest last."""

    PASSED_ON = 0  # the request may run, and its caller would not learn of it
    UNSENT = 1  # the caller does not keep up with its answer
    READING = 2  # the request has not run, which its caller is told


@attrs.define(eq=False)
class HeldBytes:
    """Bytes held for one connection.

    Attributes
    ----------
    since
        Time since which any are held.
    end
        Ends the connection's request at once.
    state
        Returns what ending it costs.
    is_ending
        Whether it was chosen to be ended.
    """

    account: ByteAccount
    end: Callable[[], None] = do_nothing
    state: Callable[[], HolderState] = lambda: HolderState.PASSED_ON
    size: int = 0
    since: float = 0.0
    is_ending: bool = False

    def add(self, size: int) -> None:
        """Change the number of bytes by a positive or negative size."""
        account = self.account
        if not self.size:
            self.since = account.now()
            account.holders.add(self)
        self.size += size
        account.total += size
        if self.is_ending:
            account.ending += size
        if not self.size:
            account.holders.discard(self)
        if account.total > account.marks.high and size > 0:
            account.end_largest()

    def clear(self) -> None:
        """Return all bytes."""
        if self.size:
            self.add(-self.size)


class ByteAccount:
    """Sum of the bytes held over all connections, and what follows from it.

    Parameters
    ----------
    now
        Returns the time.

    Attributes
    ----------
    total
        Bytes held.
    holders
        Connections for which any bytes are held.
    ending
        Bytes of connections that were ended and have not returned them yet.
    ended
        Number of connections that were ended.
    """

    def __init__(self, marks: Marks, now: Callable[[], float]) -> None:
        self.marks = marks
        self.now = now
        self.total = 0
        self.holders: set[HeldBytes] = set()
        self.ending = 0
        self.ended = 0
        self.was_full = False

    def is_full(self) -> bool:
        """Return whether no new connections are to be read now."""
        fraction = RECOVERY_FRACTION if self.was_full else 1.0
        self.was_full = self.total > self.marks.low * fraction
        return self.was_full

    def fits(self, size: int) -> bool:
        """Return whether a request that holds so many bytes more stays below the mark."""
        return self.total - self.ending + size <= self.marks.high

    def end_largest(self) -> None:
        """End the connections that hold most for longest until the rest is below the mark.

        Those whose requests have not run come first: a request that was passed on is ended
        only if nothing else is left. Their bytes are returned soon, when their requests have
        ended.
        """
        now = self.now()
        while self.total - self.ending > self.marks.high:
            staying = (item for item in self.holders if not item.is_ending)
            largest = max(
                staying,
                key=lambda item: (
                    item.state() if item.size >= MIN_ENDED_BYTES else HolderState.PASSED_ON,
                    item.size * (now - item.since),
                    item.size,
                ),
                default=None,
            )
            if largest is None:
                return
            largest.is_ending = True
            self.ending += largest.size
            self.ended += 1
            largest.end()
