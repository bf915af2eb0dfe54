"""Which engines read long prompts and which ones write answers to short ones.

This answers a load of long prompts beside more urgent short ones. While an engine reads a long
prompt, the first tokens of others wait, and the running streams pause between their decode
steps. Engines that read long prompts leave the other engines to those that wait and stream.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol, TypeVar

import attrs

from agaterail.decisions.engineplacement import DECODE_MS_PER_TOKEN, PREFILL_MS_PER_TOKEN

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

# Part of the time for which engines of long prompts may read, by the assumed prefill time,
# which may be half of the real one. Their prompts wait longer the nearer it is to 1, and more
# engines are kept from the other prompts the lower it is.
READING_PART = 0.4
# Prompts of a route are long if they are this many times as long as those of another route of
# the service: reading one then takes as long as reading several of the others.
LONG_RATIO = 4.0
# Part of the engines that long prompts never get. Under more load, prompts are refused in
# order of urgency, and the long ones are the less urgent.
MIN_SHORT_PART = 0.25
# Part of the engines that is kept from long prompts at most.
MAX_SHORT_PART = 0.6
# Part of the slots that short prompts may fill at engines of their own. Their number varies.
FILLED_PART = 0.6
# Requests of the last seconds tell how the slots are shared.
HALF_LIFE_S = 5.0
# With fewer engines, each kind of prompt would have one or two and wait for these.
MIN_ENGINES = 8
# Weight of one prompt in the mean length of its route's prompts.
SMOOTHING = 0.05
# Prompts by which the mean length of a route is known.
MIN_PROMPTS = 4
MAX_ROUTES = 256


class Engine(Protocol):
    """An engine with an id."""

    @property
    def instance(self) -> str:
        """Return the id."""


Item = TypeVar("Item", bound=Engine)


@attrs.define
class _PromptLength:
    """Mean length of the prompts of one route, and their part in the use of slots.

    Attributes
    ----------
    tokens
        Mean length in tokens.
    urgency
        Priority of the route, 0 being the most urgent.
    prompts
        Number of prompts seen.
    slot_ms
        Decayed sum of the expected times in a slot, in milliseconds.
    at
        Time to which the sum is decayed.
    """

    tokens: float
    urgency: int
    prompts: int = 1
    slot_ms: float = 0.0
    at: float = -math.inf

    def add(self, tokens: int) -> None:
        self.prompts += 1
        self.tokens += max(SMOOTHING, 1.0 / self.prompts) * (tokens - self.tokens)

    def slot_ms_at(self, now: float) -> float:
        return self.slot_ms * 0.5 ** (max(0.0, now - self.at) / HALF_LIFE_S)

    def add_slot_ms(self, slot_ms: float, now: float) -> None:
        self.slot_ms = self.slot_ms_at(now) + slot_ms
        self.at = max(self.at, now)


class PromptLengths:
    """Lengths of the prompts of one service's routes."""

    def __init__(self) -> None:
        self.routes: dict[str, _PromptLength] = {}

    def record(
        self, route: str, tokens: int, urgency: int, output_tokens: int, now: float
    ) -> None:
        """Record a prompt.

        Parameters
        ----------
        tokens
            Length of the prompt.
        urgency
            Priority of the route, 0 being the most urgent.
        output_tokens
            Expected length of the answer.
        """
        length = self.routes.get(route)
        if length is None:
            if len(self.routes) >= MAX_ROUTES:
                self.routes.clear()
            length = self.routes[route] = _PromptLength(float(tokens), urgency)
        else:
            length.urgency = urgency
            length.add(tokens)
        slot_ms = tokens * PREFILL_MS_PER_TOKEN + output_tokens * DECODE_MS_PER_TOKEN
        length.add_slot_ms(slot_ms, now)

    def short_part(self, now: float) -> float:
        """Return the part of the used slots that short prompts use."""
        limit, short, total = self._limit(), 0.0, 0.0
        for item in self.routes.values():
            used_ms = item.slot_ms_at(now)
            total += used_ms
            if limit is None or item.tokens < limit:
                short += used_ms
        return short / total if total else 0.0

    def is_long(self, route: str) -> bool | None:
        """Return whether a route's prompts are long; None if engines are not divided.

        They are divided where some prompts are much longer than others, and none of the
        long ones is as urgent as a short one.
        """
        own, limit = self.routes.get(route), self._limit()
        return None if own is None or limit is None else own.tokens >= limit

    def _limit(self) -> float | None:
        """Return the mean length from which on a route's prompts are long."""
        known = [item for item in self.routes.values() if item.prompts >= MIN_PROMPTS]
        if len(known) < 2:
            return None
        lengths = [item.tokens for item in known]
        shortest, longest = max(1.0, min(lengths)), max(lengths)
        if longest < LONG_RATIO * shortest:
            return None
        limit = math.sqrt(shortest * longest)
        least_urgent = max(item.urgency for item in known if item.tokens < limit)
        if any(item.urgency <= least_urgent for item in known if item.tokens >= limit):
            return None
        return limit


def select_engines(
    ordered: Sequence[Item],
    reading: float,
    is_long: bool,
    short_engines: float = 0.0,
    capacity: Callable[[Item], float] = lambda _engine: 1.0,
) -> list[Item]:
    """Return the engines for long prompts, or those for the others.

    Long prompts have the first engines, as many as read them in part of their time. The
    others have the rest, at least a quarter, and more if their answers fill more slots.

    Parameters
    ----------
    ordered
        Engines in an order that all daemons share; the quickest first.
    reading
        Engines of usual speed that the prompts of the service keep busy reading.
    short_engines
        Engines whose slots the answers to short prompts fill.
    capacity
        Returns the prompts that an engine reads in the time in which a usual one reads one.
    """
    total = len(ordered)
    if total < MIN_ENGINES or reading <= 0.0:
        return list(ordered)
    kept = max(MIN_SHORT_PART * total, short_engines / FILLED_PART)
    most = total - math.ceil(min(MAX_SHORT_PART * total, kept))
    needed, count = reading / READING_PART, 0
    while count < most and needed > 0.0:
        needed -= capacity(ordered[count])
        count += 1
    count = max(count, MIN_ENGINES // 2)
    return list(ordered[:count] if is_long else ordered[count:])
