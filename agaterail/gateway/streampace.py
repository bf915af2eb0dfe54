"""Whether running streams go on fast enough to end within their time."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from agaterail.gateway.desired import Route

# Ended streams of a route by which the length of the longest is known.
MAX_LENGTHS = 256
MIN_LENGTHS = 20
# The middle of the longest tenth.
LONG_QUANTILE = 0.95
# Time between events is averaged over so long; several events of each stream.
WINDOW_S = 1.0
# Fewer events say little of the engines.
MIN_EVENTS = 10
# Lengths change slowly; sorting them for each prompt would be wasted.
QUANTILE_REFRESH_S = 1.0


@attrs.define
class _StreamLengths:
    """Events of the streams of one route that ended."""

    route: Route
    counts: deque[int] = attrs.field(factory=lambda: deque(maxlen=MAX_LENGTHS))
    long: int | None = None
    computed_at: float = float("-inf")

    def long_count(self, now: float) -> int | None:
        """Return the events of a long stream; None as long as too few have ended."""
        if now - self.computed_at >= QUANTILE_REFRESH_S and len(self.counts) >= MIN_LENGTHS:
            ordered = sorted(self.counts)
            self.long = ordered[int(LONG_QUANTILE * (len(ordered) - 1))]
            self.computed_at = now
        return self.long


class StreamPace:
    """Pace of one service's running streams against the time that long ones have.

    Engines read new prompts between the steps of running answers. Under more prompts
    than they can read, first tokens stay quick while each step takes several times as
    long, and the longest answers meet their time limit: their work is lost, and no
    wait for first tokens shows it.
    """

    def __init__(self) -> None:
        self.lengths: dict[str, _StreamLengths] = {}
        self.recent: deque[tuple[float, float, int]] = deque()
        self.seconds = 0.0
        self.events = 0

    def note(self, seconds: float, events: int, now: float) -> None:
        """Take in events of a stream that came some seconds after those before."""
        self.recent.append((now, seconds, events))
        self.seconds += seconds
        self.events += events
        self._expire(now)

    def note_end(self, route: Route, events: int) -> None:
        """Take in how many events a stream had at its end."""
        lengths = self.lengths.get(route.name)
        if lengths is None or lengths.route is not route:
            counts = deque(maxlen=MAX_LENGTHS) if lengths is None else lengths.counts
            lengths = self.lengths[route.name] = _StreamLengths(route, counts)
        lengths.counts.append(events)

    def timeout_ratio(self, now: float) -> float:
        """Return the part of its time that a long stream needs; 0 if it is not known."""
        self._expire(now)
        if self.events < MIN_EVENTS:
            return 0.0
        pace_s = self.seconds / self.events
        return max(
            (self._timeout_ratio(item, pace_s, now) for item in self.lengths.values()),
            default=0.0,
        )

    def _timeout_ratio(self, lengths: _StreamLengths, pace_s: float, now: float) -> float:
        long = lengths.long_count(now)
        return 0.0 if long is None else long * pace_s / lengths.route.timeout_s

    def _expire(self, now: float) -> None:
        while self.recent and self.recent[0][0] < now - WINDOW_S:
            _, seconds, events = self.recent.popleft()
            self.seconds -= seconds
            self.events -= events
        if not self.recent:
            self.seconds = 0.0
