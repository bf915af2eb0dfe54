"""In-memory log, for tests."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from agaterail.logstore import LogError, LogErrorKind, LogRecord, LogSlice, LogStore


class MemoryLogStore(LogStore):
    """Log with fault injection.

    Attributes
    ----------
    down
        Whether every call fails.
    lose_answers
        Number of following appends that take effect but are not answered.
    stale_records
        Number of newest records that readers do not see yet.
    max_record_bytes
        Maximum size of a record; larger appends are refused.
    """

    def __init__(self) -> None:
        self.streams: dict[str, list[LogRecord]] = {}
        self.next_offset: dict[str, int] = {}
        self.down = False
        self.lose_answers = 0
        self.stale_records = 0
        self.max_record_bytes = 1024 * 1024
        self.appends = 0

    def append(self, stream: str, data: bytes) -> Result[int, LogError]:
        """Append one record and return its offset."""
        if self.down:
            return Failure(LogError(LogErrorKind.DOWN))
        if len(data) > self.max_record_bytes:
            return Failure(LogError(LogErrorKind.TOO_LARGE))
        offset = self.next_offset.get(stream, 0)
        self.next_offset[stream] = offset + 1
        self.streams.setdefault(stream, []).append(LogRecord(offset, data))
        self.appends += 1
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return Failure(LogError(LogErrorKind.UNANSWERED))
        return Success(offset)

    def read(
        self, stream: str, offset: int, limit: int = 1000, wait_s: float = 0.0
    ) -> Result[LogSlice, LogError]:
        """Read records from an offset on; never waits."""
        if self.down:
            return Failure(LogError(LogErrorKind.DOWN))
        stored = self.streams.get(stream, [])
        first = stored[0].offset if stored else self.next_offset.get(stream, 0)
        end = max(first, self.next_offset.get(stream, 0) - self.stale_records)
        records = [record for record in stored if offset <= record.offset < end][:limit]
        return Success(LogSlice(records, first, end))

    def expire(self, stream: str, before: int) -> None:
        """Drop the records before an offset."""
        stored = self.streams.get(stream, [])
        self.streams[stream] = [record for record in stored if record.offset >= before]
