"""The daemons of the fleet with their failure domains, as lookups found them."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

# Only some daemons hold partitions during a rebalance. One that is not found is kept for
# this long.
ABSENT_VALID_S = 10.0
TAG_BYTES = 4


@attrs.define
class FleetMembers:
    """Addresses and failure domains of the daemons.

    Attributes
    ----------
    domains
        Failure domain of each daemon by its address; empty if it names none.
    absent_since
        Time of the first lookup that did not find a daemon which an earlier one found.
    tag
        Text that differs between different contents.
    """

    domains: dict[str, str] = attrs.field(factory=dict)
    absent_since: dict[str, float] = attrs.field(factory=dict)
    tag: str = ""

    def update(self, found: Mapping[str, str], now: float) -> None:
        """Apply a lookup; one that found nobody changes nothing."""
        if not found:
            return
        for address in self.domains.keys() - found.keys():
            self.absent_since.setdefault(address, now)
        for address in found:
            self.absent_since.pop(address, None)
        self.domains.update(found)
        self._renew_tag()

    def expire(self, now: float) -> None:
        """Drop the daemons that have been absent for too long."""
        gone = [
            address
            for address, since in self.absent_since.items()
            if now - since > ABSENT_VALID_S
        ]
        for address in gone:
            del self.absent_since[address], self.domains[address]
        if gone:
            self._renew_tag()

    def _renew_tag(self) -> None:
        text = "\n".join(f"{name} {domain}" for name, domain in sorted(self.domains.items()))
        self.tag = blake2b(text.encode(), digest_size=TAG_BYTES).hexdigest()
