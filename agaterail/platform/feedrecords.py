"""Records of the store's logs, and what they say."""

from __future__ import annotations

import base64
import binascii
import json
import struct
import time
from typing import TYPE_CHECKING, Any

from returns.result import Success

from agaterail import logs
from agaterail.gateway import documents
from agaterail.gateway.controlstore import (
    DesiredPublished,
    DocumentRecord,
    Feed,
    FeedRecord,
    LeaseChanged,
    LeaseEntry,
    TargetChanged,
    WeightsNamed,
)
from agaterail.gateway.versionhistory import VersionAge, VersionAgeRecord
from agaterail.platform import fields, names
from agaterail.platform.desired import DesiredDecoder, decode_weights
from agaterail.platform.registrations import decode_registration

if TYPE_CHECKING:
    from collections.abc import Sequence

    from agaterail.gateway.controlstore import Change, Record
    from agaterail.gateway.documents import Document

logger = logs.get_logger("store")

LENGTH = struct.Struct(">I")


class RecordDecoder:
    """Decodes records; those of operators against the versions before."""

    def __init__(self) -> None:
        self.documents: dict[str, Document] = {}
        self.desired = DesiredDecoder()

    def typed(self, feed: Feed, records: list[FeedRecord]) -> Sequence[Record]:
        """Return operators' records as documents, the newest of each key only."""
        if feed is not Feed.OPERATORS:
            return records
        newest: dict[str, DocumentRecord] = {}
        for record in reversed(records):
            if not record.value or record.key in newest:
                continue
            document = self._document(record)
            if document is not None:
                newest[record.key] = document
        return sorted(newest.values(), key=lambda record: record.offset)

    def _document(self, record: FeedRecord) -> DocumentRecord | None:
        former = self.documents.get(record.key, documents.EMPTY)
        parsed = documents.parse(record.value, former)
        if not isinstance(parsed, Success):
            _left_out(record, parsed.failure())
            return None
        document = parsed.unwrap()
        self.documents[record.key] = document
        return DocumentRecord(record.offset, record.key, document)

    def change(self, feed: Feed, record: Record) -> Change | None:
        """Return what a record says; None if it cannot be read."""
        if isinstance(record, DocumentRecord):
            return self._operator_change(record)
        return _lease_change(record) if feed is Feed.LEASE else _target_change(record)

    def _operator_change(self, record: DocumentRecord) -> Change | None:
        if record.key == names.CONFIG_KEY:
            return self._desired_change(record)
        if not record.key.startswith(names.VERSION_KEY_PREFIX):
            return None
        weights = decode_weights(record.document)
        if isinstance(weights, Success):
            named = weights.unwrap()
            return WeightsNamed(record.offset, named.model, named.version)
        _left_out(record, weights.failure())
        return None

    def _desired_change(self, record: DocumentRecord) -> Change | None:
        began = time.perf_counter()
        desired = self.desired.decode(record.document)
        if not isinstance(desired, Success):
            _left_out(record, desired.failure())
            return None
        took_s = time.perf_counter() - began
        size = record.document.size
        return DesiredPublished(record.offset, desired.unwrap(), size, took_s)


def split(data: bytes, offset: int) -> list[tuple[int, bytes]] | None:
    """Return offsets and contents of records; None if one is cut."""
    found: list[tuple[int, bytes]] = []
    place = 0
    while place < len(data):
        if place + LENGTH.size > len(data):
            return None
        (length,) = LENGTH.unpack_from(data, place)
        place += LENGTH.size
        if place + length > len(data):
            return None
        found.append((offset + len(found), data[place : place + length]))
        place += length
    return found


def of_log(feed: Feed, raw: list[tuple[int, bytes]]) -> list[FeedRecord]:
    """Return the records of a part of a log."""
    if feed is Feed.LEASE:
        return [FeedRecord(offset, "", content) for offset, content in raw]
    return _keyed_records(raw)


def _keyed_records(raw: list[tuple[int, bytes]]) -> list[FeedRecord]:
    records = []
    for offset, content in raw:
        if not content or len(content) < 1 + content[0]:
            logger.warning("Left out a record.", offset=offset, reason="no key")
            continue
        key = content[1 : 1 + content[0]].decode("utf-8", "replace")
        records.append(FeedRecord(offset, key, content[1 + content[0] :]))
    return records


def of_listing(page: dict[str, Any]) -> list[FeedRecord]:
    """Return the records of a page of the newest ones.

    Raises
    ------
    MalformedError
        If the page is none.
    """
    records = []
    for item in fields.rows(page, "items"):
        row = fields.table(item, "an item")
        try:
            value = base64.b64decode(fields.text(row, "value"), validate=True)
        except binascii.Error as error:
            raise fields.MalformedError(str(error)) from error
        records.append(FeedRecord(fields.whole(row, "offset"), fields.text(row, "key"), value))
    return records


def encode_naming(naming: VersionAgeRecord) -> dict[str, Any]:
    """Return ages of weights versions as they lie in a record of the lease."""
    ages = {
        model: [[item.version, round(item.age_s, 3)] for item in items]
        for model, items in naming.ages.items()
    }
    return {
        "written_at": round(naming.written_at, 3),
        "reading_age_s": round(naming.reading_age_s, 3),
        "ages": ages,
    }


def _decode_naming(found: object) -> VersionAgeRecord | None:
    """Return the ages in a record; None without any.

    Raises
    ------
    ValueError
        If they are none.
    """
    if found is None:
        return None
    whole = fields.table(found, "the naming")
    ages: dict[str, tuple[VersionAge, ...]] = {}
    for model, rows in fields.table(whole.get("ages"), "the ages").items():
        if not isinstance(rows, list):
            raise fields.MalformedError("the ages of a model are no list")
        ages[model] = tuple(_decode_age(row) for row in rows)
    return VersionAgeRecord(
        fields.number(whole, "written_at"), fields.number(whole, "reading_age_s"), ages
    )


def _decode_age(row: object) -> VersionAge:
    match row:
        case [int(version), int() | float() as age_s] if age_s >= 0.0 and version >= 0:
            return VersionAge(version, float(age_s))
    raise fields.MalformedError("an age is no version and seconds")


def _target_change(record: FeedRecord) -> Change | None:
    if not record.value:
        return TargetChanged(record.offset, record.key, None)
    entry = decode_registration(record.key, record.value)
    if isinstance(entry, Success):
        return TargetChanged(record.offset, record.key, entry.unwrap())
    _left_out(record, entry.failure())
    return None


def _left_out(record: Record, reason: str) -> None:
    logger.warning("Left out a record.", key=record.key, offset=record.offset, reason=reason)


def _lease_change(record: FeedRecord) -> Change | None:
    try:
        found = fields.table(json.loads(record.value), "the lease")
        idle, load = found.get("released_idle_s"), found.get("load_s")
        entry = LeaseEntry(
            host=fields.text(found, "host"),
            boot=fields.text(found, "boot"),
            released_idle_s=None if idle is None else fields.number(found, "released_idle_s"),
            load_s=None if load is None else fields.number(found, "load_s"),
            naming=_decode_naming(found.get("naming")),
        )
    except ValueError as error:
        _left_out(record, str(error))
        return None
    return LeaseChanged(record.offset, entry)
