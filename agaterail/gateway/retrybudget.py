"""Budget of repeated sends that all daemons share without talking at each."""

from __future__ import annotations

from collections import deque

import attrs

# The window slides, requests are counted in whole windows and daemons' shares
# change hands: a share may be used up by two daemons within one window. Half
# of the allowance is kept back for that.
FIXED_SAFETY_FACTOR = 0.5
# Of the part that grows with traffic nothing is shared, but a request counted
# here may be seen at the target in the next window.
RATIO_SAFETY_FACTOR = 0.8


@attrs.frozen(kw_only=True)
class RetryBudgetLimits:
    """What all daemons together may send beyond the first time, per service.

    Attributes
    ----------
    ratio
        Repeats per request in a window.
    extra
        Repeats in a window beside these.
    window_s
        Length of the sliding window in seconds.
    """

    ratio: float
    extra: float
    window_s: float


class RetryBudget:
    """One daemon's part of the budget, by service.

    The part that is proportional to requests needs no agreement: each daemon
    counts its own requests. The fixed part is split by the share that this
    daemon holds of the fleet's partitions, a number that the platform hands
    out so that the shares of all holders sum to one.
    """

    def __init__(self, limits: RetryBudgetLimits) -> None:
        self.limits = limits
        self.share = 0.0
        self.requests: dict[str, deque[float]] = {}
        self.repeats: dict[str, deque[float]] = {}

    def note_request(self, service: str, now: float) -> None:
        """Count a caller's request."""
        held = self.requests.setdefault(service, deque())
        held.append(now)
        _expire(held, now - self.limits.window_s)

    def remaining(self, service: str, now: float) -> float:
        """Return the repeats that are left in the current window."""
        start = now - self.limits.window_s
        requests = self.requests.setdefault(service, deque())
        repeats = self.repeats.setdefault(service, deque())
        _expire(requests, start)
        _expire(repeats, start)
        proportional = self.limits.ratio * RATIO_SAFETY_FACTOR * len(requests)
        fixed = self.limits.extra * FIXED_SAFETY_FACTOR * self.share
        return proportional + fixed - len(repeats)

    def try_consume(self, service: str, now: float) -> bool:
        """Use one repeat, if there is one."""
        if self.remaining(service, now) < 1.0:
            return False
        self.repeats[service].append(now)
        return True


def _expire(times: deque[float], before: float) -> None:
    while times and times[0] < before:
        times.popleft()
