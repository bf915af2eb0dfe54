"""Deterministic fold of the tables stream, with the same result on every host."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs
from returns.result import Success

from agaterail import codec
from agaterail.records import RULES_VERSION, Action, Change, Edit, SnapshotMark, TablesRecord
from agaterail.table_rules import TableProblem, cross_table_problems, row_problems
from agaterail.tables import Pool, R, Route, TableName, Tables, Versioned

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_EDIT_IDS = 4096


class Verdict(enum.Enum):
    """Verdict of the fold on one record."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"
    CONFLICT = "conflict"
    INVALID = "invalid"
    UNKNOWN_RULES = "unknown_rules"
    MALFORMED = "malformed"
    SNAPSHOT = "snapshot"


@attrs.frozen
class FoldResult:
    """Tables after one record, with the verdict on it and the reasons."""

    tables: Tables
    verdict: Verdict
    problems: tuple[TableProblem, ...] = ()
    conflicts: tuple[Change, ...] = ()


def fold(tables: Tables, record: TablesRecord, offset: int) -> FoldResult:
    """Apply one record to the tables if it is valid, and return the result.

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
        # A daemon of another release might judge this record differently. Every
        # daemon that does not know its rules rejects it, so that their tables
        # stay equal.
        return FoldResult(attrs.evolve(tables, through=offset), Verdict.UNKNOWN_RULES)
    if isinstance(record, SnapshotMark):
        # A reader that folds in order already has the content of the snapshot.
        # Adopting it here could only revert edits between the snapshot's offset
        # and its mark.
        return FoldResult(attrs.evolve(tables, through=offset), Verdict.SNAPSHOT)
    return _fold_edit(tables, record, offset)


def fold_bytes(
    tables: Tables, data: bytes, offset: int
) -> tuple[TablesRecord | None, FoldResult]:
    """Decode and fold one record; a malformed one only advances the offset."""
    decoded = codec.decode(data, TablesRecord)
    if not isinstance(decoded, Success):
        # The offset must advance. Otherwise the reader would read this record
        # again forever and never reach the edits after it.
        return None, FoldResult(attrs.evolve(tables, through=offset), Verdict.MALFORMED)
    record = decoded.unwrap()
    return record, fold(tables, record, offset)


def _fold_edit(tables: Tables, edit: Edit, offset: int) -> FoldResult:
    if edit.edit_id in tables.edit_ids:
        return FoldResult(attrs.evolve(tables, through=offset), Verdict.REPEATED)
    # Ids of rejected edits are remembered too. A second copy can arrive after
    # other edits have made it valid, and would come into force although its
    # operator was told that the edit was rejected.
    seen = attrs.evolve(
        tables,
        through=offset,
        edit_ids=_remember_edit_id(tables.edit_ids, edit.edit_id, offset),
    )
    conflicts = tuple(change for change in edit.changes if _is_conflict(tables, change))
    if conflicts:
        return FoldResult(seen, Verdict.CONFLICT, conflicts=conflicts)
    changed = _apply(seen, edit, offset)
    problems = _edit_problems(changed, edit)
    if problems:
        return FoldResult(seen, Verdict.INVALID, problems=tuple(problems))
    return FoldResult(changed, Verdict.ACCEPTED)


def _is_conflict(tables: Tables, change: Change) -> bool:
    return tables.version_of(change.table, change.name) != change.expected_version


def _apply(tables: Tables, edit: Edit, offset: int) -> Tables:
    # Only a changed table is copied, which takes less than 1 ms for 23,000 rows.
    # Requests that started with the old tables keep using them unchanged.
    routes: dict[str, Versioned[Route]] | None = None
    pools: dict[str, Versioned[Pool]] | None = None
    for change in edit.changes:
        if change.table is TableName.ROUTES:
            routes = dict(tables.routes) if routes is None else routes
            _put_or_delete(routes, change, change.route, offset, edit.author)
        else:
            pools = dict(tables.pools) if pools is None else pools
            _put_or_delete(pools, change, change.pool, offset, edit.author)
    return attrs.evolve(
        tables,
        routes=tables.routes if routes is None else routes,
        pools=tables.pools if pools is None else pools,
    )


def _put_or_delete(
    rows: dict[str, Versioned[R]], change: Change, row: R | None, offset: int, author: str
) -> None:
    if change.action is Action.DELETE:
        rows.pop(change.name, None)
    elif row is not None:
        rows[change.name] = Versioned(row, offset, author)


def _remember_edit_id(
    edit_ids: Mapping[str, int], edit_id: str, offset: int
) -> dict[str, int]:
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
        cross_table_problems(tables, [(change.table, change.name) for change in edit.changes])
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
