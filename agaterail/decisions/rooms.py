"""Pace of the requests to brittle targets.

A brittle target fails if it has to turn away more than a few requests in a second. All
daemons together therefore pause after each refusal, and then send less than before.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from agaterail.limits import TokenBucket
from agaterail.util.slidingsums import SlidingSums

if TYPE_CHECKING:
    from collections.abc import Collection

# Fraction of the pace before a refusal that is granted after it.
DECREASE_FACTOR = 0.7
INCREASE_PER_S = 0.1
MIN_RATE_PER_S = 0.5
# A target that has not refused for this long has room for all requests.
CALM_S = 10.0
WINDOW_S = 1.0
BURST = 1.0
# Refusals of requests that were sent before the first of them was known.
SAME_REFUSAL_S = 0.05
# From the grant of a request to the report that it was refused. No more requests than the
# target may refuse are granted in this time.
FEEDBACK_S = 0.03
MIN_BEARABLE_PER_S = 0.5
MAX_ACCOUNTS = 4096


@attrs.define
class _Account:
    """Grants and refusals of one target."""

    grants: SlidingSums = attrs.field(factory=lambda: SlidingSums(WINDOW_S))
    refused_at: float = float("-inf")
    paused_until: float = float("-inf")
    rate_per_s: float = MIN_RATE_PER_S
    bucket: TokenBucket | None = None

    def is_calm(self, now: float) -> bool:
        return now - self.refused_at > CALM_S

    def allowed_per_s(self, now: float) -> float:
        return self.rate_per_s * (1.0 + INCREASE_PER_S) ** max(0.0, now - self.refused_at)

    def refuse(self, bearable_per_s: float, now: float) -> None:
        self.paused_until = max(self.paused_until, now + 1.0 / bearable_per_s)
        if now - self.refused_at > SAME_REFUSAL_S:
            self.grants.expire(now)
            pace = self.grants.count / WINDOW_S
            if not self.is_calm(now):
                pace = min(pace, self.allowed_per_s(now))
            self.rate_per_s = max(MIN_RATE_PER_S, DECREASE_FACTOR * pace)
            self.bucket = TokenBucket(self.rate_per_s, self.paused_until, BURST)
        self.refused_at = now

    def take(self, bearable_per_s: float, now: float) -> float:
        if now < self.paused_until:
            return self.paused_until - now
        if not self.is_calm(now) and self.bucket is not None:
            rate = self.allowed_per_s(now)
            self.bucket.set_rate(rate, now, BURST)
            self.bucket.refill(now)
            if self.bucket.level < 1.0:
                return (1.0 - self.bucket.level) / rate
            self.bucket.charge(1.0)
        self.paused_until = now + FEEDBACK_S / max(1.0, bearable_per_s)
        self.grants.add(0.0, 1, now)
        return 0.0


class RoomLedger:
    """Requests that may be sent to brittle targets, by what these have refused.

    Attributes
    ----------
    accounts
        Accounts by the id of the target, in the order of their last use.
    """

    def __init__(self) -> None:
        self.accounts: dict[str, _Account] = {}

    def refuse(self, target: str, bearable_per_s: float, now: float) -> None:
        """Record that a target has turned a request away.

        Parameters
        ----------
        bearable_per_s
            Refusals per second that the target bears.
        """
        self._account(target).refuse(max(MIN_BEARABLE_PER_S, bearable_per_s), now)

    def grant(self, target: str, bearable_per_s: float, now: float) -> float:
        """Grant one request and return 0, or return the seconds until there is room."""
        return self._account(target).take(bearable_per_s, now)

    def keep_only(self, targets: Collection[str]) -> None:
        """Drop the other accounts, which another daemon may have kept lately."""
        for name in self.accounts.keys() - set(targets):
            del self.accounts[name]

    def _account(self, target: str) -> _Account:
        account = self.accounts.pop(target, None) or _Account()
        self.accounts[target] = account
        if len(self.accounts) > MAX_ACCOUNTS:
            del self.accounts[next(iter(self.accounts))]
        return account
