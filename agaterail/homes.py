"""Which daemon is the home of which engine.

The home of an engine alone subscribes to its cache events and load. Daemons
whose views of the members differ may name different homes for a while; then an
engine is followed twice or a question finds no answer, and both are harmless.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from agaterail.util import ring

if TYPE_CHECKING:
    from collections.abc import Iterable

# Engines are few beside the daemons at target size, so that an even spread
# matters less than a quick rebuild while many daemons restart.
DIGESTS_PER_MEMBER = 3


class HomeMap:
    """Homes of engines by consistent hashing over the live daemons.

    Parameters
    ----------
    own_address
        This daemon; it always counts as live.
    """

    def __init__(self, own_address: str) -> None:
        self.own_address = own_address
        self.members: tuple[str, ...] = (own_address,)
        self.ring = ring.Ring(self.members, DIGESTS_PER_MEMBER)
        self.homes: dict[str, str] = {}

    def home_of(self, engine: str) -> str:
        """Return the address of an engine's home."""
        home = self.homes.get(engine)
        if home is None:
            position = self.ring.first(ring.number_of(engine.encode()))
            home = self.homes[engine] = self.members[position]
        return home

    def is_own(self, engine: str) -> bool:
        """Tell whether this daemon is the home of an engine."""
        return self.home_of(engine) == self.own_address

    def set_members(self, members: Iterable[str]) -> None:
        """Change the live daemons."""
        new_members = tuple(sorted({*members, self.own_address}))
        if new_members != self.members:
            self.members = new_members
            self.ring = ring.Ring(new_members, DIGESTS_PER_MEMBER)
            self.homes.clear()

    def set_engines(self, engines: Iterable[str]) -> None:
        """Forget engines that no table names any more."""
        for engine in self.homes.keys() - set(engines):
            del self.homes[engine]
