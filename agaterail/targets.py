"""Per-process state of each target: load, availability and weights."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from agaterail.util.backoff import backoff_s

if TYPE_CHECKING:
    from collections.abc import Iterable

    from agaterail.tables import Pool, TargetEntry

UNREACHABLE_PAUSE_S = 1.0
INITIAL_REFUSAL_PAUSE_S = 1.0
MAX_REFUSAL_PAUSE_S = 8.0


@attrs.define
class TargetState:
    """State of one target as seen by this host.

    Attributes
    ----------
    in_flight
        Number of requests from this process at the target.
    weights_version
        Weights reported by its last answer or its home; empty if unknown.
    leaving
        Whether the host list marks the target as leaving.
    unreachable_until, refusing_until
        Monotonic time in seconds until which the target gets no work.
    refusals
        Consecutive refusals; each doubles the next pause, up to a maximum.
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
        """Return whether the target may get new work."""
        return not self.leaving and now >= max(self.unreachable_until, self.refusing_until)


class TargetStateTable:
    """States of all targets in the tables, by address."""

    def __init__(self) -> None:
        self.states: dict[str, TargetState] = {}

    def state_of(self, entry: TargetEntry) -> TargetState:
        """Return the state of a target, creating it on first use."""
        state = self.states.get(entry.address)
        if state is None:
            state = self.states[entry.address] = TargetState(entry.address)
        state.domain = entry.domain
        return state

    def usable(
        self, pool: Pool, now: float, excluded: Iterable[str] = ()
    ) -> list[TargetState]:
        """Return the targets of a pool that may get new work, except excluded ones."""
        states = [self.state_of(entry) for entry in pool.targets]
        return [
            state for state in states if state.usable(now) and state.address not in excluded
        ]

    def mark_unreachable(self, address: str, now: float) -> None:
        """Send a target no work for ``UNREACHABLE_PAUSE_S`` after a failed connection."""
        state = self.states.get(address)
        if state is not None:
            state.unreachable_until = now + UNREACHABLE_PAUSE_S

    def mark_refusing(self, address: str, now: float) -> bool:
        """Pause a target that refused work; False if it is already paused.

        A refusal may have other causes than leaving, so the pause is temporary.
        Only the host list marks a target as leaving permanently.
        """
        state = self.states.get(address)
        if state is None or now < state.refusing_until:
            return False
        pause_s = backoff_s(state.refusals, INITIAL_REFUSAL_PAUSE_S, MAX_REFUSAL_PAUSE_S)
        state.refusals += 1
        state.refusing_until = now + pause_s
        return True

    def mark_serving(self, address: str) -> None:
        """Reset the refusal count of a target that accepted work."""
        state = self.states.get(address)
        if state is not None:
            state.refusals = 0

    def set_leaving(self, addresses: set[str]) -> list[str]:
        """Mark exactly these targets as leaving, and return the newly marked ones."""
        newly_leaving: list[str] = []
        for state in self.states.values():
            leaving = state.address in addresses
            if leaving and not state.leaving:
                newly_leaving.append(state.address)
            state.leaving = leaving
        return newly_leaving
