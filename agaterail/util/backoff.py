"""Exponential backoff."""

from __future__ import annotations

# Doublings after which any pause has reached its limit. Without a bound, the power of two
# of a failure that lasts for long exceeds the range of a float.
MAX_DOUBLINGS = 60


def backoff_s(failures_before: int, initial_s: float, longest_s: float) -> float:
    """Return a pause that doubles with each consecutive failure, in seconds.

    Parameters
    ----------
    failures_before
        Consecutive failures before this one.
    initial_s, longest_s
        Pause after the first failure, and upper bound.
    """
    return min(longest_s, initial_s * 2.0 ** min(failures_before, MAX_DOUBLINGS))
