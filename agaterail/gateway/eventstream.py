"""Whole events of a stream, numbered by their ids, across several runs."""

from __future__ import annotations

import attrs

# An event without an end would be kept in memory for as long as it comes.
MAX_EVENT_BYTES = 1024 * 1024
ID_FIELD = b"id"


@attrs.define
class EventSplitter:
    """Cuts a target's bytes into whole events and drops those sent before.

    Only whole events are passed on: a target may end in the middle of one, and
    the half of an event followed by a new run's events would read as one
    garbled event.

    Attributes
    ----------
    last_id
        Id of the last event that was passed on; None before the first.
    partial
        Bytes of an event that has not ended yet.
    broken
        An event has no usable id, or is too long; nothing more is passed on.
    """

    last_id: int | None = None
    partial: bytes = b""
    broken: bool = False
    event_count: int = 0

    def feed(self, data: bytes) -> bytes:
        """Return the new whole events in the data."""
        buffered = self.partial + data
        end = _last_boundary(buffered)
        if end == 0:
            self.partial = buffered
            self.broken = self.broken or len(buffered) > MAX_EVENT_BYTES
            return b""
        self.partial = buffered[end:]
        if self.broken:
            return b""
        new_events = [event for event in _events(buffered[:end]) if self._is_new(event)]
        return b"".join(new_events)

    def completes_event(self, data: bytes) -> bool:
        """Tell whether an event ends in the data, were it fed now."""
        return _last_boundary(self.partial + data) > 0

    def discard_partial(self) -> None:
        """Forget the event that the former run left unfinished."""
        self.partial = b""

    def _is_new(self, event: bytes) -> bool:
        if self.broken:
            return False
        number = _event_id(event)
        if number is None:
            # A comment or a preamble has no id and cannot be a repeat.
            return True
        if self.last_id is not None and number <= self.last_id:
            return False
        self.last_id = number
        self.event_count += 1
        return True


def _last_boundary(data: bytes) -> int:
    lf = data.rfind(b"\n\n")
    crlf = data.rfind(b"\r\n\r\n")
    return max(lf + 2 if lf >= 0 else 0, crlf + 4 if crlf >= 0 else 0)


def _events(data: bytes) -> list[bytes]:
    events = []
    start = 0
    while start < len(data):
        lf = data.find(b"\n\n", start)
        crlf = data.find(b"\r\n\r\n", start)
        ends = [
            position
            for position in (lf + 2 if lf >= 0 else 0, crlf + 4 if crlf >= 0 else 0)
            if position
        ]
        end = min(ends, default=len(data))
        events.append(data[start:end])
        start = end
    return events


def _event_id(event: bytes) -> int | None:
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        if name == ID_FIELD and value.strip().isdigit():
            return int(value.strip())
    return None
