"""Read tables from TOML files and compute the changes that apply them."""

from __future__ import annotations

import pathlib
import tomllib
from typing import TYPE_CHECKING, Any

import attrs
from returns.result import Failure, Result, Success

from agaterail import codec
from agaterail.records import Action, Change
from agaterail.table_rules import cross_table_problems, row_problems
from agaterail.tables import Pool, Route, Row, TableName, Tables, Versioned

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

ROW_TYPES: Mapping[TableName, type] = {TableName.ROUTES: Route, TableName.POOLS: Pool}


@attrs.frozen
class FileProblem:
    """One problem of a table file."""

    file: str
    text: str

    def __str__(self) -> str:
        return f"{self.file}: {self.text}"


def read(paths: Iterable[str]) -> Result[Tables, list[FileProblem]]:
    """Read TOML files and directories into tables, and validate them as a whole."""
    problems: list[FileProblem] = []
    routes: dict[str, Versioned[Route]] = {}
    pools: dict[str, Versioned[Pool]] = {}
    source_files: dict[tuple[TableName, str], str] = {}
    for file in _toml_files(paths):
        for table, row in _read_file(file, problems):
            row_path = (table, row.name)
            if row_path in source_files:
                text = f"{table.value}.{row.name}: also defined in {source_files[row_path]}"
                problems.append(FileProblem(str(file), text))
            source_files[row_path] = str(file)
            problems.extend(FileProblem(str(file), str(item)) for item in row_problems(row))
            if isinstance(row, Route):
                routes[row.name] = Versioned(row, 0)
            else:
                pools[row.name] = Versioned(row, 0)
    tables = Tables(routes, pools)
    for item in cross_table_problems(tables, source_files):
        problems.append(FileProblem(source_files[(item.table, item.row)], str(item)))
    if problems:
        return Failure(problems)
    return Success(tables)


def changes_between(current: Tables, desired: Tables) -> tuple[Change, ...]:
    """Return the changes that turn the current tables into the desired ones."""
    changes: list[Change] = []
    for table in (TableName.POOLS, TableName.ROUTES):
        old = current.rows_of(table)
        new = desired.rows_of(table)
        for name in sorted(new):
            if name not in old or old[name].row != new[name].row:
                changes.append(_put_change(current, table, new[name].row))
        for name in sorted(set(old) - set(new)):
            changes.append(
                Change(
                    table=table,
                    name=name,
                    action=Action.DELETE,
                    expected_version=current.version_of(table, name),
                )
            )
    return tuple(changes)


def _put_change(current: Tables, table: TableName, row: Row) -> Change:
    return Change(
        table=table,
        name=row.name,
        action=Action.PUT,
        expected_version=current.version_of(table, row.name),
        route=row if isinstance(row, Route) else None,
        pool=row if isinstance(row, Pool) else None,
    )


def _toml_files(paths: Iterable[str]) -> list[pathlib.Path]:
    found: list[pathlib.Path] = []
    for text in paths:
        path = pathlib.Path(text)
        found.extend(sorted(path.rglob("*.toml")) if path.is_dir() else [path])
    return found


def _read_file(file: pathlib.Path, problems: list[FileProblem]) -> list[tuple[TableName, Row]]:
    try:
        parsed = tomllib.loads(file.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        problems.append(FileProblem(str(file), str(error)))
        return []
    rows: list[tuple[TableName, Row]] = []
    for section, content in parsed.items():
        if section not in ("routes", "pools") or not isinstance(content, dict):
            problems.append(
                FileProblem(str(file), f"{section}: found a section, allowed routes, pools")
            )
            continue
        table = TableName(section)
        for name, fields in content.items():
            row = _read_row(str(file), table, name, fields, problems)
            if row is not None:
                rows.append((table, row))
    return rows


def _read_row(
    file: str, table: TableName, name: str, fields: Any, problems: list[FileProblem]
) -> Row | None:
    kind = ROW_TYPES[table]
    row_path = f"{table.value}.{name}"
    if not isinstance(fields, dict):
        problems.append(FileProblem(file, f"{row_path}: found {fields!r}, allowed a table"))
        return None
    allowed = {field.name for field in attrs.fields(kind)} - {"name"}
    unknown = sorted(set(fields) - allowed)
    for field in unknown:
        names = ", ".join(sorted(allowed))
        problems.append(
            FileProblem(file, f"{row_path}.{field}: found an unknown field, allowed {names}")
        )
    if unknown:
        return None
    try:
        return codec.converter.structure({**fields, "name": name}, kind)
    except Exception as error:  # cattrs raises one group for all fields
        for text in _structure_errors(error):
            problems.append(FileProblem(file, f"{row_path}: {text}"))
        return None


def _structure_errors(error: Exception) -> list[str]:
    from cattrs import transform_error

    return transform_error(error)
