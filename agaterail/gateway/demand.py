"""Estimate of the engines needed for the offered prompts."""

from __future__ import annotations

from collections import deque

from agaterail.gateway.placement import PREFILL_MS_PER_TOKEN

# Long enough to average out bursts of single callers, short enough to detect an
# overload before the engines' queues exceed an objective.
WINDOW_S = 5.0


class Demand:
    """Prompt tokens offered to this daemon within a sliding window."""

    def __init__(self) -> None:
        self.offers: deque[tuple[float, int]] = deque()
        self.tokens = 0

    def record(self, tokens: int, now: float) -> None:
        """Record the prompt of a request."""
        if tokens:
            self.offers.append((now, tokens))
            self.tokens += tokens
        self._expire(now)

    def engines_needed(self, now: float) -> float:
        """Return the number of engines that would be busy with a cold cache."""
        self._expire(now)
        return self.tokens * PREFILL_MS_PER_TOKEN / (WINDOW_S * 1e3)

    def _expire(self, now: float) -> None:
        while self.offers and self.offers[0][0] < now - WINDOW_S:
            self.tokens -= self.offers.popleft()[1]
