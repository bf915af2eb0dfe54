"""Which daemon is the home of which engine.

The home of an engine alone subscribes to its cache events and load. Daemons
whose views of the members differ may name different homes for a while; then an
engine is followed twice or a question finds no answer, and both are harmless.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from agaterail.util import mixing

if TYPE_CHECKING:
    from collections.abc import Iterable


class HomeMap:
    """Homes of engines by rendezvous hashing over the live daemons.

    Parameters
    ----------
    own_address
        This daemon; it always counts as live.
    """

    def __init__(self, own_address: str) -> None:
        self.own_address = own_address
        self.members: dict[str, int] = {own_address: _number(own_address)}
        self.homes: dict[str, tuple[int, str]] = {}

    def home_of(self, engine: str) -> str:
        """Return the address of an engine's home."""
        held = self.homes.get(engine)
        if held is None:
            held = self.homes[engine] = self._find(engine)
        return held[1]

    def is_own(self, engine: str) -> bool:
        """Tell whether this daemon is the home of an engine."""
        return self.home_of(engine) == self.own_address

    def set_members(self, members: Iterable[str]) -> None:
        """Change the live daemons; only engines whose home changes are ranked anew."""
        wanted = {*members, self.own_address}
        gone = self.members.keys() - wanted
        joined = {member: _number(member) for member in wanted - self.members.keys()}
        for member in gone:
            del self.members[member]
        self.members.update(joined)
        for engine, held in list(self.homes.items()):
            if held[1] in gone:
                del self.homes[engine]
            elif joined:
                self.homes[engine] = max(held, _best(engine, joined))

    def set_engines(self, engines: Iterable[str]) -> None:
        """Forget engines that no table names any more."""
        for engine in self.homes.keys() - set(engines):
            del self.homes[engine]

    def _find(self, engine: str) -> tuple[int, str]:
        return _best(engine, self.members)


def _best(engine: str, members: dict[str, int]) -> tuple[int, str]:
    number = _number(engine)
    return max(
        (mixing.pair_weight(number, member_number), member)
        for member, member_number in members.items()
    )


def _number(address: str) -> int:
    return mixing.number_of(address.encode())
