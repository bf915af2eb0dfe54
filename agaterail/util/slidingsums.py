"""Sums over a sliding window."""

from __future__ import annotations

from collections import deque


class SlidingSums:
    """Sums of seconds and of counts that were added within a window.

    Attributes
    ----------
    seconds, count
        The sums, as of the last call.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.entries: deque[tuple[float, float, int]] = deque()
        self.seconds = 0.0
        self.count = 0

    def add(self, seconds: float, count: int, now: float) -> None:
        """Add one entry."""
        self.entries.append((now, seconds, count))
        self.seconds += seconds
        self.count += count
        self.expire(now)

    def expire(self, now: float) -> None:
        """Remove the entries that have left the window."""
        while self.entries and self.entries[0][0] < now - self.window_s:
            _, seconds, count = self.entries.popleft()
            self.seconds -= seconds
            self.count -= count
        if not self.entries:
            # Rounding errors do not accumulate.
            self.seconds = 0.0
