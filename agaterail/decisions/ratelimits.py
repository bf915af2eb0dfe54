"""Limits that targets name for the requests of all daemons together.

A daemon that heard a limit sends each request with a permit. One daemon per target, its
coordinator, grants permits at the rate of the limit (`PermitLedger`). Without an answer
of the coordinator, a daemon sends in slots that are rare enough for all daemons to send
in theirs (`PermitSlots`).
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from agaterail.limits import TokenBucket
from agaterail.util.backoff import backoff_s

if TYPE_CHECKING:
    from collections.abc import Collection

# Requests that may be granted at once. A larger bucket would also fill while a
# replacement grants the same permits.
BURST = 2.0
# Daemons may disagree on who grants permits. What a coordinator, its replacement and
# daemons without either send together stays below half as much again as a limit.
REPLACEMENT_FRACTION = 0.3
SLOT_FRACTION = 0.75
# Estimates of the fleet's size are too high by up to this factor.
FLEET_ESTIMATE_ERROR = 1.25
# A target that takes nothing can only be asked whether it takes requests again.
MIN_RATE_PER_S = 0.2
# A new account grants nothing for this long. Daemons take as long to learn that
# coordinators changed.
HANDOVER_PAUSE_S = 1.0
# The daemon that was replaced may have granted permits again after this time.
REPLACED_IDLE_S = 1.0
MAX_ACCOUNTS = 4096
# A permit is used within this time, or not at all.
PERMIT_VALID_S = 0.3
MIN_WAIT_S = 0.02
MAX_WAIT_S = 1.0
# Without an answer, a daemon sends nothing for this long: another coordinator takes over.
NO_ANSWER_S = 2.0
SLOT_S = 1.0


@attrs.frozen(kw_only=True)
class RateLimit:
    """A limit that a target names in its answers.

    Attributes
    ----------
    rate_per_s
        Requests per second from all daemons together.
    since
        Time at which this daemon first heard of a limit.
    heard_at
        Time at which the limit was last named.
    """

    rate_per_s: float
    since: float
    heard_at: float


@attrs.frozen
class PermitRequest:
    """A daemon's request for a permit.

    Attributes
    ----------
    rate_per_s
        Limit that the daemon heard.
    age_s
        Seconds since it heard it.
    """

    rate_per_s: float
    age_s: float


def updated_limit(
    known: RateLimit | None, named_per_s: float | None, sent_at: float, now: float
) -> RateLimit | None:
    """Return the limit in force after an answer that names a limit or none.

    Answers on different connections overtake each other. An answer without a limit
    therefore ends a limit only if its request was sent after the limit was last named.

    Parameters
    ----------
    named_per_s
        Limit that the answer names; None if it names none.
    sent_at
        Time at which the request of the answer was sent.
    """
    if named_per_s is not None:
        since = now if known is None else known.since
        return RateLimit(rate_per_s=named_per_s, since=since, heard_at=now)
    if known is not None and sent_at <= known.heard_at:
        return known
    return None


def granted_fraction(heard: float) -> float:
    """Return the fraction of a limit that a coordinator may grant.

    Parameters
    ----------
    heard
        Fraction of the fleet that takes it for a coordinator.
    """
    return min(1.0, heard * FLEET_ESTIMATE_ERROR)


class PermitLedger:
    """Permits that this daemon grants to all daemons for the limits of targets.

    A permit is for one request and is spent when it is granted, so that nothing needs to
    be reported or given back, and a daemon that dies with one costs one request.

    Attributes
    ----------
    accounts
        Accounts by the id of the target, in the order of their last use.
    """

    def __init__(self) -> None:
        self.accounts: dict[str, _Account] = {}

    def grant(
        self, target: str, demand: PermitRequest, fraction: float, replaces: bool, now: float
    ) -> float:
        """Grant one permit and return 0, or return the seconds until there is one.

        Parameters
        ----------
        fraction
            Fraction of the limit that this daemon may grant.
        replaces
            Whether another daemon grants these permits as far as it can be reached.
        """
        account = self.accounts.pop(target, None)
        if account is None or (replaces and now - account.used_at > REPLACED_IDLE_S):
            account = _Account(opened_at=now)
        self.accounts[target] = account
        if replaces:
            fraction *= REPLACEMENT_FRACTION
        if len(self.accounts) > MAX_ACCOUNTS:
            del self.accounts[next(iter(self.accounts))]
        return account.take(demand, fraction, now)

    def keep_only(self, targets: Collection[str]) -> None:
        """Drop the other accounts, which another daemon may have kept lately."""
        for name in self.accounts.keys() - set(targets):
            del self.accounts[name]


class _Account:
    """Bucket of the permits for one target."""

    def __init__(self, opened_at: float) -> None:
        self.used_at = opened_at
        # Another daemon may grant permits until it knows of this one.
        self.granting_at = opened_at + HANDOVER_PAUSE_S
        self.bucket = TokenBucket(MIN_RATE_PER_S, self.granting_at, BURST)
        self.bucket.level = 0.0
        self.known_at = float("-inf")
        self.rate_per_s = MIN_RATE_PER_S

    def take(self, demand: PermitRequest, fraction: float, now: float) -> float:
        self.used_at = now
        if now - demand.age_s > self.known_at:
            self.known_at = now - demand.age_s
            self.rate_per_s = max(MIN_RATE_PER_S, demand.rate_per_s)
        if now < self.granting_at:
            return self.granting_at - now
        rate = self.rate_per_s * fraction
        if rate != self.bucket.rate:
            self.bucket.set_rate(rate, now, BURST)
        self.bucket.refill(now)
        if self.bucket.level >= 1.0:
            self.bucket.charge(1.0)
            return 0.0
        return (1.0 - self.bucket.level) / rate


class TargetPermits:
    """One daemon's view of the permits for one target.

    Attributes
    ----------
    denied_until
        Time before which no permit is asked for.
    denials
        Number of consecutive denials. The pause after them grows, so that requests come
        to ask for permits for other targets, which may have some left.
    answered_at
        Time of the last answer of a coordinator.
    slots
        Times at which this daemon sends without a coordinator; None while there is one.
    source
        Who decided on the latest permit; empty before the first.
    """

    def __init__(self) -> None:
        self.denied_until = float("-inf")
        self.denials = 0
        self.answered_at = float("-inf")
        self.slots: PermitSlots | None = None
        self.source = ""

    def record_answer(self, wait_s: float, asked_at: float, now: float) -> bool:
        """Apply a coordinator's answer; return whether a request may be sent."""
        self.answered_at, self.slots = now, None
        if wait_s > 0.0:
            pause_s = backoff_s(self.denials, MIN_WAIT_S, MAX_WAIT_S)
            self.denials += 1
            self.deny(max(wait_s, pause_s), now)
            return False
        self.denials = 0
        return now - asked_at <= PERMIT_VALID_S

    def take_slot(self, limit: RateLimit, daemons: float, number: float, now: float) -> bool:
        """Return whether a request may be sent though no coordinator answers.

        Parameters
        ----------
        daemons
            Number of daemons in the fleet.
        number
            Random number from 0 to 1, which spreads the slots of the daemons.
        """
        if now - max(self.answered_at, limit.since) < NO_ANSWER_S:
            self.deny(MIN_WAIT_S, now)
            return False
        rate = max(MIN_RATE_PER_S, limit.rate_per_s) * SLOT_FRACTION
        period_s = max(1.0, daemons) / rate
        if self.slots is None:
            self.slots = PermitSlots(period_s, now + number * period_s)
        wait_s = self.slots.take(period_s, now)
        if wait_s > 0.0:
            self.deny(wait_s, now)
        return wait_s <= 0.0

    def deny(self, wait_s: float, now: float) -> None:
        """Ask for no permit for a while; a limit may rise meanwhile."""
        self.denied_until = now + min(MAX_WAIT_S, max(MIN_WAIT_S, wait_s))


class PermitSlots:
    """Regular times at which one daemon may send one request to a target.

    Buckets of equal shares would each hold a request, so that all daemons could send one
    at the same time. A slot that is not used lapses instead.

    Attributes
    ----------
    next_at
        Start of the next slot.
    """

    def __init__(self, period_s: float, next_at: float) -> None:
        self.period_s = period_s
        self.next_at = next_at

    def take(self, period_s: float, now: float) -> float:
        """Use the current slot and return 0, or return the seconds until the next."""
        if period_s != self.period_s:
            # Keep the slots of the daemons spread.
            self.next_at = now + (self.next_at - now) * period_s / self.period_s
            self.period_s = period_s
        if now < self.next_at:
            return self.next_at - now
        self.next_at += math.floor((now - self.next_at) / period_s) * period_s
        in_slot = now - self.next_at <= SLOT_S
        self.next_at += period_s
        return 0.0 if in_slot else self.next_at - now
