"""Records that agaterail keeps on the platform's log."""

from __future__ import annotations

import enum

import attrs

from agaterail.tables import NO_VERSION, Pool, Route, TableName, Tables

RULES_VERSION = 1
TABLES_STREAM = "tables"
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
class Snapshot:
    """The tables after one offset, written so that older records may expire."""

    tables: Tables
    digest: str
    rules: int = RULES_VERSION


TablesRecord = Edit | Snapshot
