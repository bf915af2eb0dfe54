"""Documents that are passed on as differences from what a peer has."""

from __future__ import annotations

import zlib
from collections import deque
from typing import TYPE_CHECKING

import attrs
import msgspec
from returns.result import Failure, Result, Success

from agaterail.gateway import documents
from agaterail.gateway.controlstore import DocumentRecord
from agaterail.gateway.documents import EMPTY, Difference, Document
from agaterail.gateway.relayed import PackedRecord, RelayedFeed

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from agaterail.gateway.controlstore import Reading, Record

# Versions of a document that differences may start from. Versions follow each other
# several a second at most, and a peer that asks twice a second has one of the last.
MAX_VERSIONS = 16
# Better levels take twice the time for few bytes less.
COMPRESSION_LEVEL = 1
# A difference that unpacks to more is refused.
MAX_UNPACKED_BYTES = 64 * 1024 * 1024
# Base of a difference from nothing: it is the whole document.
NO_BASE = -1


@attrs.define
class DocumentFeed(RelayedFeed):
    """The newest document of each key, and some versions before it.

    Sent whole for each change of a row, a document of some thousand rows would fill the
    link of a reader for seconds, and the last of its peers would have it as late. A
    difference is as large as the change, is packed once for all that have the same
    version, and leads over versions that were superseded meanwhile. Since the newest
    of each key is all that counts, a peer can go on from any offset.

    Attributes
    ----------
    versions
        The latest records of each key, the newest last.
    pack_cache
        Packed differences by offset of the result and of the base.
    has_listing
        All keys are known, as of some listing.
    """

    versions: dict[str, deque[DocumentRecord]] = attrs.field(factory=dict)
    pack_cache: dict[tuple[int, int], bytes] = attrs.field(factory=dict)
    has_listing: bool = False

    @property
    def base_offsets(self) -> tuple[int, ...]:
        """Return the offsets of the newest records."""
        return tuple(versions[-1].offset for versions in self.versions.values())

    def add_reading(self, reading: Reading) -> None:
        """Take in documents; older ones than those that are known bring nothing."""
        self.read_at = max(self.read_at, reading.read_at)
        self.has_listing = self.has_listing or reading.listed
        for record in reading.records:
            if isinstance(record, DocumentRecord):
                self._put(record)
        if reading.next_offset > self.next_offset:
            self.next_offset = reading.next_offset
            self.known_at = reading.arrival.known_at

    def pack_since(
        self, offset: int, base_offsets: Collection[int] = ()
    ) -> Sequence[PackedRecord] | None:
        """Return the newest document of each key that changed from an offset on."""
        if not self.has_listing:
            return None
        newest = (versions[-1] for versions in self.versions.values())
        return [
            self._pack(record, base_offsets) for record in newest if record.offset >= offset
        ]

    def unpack(self, packed: Sequence[PackedRecord]) -> Result[list[Record], str]:
        """Return the documents; a difference that does not fit makes none."""
        records: list[Record] = []
        for item in packed:
            base = self._version(item.key, item.base)
            if base is None:
                return Failure(f"no version of {item.key} at offset {item.base}")
            change = _unpack(item.value)
            if not isinstance(change, Success):
                return Failure(change.failure())
            document = documents.apply(base, change.unwrap())
            if not isinstance(document, Success):
                return Failure(document.failure())
            records.append(DocumentRecord(item.offset, item.key, document.unwrap()))
        return Success(records)

    def _put(self, record: DocumentRecord) -> None:
        versions = self.versions.setdefault(record.key, deque(maxlen=MAX_VERSIONS))
        if versions and record.offset <= versions[-1].offset:
            return
        versions.append(record)
        known = {item.offset for kept in self.versions.values() for item in kept}
        self.pack_cache = {
            cache_key: data
            for cache_key, data in self.pack_cache.items()
            if cache_key[0] in known
        }

    def _version(self, key: str, offset: int | None) -> Document | None:
        if offset == NO_BASE:
            return EMPTY
        found = (item for item in self.versions.get(key, ()) if item.offset == offset)
        record = next(found, None)
        return None if record is None else record.document

    def _pack(self, record: DocumentRecord, base_offsets: Collection[int]) -> PackedRecord:
        versions = self.versions[record.key]
        base = next((item for item in reversed(versions) if item.offset in base_offsets), None)
        base_offset = NO_BASE if base is None else base.offset
        cache_key = (record.offset, base_offset)
        data = self.pack_cache.get(cache_key)
        if data is None:
            former = EMPTY if base is None else base.document
            change = documents.difference(former, record.document)
            data = zlib.compress(msgspec.msgpack.encode(change), COMPRESSION_LEVEL)
            self.pack_cache[cache_key] = data
        return PackedRecord(record.offset, record.key, data, base_offset)


def _unpack(data: bytes) -> Result[Difference, str]:
    try:
        unpacker = zlib.decompressobj()
        text = unpacker.decompress(data, MAX_UNPACKED_BYTES)
        if not unpacker.eof:
            return Failure("a difference that is cut or too large")
        return Success(msgspec.msgpack.decode(text, type=Difference))
    except (zlib.error, msgspec.MsgspecError) as error:
        return Failure(str(error))
