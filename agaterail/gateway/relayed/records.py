"""Feed of records that are relayed as they are stored."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs
from returns.result import Result, Success

from agaterail.gateway.controlstore import FeedRecord
from agaterail.gateway.relayed import PackedRecord, RelayedFeed

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from agaterail.gateway.controlstore import Reading, Record

# A peer that needs older records reads the store itself. Peers poll twice a second, and
# a burst of registrations brings some hundred records in that time.
MAX_RECORDS = 512


@attrs.define
class RecordFeed(RelayedFeed):
    """The latest records of a feed, without gaps.

    Attributes
    ----------
    first_offset
        Offset from which on all records are kept; None before the first read.
    """

    first_offset: int | None = None
    records: deque[FeedRecord] = attrs.field(factory=deque)

    def add_reading(self, reading: Reading) -> None:
        """Add the records of a reading; a listing drops the kept records.

        Reads of the store and answers of peers may arrive out of order. An older reading
        is ignored. A reading that is not contiguous with the kept records replaces them,
        because a peer would miss a change in a gap without noticing.
        """
        self.read_at = max(self.read_at, reading.read_at)
        next_offset = reading.next_offset
        if (
            self.first_offset is not None
            and not reading.listed
            and next_offset <= self.next_offset
        ):
            return
        new_records = [
            record
            for record in reading.records
            if isinstance(record, FeedRecord) and record.offset >= self.next_offset
        ]
        contiguous = len(new_records) == next_offset - self.next_offset
        if self.first_offset is None or reading.listed or not contiguous:
            self.records.clear()
            self.first_offset = next_offset
        else:
            self.records.extend(new_records)
            while len(self.records) > MAX_RECORDS:
                self.first_offset = self.records.popleft().offset + 1
        self.next_offset = next_offset
        self.known_at = reading.arrival.known_at

    def records_since(self, offset: int) -> list[FeedRecord] | None:
        """Return the records from an offset on; None if not all are kept."""
        if self.first_offset is None or offset < self.first_offset:
            return None
        return [record for record in self.records if record.offset >= offset]

    def pack_since(
        self, offset: int, base_offsets: Collection[int] = ()
    ) -> Sequence[PackedRecord] | None:
        """Return the records from an offset on; None if not all are kept."""
        records = self.records_since(offset)
        if records is None:
            return None
        return [PackedRecord(item.offset, item.key, item.value) for item in records]

    def unpack(self, packed: Sequence[PackedRecord]) -> Result[list[Record], str]:
        """Return the records that a peer packed; this never fails."""
        return Success([FeedRecord(item.offset, item.key, item.value) for item in packed])
