"""Assignment of engines to their home daemons.

Only the home of an engine subscribes to its cache events and load reports.
Daemons with different views of the members may temporarily disagree about a
home. The engine is then followed twice, or a query gets no answer; both are
harmless.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from agaterail.util import ring

if TYPE_CHECKING:
    from collections.abc import Iterable

# At the target size there are few engines per daemon, so a fast rebuild while
# many daemons restart matters more than an even distribution.
DIGESTS_PER_MEMBER = 3


class HomeMap:
    """Homes of engines by consistent hashing over the live daemons.

    Parameters
    ----------
    own_address
        Address of this daemon, which always counts as live.
    """

    def __init__(self, own_address: str) -> None:
        self.own_address = own_address
        self.members: tuple[str, ...] = (own_address,)
        self.ring = ring.HashRing(self.members, DIGESTS_PER_MEMBER)
        self.homes: dict[str, str] = {}

    def home_of(self, engine: str) -> str:
        """Return the address of an engine's home."""
        home = self.homes.get(engine)
        if home is None:
            position = self.ring.first_index(ring.hash_64(engine.encode()))
            home = self.homes[engine] = self.members[position]
        return home

    def is_own(self, engine: str) -> bool:
        """Return whether this daemon is the home of an engine."""
        return self.home_of(engine) == self.own_address

    def set_members(self, members: Iterable[str]) -> None:
        """Replace the live daemons and reassign the homes if they changed."""
        new_members = tuple(sorted({*members, self.own_address}))
        if new_members != self.members:
            self.members = new_members
            self.ring = ring.HashRing(new_members, DIGESTS_PER_MEMBER)
            self.homes.clear()

    def set_engines(self, engines: Iterable[str]) -> None:
        """Drop cached homes of engines that are no longer in the tables."""
        for engine in self.homes.keys() - set(engines):
            del self.homes[engine]
