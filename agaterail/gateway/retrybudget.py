"""Retry budget that all daemons share without coordinating each retry."""

from __future__ import annotations

from collections import deque

import attrs

# The window slides, requests are counted in whole windows, and shares move between
# daemons, so two daemons may use the same share within one window. Half of the fixed
# allowance is reserved for this.
FIXED_SAFETY_FACTOR = 0.5
# The proportional allowance is not shared, but a request counted in this window may
# reach the target in the next one.
RATIO_SAFETY_FACTOR = 0.8


@attrs.frozen(kw_only=True)
class RetryBudgetLimits:
    """Retries that all daemons together may send, per service.

    Attributes
    ----------
    ratio
        Retries per request in a window.
    extra
        Additional retries in a window.
    window_s
        Length of the sliding window in seconds.
    """

    ratio: float
    extra: float
    window_s: float


class RetryBudget:
    """One daemon's part of the retry budget, by service.

    The proportional allowance needs no agreement, because each daemon counts its own
    requests. The fixed allowance is split by this daemon's share of the fleet's partitions.
    The platform assigns these so that the shares of all holders sum to one.
    """

    def __init__(self, limits: RetryBudgetLimits) -> None:
        self.limits = limits
        self.share = 0.0
        self.requests: dict[str, deque[float]] = {}
        self.retries: dict[str, deque[float]] = {}

    def record_request(self, service: str, now: float) -> None:
        """Count a request from a caller."""
        requests = self.requests.setdefault(service, deque())
        requests.append(now)
        _expire(requests, now - self.limits.window_s)

    def remaining(self, service: str, now: float) -> float:
        """Return the retries that remain in the current window."""
        start = now - self.limits.window_s
        requests = self.requests.setdefault(service, deque())
        retries = self.retries.setdefault(service, deque())
        _expire(requests, start)
        _expire(retries, start)
        proportional = self.limits.ratio * RATIO_SAFETY_FACTOR * len(requests)
        fixed = self.limits.extra * FIXED_SAFETY_FACTOR * self.share
        return proportional + fixed - len(retries)

    def try_consume(self, service: str, now: float) -> bool:
        """Consume one retry and return whether one was available."""
        if self.remaining(service, now) < 1.0:
            return False
        self.retries[service].append(now)
        return True


def _expire(times: deque[float], before: float) -> None:
    while times and times[0] < before:
        times.popleft()
