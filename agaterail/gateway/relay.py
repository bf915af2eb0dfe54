"""Records that a daemon keeps to serve them to its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agaterail.gateway.controlstore import Feed
from agaterail.gateway.relayed.documents import DocumentFeed
from agaterail.gateway.relayed.records import RecordFeed

if TYPE_CHECKING:
    from agaterail.gateway.relayed import RelayedFeed


class Relay:
    """The relayed feeds of one daemon."""

    def __init__(self) -> None:
        self.feeds: dict[Feed, RelayedFeed] = {
            Feed.OPERATORS: DocumentFeed(),
            Feed.TARGETS: RecordFeed(),
            Feed.LEASE: RecordFeed(),
            Feed.CRASHES: RecordFeed(),
            Feed.CACHE_POOL: RecordFeed(),
        }

    def has_new_records(self, offsets: dict[Feed, int]) -> bool:
        """Return whether there are records from a peer's offsets on."""
        return any(self.feeds[feed].next_offset > offset for feed, offset in offsets.items())

    def base_offsets(self) -> tuple[int, ...]:
        """Return the offsets that a peer may use as bases of differences to this daemon."""
        return self.feeds[Feed.OPERATORS].base_offsets
