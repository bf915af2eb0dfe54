"""Which reader of the platform's store is asked next, and when none is."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

# A peer without news is not asked for so long, twice as long after each further
# answer without news in a row: while a reader is cut off from the store, each question
# to it has a daemon read the store itself for a second.
LEFT_ALONE_S = 2.5
LONGEST_LEFT_ALONE_S = 10.0
# The store is read directly for so long after two peers in a row had no news, or one
# of few: the next may be as badly off, and news must not wait for a third.
DIRECT_S = 1.0
PROBLEMS_BEFORE_DIRECT = 2
# With fewer readers beside one without news, these may well be cut off with it, and a
# question to each takes its wait: two readers that the store turned away at once left a
# daemon on the former desired state for longer than allowed. With three or more the
# last one shows its silence a wait after the first.
FEW_READERS = 2


@attrs.define
class PeerTurns:
    """Readers are asked in turn; free of I/O.

    After a peer without news the next one is asked at once, as long as there are
    several; where few are left the store is read directly without asking another.

    Attributes
    ----------
    turn
        Counts the questions; peers begin at different ones.
    direct_until
        Time until which the store is read directly.
    """

    turn: int = 0
    direct_until: float = 0.0
    problems_in_a_row: int = 0
    problems: dict[str, int] = attrs.field(factory=dict)
    left_alone_until: dict[str, float] = attrs.field(factory=dict)

    def sound(self, readers: Iterable[str], own: str, now: float) -> list[str]:
        """Return the readers that may be asked."""
        return [
            address
            for address in readers
            if address != own and now >= self.left_alone_until.get(address, 0.0)
        ]

    def pick(self, sound: list[str]) -> str:
        """Return the one of them that is asked now."""
        self.turn += 1
        return sound[self.turn % len(sound)]

    def had_news(self, address: str) -> None:
        """Take in that a peer is well."""
        self.problems.pop(address, None)
        self.left_alone_until.pop(address, None)
        self.problems_in_a_row = 0

    def had_none(self, address: str, others: int, now: float) -> bool:
        """Take in that a peer was silent or behind; tells whether to read directly.

        Parameters
        ----------
        others
            Readers beside it that may be asked.
        """
        before = self.problems.get(address, 0)
        self.problems[address] = before + 1
        pause = min(LONGEST_LEFT_ALONE_S, LEFT_ALONE_S * 2.0**before)
        self.left_alone_until[address] = now + pause
        self.problems_in_a_row += 1
        if others < FEW_READERS or self.problems_in_a_row >= PROBLEMS_BEFORE_DIRECT:
            self.direct_until = now + DIRECT_S
            return True
        return False

    def forgive(self) -> None:
        """Ask all again: the store was away for this daemon too, and is back."""
        self.problems.clear()
        self.left_alone_until.clear()
        self.problems_in_a_row = 0
