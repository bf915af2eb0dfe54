"""Records that agaterail appends to the platform's log."""

from __future__ import annotations

import enum

import attrs

from agaterail.tables import NO_VERSION, Pool, Route, TableName

RULES_VERSION = 1
TABLES_STREAM = "tables"
SNAPSHOTS_STREAM = "tables-snapshots"
LEASES_STREAM = "leases"
ROLLOUT_STREAM = "rollout"


class Action(enum.Enum):
    """Action of a change on one row."""

    PUT = "put"
    DELETE = "delete"


@attrs.frozen(kw_only=True)
class Change:
    """A change of one row, valid only for the version that the operator saw."""

    table: TableName
    name: str
    action: Action
    expected_version: int = NO_VERSION
    route: Route | None = None
    pool: Pool | None = None


@attrs.frozen(kw_only=True)
class Edit:
    """Changes of rows that are accepted or rejected as a whole."""

    edit_id: str
    author: str
    changes: tuple[Change, ...]
    rules: int = RULES_VERSION


@attrs.frozen(kw_only=True)
class SnapshotChunk:
    """A part of a snapshot that fits into one log record.

    Attributes
    ----------
    digest
        Content hash of the whole snapshot, which also identifies it.
    index, count
        Position of the chunk and total number of chunks.
    data
        Compressed rows.
    """

    digest: str
    index: int
    count: int
    data: bytes


@attrs.frozen(kw_only=True)
class SnapshotMark:
    """Announces a snapshot after all of its chunks have been appended.

    Chunks are on a separate stream, so that daemons that follow the edits do not
    read them. Chunks without a mark are incomplete and are ignored.

    Attributes
    ----------
    through
        Last offset of the tables stream that the snapshot covers.
    chunks
        Offsets of the chunks on their stream, in order.
    """

    through: int
    digest: str
    chunks: tuple[int, ...]
    rules: int = RULES_VERSION


TablesRecord = Edit | SnapshotMark
