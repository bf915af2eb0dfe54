"""Staleness of a daemon's desired state, and what it still permits."""

from __future__ import annotations

import attrs

# Fraction of the revocation bound kept in reserve for clock rounding and for the time
# between the check and the first byte to the target. 4% of 5 s is 200 ms, ten times the
# longest pause of the event loop under load.
SAFETY_MARGIN = 0.04


@attrs.define
class Freshness:
    """Age of the newest read that was confirmed by the platform's store.

    A key may be revoked at any time. A request that its caller sent within the bound after
    the revocation may still run; a later one may not. The store's reads are linearizable:
    an answer contains every write that was acknowledged before the read was sent. The age
    is therefore counted from when the read was sent, and a request is permitted if it
    arrived while the age was below the bound.

    Times are in seconds of a clock that also advances while the host is suspended. With a
    clock that stops, a resumed host would accept revoked keys for too long.

    Attributes
    ----------
    bound_s
        Seconds after which a revoked key must not be accepted.
    denial_bound_s
        Age of the last read, in seconds, from which an unknown key or route may be a
        recent addition and is not denied permanently.
    confirmed_at
        Time at which the newest answered read was sent; None before the first.
    """

    bound_s: float
    denial_bound_s: float
    confirmed_at: float | None = None

    def confirm(self, sent_at: float) -> None:
        """Record that a read sent at this time was answered."""
        if self.confirmed_at is None or sent_at > self.confirmed_at:
            self.confirmed_at = sent_at

    def age_s(self, now: float) -> float:
        """Return the age of the newest read; infinite before the first."""
        return float("inf") if self.confirmed_at is None else now - self.confirmed_at

    def allows_keys(self, now: float) -> bool:
        """Return whether a known key may be accepted."""
        return self.age_s(now) < self.bound_s * (1.0 - SAFETY_MARGIN)

    def allows_denial(self, now: float) -> bool:
        """Return whether an unknown key or route may be denied permanently."""
        return self.age_s(now) < self.denial_bound_s
