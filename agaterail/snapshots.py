"""Snapshots of the tables: their binary form and when one is due."""

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

# The log is assumed to take records of up to 1 MiB. Half of it leaves room for
# a row of the largest size behind the rows that are already in a chunk.
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

# The digest vouches for the bytes, so errors need no path to the field; that
# makes reading 23,000 rows three times faster.
converter = make_converter(omit_if_default=True, detailed_validation=False)
STRINGS = tuple[str, ...]


def _structure_strings(value: Any, _kind: Any) -> STRINGS:
    # The general hook makes a generator for each tuple, a third of the time.
    if type(value) is not tuple or not all(type(text) is str for text in value):
        raise TypeError("a tuple of texts is needed")
    return value


converter.register_structure_hook_func(lambda kind: kind == STRINGS, _structure_strings)


@attrs.frozen
class Snapshot:
    """Tables in the form in which they are written and sent.

    Attributes
    ----------
    through
        Last offset of the tables stream that is covered.
    digest
        Content hash; equal for all hosts that hold the same tables.
    chunks
        Compressed rows, each chunk below the log's record limit.
    """

    through: int
    digest: str
    chunks: tuple[bytes, ...]

    @property
    def size(self) -> int:
        """Return the bytes of all chunks."""
        return sum(len(chunk) for chunk in self.chunks)


def no_pause() -> None:
    """Go on at once."""


def encode(tables: Tables, pause: Callable[[], None] = no_pause) -> Snapshot:
    """Encode tables; ``pause`` is called every few hundred rows."""
    chunks = tuple(zlib.compress(raw, COMPRESSION_LEVEL) for raw in _raw_chunks(tables, pause))
    return Snapshot(tables.through, digest_of(tables.through, chunks), chunks)


def decode(
    through: int, digest: str, chunks: Sequence[bytes], pause: Callable[[], None] = no_pause
) -> Result[Tables, str]:
    """Check and decode the chunks of a snapshot."""
    if digest_of(through, chunks) != digest:
        return Failure("the content does not fit its digest")
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
    # Rows go in order of their names, so that equal tables have equal digests
    # on daemons that came to them by different ways.
    yield from _pack_table(POOL_TAG, tables.pools)
    yield from _pack_table(ROUTE_TAG, tables.routes)
    for edit_id, offset in tables.edit_ids.items():
        yield msgpack.packb([EDIT_ID_TAG, [edit_id, offset]])


def _pack_table(kind: str, rows: Mapping[str, Versioned[Any]]) -> Iterator[bytes]:
    for name in sorted(rows):
        yield msgpack.packb([kind, converter.unstructure(rows[name])])


def _structure_route(fields: Any) -> Versioned[Route]:
    # A route has only texts, numbers and tuples of texts, which msgpack gives
    # as they are. Without the general converter 23,000 of them take half of
    # the time, and a daemon that starts serves that much sooner.
    try:
        row = Route(**fields["row"])
        return Versioned(row, fields["version"], fields.get("author", ""))
    except TypeError:
        # Another release wrote fields that this one does not know.
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
    """What a daemon knows of the tables stream.

    Attributes
    ----------
    through
        Last offset that is folded.
    first
        Oldest offset that is still kept.
    end
        Offset that the next append would get.
    bytes_since_snapshot
        Bytes of edits after the last usable snapshot.
    """

    through: int
    first: int
    end: int
    bytes_since_snapshot: int = 0


class SnapshotSchedule:
    """Decides when this daemon writes a snapshot; no daemon is elected.

    Each daemon waits a random time once a snapshot is due and gives up when it
    sees a fresh one. Two that write at the same time do no harm.

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
        """Note a snapshot that was seen on the log."""
        if through <= self.mark_through:
            return
        self.mark_through = through
        self.refresh_at = now + self.interval_s
        self.write_at = None

    def due(self, view: StreamView, now: float) -> bool:
        """Tell whether to write now."""
        jitter_s = self._jitter_s(view, now)
        if jitter_s is None:
            self.write_at = None
            return False
        if self.write_at is None:
            self.write_at = now + self.random.uniform(0, jitter_s)
        return now >= self.write_at

    def on_failed(self, now: float) -> None:
        """Try again later after a write that did not succeed."""
        self.write_at = now + self.random.uniform(0, URGENT_JITTER_S)

    def _jitter_s(self, view: StreamView, now: float) -> float | None:
        if view.through == NO_VERSION:
            return None
        if self.refresh_at is None:
            # The age of what stands on the log is not known after a start.
            # A random first age keeps a herd from writing all at once and
            # keeps daemons that restart often from putting it off for ever.
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
        # Once a record behind the last snapshot expires, a new reader has no
        # way to the present state. Half of the kept window is the margin.
        if view.first == 0:
            return False
        return (self.mark_through + 1 - view.first) * 2 < view.end - view.first
