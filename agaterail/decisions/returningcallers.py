"""Which requests come from callers that return after a refusal or a failure."""

from __future__ import annotations

from collections import deque

import attrs

# Time limits of a route by which its usual one is estimated.
MAX_LIMITS = 32
MIN_LIMITS = 8
# A quarter of the callers may have longer time limits than the usual one.
USUAL_QUANTILE = 0.75
# Callers honor retry hints of at least a seventh of their time. Time limits of one kind
# of caller are closer to each other than this.
RETURNED_FRACTION = 0.9
MAX_ROUTES = 256
# Above the first part of the load, the preference weakens, and at the second it ends:
# callers that repeat often would push aside those that ask for the first time.
FADE_FROM_PART = 1.0 / 3.0
FADE_TO_PART = 0.5


@attrs.define
class ReturningCallers:
    """Usual time limits of routes, by which returning callers are recognized.

    A caller has one time limit for all its tries, so what is left of it is shorter at
    each of them.
    """

    limits: dict[str, deque[float]] = attrs.field(factory=dict)

    def record(self, route: str, time_limit_s: float | None) -> bool:
        """Record a request's time limit; return whether its caller has returned."""
        if time_limit_s is None:
            return False
        limits = self.limits.get(route)
        if limits is None:
            if len(self.limits) >= MAX_ROUTES:
                self.limits.clear()
            limits = self.limits[route] = deque(maxlen=MAX_LIMITS)
        limits.append(time_limit_s)
        if len(limits) < MIN_LIMITS:
            return False
        usual = sorted(limits)[int(USUAL_QUANTILE * (len(limits) - 1))]
        return time_limit_s < RETURNED_FRACTION * usual


def prefer_returned(
    probability: float, returned_part: float, has_returned: bool, highest: float
) -> float:
    """Return the refusal probability of a request, by whether its caller has returned.

    Answers an overload that lasts longer than callers wait before they return: those
    that were refused once are refused last, and the mean stays as it is.

    Parameters
    ----------
    probability
        Mean refusal probability of the requests of its kind.
    returned_part
        Part of the load of its kind that comes from callers that have returned.
    highest
        Bound on the result for those that have not returned.
    """
    strength = (FADE_TO_PART - returned_part) / (FADE_TO_PART - FADE_FROM_PART)
    strength = min(1.0, max(0.0, strength))
    if strength <= 0.0 or returned_part <= 0.0 or probability >= highest:
        return probability
    first = min(highest, probability / (1.0 - returned_part))
    if not has_returned:
        return probability + strength * (first - probability)
    returned = max(0.0, (probability - (1.0 - returned_part) * first) / returned_part)
    return probability + strength * (returned - probability)
