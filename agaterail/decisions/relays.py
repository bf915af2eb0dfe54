"""Which daemons forward requests for one that has no path to a service.

Some random daemons are asked at once whether they reach the service, and the first that do
are kept, as peers are in "Peer NAT Proxies for Peer-to-Peer Games" (Seah et al.).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Sequence

ASKED_AT_ONCE = 5
KEPT = 3
REACHES_VALID_S = 1.5
# A daemon that cannot forward now may soon have a path or room again.
DENIAL_VALID_S = 1.0


@attrs.frozen
class Reach:
    """Which fraction of a service's targets a daemon said that it reaches, and when."""

    fraction: float
    at: float

    def is_valid(self, now: float) -> bool:
        """Return whether the answer is recent enough."""
        return now - self.at <= REACHES_VALID_S


@attrs.define
class RelayCandidates:
    """Answers of other daemons about one service.

    Attributes
    ----------
    reaches
        Last answer of each daemon that forwards to the service.
    denied_until
        Time until which each daemon that does not forward is not asked again.
    spared
        Daemons that are used only if no other one forwards.
    """

    reaches: dict[str, Reach] = attrs.field(factory=dict)
    denied_until: dict[str, float] = attrs.field(factory=dict)
    spared: frozenset[str] = frozenset()

    def record_reaches(self, address: str, fraction: float, now: float) -> None:
        """Record that a daemon forwards to the service."""
        self.denied_until.pop(address, None)
        self.reaches[address] = Reach(fraction, now)

    def record_forwarded(self, address: str, now: float) -> None:
        """Record that a daemon has forwarded a request to the service."""
        if address in self.reaches:
            self.reaches[address] = attrs.evolve(self.reaches[address], at=now)

    def record_denial(self, address: str, now: float, valid_s: float = DENIAL_VALID_S) -> None:
        """Record that a daemon does not forward to the service, or did not answer."""
        self.reaches.pop(address, None)
        self.denied_until[address] = now + valid_s

    def usable(
        self, own_fraction: float, now: float, excluded: Collection[str] = ()
    ) -> list[str]:
        """Return the daemons that reach most targets, and more than this one.

        Parameters
        ----------
        own_fraction
            Fraction of the targets that this daemon reaches itself.
        """
        found = {
            address: reach.fraction
            for address, reach in self.reaches.items()
            if reach.is_valid(now) and address not in excluded
        }
        most = max(found.values(), default=0.0)
        if most <= own_fraction < 1.0:
            return []
        best = [address for address, fraction in found.items() if fraction == most]
        return [address for address in best if address not in self.spared] or best

    def to_ask(
        self, own_fraction: float, known: Sequence[str], rng: random.Random, now: float
    ) -> list[str]:
        """Return the daemons to ask: those kept and, if these are few, random others."""
        self._expire(now)
        kept = self.usable(own_fraction, now)[:KEPT]
        return kept + self.others_to_ask(own_fraction, known, rng, now)

    def others_to_ask(
        self, own_fraction: float, known: Sequence[str], rng: random.Random, now: float
    ) -> list[str]:
        """Return random daemons to ask in addition to those kept, if these are few."""
        usable = self.usable(own_fraction, now)
        kept = sum(address not in self.spared for address in usable)
        if kept >= KEPT:
            return []
        others = [
            address
            for address in known
            if address not in self.reaches and address not in self.denied_until
        ]
        return rng.sample(others, min(ASKED_AT_ONCE - kept, len(others)))

    def _expire(self, now: float) -> None:
        self.reaches = {
            name: reach for name, reach in self.reaches.items() if reach.is_valid(now)
        }
        self.denied_until = {
            name: until for name, until in self.denied_until.items() if until > now
        }
