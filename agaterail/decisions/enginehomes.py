"""Homes of prompts: the hash order of one service's engines for a shared part.

This answers a load on engines of different speeds. Daemons that agree on the engines and on
their paces have the same order without asking each other.
"""

from __future__ import annotations

import math
from hashlib import blake2b
from typing import TYPE_CHECKING

from agaterail.engineloads.figures import EngineFigures

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

HASH_BYTES = 6
HASH_RANGE = 2 ** (8 * HASH_BYTES)
# Rendezvous hashing weight of an engine on outdated weights, relative to 1. The first
# engines on the newest weights have cold caches: with all requests sent to them, most
# answers would be late, which costs more than answers from older weights.
OUTDATED_HASH_WEIGHT = 0.6
# A quick engine has no more memory for cached parts, and gets more of the prompts of other
# homes anyway since its costs are lower.
PACE_EXPONENT = 0.25
STEPS_PER_OCTAVE = 4
# Hysteresis, in steps: homes keep their place while estimates of paces vary.
MIN_CHANGE_STEPS = 1.5
REFRESH_S = 1.0
# Weight of one prompt in the estimate of how many have new shared parts.
SMOOTHING = 0.1
# Paces last longer than loads. Weights stay while the exchange of figures is interrupted.
KEEP_WEIGHTS_S = 30.0
# Bounds on the cache: orders, names in all of them, and characters of a key, which callers
# choose.
MAX_CACHED_ORDERS = 512
MAX_CACHED_NAMES = 50_000
MAX_CACHED_KEY = 128


def hash_number(key: str, name: str) -> float:
    """Return a number strictly between 0 and 1."""
    digest = blake2b(f"{key} {name}".encode(), digest_size=HASH_BYTES).digest()
    return (int.from_bytes(digest, "big") + 1) / (HASH_RANGE + 1)


def rank_names(
    key: str, names: Sequence[str], weight_of: Callable[[str], float] = lambda _name: 1.0
) -> list[str]:
    """Rank names by weighted rendezvous hashing, in the same order on every daemon."""
    keyed = blake2b(f"{key} ".encode(), digest_size=HASH_BYTES)

    def score(name: str) -> float:
        state = keyed.copy()
        state.update(name.encode())
        number = (int.from_bytes(state.digest(), "big") + 1) / (HASH_RANGE + 1)
        return -weight_of(name) / math.log(number)

    return sorted(names, key=score, reverse=True)


class EngineHomes:
    """Hash orders of one service's engines, weighted by their paces.

    Attributes
    ----------
    usual
        Mean figures of the engines; None if there are none.
    steps
        Speed of each engine that isn't of the usual one, in steps of a part of an octave.
    orders
        Cached orders by key and deprioritized engines.
    new_fractions
        Part of each route's prompts with shared parts that no prompt had before.
    """

    def __init__(self) -> None:
        self.usual: EngineFigures | None = None
        self.steps: dict[str, int] = {}
        self.names: tuple[str, ...] = ()
        self.places: dict[str, tuple[float, float]] = {}
        self.orders: dict[tuple[str, frozenset[str]], list[str]] = {}
        self.new_fractions: dict[str, float] = {}
        self.refreshed_at = -math.inf
        self.informed_at = -math.inf

    def is_due(self, now: float) -> bool:
        """Return whether engines and paces should be read again."""
        return not 0.0 <= now - self.refreshed_at < REFRESH_S

    def refresh(
        self,
        names: Sequence[str],
        figures_of: Callable[[str], EngineFigures | None],
        now: float,
    ) -> None:
        """Follow changes of the engines and of their paces."""
        self.refreshed_at = now
        found = {name: item for name in names if (item := figures_of(name)) is not None}
        self.usual = _mean(list(found.values()))
        if found:
            self.informed_at = now
        held = self.steps if now - self.informed_at <= KEEP_WEIGHTS_S else {}
        steps = {name: _step(held.get(name, 0), found.get(name)) for name in names}
        steps = {name: step for name, step in steps.items() if step}
        if steps != self.steps or tuple(names) != self.names:
            self.steps, self.names = steps, tuple(names)
            self.orders.clear()
            self.places.clear()

    def record_parts(self, route: str, is_new: bool) -> None:
        """Record whether a prompt of a route had shared parts that were not kept yet."""
        before = self.new_fractions.get(route, 0.0)
        self.new_fractions[route] = before + SMOOTHING * (is_new - before)

    def weight(self, name: str) -> float:
        """Return an engine's weight in the hash."""
        return float(2.0 ** (PACE_EXPONENT * self.steps.get(name, 0) / STEPS_PER_OCTAVE))

    def speed(self, name: str) -> float:
        """Return an engine's speed, relative to the median engine."""
        return float(2.0 ** (self.steps.get(name, 0) / STEPS_PER_OCTAVE))

    def place(self, name: str) -> tuple[float, float]:
        """Return a sort key by which quick engines come first, the same on every daemon."""
        if name not in self.places:
            self.places[name] = (-self.speed(name), hash_number("", name))
        return self.places[name]

    def order(self, key: str, names: Collection[str], outdated: frozenset[str]) -> list[str]:
        """Return engines in hash order.

        Parameters
        ----------
        names
            The engines to rank.
        outdated
            Those that rank lower since they have outdated weights.
        """
        known = self.orders.get((key, outdated))
        if known is None:
            known = rank_names(key, self.names, lambda name: self._share(name, outdated))
            self._remember((key, outdated), known)
        found = [name for name in known if name in names]
        if len(found) < len(names):
            return rank_names(key, list(names), lambda name: self._share(name, outdated))
        return found

    def _share(self, name: str, outdated: frozenset[str]) -> float:
        return self.weight(name) * (OUTDATED_HASH_WEIGHT if name in outdated else 1.0)

    def _remember(self, key: tuple[str, frozenset[str]], order: list[str]) -> None:
        if len(key[0]) > MAX_CACHED_KEY:
            return
        room = min(MAX_CACHED_ORDERS, MAX_CACHED_NAMES // max(1, len(order)))
        while len(self.orders) >= max(1, room):
            del self.orders[next(iter(self.orders))]
        self.orders[key] = order


def _step(held: int, figures: EngineFigures | None) -> int:
    """Return an engine's step, which is kept unless its pace has surely changed."""
    if figures is None:
        return held
    exact = -math.log2(figures.pace) * STEPS_PER_OCTAVE
    return held if abs(exact - held) <= MIN_CHANGE_STEPS else round(exact)


def _mean(figures: Sequence[EngineFigures]) -> EngineFigures | None:
    if not figures:
        return None
    count = len(figures)
    return EngineFigures(
        streams=sum(item.streams for item in figures) / count,
        prefill_tokens=sum(item.prefill_tokens for item in figures) / count,
        kv_tokens=sum(item.kv_tokens for item in figures) / count,
        age_s=max(item.age_s for item in figures),
    )
