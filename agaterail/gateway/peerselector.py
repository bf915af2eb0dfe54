"""Which reader of the platform's store is asked next, and when none is."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

# A peer without news is not asked for so long, twice as long after each further
# answer without news in a row: while a reader is cut off from the store, each question
# to it has a daemon read the store itself for a second.
INITIAL_BACKOFF_S = 2.5
MAX_BACKOFF_S = 10.0
# The store is read directly for so long after two peers in a row had no news, or one
# of few: the next may be as badly off, and news must not wait for a third.
DIRECT_READ_S = 1.0
FAILURES_BEFORE_DIRECT_READ = 2
# With fewer readers beside one without news, these may well be cut off with it, and a
# question to each takes its wait: two readers that the store turned away at once left a
# daemon on the former desired state for longer than allowed. With three or more the
# last one shows its silence a wait after the first.
MIN_OTHER_READERS = 2


@attrs.define
class PeerSelector:
    """Readers are asked in turn; free of I/O.

    After a peer without news the next one is asked at once, as long as there are
    several; where few are left the store is read directly without asking another.

    Attributes
    ----------
    poll_count
        Counts the questions; peers begin at different ones.
    direct_until
        Time until which the store is read directly.
    """

    poll_count: int = 0
    direct_until: float = 0.0
    consecutive_failures: int = 0
    failures: dict[str, int] = attrs.field(factory=dict)
    backoff_until: dict[str, float] = attrs.field(factory=dict)

    def available(self, readers: Iterable[str], own: str, now: float) -> list[str]:
        """Return the readers that may be asked."""
        return [
            address
            for address in readers
            if address != own and now >= self.backoff_until.get(address, 0.0)
        ]

    def pick(self, available: list[str]) -> str:
        """Return the one of them that is asked now."""
        self.poll_count += 1
        return available[self.poll_count % len(available)]

    def record_success(self, address: str) -> None:
        """Take in that a peer is well."""
        self.failures.pop(address, None)
        self.backoff_until.pop(address, None)
        self.consecutive_failures = 0

    def record_failure(self, address: str, others: int, now: float) -> bool:
        """Take in that a peer was silent or behind; tells whether to read directly.

        Parameters
        ----------
        others
            Readers beside it that may be asked.
        """
        before = self.failures.get(address, 0)
        self.failures[address] = before + 1
        pause = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0**before)
        self.backoff_until[address] = now + pause
        self.consecutive_failures += 1
        if (
            others < MIN_OTHER_READERS
            or self.consecutive_failures >= FAILURES_BEFORE_DIRECT_READ
        ):
            self.direct_until = now + DIRECT_READ_S
            return True
        return False

    def reset(self) -> None:
        """Ask all again: the store was away for this daemon too, and is back."""
        self.failures.clear()
        self.backoff_until.clear()
        self.consecutive_failures = 0
