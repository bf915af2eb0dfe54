"""The commands that read and edit the tables."""

from __future__ import annotations

import os
import secrets
import sys
import time
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from agaterail import codec, table_files
from agaterail.fold import Verdict, fold
from agaterail.logstore import LogStore
from agaterail.logstore.http import HttpLogStore
from agaterail.records import TABLES_STREAM, Edit, TablesRecord
from agaterail.tables import Tables
from agaterail.util.address import Address

if TYPE_CHECKING:
    from collections.abc import Sequence

    from agaterail.fold import Folded
    from agaterail.records import Change
    from agaterail.tables import Pool, Route, Versioned

EXIT_FAILED = 1
EXIT_USAGE = 2
EDIT_ID_BYTES = 12
READ_BACK_TRIES = 20
READ_BACK_PAUSE_S = 0.2


def check(paths: Sequence[str]) -> int:
    """Check table files by themselves; returns the exit status."""
    return 0 if _read_files(paths) is not None else EXIT_USAGE


def diff(paths: Sequence[str], log_service: str) -> int:
    """Print what applying files would change; returns the exit status."""
    wanted = _read_files(paths)
    if wanted is None:
        return EXIT_USAGE
    force = _in_force(_log(log_service))
    if force is None:
        return EXIT_FAILED
    _print_plan(table_files.changes_between(force, wanted))
    return 0


def apply(paths: Sequence[str], log_service: str, author: str, dry_run: bool) -> int:
    """Append one edit and report its verdict; returns the exit status."""
    wanted = _read_files(paths)
    if wanted is None:
        return EXIT_USAGE
    log = _log(log_service)
    force = _in_force(log)
    if force is None:
        return EXIT_FAILED
    changes = table_files.changes_between(force, wanted)
    _print_plan(changes)
    if dry_run or not changes:
        return 0
    edit = Edit(
        edit_id=secrets.token_hex(EDIT_ID_BYTES),
        author=author or os.environ.get("USER", ""),
        changes=changes,
    )
    return _report(submit(log, force, edit))


def submit(log: LogStore, force: Tables, edit: Edit) -> Result[Folded, str]:
    """Append an edit and read back how it was judged.

    The verdict comes from reading the edit on the log, never from the answer
    to the append: that answer can be lost after the append took effect.
    """
    appended = log.append(TABLES_STREAM, codec.encode(edit, TablesRecord))
    tables = force
    for _ in range(READ_BACK_TRIES):
        read = log.read(TABLES_STREAM, tables.through + 1)
        if isinstance(read, Success):
            for record in read.unwrap().records:
                decoded = codec.decode(record.data, TablesRecord)
                if not isinstance(decoded, Success):
                    continue
                folded = fold(tables, decoded.unwrap(), record.offset)
                tables = folded.tables
                if decoded.unwrap() == edit:
                    return Success(folded)
        time.sleep(READ_BACK_PAUSE_S)
    return Failure(f"The edit was not read back. Append: {appended}")


def show(log_service: str) -> int:
    """Print the tables in force; returns the exit status."""
    force = _in_force(_log(log_service))
    if force is None:
        return EXIT_FAILED
    for pool in force.pools.values():
        print(f"pools.{pool.row.name}", _described(pool))
    for route in force.routes.values():
        print(f"routes.{route.row.name}", _described(route))
    return 0


def history(log_service: str) -> int:
    """Print each judged record; returns the exit status."""
    log = _log(log_service)
    tables = Tables()
    read = log.read(TABLES_STREAM, 0)
    if not isinstance(read, Success):
        print(f"The log gave no answer: {read.failure()}", file=sys.stderr)
        return EXIT_FAILED
    for record in read.unwrap().records:
        decoded = codec.decode(record.data, TablesRecord)
        if not isinstance(decoded, Success):
            continue
        folded = fold(tables, decoded.unwrap(), record.offset)
        tables = folded.tables
        author = getattr(decoded.unwrap(), "author", "snapshot")
        print(f"{record.offset} {folded.verdict.value} {author}")
    return 0


def _read_files(paths: Sequence[str]) -> Tables | None:
    result = table_files.read(paths)
    if isinstance(result, Success):
        return result.unwrap()
    for problem in result.failure():
        print(problem, file=sys.stderr)
    return None


def _log(log_service: str) -> LogStore:
    text = log_service or os.environ.get("AGATERAIL_LOG_SERVICE", "127.0.0.1:9000")
    return HttpLogStore(Address.parse(text))


def _in_force(log: LogStore) -> Tables | None:
    tables = Tables()
    while True:
        read = log.read(TABLES_STREAM, tables.through + 1)
        if not isinstance(read, Success):
            print(f"The log gave no answer: {read.failure()}", file=sys.stderr)
            return None
        if not read.unwrap().records:
            return tables
        for record in read.unwrap().records:
            decoded = codec.decode(record.data, TablesRecord)
            if isinstance(decoded, Success):
                tables = fold(tables, decoded.unwrap(), record.offset).tables


def _described(held: Versioned[Route] | Versioned[Pool]) -> str:
    return f"version={held.version} author={held.author} {held.row}"


def _print_plan(changes: Sequence[Change]) -> None:
    for change in changes:
        print(f"{change.action.value} {change.table.value}.{change.name}")
    if not changes:
        print("No changes.")


def _report(result: Result[Folded, str]) -> int:
    if not isinstance(result, Success):
        print(result.failure(), file=sys.stderr)
        return EXIT_FAILED
    folded = result.unwrap()
    if folded.verdict in (Verdict.ACCEPTED, Verdict.REPEATED):
        print(f"Accepted at offset {folded.tables.through}.")
        return 0
    print(f"Not accepted: {folded.verdict.value}.", file=sys.stderr)
    for problem in folded.problems:
        print(problem, file=sys.stderr)
    for change in folded.conflicts:
        version = folded.tables.version_of(change.table, change.name)
        print(
            f"{change.table.value}.{change.name}: you saw version "
            f"{change.expected_version}, in force is {version}",
            file=sys.stderr,
        )
    return EXIT_FAILED
