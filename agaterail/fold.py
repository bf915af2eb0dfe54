"""Pure fold of the tables stream: the same on every host."""

from __future__ import annotations

import enum
from hashlib import blake2b
from typing import TYPE_CHECKING

import attrs

from agaterail import codec
from agaterail.records import RULES_VERSION, Action, Change, Edit, Snapshot, TablesRecord
from agaterail.table_rules import TableProblem, joined_problems, row_problems
from agaterail.tables import TableName, Tables, Versioned

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_EDIT_IDS = 4096
DIGEST_BYTES = 16


class Verdict(enum.Enum):
    """How the fold judged one record."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"
    CONFLICT = "conflict"
    INVALID = "invalid"
    UNKNOWN_RULES = "unknown_rules"
    SNAPSHOT_USED = "snapshot_used"
    SNAPSHOT_IGNORED = "snapshot_ignored"


@attrs.frozen
class Folded:
    """The tables after one record, with the verdict and its reasons."""

    tables: Tables
    verdict: Verdict
    problems: tuple[TableProblem, ...] = ()
    conflicts: tuple[Change, ...] = ()


def fold(tables: Tables, record: TablesRecord, offset: int) -> Folded:
    """Judge one record and return the tables that are in force after it.

    Parameters
    ----------
    tables
        Tables in force before the record.
    record
        Edit or snapshot read from the log.
    offset
        Log offset of the record.
    """
    if record.rules != RULES_VERSION:
        # A daemon of another release might judge this record differently.
        # Rejecting it everywhere below that release keeps all views equal.
        return Folded(attrs.evolve(tables, through=offset), Verdict.UNKNOWN_RULES)
    if isinstance(record, Snapshot):
        return _fold_snapshot(tables, record, offset)
    return _fold_edit(tables, record, offset)


def snapshot_of(tables: Tables) -> Snapshot:
    """Make the snapshot record of the tables."""
    return Snapshot(tables=tables, digest=digest_of(tables))


def digest_of(tables: Tables) -> str:
    """Return a content hash of the tables."""
    return blake2b(codec.encode(tables), digest_size=DIGEST_BYTES).hexdigest()


def _fold_snapshot(tables: Tables, record: Snapshot, offset: int) -> Folded:
    if record.tables.through <= tables.through or digest_of(record.tables) != record.digest:
        # A late or torn snapshot would take this reader back and revert
        # accepted edits; what is held covers at least as much.
        return Folded(attrs.evolve(tables, through=offset), Verdict.SNAPSHOT_IGNORED)
    return Folded(attrs.evolve(record.tables, through=offset), Verdict.SNAPSHOT_USED)


def _fold_edit(tables: Tables, edit: Edit, offset: int) -> Folded:
    if edit.edit_id in tables.edit_ids:
        return Folded(attrs.evolve(tables, through=offset), Verdict.REPEATED)
    conflicts = tuple(change for change in edit.changes if _conflicts(tables, change))
    if conflicts:
        moved = attrs.evolve(tables, through=offset)
        return Folded(moved, Verdict.CONFLICT, conflicts=conflicts)
    changed = _apply(tables, edit, offset)
    problems = _edit_problems(changed, edit)
    if problems:
        moved = attrs.evolve(tables, through=offset)
        return Folded(moved, Verdict.INVALID, problems=tuple(problems))
    return Folded(changed, Verdict.ACCEPTED)


def _conflicts(tables: Tables, change: Change) -> bool:
    return tables.version_of(change.table, change.name) != change.expected_version


def _apply(tables: Tables, edit: Edit, offset: int) -> Tables:
    routes = dict(tables.routes)
    pools = dict(tables.pools)
    for change in edit.changes:
        if change.action is Action.DELETE:
            (routes if change.table is TableName.ROUTES else pools).pop(change.name, None)
        elif change.route is not None and change.table is TableName.ROUTES:
            routes[change.name] = Versioned(change.route, offset, edit.author)
        elif change.pool is not None and change.table is TableName.POOLS:
            pools[change.name] = Versioned(change.pool, offset, edit.author)
    return Tables(routes, pools, _remember(tables.edit_ids, edit.edit_id, offset), offset)


def _remember(edit_ids: Mapping[str, int], edit_id: str, offset: int) -> dict[str, int]:
    remembered = dict(edit_ids)
    remembered[edit_id] = offset
    while len(remembered) > MAX_EDIT_IDS:
        del remembered[next(iter(remembered))]
    return remembered


def _edit_problems(tables: Tables, edit: Edit) -> list[TableProblem]:
    problems: list[TableProblem] = []
    for change in edit.changes:
        problems.extend(_change_problems(change))
    problems.extend(
        joined_problems(tables, [(change.table, change.name) for change in edit.changes])
    )
    return problems


def _change_problems(change: Change) -> list[TableProblem]:
    if change.action is Action.DELETE:
        return []
    row = change.route if change.table is TableName.ROUTES else change.pool
    if row is None:
        return [TableProblem(change.table, change.name, "row", "nothing", "a row to put")]
    if row.name != change.name:
        return [TableProblem(change.table, change.name, "name", row.name, change.name)]
    return row_problems(row)
