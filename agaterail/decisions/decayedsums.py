"""Decayed sums over the prompts that one daemon saw lately, by kind."""

from __future__ import annotations

import math
from collections.abc import Hashable
from typing import Generic, TypeVar

import attrs

# Weights of samples grow instead of old sums being scaled down; rescaled above this.
MAX_WEIGHT = 1e6

K = TypeVar("K", bound=Hashable)


@attrs.define
class KindSums:
    """Weighted sums of a quantity over the prompts of one kind."""

    prompts: float = 0.0
    amount: float = 0.0
    squares: float = 0.0

    def add(self, amount: float, weight: float) -> None:
        """Add one prompt."""
        self.prompts += weight
        self.amount += weight * amount
        self.squares += weight * amount * amount

    def scale(self, factor: float) -> None:
        """Multiply all sums by a factor."""
        self.prompts *= factor
        self.amount *= factor
        self.squares *= factor


@attrs.define
class DecayedSums(Generic[K]):
    """Decayed sums of a quantity, such as tokens, over the prompts of each kind.

    Answers a load that differs from daemon to daemon: sums of a busy daemon follow
    within seconds, those of a daemon that sees few prompts reach back further, over
    at least ``min_prompts`` if these came within about ``max_span_s``.

    Attributes
    ----------
    span_s
        Time constant of the decay of a busy daemon's sums, in seconds.
    max_span_s
        Time constant at a daemon that sees few prompts, in seconds.
    max_kinds
        Kinds that are kept; beyond it, the half with the smallest sums is forgotten.
    weight
        Weight of a prompt that is recorded now.
    total
        Sums over all prompts.
    mean_age_s
        Weighted mean age of the recorded prompts at the latest call, in seconds.
    """

    span_s: float
    min_prompts: float
    max_span_s: float
    max_kinds: int
    weight: float = 1.0
    total: KindSums = attrs.field(factory=KindSums)
    kinds: dict[K, KindSums] = attrs.field(factory=dict)
    mean_age_s: float = 0.0
    recorded_at: float = -math.inf

    @property
    def prompts(self) -> float:
        """Return how many recent prompts the sums amount to."""
        return self.total.prompts / self.weight

    def record(self, kind: K, amount: float, now: float) -> None:
        """Record one prompt."""
        self._decay(now)
        self.mean_age_s *= self.prompts / (self.prompts + 1.0)
        sums = self.kinds.get(kind)
        if sums is None:
            if len(self.kinds) >= self.max_kinds:
                self._forget_smallest()
            sums = self.kinds[kind] = KindSums()
        sums.add(amount, self.weight)
        self.total.add(amount, self.weight)

    def _decay(self, now: float) -> None:
        elapsed = max(0.0, now - self.recorded_at)
        self.recorded_at = max(now, self.recorded_at)
        before = self.prompts
        if before <= 0.0 or elapsed <= 0.0:
            return
        after = max(before * math.exp(-elapsed / self.span_s), min(before, self.min_prompts))
        after *= math.exp(-elapsed / self.max_span_s)
        if after * MAX_WEIGHT < before:
            self.clear()
            return
        self.weight *= before / after
        self.mean_age_s += elapsed
        if self.weight > MAX_WEIGHT:
            self._rescale()

    def mean(self, kind: K, default: float) -> float:
        """Return the mean of the quantity over the prompts of a kind."""
        sums = self.kinds.get(kind)
        return sums.amount / sums.prompts if sums is not None else default

    def clear(self) -> None:
        """Forget all prompts."""
        self.kinds.clear()
        self.total, self.weight, self.mean_age_s = KindSums(), 1.0, 0.0

    def _rescale(self) -> None:
        factor, self.weight = 1.0 / self.weight, 1.0
        for sums in (self.total, *self.kinds.values()):
            sums.scale(factor)

    def _forget_smallest(self) -> None:
        ordered = sorted(self.kinds.items(), key=lambda item: -item[1].amount)
        self.kinds = dict(ordered[: self.max_kinds // 2])
