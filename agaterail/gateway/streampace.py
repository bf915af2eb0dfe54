"""Whether running streams progress fast enough to end within their time limit."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

from agaterail.util.slidingsums import SlidingSums

if TYPE_CHECKING:
    from agaterail.gateway.desired import Route

# Completed streams of a route from which the length of a long one is estimated.
MAX_LENGTHS = 256
MIN_LENGTHS = 20
# Middle of the longest tenth.
LONG_QUANTILE = 0.95
# Averaging window for the time between events, long enough for several events of each
# stream.
WINDOW_S = 1.0
# Fewer events say too little about the pace of the engines.
MIN_EVENTS = 10
# Lengths change slowly, so the quantile is not recomputed for every prompt.
QUANTILE_REFRESH_S = 1.0


@attrs.define
class _StreamLengths:
    """Number of events of the completed streams of one route."""

    route: Route
    counts: deque[int] = attrs.field(factory=lambda: deque(maxlen=MAX_LENGTHS))
    long: int | None = None
    computed_at: float = float("-inf")

    def long_count(self, now: float) -> int | None:
        """Return the events of a long stream; None until enough streams have completed."""
        if now - self.computed_at >= QUANTILE_REFRESH_S and len(self.counts) >= MIN_LENGTHS:
            ordered = sorted(self.counts)
            self.long = ordered[int(LONG_QUANTILE * (len(ordered) - 1))]
            self.computed_at = now
        return self.long


class StreamPace:
    """Pace of one service's running streams, compared with their time limits.

    Engines interleave the prefill of new prompts with the decode steps of running
    requests. When prompts arrive faster than they can be prefilled, first tokens stay
    fast while each decode step takes several times as long. The longest answers then
    hit their time limit and their work is lost, which the wait for first tokens does
    not show.
    """

    def __init__(self) -> None:
        self.lengths: dict[str, _StreamLengths] = {}
        self.recent = SlidingSums(WINDOW_S)

    def record(self, seconds: float, events: int, now: float) -> None:
        """Record events of a stream and the seconds since its previous ones."""
        self.recent.add(seconds, events, now)

    def record_end(self, route: Route, events: int) -> None:
        """Record the number of events of a completed stream."""
        lengths = self.lengths.get(route.name)
        if lengths is None or lengths.route is not route:
            counts = deque(maxlen=MAX_LENGTHS) if lengths is None else lengths.counts
            lengths = self.lengths[route.name] = _StreamLengths(route, counts)
        lengths.counts.append(events)

    def timeout_ratio(self, now: float) -> float:
        """Return the projected duration of a long stream relative to its time limit.

        The result is the highest ratio of all routes, or 0 if there is too little data.
        """
        self.recent.expire(now)
        if self.recent.count < MIN_EVENTS:
            return 0.0
        pace_s = self.recent.seconds / self.recent.count
        return max(
            (self._timeout_ratio(item, pace_s, now) for item in self.lengths.values()),
            default=0.0,
        )

    def _timeout_ratio(self, lengths: _StreamLengths, pace_s: float, now: float) -> float:
        long = lengths.long_count(now)
        return 0.0 if long is None else long * pace_s / lengths.route.timeout_s
