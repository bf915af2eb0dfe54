"""Encoding and decoding of the records of the store's logs."""

from __future__ import annotations

import base64
import binascii
import struct
import time
from collections import Counter, OrderedDict
from typing import TYPE_CHECKING, Any, TypeVar

from returns.result import Success

from agaterail import logs
from agaterail.gateway import documents
from agaterail.gateway.controlstore import (
    DesiredPublished,
    DocumentRecord,
    EngineLoad,
    Feed,
    FeedRecord,
    LeaseChanged,
    LeaseEntry,
    TargetChanged,
    WeightsNamed,
)
from agaterail.gateway.versionhistory import VersionAge, VersionAgeRecord
from agaterail.platform import crashrecords, fields, names, poolrecords
from agaterail.platform.desired import DesiredDecoder, decode_weights
from agaterail.platform.registrations import decode_registration
from agaterail.util.untrusted import load_json

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result

    from agaterail.gateway.controlstore import Change, Record
    from agaterail.gateway.documents import Document

logger = logs.get_logger("store")

T = TypeVar("T")

RECORD_LENGTH = struct.Struct(">I")
# Skipped records that are remembered, so that listings do not report them again.
MAX_KNOWN_SKIPPED = 1024
# Length to which another writer's text is cut in the log.
MAX_LOGGED = 120


class RecordDecoder:
    """Decodes records; operators' documents are parsed against their previous version.

    Other writers can add any record. One that cannot be decoded, for whatever reason, is
    skipped: if it stopped its feed, no later record would be applied, and a daemon that
    starts would never know any target.

    Attributes
    ----------
    skipped
        Number of records of each feed that were skipped.
    known_skipped
        The latest of them, by feed, key and offset.
    """

    def __init__(self) -> None:
        self.skipped: Counter[Feed] = Counter()
        self.known_skipped: OrderedDict[tuple[Feed, str, int], None] = OrderedDict()
        self.latest_documents: dict[str, Document] = {}
        self.desired_decoder = DesiredDecoder()

    def to_records(self, feed: Feed, records: list[FeedRecord]) -> Sequence[Record]:
        """Parse operators' records into documents, only the newest valid one of each key.

        Records of other feeds are returned unchanged.
        """
        if feed is not Feed.OPERATORS:
            return records
        newest: dict[str, DocumentRecord] = {}
        for record in reversed(records):
            if not record.value or record.key in newest:
                continue
            document = self._parse_document(record)
            if document is not None:
                newest[record.key] = document
        return sorted(newest.values(), key=lambda record: record.offset)

    def _parse_document(self, record: FeedRecord) -> DocumentRecord | None:
        previous = self.latest_documents.get(record.key, documents.EMPTY)
        parsed = documents.parse(record.value, previous)
        if not isinstance(parsed, Success):
            self._skip(Feed.OPERATORS, record, parsed.failure())
            return None
        document = parsed.unwrap()
        self.latest_documents[record.key] = document
        return DocumentRecord(record.offset, record.key, document)

    def decode_change(self, feed: Feed, record: Record) -> Change | None:
        """Decode a record; return None if it is skipped or its key is unknown."""
        try:
            return self._decode_change(feed, record)
        except fields.MalformedError as error:
            self._skip(feed, record, str(error))
        except Exception as error:
            self._skip(feed, record, repr(error))
        return None

    def _decode_change(self, feed: Feed, record: Record) -> Change | None:
        if isinstance(record, DocumentRecord):
            return self._decode_operator_change(record)
        if feed is Feed.CRASHES:
            return crashrecords.decode(record)
        if feed is Feed.CACHE_POOL:
            return poolrecords.decode(record)
        return (
            _decode_lease_change(record)
            if feed is Feed.LEASE
            else _decode_target_change(record)
        )

    def _decode_operator_change(self, record: DocumentRecord) -> Change | None:
        if record.key == names.CONFIG_KEY:
            return self._decode_desired_change(record)
        if not record.key.startswith(names.VERSION_KEY_PREFIX):
            return None
        named = _unwrap(decode_weights(record.document))
        return WeightsNamed(record.offset, named.model, named.version)

    def _decode_desired_change(self, record: DocumentRecord) -> Change:
        began = time.perf_counter()
        desired = _unwrap(self.desired_decoder.decode(record.document))
        took_s = time.perf_counter() - began
        return DesiredPublished(record.offset, desired, record.document.size, took_s)

    def _skip(self, feed: Feed, record: Record, reason: str) -> None:
        """Count and log a record, unless that was done at a former reading."""
        place = (feed, record.key, record.offset)
        if place in self.known_skipped:
            return
        self.known_skipped[place] = None
        if len(self.known_skipped) > MAX_KNOWN_SKIPPED:
            self.known_skipped.popitem(last=False)
        self.skipped[feed] += 1
        logger.warning(
            "Skipped a malformed record.",
            feed=feed.value,
            key=record.key[:MAX_LOGGED],
            offset=record.offset,
            reason=reason[:MAX_LOGGED],
        )


def split_records(data: bytes, offset: int) -> list[tuple[int, bytes]] | None:
    """Return offsets and contents of records, or None if a record is truncated."""
    records: list[tuple[int, bytes]] = []
    position = 0
    while position < len(data):
        if position + RECORD_LENGTH.size > len(data):
            return None
        (length,) = RECORD_LENGTH.unpack_from(data, position)
        position += RECORD_LENGTH.size
        if position + length > len(data):
            return None
        records.append((offset + len(records), data[position : position + length]))
        position += length
    return records


def decode_log(feed: Feed, raw: list[tuple[int, bytes]]) -> list[FeedRecord]:
    """Decode the raw records of a feed's log; malformed records are skipped."""
    if feed is Feed.LEASE:
        return [FeedRecord(offset, "", content) for offset, content in raw]
    return _decode_keyed_records(raw)


def _decode_keyed_records(raw: list[tuple[int, bytes]]) -> list[FeedRecord]:
    records = []
    for offset, content in raw:
        if not content or len(content) < 1 + content[0]:
            logger.warning("Skipped a malformed record.", offset=offset, reason="no key")
            continue
        key = content[1 : 1 + content[0]].decode("utf-8", "replace")
        records.append(FeedRecord(offset, key, content[1 + content[0] :]))
    return records


def decode_listing(page: dict[str, Any]) -> list[FeedRecord]:
    """Decode one page of a listing of the newest records.

    Raises
    ------
    MalformedError
        If the page is malformed.
    """
    records = []
    for item in fields.array(page, "items"):
        row = fields.json_object(item, "an item")
        try:
            value = base64.b64decode(fields.string(row, "value"), validate=True)
        except binascii.Error as error:
            raise fields.MalformedError(str(error)) from error
        # Messages between daemons and queries of the store hold no lone surrogates.
        key = fields.string(row, "key").encode("utf-8", "replace").decode()
        records.append(FeedRecord(fields.integer(row, "offset"), key, value))
    return records


def encode_naming(naming: VersionAgeRecord) -> dict[str, Any]:
    """Encode the ages of weights versions for a lease record."""
    ages = {
        model: [[item.version, round(item.age_s, 3)] for item in items]
        for model, items in naming.ages.items()
    }
    return {
        "written_at": round(naming.written_at, 3),
        "reading_age_s": round(naming.reading_age_s, 3),
        "ages": ages,
    }


def encode_loads(loads: Sequence[EngineLoad]) -> list[list[str | int]]:
    """Encode loads of engines for a lease record."""
    return [[load.instance, load.model, load.version] for load in loads]


def _decode_loads(value: object) -> tuple[EngineLoad, ...]:
    """Decode the loads in a lease record.

    Raises
    ------
    ValueError
        If they are malformed.
    """
    if not isinstance(value, list):
        raise fields.MalformedError("the loads are not a list")
    return tuple(_decode_load(row) for row in value)


def _decode_load(row: object) -> EngineLoad:
    match row:
        case [str(instance), str(model), int(version)] if version >= 0:
            return EngineLoad(instance, model, version)
    raise fields.MalformedError("a load is not an engine, a model and a version")


def _decode_naming(value: object) -> VersionAgeRecord | None:
    """Decode the ages in a lease record; return None if it has none.

    Raises
    ------
    ValueError
        If the ages are malformed.
    """
    if value is None:
        return None
    naming = fields.json_object(value, "the naming")
    ages: dict[str, tuple[VersionAge, ...]] = {}
    for model, rows in fields.json_object(naming.get("ages"), "the ages").items():
        if not isinstance(rows, list):
            raise fields.MalformedError("the ages of a model are not a list")
        ages[model] = tuple(_decode_age(row) for row in rows)
    return VersionAgeRecord(
        fields.number(naming, "written_at"), fields.number(naming, "reading_age_s"), ages
    )


def _decode_age(row: object) -> VersionAge:
    match row:
        case [int(version), int() | float() as age_s] if age_s >= 0.0 and version >= 0:
            return VersionAge(version, float(age_s))
    raise fields.MalformedError("an age is not a pair of version and seconds")


def _decode_target_change(record: FeedRecord) -> Change | None:
    if not record.value:
        return TargetChanged(record.offset, record.key, None)
    entry = _unwrap(decode_registration(record.key, record.value))
    return TargetChanged(record.offset, record.key, entry)


def _unwrap(decoded: Result[T, str]) -> T:
    """Return a decoded value; raise MalformedError with the reason if there is none."""
    if isinstance(decoded, Success):
        return decoded.unwrap()
    raise fields.MalformedError(decoded.failure())


def _decode_lease_change(record: FeedRecord) -> Change:
    decoded = fields.json_object(load_json(record.value), "the lease")
    idle, load = decoded.get("released_idle_s"), decoded.get("load_s")
    planned = decoded.get("planned")
    entry = LeaseEntry(
        host=fields.string(decoded, "host"),
        boot=fields.string(decoded, "boot"),
        released_idle_s=None if idle is None else fields.number(decoded, "released_idle_s"),
        load_s=None if load is None else fields.number(decoded, "load_s"),
        naming=_decode_naming(decoded.get("naming")),
        planned=None if planned is None else _decode_loads(planned),
        loaded=_decode_loads(decoded.get("loaded", [])),
    )
    return LeaseChanged(record.offset, entry)
