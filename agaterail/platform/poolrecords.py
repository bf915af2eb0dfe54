"""Encoding and decoding of the store's records of the pool of cached parts."""

from __future__ import annotations

import json
import struct
from typing import TYPE_CHECKING

from agaterail.decisions.cachepool import ID_BYTES, PoolRecord
from agaterail.gateway.controlstore import PoolChanged
from agaterail.platform import fields, keyedrecords
from agaterail.util.untrusted import load_json

if TYPE_CHECKING:
    from collections.abc import Iterable

    from agaterail.gateway.controlstore import FeedRecord

POOL_KEY = "pool"
# Members are split over as many records by their ids, as the store bounds a record's size.
MEMBER_BUCKETS = 16


def encode(record: PoolRecord) -> bytes:
    """Return the content of a record: its key with a length, and its value."""
    payload = {
        "version": record.version,
        "epoch": record.epoch,
        "members": record.checksum,
        "former": [f"{item:x}" for item in sorted(record.former)],
    }
    return keyedrecords.encode(POOL_KEY, json.dumps(payload).encode())


def decode(record: FeedRecord) -> PoolChanged | None:
    """Decode a record; return None if its key is unknown.

    Raises
    ------
    ValueError
        If it is malformed.
    """
    if record.key != POOL_KEY:
        return None
    decoded = fields.json_object(load_json(record.value), "the record")
    former = fields.array(decoded, "former")
    if not all(isinstance(item, str) for item in former):
        raise fields.MalformedError("the former members are not a list of strings")
    pool = PoolRecord(
        version=fields.integer(decoded, "version"),
        epoch=fields.integer(decoded, "epoch"),
        checksum=fields.string(decoded, "members"),
        former=frozenset(int(item, 16) for item in former),
    )
    return PoolChanged(record.offset, pool)


def encode_members(members: Iterable[int]) -> list[bytes]:
    """Return the contents of the records that hold all members."""
    buckets: list[list[int]] = [[] for _ in range(MEMBER_BUCKETS)]
    for item in members:
        buckets[item % MEMBER_BUCKETS].append(item)
    return [
        keyedrecords.encode(str(number), struct.pack(f">{len(bucket)}Q", *bucket))
        for number, bucket in enumerate(buckets)
    ]


def decode_members(records: Iterable[FeedRecord]) -> frozenset[int]:
    """Return the members in a listing of their records.

    Raises
    ------
    ValueError
        If a record is malformed.
    """
    members: set[int] = set()
    for record in records:
        count, rest = divmod(len(record.value), ID_BYTES)
        if rest:
            raise fields.MalformedError("truncated members")
        members.update(struct.unpack(f">{count}Q", record.value))
    return frozenset(members)
