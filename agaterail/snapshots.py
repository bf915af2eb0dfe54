"""Binary form of table snapshots, and the schedule for writing them."""

from __future__ import annotations

import zlib
from hashlib import blake2b
from typing import TYPE_CHECKING, Any

import attrs
import msgpack
from cattrs.preconf.msgpack import make_converter
from returns.result import Failure, Result, Success

from agaterail.tables import NO_VERSION, Pool, Route, Tables, Versioned

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence

# The log is assumed to accept records of up to 1 MiB. Half of that leaves room for
# one row of the largest size after the rows that are already in a chunk.
MAX_RECORD_BYTES = 1024 * 1024
CHUNK_BYTES = MAX_RECORD_BYTES // 2
COMPRESSION_LEVEL = 1
DIGEST_BYTES = 16
ROWS_PER_PAUSE = 500

RECORDS_PER_SNAPSHOT = 256
BYTES_PER_SNAPSHOT = 4 * 1024 * 1024
JITTER_FRACTION = 1 / 6
URGENT_JITTER_S = 60.0

ROUTE_TAG = "r"
POOL_TAG = "p"
EDIT_ID_TAG = "e"

# The digest verifies the bytes, so errors need no path to the field. Without
# detailed validation, reading 23,000 rows is three times faster.
converter = make_converter(omit_if_default=True, detailed_validation=False)
STRINGS = tuple[str, ...]


def _structure_strings(value: Any, _kind: Any) -> STRINGS:
    # The general hook creates a generator per tuple, which takes a third of the
    # decoding time.
    if type(value) is not tuple or not all(type(text) is str for text in value):
        raise TypeError("expected a tuple of strings")
    return value


converter.register_structure_hook_func(lambda kind: kind == STRINGS, _structure_strings)


@attrs.frozen
class Snapshot:
    """Encoded tables, as written to the log and sent to peers.

    Attributes
    ----------
    through
        Last offset of the tables stream that the snapshot covers.
    digest
        Content hash; equal on all hosts with the same tables.
    chunks
        Compressed rows; each chunk is smaller than the log's record limit.
    """

    through: int
    digest: str
    chunks: tuple[bytes, ...]

    @property
    def size(self) -> int:
        """Return the total size of the chunks in bytes."""
        return sum(len(chunk) for chunk in self.chunks)


def no_pause() -> None:
    """Continue without a pause; the default for ``pause`` arguments."""


def encode(tables: Tables, pause: Callable[[], None] = no_pause) -> Snapshot:
    """Encode tables, calling ``pause`` every ``ROWS_PER_PAUSE`` rows."""
    chunks = tuple(zlib.compress(raw, COMPRESSION_LEVEL) for raw in _raw_chunks(tables, pause))
    return Snapshot(tables.through, digest_of(tables.through, chunks), chunks)


def decode(
    through: int, digest: str, chunks: Sequence[bytes], pause: Callable[[], None] = no_pause
) -> Result[Tables, str]:
    """Verify the digest of a snapshot and decode its chunks."""
    if digest_of(through, chunks) != digest:
        return Failure("the content does not match its digest")
    routes: dict[str, Versioned[Route]] = {}
    pools: dict[str, Versioned[Pool]] = {}
    edit_ids: dict[str, int] = {}
    try:
        for kind, fields in _unpack_rows(chunks, pause):
            if kind == ROUTE_TAG:
                route = _structure_route(fields)
                routes[route.row.name] = route
            elif kind == POOL_TAG:
                pool = converter.structure(fields, Versioned[Pool])
                pools[pool.row.name] = pool
            else:
                edit_ids[fields[0]] = fields[1]
    except Exception as error:  # msgpack and cattrs raise many unrelated types
        return Failure(f"{type(error).__name__}: {error}")
    return Success(Tables(routes, pools, edit_ids, through))


def digest_of(through: int, chunks: Iterable[bytes]) -> str:
    """Return the content hash of a snapshot."""
    content = blake2b(str(through).encode(), digest_size=DIGEST_BYTES)
    for chunk in chunks:
        content.update(len(chunk).to_bytes(8, "big"))
        content.update(chunk)
    return content.hexdigest()


def _raw_chunks(tables: Tables, pause: Callable[[], None]) -> Iterator[bytes]:
    rows: list[bytes] = []
    size = 0
    for number, row in enumerate(_pack_rows(tables)):
        if rows and size + len(row) > CHUNK_BYTES:
            yield b"".join(rows)
            rows, size = [], 0
        rows.append(row)
        size += len(row)
        if number % ROWS_PER_PAUSE == ROWS_PER_PAUSE - 1:
            pause()
    yield b"".join(rows)


def _pack_rows(tables: Tables) -> Iterator[bytes]:
    # Rows are sorted by name, so that equal tables have equal digests on all
    # daemons, regardless of how each built its tables.
    yield from _pack_table(POOL_TAG, tables.pools)
    yield from _pack_table(ROUTE_TAG, tables.routes)
    for edit_id, offset in tables.edit_ids.items():
        yield msgpack.packb([EDIT_ID_TAG, [edit_id, offset]])


def _pack_table(kind: str, rows: Mapping[str, Versioned[Any]]) -> Iterator[bytes]:
    for name in sorted(rows):
        yield msgpack.packb([kind, converter.unstructure(rows[name])])


def _structure_route(fields: Any) -> Versioned[Route]:
    # A route has only strings, numbers and tuples of strings, which msgpack
    # returns in their final types. Bypassing the general converter halves the
    # time for 23,000 routes, so that a starting daemon serves sooner.
    try:
        row = Route(**fields["row"])
        return Versioned(row, fields["version"], fields.get("author", ""))
    except TypeError:
        # Another release wrote fields that are unknown to this one.
        return converter.structure(fields, Versioned[Route])


def _unpack_rows(
    chunks: Iterable[bytes], pause: Callable[[], None]
) -> Iterator[tuple[str, Any]]:
    number = 0
    for chunk in chunks:
        unpacker = msgpack.Unpacker(raw=False, use_list=False)
        unpacker.feed(zlib.decompress(chunk))
        for kind, fields in unpacker:
            yield kind, fields
            number += 1
            if number % ROWS_PER_PAUSE == 0:
                pause()


@attrs.frozen(kw_only=True)
class StreamView:
    """State of the tables stream as seen by a daemon.

    Attributes
    ----------
    through
        Offset of the last folded record.
    first
        Oldest offset that has not expired.
    end
        Offset of the next append.
    bytes_since_snapshot
        Bytes of edits since the last usable snapshot.
    """

    through: int
    first: int
    end: int
    bytes_since_snapshot: int = 0


class SnapshotSchedule:
    """Decides when this daemon writes a snapshot, without leader election.

    When a snapshot is due, each daemon waits for a random time and cancels its
    write when it sees a fresh snapshot. Concurrent writes are harmless.

    Parameters
    ----------
    interval_s
        Age at which a snapshot is due, at most a quarter of the log's
        retention.
    """

    def __init__(self, interval_s: float, random_source: random.Random) -> None:
        self.interval_s = interval_s
        self.random = random_source
        self.mark_through = NO_VERSION
        self.refresh_at: float | None = None
        self.write_at: float | None = None

    def on_mark(self, through: int, now: float) -> None:
        """Record that a snapshot was seen on the log."""
        if through <= self.mark_through:
            return
        self.mark_through = through
        self.refresh_at = now + self.interval_s
        self.write_at = None

    def due(self, view: StreamView, now: float) -> bool:
        """Return whether to write a snapshot now."""
        jitter_s = self._jitter_s(view, now)
        if jitter_s is None:
            self.write_at = None
            return False
        if self.write_at is None:
            self.write_at = now + self.random.uniform(0, jitter_s)
        return now >= self.write_at

    def on_failed(self, now: float) -> None:
        """Schedule a retry after a failed write."""
        self.write_at = now + self.random.uniform(0, URGENT_JITTER_S)

    def _jitter_s(self, view: StreamView, now: float) -> float | None:
        if view.through == NO_VERSION:
            return None
        if self.refresh_at is None:
            # The age of the last snapshot is unknown after a restart. A random
            # initial age prevents daemons that start together from all writing
            # at once, and daemons that restart often from postponing the write
            # forever.
            self.refresh_at = now + self.random.uniform(0, self.interval_s)
        if self._near_expiry(view):
            return min(URGENT_JITTER_S, self.interval_s * JITTER_FRACTION)
        enough_records = view.through - self.mark_through >= RECORDS_PER_SNAPSHOT
        if (
            enough_records
            or view.bytes_since_snapshot >= BYTES_PER_SNAPSHOT
            or now >= self.refresh_at
        ):
            return self.interval_s * JITTER_FRACTION
        return None

    def _near_expiry(self, view: StreamView) -> bool:
        # Once a record after the last snapshot expires, a new reader cannot
        # rebuild the current tables. The margin is half of the retained window.
        if view.first == 0:
            return False
        return (self.mark_through + 1 - view.first) * 2 < view.end - view.first
