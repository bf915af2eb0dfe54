"""What this process knows of each target."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from agaterail.tables import Pool, TargetEntry

UNREACHABLE_PAUSE_S = 1.0
INITIAL_REFUSAL_PAUSE_S = 1.0
MAX_REFUSAL_PAUSE_S = 8.0


@attrs.define
class TargetState:
    """State of one target as seen from this host.

    Attributes
    ----------
    in_flight
        Requests of this process at the target.
    weights_version
        Weights that its last answer or its home named; empty when not known.
    leaving
        The host list says that the target leaves.
    unreachable_until, refusing_until
        Monotonic seconds until which the target is not chosen.
    refusals
        Refusals in a row; each doubles the time for which it is left out.
    """

    address: str
    domain: str = ""
    in_flight: int = 0
    leaving: bool = False
    unreachable_until: float = 0.0
    refusing_until: float = 0.0
    refusals: int = 0
    weights_version: str = ""

    def usable(self, now: float) -> bool:
        """Tell whether new work may go to the target."""
        return not self.leaving and now >= max(self.unreachable_until, self.refusing_until)


class TargetStateTable:
    """States of all targets that the tables name."""

    def __init__(self) -> None:
        self.states: dict[str, TargetState] = {}

    def state_of(self, entry: TargetEntry) -> TargetState:
        """Return the state of a target, made on first use."""
        state = self.states.get(entry.address)
        if state is None:
            state = self.states[entry.address] = TargetState(entry.address)
        state.domain = entry.domain
        return state

    def usable(
        self, pool: Pool, now: float, excluded: Iterable[str] = ()
    ) -> list[TargetState]:
        """Return the targets of a pool that may get new work."""
        states = [self.state_of(entry) for entry in pool.targets]
        return [
            state for state in states if state.usable(now) and state.address not in excluded
        ]

    def mark_unreachable(self, address: str, now: float) -> None:
        """Leave a target out for a while after a failed connection."""
        state = self.states.get(address)
        if state is not None:
            state.unreachable_until = now + UNREACHABLE_PAUSE_S

    def mark_refusing(self, address: str, now: float) -> bool:
        """Leave a target out that refused work; False when it already is.

        One refusal may have another cause than leaving, so it counts for a
        while only; the host list alone marks a target for good.
        """
        state = self.states.get(address)
        if state is None or now < state.refusing_until:
            return False
        pause_s = min(MAX_REFUSAL_PAUSE_S, INITIAL_REFUSAL_PAUSE_S * 2.0**state.refusals)
        state.refusals += 1
        state.refusing_until = now + pause_s
        return True

    def mark_serving(self, address: str) -> None:
        """Forget the refusals of a target that took work."""
        state = self.states.get(address)
        if state is not None:
            state.refusals = 0

    def set_leaving(self, addresses: set[str]) -> list[str]:
        """Mark exactly these targets as leaving and return the newly marked."""
        newly_leaving: list[str] = []
        for state in self.states.values():
            leaving = state.address in addresses
            if leaving and not state.leaving:
                newly_leaving.append(state.address)
            state.leaving = leaving
        return newly_leaving
