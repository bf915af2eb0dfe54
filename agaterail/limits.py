"""Token buckets, and limits that are divided among the daemons in equal shares.

Each daemon computes its own share from the live daemons that it knows. While
the views of the daemons differ, the sum of the shares may be wrong: with n
daemons in one view and m in another, by a factor of at most
max(n, m) / min(n, m). This module reads no clock.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from agaterail.util import rendezvous

if TYPE_CHECKING:
    from collections.abc import Sequence

BURST_S = 2.0


class TokenBucket:
    """Token bucket whose level may become negative.

    Attributes
    ----------
    level
        Tokens left as of the last refill; negative after an overdraft.
    """

    def __init__(self, rate: float, now: float, burst: float | None = None) -> None:
        self.rate = rate
        self.burst = rate * BURST_S if burst is None else burst
        self.level = self.burst
        self.filled_at = now

    def set_rate(self, rate: float, now: float, burst: float | None = None) -> None:
        """Change the rate and keep the current level, up to the new burst size."""
        self.refill(now)
        self.rate = rate
        self.burst = rate * BURST_S if burst is None else burst
        self.level = min(self.level, self.burst)

    def take(self, amount: float, now: float) -> float:
        """Take tokens and return 0, or return the seconds to wait if there are none.

        The level may become negative by one request. Otherwise a request larger than
        the whole bucket would never be served.
        """
        self.refill(now)
        if self.level <= 0.0:
            return (1.0 - self.level) / self.rate
        self.level -= amount
        return 0.0

    def charge(self, amount: float) -> None:
        """Take tokens that are spent already; a negative amount returns some."""
        self.level = min(self.burst, self.level - amount)

    def refund(self, amount: float) -> None:
        """Return the tokens of a request that did not run."""
        self.charge(-amount)

    def refill(self, now: float) -> None:
        """Add the tokens of the time since the last refill."""
        self.level = min(self.burst, self.level + self.rate * (now - self.filled_at))
        self.filled_at = now


def concurrency_share(limit: int, key: bytes, own: str, members: Sequence[str]) -> int:
    """Return this daemon's share of a limit on concurrent requests.

    The shares add up to the limit; the remainder goes to the first daemons in
    the rendezvous order of the route. If the limit is below the number of
    daemons, each one gets a share of 1: callers are bound to a daemon by the
    load balancer, and a daemon without a share would refuse all their requests.
    """
    count = len(members)
    if own not in members or count < 2:
        return limit
    if limit < count:
        return 1
    quotient, remainder = divmod(limit, count)
    return quotient + (own in rendezvous.ranked(key, members, remainder))


def rate_share(rate: float, own: str, members: Sequence[str]) -> float:
    """Return this daemon's share of a rate limit."""
    return rate / len(members) if own in members else rate
