"""Policies that ignore engine caches, used as baselines in benchmarks."""

from __future__ import annotations

import itertools
import random
from typing import TYPE_CHECKING

from agaterail.policies import Decision, Placement, Policy
from agaterail.util import rendezvous

if TYPE_CHECKING:
    from collections.abc import Sequence

    from agaterail.application import Application
    from agaterail.targets import TargetState

BOUNDED_LOAD_FACTOR = 1.25


class RandomPolicy(Policy):
    """Chooses a target uniformly at random."""

    name = "random"

    def __init__(self, seed: int | None = None) -> None:
        self.random = random.Random(seed)

    def choose(self, placement: Placement, targets: Sequence[TargetState]) -> Decision | None:
        """Return a random target."""
        if not targets:
            return None
        return Decision(address=self.random.choice(targets).address, reason="random")


class RoundRobinPolicy(Policy):
    """Chooses the targets in turn."""

    name = "round_robin"

    def __init__(self) -> None:
        self.counter = itertools.count()

    def choose(self, placement: Placement, targets: Sequence[TargetState]) -> Decision | None:
        """Return the next target in turn."""
        if not targets:
            return None
        return Decision(
            address=targets[next(self.counter) % len(targets)].address, reason="round_robin"
        )


class LeastInFlightPolicy(Policy):
    """Chooses the target with the fewest requests in flight from this host."""

    name = "least_in_flight"

    def choose(self, placement: Placement, targets: Sequence[TargetState]) -> Decision | None:
        """Return the target with the fewest requests in flight."""
        if not targets:
            return None
        least = min(targets, key=lambda state: state.in_flight)
        return Decision(address=least.address, reason="least_in_flight")


class PureHashPolicy(Policy):
    """Chooses the first target in the rendezvous order of the prefix."""

    name = "pure_hash"

    def choose(self, placement: Placement, targets: Sequence[TargetState]) -> Decision | None:
        """Return the first target in rendezvous order."""
        addresses = [state.address for state in targets]
        chosen = rendezvous.owner(placement_key(placement), addresses)
        if chosen is None:
            return None
        return Decision(address=chosen, reason="pure_hash")


class BoundedLoadPolicy(Policy):
    """Rendezvous hashing with bounded loads.

    Skips targets whose load has reached ``BOUNDED_LOAD_FACTOR`` times the mean.
    """

    name = "bounded_load"

    def choose(self, placement: Placement, targets: Sequence[TargetState]) -> Decision | None:
        """Return the first target in rendezvous order whose load is below the bound."""
        if not targets:
            return None
        in_flight = {state.address: state.in_flight for state in targets}
        bound = BOUNDED_LOAD_FACTOR * (sum(in_flight.values()) + 1) / len(targets)
        order = rendezvous.ranked(placement_key(placement), list(in_flight), len(in_flight))
        for address in order:
            if in_flight[address] < bound:
                return Decision(address=address, reason="bounded_load")
        return Decision(address=order[0], reason="bounded_load")


def placement_key(placement: Placement) -> bytes:
    """Return the hash key for placing a request: its prefix, or else its workspace."""
    if placement.prefix is None:
        return placement.route.workspace.encode()
    return placement.prefix.placement_key


def setup(app: Application) -> None:
    """Register the policies."""
    app.add_policy(RandomPolicy())
    app.add_policy(RoundRobinPolicy())
    app.add_policy(LeastInFlightPolicy())
    app.add_policy(PureHashPolicy())
    app.add_policy(BoundedLoadPolicy())
