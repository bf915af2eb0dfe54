"""Split event streams into complete events, without repeats across several runs."""

from __future__ import annotations

import attrs

# Without a limit, an event that never ends would be buffered without bound.
MAX_EVENT_BYTES = 1024 * 1024
ID_FIELD = b"id"


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
        Whether an event exceeded the size limit; nothing more is relayed then.
    event_count
        Number of events with an id that were relayed.
    """

    last_id: int | None = None
    partial: bytes = b""
    broken: bool = False
    event_count: int = 0

    def feed(self, data: bytes) -> bytes:
        """Return the complete new events after adding the data."""
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
        """Return whether the data would complete an event, without consuming it."""
        return _last_boundary(self.partial + data) > 0

    def discard_partial(self) -> None:
        """Discard the incomplete event of the previous run."""
        self.partial = b""

    def _is_new(self, event: bytes) -> bool:
        if self.broken:
            return False
        number = _event_id(event)
        if number is None:
            # A comment or preamble has no id, so it cannot be recognized as a repeat.
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
