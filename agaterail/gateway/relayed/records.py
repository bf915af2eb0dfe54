"""Records that are passed on as they lie in the store."""

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

# A peer that asks for older records reads the store itself. Peers ask twice a
# second; of a burst of registrations some hundred come in that time.
MAX_RECORDS = 512


@attrs.define
class RecordFeed(RelayedFeed):
    """The latest records, each as it was written.

    Attributes
    ----------
    first_offset
        Offset from which on all records are kept; None before the first read.
    """

    first_offset: int | None = None
    records: deque[FeedRecord] = attrs.field(factory=deque)

    def add_reading(self, reading: Reading) -> None:
        """Take in what a read brought; a listing begins anew.

        Reads of the store and answers of peers may overtake each other. An older
        one brings nothing, and one that does not join what is kept begins anew:
        with a gap inside, a peer would miss a change and never know.
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
        """Return the records that a peer packed."""
        return Success([FeedRecord(item.offset, item.key, item.value) for item in packed])
