"""The commands that read and edit the tables."""

from __future__ import annotations

import os
import secrets
import sys
import time
from typing import TYPE_CHECKING

from returns.result import Result, Success

from agaterail import editing, table_files, table_text
from agaterail.editing import SubmitError, SubmitFailure
from agaterail.fold import Verdict
from agaterail.logstore.http import HttpLogStore
from agaterail.records import Edit
from agaterail.snapshots import MAX_RECORD_BYTES
from agaterail.tables import Tables
from agaterail.tables_reader import TablesReader
from agaterail.util.address import Address

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from agaterail.fold import FoldResult
    from agaterail.logstore import LogStore
    from agaterail.records import Change

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_OUTCOME_UNKNOWN = 3
EDIT_ID_BYTES = 12
AUTHOR_VARIABLE = "AGATERAIL_AUTHOR"
LOG_VARIABLE = "AGATERAIL_LOG_SERVICE"
DEFAULT_LOG = "127.0.0.1:9000"
LOG_OUTAGE_HINT = (
    "This may be an outage of the log. The daemons continue with the tables in force; "
    "try again later."
)


def check(paths: Sequence[str]) -> int:
    """Check table files without reading the log; return the exit status."""
    return 0 if _read_files(paths) is not None else EXIT_USAGE


def diff(paths: Sequence[str], log_service: str, against: str = "") -> int:
    """Print what applying files would change; return the exit status.

    Parameters
    ----------
    against
        Files to compare with instead of the tables in force; the log is then not read.
    """
    desired = _read_files(paths)
    if desired is None:
        return EXIT_USAGE
    current = _read_files([against]) if against else _read_current(_open_log(log_service))
    if current is None:
        return EXIT_USAGE if against else EXIT_FAILED
    _print(table_text.plan_lines(current, table_files.changes_between(current, desired)))
    return 0


def apply(
    paths: Sequence[str],
    log_service: str,
    author: str,
    dry_run: bool,
    allow_empty: bool = False,
    in_parts: bool = False,
) -> int:
    """Append the changes as an edit and report the verdict; return the exit status."""
    author = author or os.environ.get(AUTHOR_VARIABLE, "")
    if not author and not dry_run:
        return _usage_error(f"An edit needs an author: use --author or {AUTHOR_VARIABLE}.")
    desired = _read_files(paths)
    if desired is None:
        return EXIT_USAGE
    if not desired.routes and not desired.pools and not allow_empty:
        # A wrong directory looks like empty tables, and applying these would delete all rows.
        return _usage_error("The files contain no rows. Use --allow-empty to delete all rows.")
    log = _open_log(log_service)
    reader = TablesReader(log)
    if not _read_to_end(reader):
        return EXIT_FAILED
    changes = table_files.changes_between(reader.tables, desired)
    _print(table_text.plan_lines(reader.tables, changes))
    if dry_run or not changes:
        return 0
    return _submit_all(log, reader, author, changes, in_parts, time.sleep)


def show(log_service: str, as_json: bool = False) -> int:
    """Print the tables in force; return the exit status."""
    current = _read_current(_open_log(log_service))
    if current is None:
        return EXIT_FAILED
    _print([table_text.as_json(current)] if as_json else table_text.toml_lines(current))
    return 0


def history(log_service: str, as_json: bool = False) -> int:
    """Print each retained record with its verdict; return the exit status."""
    reader = TablesReader(_open_log(log_service))
    line = table_text.history_json if as_json else table_text.history_line
    while True:
        stepped = reader.step()
        if not isinstance(stepped, Success):
            print(
                f"The log did not answer: {stepped.failure()}. {LOG_OUTAGE_HINT}",
                file=sys.stderr,
            )
            return EXIT_FAILED
        step = stepped.unwrap()
        if step.gap and not step.adopted:
            print("Records have expired and no snapshot covers them.", file=sys.stderr)
            return EXIT_FAILED
        if step.adopted:
            through = reader.tables.through
            print(f"Starting from a snapshot through offset {through}.", file=sys.stderr)
        _print(line(record) for record in step.records)
        if step.at_end:
            return 0


def _submit_all(
    log: LogStore,
    reader: TablesReader,
    author: str,
    changes: Sequence[Change],
    in_parts: bool,
    sleep: Callable[[float], None],
) -> int:
    parts: Sequence[Sequence[Change]] = (
        editing.split_changes(changes) if in_parts else [changes]
    )
    for number, part in enumerate(parts, 1):
        edit = Edit(
            edit_id=secrets.token_hex(EDIT_ID_BYTES), author=author, changes=tuple(part)
        )
        if len(parts) > 1:
            print(f"Part {number} of {len(parts)}:")
        status = report_verdict(edit, editing.submit(log, reader, edit, sleep))
        if status:
            return status
    return 0


def report_verdict(edit: Edit, result: Result[FoldResult, SubmitFailure]) -> int:
    """Print the verdict on an edit; return the exit status."""
    if not isinstance(result, Success):
        return _report_failure(edit, result.failure())
    folded = result.unwrap()
    if folded.verdict is Verdict.ACCEPTED:
        print(f"Accepted at offset {folded.tables.through} as edit {edit.edit_id}.")
        return 0
    print(f"Not accepted: {folded.verdict.value}. Nothing was changed.", file=sys.stderr)
    _print(folded.problems, error=True)
    _print(table_text.conflict_lines(folded.tables, folded.conflicts), error=True)
    return EXIT_FAILED


def _report_failure(edit: Edit, failure: SubmitFailure) -> int:
    if failure.kind is SubmitError.TOO_LARGE:
        print(
            f"The edit has {editing.edit_size(edit)} bytes, but the log accepts at most "
            f"{MAX_RECORD_BYTES} per record. Nothing was changed. With --in-parts it is "
            "applied as several edits, each of them atomic.",
            file=sys.stderr,
        )
        return EXIT_FAILED
    if failure.kind is SubmitError.NOT_SENT:
        print(
            f"The log did not accept the edit: {failure.detail}. Nothing was changed.",
            file=sys.stderr,
        )
        return EXIT_FAILED
    print(
        f"Edit {edit.edit_id} was sent but could not be read back: {failure.detail}. It may "
        "still take effect; look for its id in the history before applying it again.",
        file=sys.stderr,
    )
    return EXIT_OUTCOME_UNKNOWN


def _read_files(paths: Sequence[str]) -> Tables | None:
    result = table_files.read(paths)
    if isinstance(result, Success):
        return result.unwrap()
    _print(result.failure(), error=True)
    return None


def _open_log(log_service: str) -> LogStore:
    text = log_service or os.environ.get(LOG_VARIABLE, DEFAULT_LOG)
    return HttpLogStore(Address.parse(text))


def _read_current(log: LogStore) -> Tables | None:
    reader = TablesReader(log)
    return reader.tables if _read_to_end(reader) else None


def _read_to_end(reader: TablesReader) -> bool:
    result = editing.read_to_end(reader)
    if isinstance(result, Success):
        return True
    print(f"{result.failure()} {LOG_OUTAGE_HINT}", file=sys.stderr)
    return False


def _usage_error(reason: str) -> int:
    print(reason, file=sys.stderr)
    return EXIT_USAGE


def _print(lines: Iterable[object], error: bool = False) -> None:
    for line in lines:
        print(line, file=sys.stderr if error else sys.stdout)
