"""What a daemon that reads the store keeps for those that ask it instead."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

from agaterail.gateway.controlstore import Feed

if TYPE_CHECKING:
    from collections.abc import Sequence

    from agaterail.gateway.controlstore import FeedRecord

# A peer that asks for older records reads the store itself. Peers ask twice a
# second; of a burst of registrations some hundred come in that time.
KEPT_RECORDS = 512
NEVER = float("-inf")


@attrs.define
class RelayedFeed:
    """The latest records of one feed and when the store was last known to end there.

    Attributes
    ----------
    first
        Offset from which on all records are kept; None before the first read.
    read_at
        Time at which the newest answered read of the store was sent.
    failing
        The last read of the store failed: peers should ask elsewhere.
    known_at
        Time since which some daemon is known to have had the newest record.
    """

    first: int | None = None
    next_offset: int = 0
    read_at: float = NEVER
    records: deque[FeedRecord] = attrs.field(factory=deque)
    failing: bool = False
    known_at: float = NEVER

    def take_in(
        self,
        records: Sequence[FeedRecord],
        next_offset: int,
        read_at: float,
        listed: bool,
        known_at: float = NEVER,
    ) -> None:
        """Take in what a read brought; a listing begins anew.

        Reads of the store and answers of peers may overtake each other. An older
        one brings nothing, and one that does not join what is kept begins anew:
        with a gap inside, a peer would miss a change and never know.
        """
        self.read_at = max(self.read_at, read_at)
        if self.first is not None and not listed and next_offset <= self.next_offset:
            return
        fresh = [record for record in records if record.offset >= self.next_offset]
        joins = len(fresh) == next_offset - self.next_offset
        if self.first is None or listed or not joins:
            self.records.clear()
            self.first = next_offset
        else:
            self.records.extend(fresh)
            while len(self.records) > KEPT_RECORDS:
                self.first = self.records.popleft().offset + 1
        self.next_offset = next_offset
        self.known_at = known_at

    def since(self, offset: int) -> list[FeedRecord] | None:
        """Return the records from an offset on; None if not all are kept."""
        if self.first is None or offset < self.first:
            return None
        return [record for record in self.records if record.offset >= offset]


class Relay:
    """All feeds of one daemon."""

    def __init__(self) -> None:
        self.feeds = {feed: RelayedFeed() for feed in Feed}

    def has_news(self, offsets: dict[Feed, int]) -> bool:
        """Tell whether a peer with these offsets has something to learn."""
        return any(self.feeds[feed].next_offset > offset for feed, offset in offsets.items())
