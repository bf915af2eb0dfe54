"""Published JSON objects, stored row by row, and the differences between them."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import attrs
import msgspec
from returns.result import Failure, Result, Success

from agaterail.util.untrusted import DecodeError, JsonDecoder, decode_pruned

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

_MEMBERS: JsonDecoder[dict[str, msgspec.Raw]] = JsonDecoder(dict[str, msgspec.Raw])
_ROWS: JsonDecoder[list[msgspec.Raw]] = JsonDecoder(list[msgspec.Raw])
LIST_START = b"["


@attrs.frozen
class Document:
    """One version of a JSON object.

    Attributes
    ----------
    members
        JSON texts of the members that are not lists.
    tables
        Members that are lists, as the JSON texts of their rows.
    """

    members: dict[str, bytes]
    tables: dict[str, tuple[bytes, ...]]

    @property
    def size(self) -> int:
        """Return the total size of all texts in bytes."""
        tables = sum(sum(map(len, rows)) for rows in self.tables.values())
        return tables + sum(map(len, self.members.values()))

    def checksum(self) -> int:
        """Return a checksum of the names, the texts and the order of rows."""
        found = 0
        for name, text in sorted(self.members.items()):
            found = zlib.crc32(text, zlib.crc32(name.encode() + b":", found))
        for name, rows in sorted(self.tables.items()):
            found = zlib.crc32(b"\n".join(rows), zlib.crc32(name.encode() + b"[", found))
        return found


EMPTY = Document({}, {})


@attrs.frozen
class Piece:
    """A range of rows to copy from the former table, and new rows after them.

    Attributes
    ----------
    start, count
        Index of the first copied row, and number of copied rows.
    rows
        New rows.
    """

    start: int
    count: int
    rows: tuple[bytes, ...]


@attrs.frozen
class Difference:
    """Changes that turn a former document into a new one.

    Attributes
    ----------
    members
        All members that are not lists; they are few, so all of them are included.
    tables
        Pieces of each list.
    checksum
        Checksum of the resulting document.
    """

    members: dict[str, bytes]
    tables: dict[str, tuple[Piece, ...]]
    checksum: int


def parse(text: bytes, former: Document = EMPTY) -> Result[Document, str]:
    """Parse the JSON text of a document.

    Rows that are unchanged from the former document are the same objects, so that a
    change of one row takes the memory of one row.
    """
    try:
        return Success(decode_pruned(lambda kept: _split(kept, former), text))
    except DecodeError as error:
        return Failure(str(error))


def difference(former: Document, document: Document) -> Difference:
    """Return the difference from a former document."""
    return Difference(
        document.members,
        {
            name: tuple(_diff_rows(former.tables.get(name, ()), rows))
            for name, rows in document.tables.items()
        },
        document.checksum(),
    )


def apply(former: Document, change: Difference) -> Result[Document, str]:
    """Apply a difference to a former document."""
    try:
        tables = {
            name: _apply_pieces(former.tables.get(name, ()), pieces)
            for name, pieces in change.tables.items()
        }
    except IndexError as error:
        return Failure(str(error))
    document = Document(change.members, tables)
    if document.checksum() != change.checksum:
        return Failure("checksum mismatch")
    return Success(document)


def _split(text: bytes, former: Document) -> Document:
    found = _MEMBERS.decode(text)
    lists = {n for n, raw in found.items() if memoryview(raw)[:1] == LIST_START}
    return Document(
        {name: bytes(raw) for name, raw in found.items() if name not in lists},
        {name: _decode_rows(found[name], former.tables.get(name, ())) for name in lists},
    )


def _decode_rows(text: msgspec.Raw, former: Sequence[bytes]) -> tuple[bytes, ...]:
    known = {row: row for row in former}
    rows = (bytes(raw) for raw in _ROWS.decode(text))
    return tuple(known.get(row, row) for row in rows)


def _diff_rows(former: Sequence[bytes], rows: Sequence[bytes]) -> Iterator[Piece]:
    row_indexes = {row: index for index, row in enumerate(former)}
    start = count = 0
    new_rows: list[bytes] = []
    for row in rows:
        end = start + count
        if not new_rows and end < len(former) and former[end] == row:
            count += 1
            continue
        index = row_indexes.get(row)
        if index is None:
            new_rows.append(row)
            continue
        yield Piece(start, count, tuple(new_rows))
        start, count, new_rows = index, 1, []
    yield Piece(start, count, tuple(new_rows))


def _apply_pieces(former: Sequence[bytes], pieces: Sequence[Piece]) -> tuple[bytes, ...]:
    rows: list[bytes] = []
    for piece in pieces:
        end = piece.start + piece.count
        if not 0 <= piece.start <= end <= len(former):
            raise IndexError(f"rows {piece.start} to {end} of {len(former)}")
        rows.extend(former[piece.start : end])
        rows.extend(piece.rows)
    return tuple(rows)
