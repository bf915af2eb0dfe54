"""Retry budget that all daemons share without coordinating each retry."""

from __future__ import annotations

import copy
from collections import deque

import attrs

from agaterail.limits import TokenBucket

# The fixed allowance of a window, of which shares move between daemons. Together the
# daemons hold at most the first fraction at its start, and gain the second one in it.
# What is left covers daemons that use the same share for a moment.
FIXED_BURST_FRACTION = 0.5
FIXED_REFILL_FRACTION = 0.4
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
    The platform assigns these so that the shares of all holders sum to one. A new share
    fills from nothing, as its former holder may just have spent its part.

    Attributes
    ----------
    share
        Share of the fleet's partitions as of the last assignment.
    valid_until
        Time from which the share may belong to another daemon.
    unused
        Fixed part of a service that has had no retries.
    fixed
        Fixed part of each service that has had retries.
    proportional
        Times of the retries in the window, and how much of each the proportional
        allowance covered.
    """

    def __init__(self, limits: RetryBudgetLimits) -> None:
        self.limits = limits
        self.share = 0.0
        self.valid_until = float("-inf")
        self.unused = TokenBucket(0.0, 0.0, 0.0)
        self.fixed: dict[str, TokenBucket] = {}
        self.requests: dict[str, deque[float]] = {}
        self.proportional: dict[str, deque[tuple[float, float]]] = {}

    def set_share(self, share: float, valid_until: float, now: float) -> None:
        """Set this daemon's share of the fixed allowance.

        Parameters
        ----------
        valid_until
            Time from which the share may belong to another daemon.
        """
        if now >= self.valid_until:
            self._forfeit(now)
        self.share, self.valid_until = share, valid_until
        burst = self.limits.extra * FIXED_BURST_FRACTION * share
        rate = self.limits.extra * FIXED_REFILL_FRACTION * share / self.limits.window_s
        for bucket in (self.unused, *self.fixed.values()):
            bucket.set_rate(rate, now, burst)

    def give_up_share(self, now: float) -> None:
        """Give up the share of the fixed allowance."""
        self._forfeit(now)
        self.share = 0.0

    def record_request(self, service: str, now: float) -> None:
        """Count a request from a caller."""
        requests = self.requests.setdefault(service, deque())
        requests.append(now)
        self._expire(service, now)

    def remaining(self, service: str, now: float) -> float:
        """Return the retries that remain now."""
        return self._proportional_left(service, now) + self._fixed_left(service, now)

    def try_consume(self, service: str, now: float) -> bool:
        """Consume one retry and return whether one was available."""
        if self.remaining(service, now) < 1.0:
            return False
        covered = min(1.0, self._proportional_left(service, now))
        self.proportional[service].append((now, covered))
        if covered < 1.0:
            bucket = self.fixed.setdefault(service, copy.copy(self.unused))
            bucket.charge(1.0 - covered)
        return True

    def _proportional_left(self, service: str, now: float) -> float:
        self._expire(service, now)
        allowed = self.limits.ratio * RATIO_SAFETY_FACTOR * len(self.requests[service])
        return max(0.0, allowed - sum(part for _, part in self.proportional[service]))

    def _fixed_left(self, service: str, now: float) -> float:
        if now >= self.valid_until:
            return 0.0
        bucket = self.fixed.get(service, self.unused)
        bucket.refill(now)
        return bucket.level

    def _forfeit(self, now: float) -> None:
        """Drop what the share has gained, which its next holder gains as well."""
        self.valid_until = float("-inf")
        for bucket in (self.unused, *self.fixed.values()):
            bucket.set_rate(0.0, now, 0.0)

    def _expire(self, service: str, now: float) -> None:
        start = now - self.limits.window_s
        requests = self.requests.setdefault(service, deque())
        retries = self.proportional.setdefault(service, deque())
        while requests and requests[0] < start:
            requests.popleft()
        while retries and retries[0][0] < start:
            retries.popleft()
