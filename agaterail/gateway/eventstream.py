"""Split event streams into complete events, without repeats across several runs."""

from __future__ import annotations

import re

import attrs

from agaterail.bytelimits.answers import (
    BOUNDS,
    COMMENT_COST_BYTES,
    REPEATED_EVENT_COST_BYTES,
    AnswerPart,
)

MAX_EVENT_BYTES = BOUNDS[AnswerPart.EVENT].limit
MAX_QUIET_BYTES = BOUNDS[AnswerPart.NO_EVENT].limit
ID_FIELD = b"id"
EVENT_END = re.compile(rb"\n\n|\r\n\r\n")
# An end of an event may begin with this many bytes of the former data.
MAX_BOUNDARY_BYTES = 4


@attrs.define
class EventSplitter:
    """Splits a target's data into complete events and drops those relayed before.

    Only complete events are relayed: a target may fail in the middle of one, and the
    caller would parse that part together with the next run's events as one corrupt
    event.

    Attributes
    ----------
    last_id
        Id of the last event that was relayed; None before the first.
    partial
        Data of an event that is not complete yet.
    broken
        The part of the current run's stream that exceeded its bound; None if none did.
        Nothing more of that run is relayed then.
    quiet_bytes
        Data of the current run since its last new event, with a cost for each comment.
    event_count
        Number of events with an id that were relayed.
    """

    last_id: int | None = None
    partial: bytes = b""
    broken: AnswerPart | None = None
    quiet_bytes: int = 0
    event_count: int = 0

    def feed(self, data: bytes) -> bytes:
        """Return the complete new events after adding the data."""
        if self.broken is not None:
            return b""
        buffered = self.partial + data
        end = _last_boundary(buffered, len(self.partial))
        self.partial = buffered[end:] if end else buffered
        if len(self.partial) > MAX_EVENT_BYTES:
            self.broken = AnswerPart.EVENT
        if not end:
            return b""
        new_events = []
        for event in _events(buffered[:end]):
            if self._is_new(event):
                new_events.append(event)
            elif self.broken is not None:
                break
        return b"".join(new_events)

    def completes_event(self, data: bytes) -> bool:
        """Return whether the data would complete an event, without consuming it."""
        return _last_boundary(self.partial + data) > 0

    def discard_partial(self) -> None:
        """Discard the incomplete event of the previous run."""
        self.partial = b""
        self.broken = None
        self.quiet_bytes = 0

    def _is_new(self, event: bytes) -> bool:
        number = _event_id(event)
        if number is None:
            # A comment or preamble has no id, so it cannot be recognized as a repeat.
            if _is_empty(event):
                self._add_quiet(len(event) + COMMENT_COST_BYTES)
            else:
                self.quiet_bytes = 0
            return self.broken is None
        if self.last_id is not None and number <= self.last_id:
            self._add_quiet(len(event) + REPEATED_EVENT_COST_BYTES)
            return False
        self.quiet_bytes = 0
        self.last_id = number
        self.event_count += 1
        return True

    def _add_quiet(self, size: int) -> None:
        self.quiet_bytes += size
        if self.quiet_bytes > MAX_QUIET_BYTES:
            self.broken = AnswerPart.NO_EVENT


def _last_boundary(data: bytes, known: int = 0) -> int:
    """Return the end of the last complete event; there is none in the known data."""
    start = max(0, known - MAX_BOUNDARY_BYTES)
    lf = data.rfind(b"\n\n", start)
    crlf = data.rfind(b"\r\n\r\n", start)
    return max(lf + 2 if lf >= 0 else 0, crlf + 4 if crlf >= 0 else 0)


def _events(data: bytes) -> list[bytes]:
    if data.find(b"\n\n") + 2 == len(data) and b"\r\n\r\n" not in data:
        return [data]  # as nearly always
    events = []
    start = 0
    for match in EVENT_END.finditer(data):
        events.append(data[start : match.end()])
        start = match.end()
    return events


def _is_empty(event: bytes) -> bool:
    """Return whether an event holds only comments."""
    return all(line.startswith(b":") for line in event.splitlines() if line)


def _event_id(event: bytes) -> int | None:
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        if name == ID_FIELD and value.strip().isdigit():
            return int(value.strip())
    return None
