"""How many engines the prompts that callers send would need."""

from __future__ import annotations

from collections import deque

from agaterail.gateway.placement import PREFILL_MS_PER_TOKEN

# Long enough to even out bursts of single callers, short enough to see a flood
# before the engines' queues have grown past an objective.
WINDOW_S = 5.0


class Demand:
    """Prompt tokens offered to this daemon in a sliding window."""

    def __init__(self) -> None:
        self.offers: deque[tuple[float, int]] = deque()
        self.tokens = 0

    def note(self, tokens: int, now: float) -> None:
        """Take in a request's prompt."""
        if tokens:
            self.offers.append((now, tokens))
            self.tokens += tokens
        self._expire(now)

    def engines_needed(self, now: float) -> float:
        """Return the engines that would be busy if nothing were cached."""
        self._expire(now)
        return self.tokens * PREFILL_MS_PER_TOKEN / (WINDOW_S * 1e3)

    def _expire(self, now: float) -> None:
        while self.offers and self.offers[0][0] < now - WINDOW_S:
            self.tokens -= self.offers.popleft()[1]
