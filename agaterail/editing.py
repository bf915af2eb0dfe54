"""Append an edit to the log and read back its verdict."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs
from returns.result import Failure, Result, Success

from agaterail import codec
from agaterail.logstore import LogErrorKind
from agaterail.records import TABLES_STREAM, Action, Edit, TablesRecord
from agaterail.snapshots import MAX_RECORD_BYTES
from agaterail.tables import TableName

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from agaterail.fold import FoldResult
    from agaterail.logstore import LogError, LogStore
    from agaterail.records import Change
    from agaterail.tables_reader import FoldedRecord, TablesReader

RETRY_PAUSE_S = 0.2
MAX_ATTEMPTS = 100
READS_BEFORE_RESEND = 5
EDIT_OVERHEAD_BYTES = 1024
CHANGE_ORDER = (
    (TableName.POOLS, Action.PUT),
    (TableName.ROUTES, Action.PUT),
    (TableName.ROUTES, Action.DELETE),
    (TableName.POOLS, Action.DELETE),
)


class SubmitError(enum.Enum):
    """Reason why an edit has no verdict."""

    TOO_LARGE = "too_large"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"
    GAP = "gap"


@attrs.frozen
class SubmitFailure:
    """Failure to get a verdict; only an ``UNKNOWN`` edit may still come into force."""

    kind: SubmitError
    detail: str = ""


def read_to_end(reader: TablesReader) -> Result[None, str]:
    """Read until the end of the stream."""
    while True:
        stepped = reader.step()
        if not isinstance(stepped, Success):
            return Failure(f"The log did not answer: {_describe_error(stepped.failure())}.")
        step = stepped.unwrap()
        if step.gap and not step.adopted:
            return Failure(
                f"Records before offset {reader.first} have expired and no snapshot covers "
                "them. The tables in force cannot be read from the log."
            )
        if step.at_end:
            return Success(None)


def edit_size(edit: Edit) -> int:
    """Return the encoded size of an edit in bytes."""
    return len(codec.encode(edit, TablesRecord))


def split_changes(
    changes: Sequence[Change], limit: int = MAX_RECORD_BYTES
) -> list[list[Change]]:
    """Split changes into parts that each fit into one record.

    Pools are added before the routes that refer to them and deleted after these
    routes, so that the tables are valid after each part.
    """
    parts: list[list[Change]] = []
    size = limit
    for table, action in CHANGE_ORDER:
        for change in changes:
            if change.table is not table or change.action is not action:
                continue
            added = len(codec.encode(change))
            if size + added > limit - EDIT_OVERHEAD_BYTES:
                parts.append([])
                size = 0
            parts[-1].append(change)
            size += added
    return parts


def submit(
    log: LogStore, reader: TablesReader, edit: Edit, sleep: Callable[[float], None]
) -> Result[FoldResult, SubmitFailure]:
    """Append an edit and read back its verdict.

    The verdict comes from reading the edit from the log, never from the answer
    to the append, which can be lost after the append took effect. The edit is
    sent again with the same id until it is read back; a new id would make it
    another edit.
    """
    if edit_size(edit) > MAX_RECORD_BYTES:
        return Failure(SubmitFailure(SubmitError.TOO_LARGE))
    maybe_sent = False
    reads_left = 0
    detail = ""
    for _ in range(MAX_ATTEMPTS):
        if reads_left <= 0:
            appended = log.append(TABLES_STREAM, codec.encode(edit, TablesRecord))
            if isinstance(appended, Success):
                maybe_sent = True
            else:
                error = appended.failure()
                detail = _describe_error(error)
                if error.kind is LogErrorKind.TOO_LARGE:
                    return Failure(SubmitFailure(SubmitError.TOO_LARGE))
                maybe_sent = maybe_sent or error.kind is LogErrorKind.UNANSWERED
            reads_left = READS_BEFORE_RESEND if maybe_sent else 0
        if maybe_sent:
            found = _read_back(reader, edit)
            if found is not None:
                return found
            reads_left -= 1
        sleep(RETRY_PAUSE_S)
    kind = SubmitError.UNKNOWN if maybe_sent else SubmitError.NOT_SENT
    return Failure(SubmitFailure(kind, detail))


def _read_back(reader: TablesReader, edit: Edit) -> Result[FoldResult, SubmitFailure] | None:
    while True:
        stepped = reader.step()
        if not isinstance(stepped, Success):
            return None
        step = stepped.unwrap()
        own = _find_edit(step.records, edit)
        if own is not None:
            return Success(own.result)
        if step.gap and not step.adopted:
            return Failure(SubmitFailure(SubmitError.GAP))
        if step.at_end:
            return None


def _find_edit(records: Sequence[FoldedRecord], edit: Edit) -> FoldedRecord | None:
    for item in records:
        if isinstance(item.record, Edit) and item.record.edit_id == edit.edit_id:
            return item
    return None


def _describe_error(error: LogError) -> str:
    return f"{error.kind.value} {error.detail}".strip()
