"""Trace of one request, assembled from the log lines of several hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from agaterail.util.untrusted import DecodeError, load_json

if TYPE_CHECKING:
    from collections.abc import Iterable

# Shown at the start of a line or the same in every line, so not repeated as fields.
PREFIX_FIELDS = frozenset({"timestamp", "host", "part", "event", "level", "request"})
# Parts whose lines name no request but describe state that decisions depend on.
STATE_PARTS = frozenset({"state", "feeds", "weights", "fleet", "loads", "stop", "main"})
# Lines of this part describe targets and name the request whose answer told of it.
NOTICE_PART = "targets"
NO_USABLE_TARGET = "no usable target"


@attrs.frozen(order=True)
class LogLine:
    """A parsed log line; lines sort by time."""

    timestamp: str
    host: str
    part: str
    event: str
    fields: tuple[tuple[str, Any], ...] = attrs.field(order=False)
    request: str = attrs.field(default="", order=False)

    @property
    def target(self) -> str:
        """Return the target that the line names; empty if none."""
        return str(dict(self.fields).get("target") or "")

    @property
    def resumes(self) -> str:
        """Return the request whose stream this one takes up; empty if none."""
        return str(dict(self.fields).get("resumes") or "")

    def __str__(self) -> str:
        pairs = " ".join(f"{name}={value}" for name, value in self.fields)
        return f"{self.timestamp} {self.host} {self.part}: {self.event} {pairs}".rstrip()


def parse_log_lines(raw: Iterable[str]) -> list[LogLine]:
    """Parse JSON log lines, ignoring any prefix before the brace and all other lines."""
    lines = []
    for text in raw:
        start = text.find("{")
        if start < 0:
            continue
        try:
            found = load_json(text[start:])
        except DecodeError:
            continue  # a line of another program, or a truncated one
        if not isinstance(found, dict) or "event" not in found:
            continue
        fields = tuple(
            (name, value)
            for name, value in found.items()
            if name not in PREFIX_FIELDS and value is not None
        )
        lines.append(
            LogLine(
                timestamp=str(found.get("timestamp", "")),
                host=str(found.get("host", "")),
                part=str(found.get("part", "")),
                event=str(found["event"]),
                fields=fields,
                request=str(found.get("request", "")),
            )
        )
    return lines


def trace_request(lines: Iterable[LogLine], request_id: str, around_s: float) -> list[LogLine]:
    """Return a request's lines and the state changes on its hosts at that time.

    If the request is one of several tries of a stream, the lines of all are returned.

    Parameters
    ----------
    around_s
        State changes are included from this many seconds before the request's first
        line up to its last, if they name one of its targets or no target. For a request
        that found no usable target, the notices of all targets are included.
    """
    lines = list(lines)
    tries = _tries_of(lines, request_id)
    request_lines = sorted(line for line in lines if line.request in tries)
    if not request_lines:
        return []
    hosts = {line.host for line in request_lines}
    targets = {line.target for line in request_lines} | {""}
    found_no_target = any(
        str(dict(line.fields).get("detail")).startswith(NO_USABLE_TARGET)
        for line in request_lines
    )
    start = seconds_of_day(request_lines[0].timestamp) - around_s
    end = seconds_of_day(request_lines[-1].timestamp)
    state_lines = [
        line
        for line in lines
        if line.request not in tries
        and line.host in hosts
        and _is_about_state(line)
        and (line.target in targets or (found_no_target and line.part == NOTICE_PART))
        and start <= seconds_of_day(line.timestamp) <= end
    ]
    return sorted([*request_lines, *state_lines])


def _tries_of(lines: Iterable[LogLine], request_id: str) -> set[str]:
    """Return the ids of all tries of a stream, each of which names the first one."""
    first_of = {line.request: line.resumes for line in lines if line.request and line.resumes}
    first = first_of.get(request_id, request_id)
    return {request_id, first, *(name for name, root in first_of.items() if root == first)}


def _is_about_state(line: LogLine) -> bool:
    if line.request:
        return line.part == NOTICE_PART
    return line.part in STATE_PARTS or line.part == NOTICE_PART


def seconds_of_day(timestamp: str) -> float:
    """Return the time of day of a timestamp in seconds; NaN if it cannot be parsed.

    The date is ignored, since only lines that are close in time are compared.
    """
    clock = timestamp.partition("T")[2].rstrip("Z")
    try:
        hours, minutes, seconds = clock.split(":")
        return int(hours) * 3600 + int(minutes) * 60 + float(seconds)
    except ValueError:
        return float("nan")
