"""Read the tables stream in order, or from a snapshot where records have expired."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from returns.result import Failure, Result, Success

from agaterail import codec, snapshots
from agaterail.fold import fold_bytes
from agaterail.records import (
    RULES_VERSION,
    SNAPSHOTS_STREAM,
    TABLES_STREAM,
    Edit,
    SnapshotChunk,
    SnapshotMark,
    TablesRecord,
)
from agaterail.snapshots import StreamView, no_pause
from agaterail.tables import Tables

if TYPE_CHECKING:
    from collections.abc import Callable

    from agaterail.fold import FoldResult
    from agaterail.logstore import LogError, LogSlice, LogStore


@attrs.frozen
class FoldedRecord:
    """One record with its fold result; ``record`` is None if it is malformed."""

    offset: int
    record: TablesRecord | None
    result: FoldResult


@attrs.frozen
class Step:
    """Result of one read of the log.

    Attributes
    ----------
    records
        Records that were folded.
    adopted
        Whether the tables of a snapshot were adopted.
    gap
        Whether records after the reader's offset expired before they were read.
    at_end
        Whether the end of the stream was reached.
    """

    records: tuple[FoldedRecord, ...] = ()
    adopted: bool = False
    gap: bool = False
    at_end: bool = False


class TablesReader:
    """Holds the tables and advances them, never backward and never across a gap.

    Parameters
    ----------
    pause
        Called between batches of rows while a snapshot is decoded.
    """

    def __init__(
        self,
        log: LogStore,
        tables: Tables | None = None,
        pause: Callable[[], None] = no_pause,
    ) -> None:
        self.log = log
        self.pause = pause
        self.tables = tables or Tables()
        self.first = 0
        self.end = 0
        self.bytes_since_mark = 0
        self.marks: dict[int, SnapshotMark] = {}

    @property
    def newest_mark(self) -> SnapshotMark | None:
        """Return the mark with the highest offset among those seen and not expired."""
        return max(self.marks.values(), key=lambda mark: mark.through, default=None)

    @property
    def view(self) -> StreamView:
        """Return the state of the stream as seen by this reader."""
        return StreamView(
            through=self.tables.through,
            first=self.first,
            end=self.end,
            bytes_since_snapshot=self.bytes_since_mark,
        )

    def adopt(self, tables: Tables) -> bool:
        """Adopt tables from another source if they are newer."""
        if tables.through <= self.tables.through:
            return False
        self.tables = tables
        return True

    def step(self, wait_s: float = 0.0) -> Result[Step, LogError]:
        """Read the log once and fold the new records."""
        offset = self.tables.through + 1
        read = self.log.read(TABLES_STREAM, offset, wait_s=wait_s)
        if not isinstance(read, Success):
            return Failure(read.failure())
        log_slice = read.unwrap()
        if offset != self.tables.through + 1:
            # A peer's tables were adopted during the long poll, so its records
            # belong to an older state.
            return Success(Step())
        self.first, self.end = log_slice.first, log_slice.end
        if log_slice.first > offset:
            return self._recover_from_gap(log_slice)
        records = tuple(self._fold(record.offset, record.data) for record in log_slice.records)
        # A log that reports a later end but returns no records would otherwise
        # keep the commands reading forever.
        at_end = not log_slice.records or self.tables.through + 1 >= log_slice.end
        return Success(Step(records, at_end=at_end))

    def _fold(self, offset: int, data: bytes) -> FoldedRecord:
        record, result = fold_bytes(self.tables, data, offset)
        self.tables = result.tables
        if isinstance(record, Edit):
            self.bytes_since_mark += len(data)
        if isinstance(record, SnapshotMark):
            self._add_mark(offset, record)
            self.bytes_since_mark = 0
        return FoldedRecord(offset, record, result)

    def _add_mark(self, offset: int, mark: SnapshotMark) -> None:
        if mark.through >= offset or mark.rules != RULES_VERSION:
            # A snapshot cannot cover records after its own mark. Adopting it
            # would put this reader beyond the end of the log, where it would see
            # no further edits.
            return
        self.marks = {at: old for at, old in self.marks.items() if at >= self.first}
        self.marks[offset] = mark

    def _recover_from_gap(self, log_slice: LogSlice) -> Result[Step, LogError]:
        """Look for a snapshot that covers the gap.

        Folding across the gap would check edits against tables that lack accepted
        edits, and this reader would diverge from all others permanently.
        """
        self.marks = {}
        while True:
            for record in log_slice.records:
                decoded = codec.decode(record.data, TablesRecord).value_or(None)
                if isinstance(decoded, SnapshotMark):
                    self._add_mark(record.offset, decoded)
            if not log_slice.records or log_slice.records[-1].offset + 1 >= log_slice.end:
                break
            read = self.log.read(TABLES_STREAM, log_slice.records[-1].offset + 1)
            if not isinstance(read, Success):
                return Failure(read.failure())
            log_slice = read.unwrap()
        for mark in sorted(self.marks.values(), key=lambda mark: mark.through, reverse=True):
            if mark.through <= self.tables.through:
                break
            loaded = load_snapshot(self.log, mark, self.pause)
            if isinstance(loaded, Success):
                # Reading continues after the offset that the snapshot covers,
                # not after its mark. Edits that were accepted while the snapshot
                # was being written lie between the two.
                adopted = self.adopt(loaded.unwrap())
                return Success(Step(adopted=adopted, gap=self.first > mark.through + 1))
        return Success(Step(gap=True))


def load_snapshot(
    log: LogStore, mark: SnapshotMark, pause: Callable[[], None] = no_pause
) -> Result[Tables, str]:
    """Read the chunks of a snapshot; fails if one is missing or damaged."""
    chunks: list[bytes] = []
    for offset in mark.chunks:
        read = log.read(SNAPSHOTS_STREAM, offset, limit=1)
        if not isinstance(read, Success):
            return Failure(str(read.failure()))
        records = read.unwrap().records
        if not records or records[0].offset != offset:
            return Failure(f"chunk at offset {offset} is missing")
        decoded = codec.decode(records[0].data, SnapshotChunk)
        if not isinstance(decoded, Success):
            return Failure(decoded.failure())
        chunks.append(decoded.unwrap().data)
    return snapshots.decode(mark.through, mark.digest, chunks, pause)


def write_snapshot(
    log: LogStore, snapshot: snapshots.Snapshot, superseded: Callable[[], bool]
) -> Result[int, str]:
    """Append the chunks, then the mark that makes the snapshot valid.

    Parameters
    ----------
    superseded
        Called before each append; true ends the write without a mark.

    Returns
    -------
    Result
        Offset of the mark.
    """
    offsets: list[int] = []
    for index, data in enumerate(snapshot.chunks):
        if superseded():
            return Failure("another daemon wrote a newer snapshot")
        chunk = SnapshotChunk(
            digest=snapshot.digest, index=index, count=len(snapshot.chunks), data=data
        )
        appended = log.append(SNAPSHOTS_STREAM, codec.encode(chunk))
        if not isinstance(appended, Success):
            return Failure(f"chunk {index}: {appended.failure()}")
        offsets.append(appended.unwrap())
    if superseded():
        return Failure("another daemon wrote a newer snapshot")
    mark = SnapshotMark(
        through=snapshot.through, digest=snapshot.digest, chunks=tuple(offsets)
    )
    appended = log.append(TABLES_STREAM, codec.encode(mark, TablesRecord))
    if not isinstance(appended, Success):
        return Failure(f"mark: {appended.failure()}")
    return Success(appended.unwrap())
