"""Records that agaterail keeps on the platform's log."""

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
    """What an edit does to one row."""

    PUT = "put"
    DELETE = "delete"


@attrs.frozen(kw_only=True)
class Change:
    """A change of one row, valid only on the version the operator saw."""

    table: TableName
    name: str
    action: Action
    expected_version: int = NO_VERSION
    route: Route | None = None
    pool: Pool | None = None


@attrs.frozen(kw_only=True)
class Edit:
    """Changes of rows that are accepted together or not at all."""

    edit_id: str
    author: str
    changes: tuple[Change, ...]
    rules: int = RULES_VERSION


@attrs.frozen(kw_only=True)
class SnapshotChunk:
    """A part of a snapshot, small enough for one record of the log.

    Attributes
    ----------
    digest
        Content hash of the whole snapshot; also its id.
    index, count
        Place of the chunk and number of chunks.
    data
        Compressed rows.
    """

    digest: str
    index: int
    count: int
    data: bytes


@attrs.frozen(kw_only=True)
class SnapshotMark:
    """Announces a snapshot of which every chunk has been appended.

    Chunks stand on a stream of their own, so that daemons that follow the
    edits do not read them. A set of chunks without a mark is torn; nobody
    looks at it.

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
