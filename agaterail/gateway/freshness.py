"""How old a daemon's reading of the desired state is, and what it still allows."""

from __future__ import annotations

import attrs

# Part of the revocation bound that is given away: rounding of clocks and the
# time between the check and the first byte to the target. 4% of 5 s is 200 ms,
# ten times the longest pause of the event loop seen under load.
SAFETY_MARGIN = 0.04


@attrs.define
class Freshness:
    """Age of the newest reading that was confirmed by the platform's store.

    A key may be taken away at any moment. A request that its caller sent within
    the bound after the change may still run, a later one may not. The store's
    answers are linearizable: whatever was acknowledged before a read was sent
    is in its answer. So the age counts from the sending of the read, and a
    request is fine if it was here while that age was below the bound.

    Times are seconds of a clock that also counts while the host is suspended;
    a clock that stops would let a woken host accept keys for too long.

    Attributes
    ----------
    bound_s
        Seconds after which a key that was taken away must not be accepted.
    denial_bound_s
        Seconds after which an unknown key or route may merely be news that this
        daemon has not read yet, so that it is not denied for good.
    confirmed_at
        Time at which the newest answered read was sent; None before the first.
    """

    bound_s: float
    denial_bound_s: float
    confirmed_at: float | None = None

    def confirm(self, sent_at: float) -> None:
        """Note that a read sent at this time was answered."""
        if self.confirmed_at is None or sent_at > self.confirmed_at:
            self.confirmed_at = sent_at

    def age_s(self, now: float) -> float:
        """Return the age of the newest reading; infinite before the first."""
        return float("inf") if self.confirmed_at is None else now - self.confirmed_at

    def allows_keys(self, now: float) -> bool:
        """Tell whether a known key may be accepted."""
        return self.age_s(now) < self.bound_s * (1.0 - SAFETY_MARGIN)

    def allows_denial(self, now: float) -> bool:
        """Tell whether an unknown key or route may be called unknown for good."""
        return self.age_s(now) < self.denial_bound_s
