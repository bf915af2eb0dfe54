"""Format tables and changes for operators as TOML, JSON and plans."""

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
    from agaterail.tables_reader import FoldedRecord

SHOWN_CHANGES = 20


def plan_lines(current: Tables, changes: Sequence[Change]) -> Iterator[str]:
    """Describe each change relative to the current tables, then the totals."""
    counts = {"+": 0, "~": 0, "-": 0}
    for change in changes:
        sign = _sign(change)
        counts[sign] += 1
        line = f"{sign} {change.table.value}.{change.name}"
        yield line + (f": {_fields_changed(current, change)}" if sign == "~" else "")
    if changes:
        yield (
            f"Plan: {counts['+']} to add, {counts['~']} to change, {counts['-']} to remove."
        )
    else:
        yield "No changes."


def toml_lines(tables: Tables) -> Iterator[str]:
    """Format the tables as a table file, with versions and authors in comments."""
    yield f"# In force through offset {tables.through}."
    for versioned in _sorted_rows(tables):
        table = TableName.ROUTES if isinstance(versioned.row, Route) else TableName.POOLS
        yield ""
        yield f"# version {versioned.version}, author {_toml_value(versioned.author)}"
        yield f"[{table.value}.{_toml_value(versioned.row.name)}]"
        for name, value in _fields_of(versioned.row).items():
            yield f"{name} = {_toml_value(value)}"


def as_json(tables: Tables) -> str:
    """Format the tables as one JSON object."""
    found: dict[str, Any] = {"through": tables.through, "pools": {}, "routes": {}}
    for versioned in _sorted_rows(tables):
        table = TableName.ROUTES if isinstance(versioned.row, Route) else TableName.POOLS
        found[table.value][versioned.row.name] = {
            "version": versioned.version,
            "author": versioned.author,
            "row": codec.converter.unstructure(versioned.row),
        }
    return json.dumps(found, indent=1, sort_keys=True)


def conflict_lines(current: Tables, conflicts: Iterable[Change]) -> Iterator[str]:
    """Describe the row in force and its author for each conflicting change."""
    for change in conflicts:
        row_path = f"{change.table.value}.{change.name}"
        rows: Mapping[str, Versioned[Any]] = current.rows_of(change.table)
        versioned = rows.get(change.name)
        expected = _version_text(change.expected_version)
        if versioned is None:
            yield f"{row_path}: expected {expected}, but the row has been deleted."
            continue
        yield (
            f"{row_path}: expected {expected}, "
            f"but version {versioned.version} by {versioned.author} is in force:"
        )
        for name, value in _fields_of(versioned.row).items():
            yield f"    {name} = {_toml_value(value)}"


def history_line(entry: FoldedRecord) -> str:
    """Format one record and its verdict as a line of text."""
    record = entry.record
    line = f"{entry.offset} {entry.result.verdict.value}"
    if isinstance(record, Edit):
        shown = [f"{_sign(item)}{item.table.value}.{item.name}" for item in record.changes]
        more = len(shown) - SHOWN_CHANGES
        rest = [f"and {more} more"] if more > 0 else []
        changes = " ".join(shown[:SHOWN_CHANGES] + rest)
        return f"{line} by {record.author} edit {record.edit_id}: {changes}"
    if record is not None:
        return f"{line} through {record.through}"
    return line


def history_json(entry: FoldedRecord) -> str:
    """Format one record and its verdict as a line of JSON."""
    found: dict[str, Any] = {
        "offset": entry.offset,
        "verdict": entry.result.verdict.value,
        "problems": [str(problem) for problem in entry.result.problems],
    }
    record = entry.record
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


def _fields_changed(current: Tables, change: Change) -> str:
    rows: Mapping[str, Versioned[Any]] = current.rows_of(change.table)
    old = rows[change.name].row
    new = change.route or change.pool
    pairs = (
        (field.name, getattr(old, field.name), getattr(new, field.name))
        for field in attrs.fields(type(old))
    )
    return ", ".join(
        f"{name} {_toml_value(before)} -> {_toml_value(after)}"
        for name, before, after in pairs
        if before != after
    )


def _sorted_rows(tables: Tables) -> Iterator[Versioned[Any]]:
    for table in (TableName.POOLS, TableName.ROUTES):
        rows: Mapping[str, Versioned[Any]] = tables.rows_of(table)
        for name in sorted(rows):
            yield rows[name]


def _fields_of(row: Row) -> dict[str, Any]:
    """Return the fields that differ from their defaults, without the name."""
    fields = codec.converter.unstructure(row)
    del fields["name"]
    return fields


def _toml_value(value: Any) -> str:
    if attrs.has(type(value)):
        value = codec.converter.unstructure(value)
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        # JSON escapes are valid in TOML. TOML also requires DEL to be escaped.
        return json.dumps(value, ensure_ascii=False).replace("\x7f", "\\u007F")
    if isinstance(value, dict):
        return (
            "{"
            + ", ".join(f"{name} = {_toml_value(item)}" for name, item in value.items())
            + "}"
        )
    if isinstance(value, (list, tuple)):
        return "[" + ", ".join(_toml_value(item) for item in value) + "]"
    return str(value)


def _version_text(version: int) -> str:
    return "no row" if version == NO_VERSION else f"version {version}"
