"""Feed of documents, which are relayed as differences from a version that the peer has."""

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
from agaterail.util.untrusted import DecodeError, MsgpackDecoder

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from agaterail.gateway.controlstore import Reading, Record

# Versions per key that differences may start from. There are at most several versions
# per second, so a peer that polls twice a second has one of the last ones.
MAX_VERSIONS = 16
# Higher levels take twice the time and save few bytes.
COMPRESSION_LEVEL = 1
# Limit of a decompressed difference; larger ones are rejected.
MAX_UNPACKED_BYTES = 64 * 1024 * 1024
# Base offset of a difference from the empty document, which is the whole document.
NO_BASE = -1
_DECODER: MsgpackDecoder[Difference] = MsgpackDecoder(Difference)


@attrs.define
class DocumentFeed(RelayedFeed):
    """The newest document of each key, and some versions before it.

    If a document of thousands of rows were sent whole for each changed row, it would
    saturate the link of a reader for seconds, and the last of its peers would get it
    seconds late. A difference is as large as the change, is packed once for all peers
    with the same version, and skips versions that were superseded meanwhile. As only the
    newest document of each key matters, a peer can continue from any offset.

    Attributes
    ----------
    versions
        The latest records of each key, the newest last.
    pack_cache
        Packed differences by the offsets of the result and of the base.
    has_listing
        Whether a listing was read, so that all keys are known.
    """

    versions: dict[str, deque[DocumentRecord]] = attrs.field(factory=dict)
    pack_cache: dict[tuple[int, int], bytes] = attrs.field(factory=dict)
    has_listing: bool = False

    @property
    def base_offsets(self) -> tuple[int, ...]:
        """Return the offsets of the newest records."""
        return tuple(versions[-1].offset for versions in self.versions.values())

    def add_reading(self, reading: Reading) -> None:
        """Add documents; versions older than the newest known one are ignored."""
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
        """Return the documents, or a failure if a difference does not apply."""
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
            return Failure("truncated or too large difference")
        return Success(_DECODER.decode(text))
    except (zlib.error, DecodeError) as error:
        return Failure(str(error))
