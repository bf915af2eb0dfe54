"""What a daemon that reads the store keeps for those that ask it instead."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agaterail.gateway.controlstore import Feed
from agaterail.gateway.relayed.documents import DocumentFeed
from agaterail.gateway.relayed.records import RecordFeed

if TYPE_CHECKING:
    from agaterail.gateway.relayed import RelayedFeed


class Relay:
    """All feeds of one daemon."""

    def __init__(self) -> None:
        self.feeds: dict[Feed, RelayedFeed] = {
            Feed.OPERATORS: DocumentFeed(),
            Feed.TARGETS: RecordFeed(),
            Feed.LEASE: RecordFeed(),
        }

    def has_new_records(self, offsets: dict[Feed, int]) -> bool:
        """Tell whether a peer with these offsets has something to learn."""
        return any(self.feeds[feed].next_offset > offset for feed, offset in offsets.items())

    def base_offsets(self) -> tuple[int, ...]:
        """Return the offsets of records that a peer's differences may start from."""
        return self.feeds[Feed.OPERATORS].base_offsets
