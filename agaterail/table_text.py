"""Tables and changes as text for operators: TOML, JSON and plans."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import attrs

from agaterail import codec
from agaterail.records import Action, Edit
from agaterail.tables import NO_VERSION, Route, TableName

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping, Sequence

    from agaterail.records import Change
    from agaterail.tables import Row, Tables, Versioned
    from agaterail.tables_reader import Judged

SHOWN_CHANGES = 20


def plan_lines(force: Tables, changes: Sequence[Change]) -> Iterator[str]:
    """Describe each change against what is in force, and the sum."""
    counts = {"+": 0, "~": 0, "-": 0}
    for change in changes:
        sign = _sign(change)
        counts[sign] += 1
        line = f"{sign} {change.table.value}.{change.name}"
        yield line + (f": {_fields_changed(force, change)}" if sign == "~" else "")
    if changes:
        yield (
            f"Plan: {counts['+']} to add, {counts['~']} to change, {counts['-']} to remove."
        )
    else:
        yield "No changes."


def toml_lines(tables: Tables) -> Iterator[str]:
    """Write the tables as a table file, with versions and authors as comments."""
    yield f"# In force through offset {tables.through}."
    for held in _held_rows(tables):
        table = TableName.ROUTES if isinstance(held.row, Route) else TableName.POOLS
        yield ""
        yield f"# version {held.version}, author {_toml(held.author)}"
        yield f"[{table.value}.{_toml(held.row.name)}]"
        for name, value in _fields_of(held.row).items():
            yield f"{name} = {_toml(value)}"


def as_json(tables: Tables) -> str:
    """Write the tables as one JSON object."""
    found: dict[str, Any] = {"through": tables.through, "pools": {}, "routes": {}}
    for held in _held_rows(tables):
        table = TableName.ROUTES if isinstance(held.row, Route) else TableName.POOLS
        found[table.value][held.row.name] = {
            "version": held.version,
            "author": held.author,
            "row": codec.converter.unstructure(held.row),
        }
    return json.dumps(found, indent=1, sort_keys=True)


def conflict_lines(force: Tables, conflicts: Iterable[Change]) -> Iterator[str]:
    """Tell for each row in conflict what is in force now and by whom."""
    for change in conflicts:
        place = f"{change.table.value}.{change.name}"
        rows: Mapping[str, Versioned[Any]] = force.rows_of(change.table)
        held = rows.get(change.name)
        seen = _version_text(change.expected_version)
        if held is None:
            yield f"{place}: you saw {seen}; it has been deleted since."
            continue
        yield f"{place}: you saw {seen}; in force is version {held.version} by {held.author}:"
        for name, value in _fields_of(held.row).items():
            yield f"    {name} = {_toml(value)}"


def history_line(judged: Judged) -> str:
    """Describe one record and its verdict."""
    record = judged.record
    line = f"{judged.offset} {judged.folded.verdict.value}"
    if isinstance(record, Edit):
        shown = [f"{_sign(item)}{item.table.value}.{item.name}" for item in record.changes]
        more = len(shown) - SHOWN_CHANGES
        rest = [f"and {more} more"] if more > 0 else []
        changes = " ".join(shown[:SHOWN_CHANGES] + rest)
        return f"{line} by {record.author} edit {record.edit_id}: {changes}"
    if record is not None:
        return f"{line} through {record.through}"
    return line


def history_json(judged: Judged) -> str:
    """Return one record and its verdict as a line of JSON."""
    found: dict[str, Any] = {
        "offset": judged.offset,
        "verdict": judged.folded.verdict.value,
        "problems": [str(problem) for problem in judged.folded.problems],
    }
    record = judged.record
    if isinstance(record, Edit):
        found["edit_id"] = record.edit_id
        found["author"] = record.author
        found["changes"] = [
            {
                "action": item.action.value,
                "table": item.table.value,
                "name": item.name,
                "expected_version": item.expected_version,
            }
            for item in record.changes
        ]
    elif record is not None:
        found["snapshot_through"] = record.through
    return json.dumps(found, sort_keys=True)


def _sign(change: Change) -> str:
    if change.action is Action.DELETE:
        return "-"
    return "+" if change.expected_version == NO_VERSION else "~"


def _fields_changed(force: Tables, change: Change) -> str:
    rows: Mapping[str, Versioned[Any]] = force.rows_of(change.table)
    old = rows[change.name].row
    new = change.route or change.pool
    pairs = (
        (field.name, getattr(old, field.name), getattr(new, field.name))
        for field in attrs.fields(type(old))
    )
    return ", ".join(
        f"{name} {_toml(before)} -> {_toml(after)}"
        for name, before, after in pairs
        if before != after
    )


def _held_rows(tables: Tables) -> Iterator[Versioned[Any]]:
    for table in (TableName.POOLS, TableName.ROUTES):
        rows: Mapping[str, Versioned[Any]] = tables.rows_of(table)
        for name in sorted(rows):
            yield rows[name]


def _fields_of(row: Row) -> dict[str, Any]:
    """Return the fields that differ from their defaults, without the name."""
    fields = codec.converter.unstructure(row)
    del fields["name"]
    return fields


def _toml(value: Any) -> str:
    if attrs.has(type(value)):
        value = codec.converter.unstructure(value)
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        # JSON's escapes are TOML's, but for DEL, which TOML wants escaped.
        return json.dumps(value, ensure_ascii=False).replace("\x7f", "\\u007F")
    if isinstance(value, dict):
        return "{" + ", ".join(f"{name} = {_toml(item)}" for name, item in value.items()) + "}"
    if isinstance(value, (list, tuple)):
        return "[" + ", ".join(_toml(item) for item in value) + "]"
    return str(value)


def _version_text(version: int) -> str:
    return "no such row" if version == NO_VERSION else f"version {version}"
