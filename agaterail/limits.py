"""Limits of a route as shares of one daemon; no clock and no counter service.

Every daemon takes its share by itself from the live daemons that it knows. While
views differ the sum over all daemons may be off: with n daemons in one view and
m in another by at most the factor max(n, m) / min(n, m), until the views agree.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from agaterail.util import rendezvous

if TYPE_CHECKING:
    from collections.abc import Sequence

BURST_S = 2.0


class TokenBucket:
    """Tokens that come at a rate; the last request taken may leave a debt.

    A request larger than the whole bucket would otherwise never be served.
    """

    def __init__(self, rate: float, now: float) -> None:
        self.rate = rate
        self.tokens = rate * BURST_S
        self.filled_at = now

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate; what was spent stays spent."""
        self._refill(now)
        self.rate = rate
        self.tokens = min(self.tokens, rate * BURST_S)

    def take(self, amount: float, now: float) -> float:
        """Take tokens; returns 0, or the seconds to wait when there are none."""
        self._refill(now)
        if self.tokens <= 0.0:
            return (1.0 - self.tokens) / self.rate
        self.tokens -= amount
        return 0.0

    def refund(self, amount: float) -> None:
        """Return the tokens of a request that did not run."""
        self.tokens = min(self.rate * BURST_S, self.tokens + amount)

    def _refill(self, now: float) -> None:
        self.tokens = min(
            self.rate * BURST_S, self.tokens + self.rate * (now - self.filled_at)
        )
        self.filled_at = now


def concurrency_share(limit: int, key: bytes, own: str, members: Sequence[str]) -> int:
    """Return this daemon's part of a limit of concurrent requests.

    The parts add up to the limit, the remainder going to the first daemons in
    rendezvous order of the route. A limit below the number of daemons gives
    each of them one: a daemon with none would refuse what its callers, whom the
    balancer has bound to it, may well send.
    """
    count = len(members)
    if own not in members or count < 2:
        return limit
    if limit < count:
        return 1
    quotient, remainder = divmod(limit, count)
    return quotient + (own in rendezvous.ranked(key, members, remainder))


def rate_share(rate: float, own: str, members: Sequence[str]) -> float:
    """Return this daemon's part of a rate."""
    return rate / len(members) if own in members else rate
