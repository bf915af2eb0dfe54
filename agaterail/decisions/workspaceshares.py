"""Shares of workspaces in the load that is admitted of one urgency."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from agaterail.decisions.offeredload import KindLoad

# Halvings of the interval in which the level of equal shares lies.
LEVEL_STEPS = 14


@attrs.frozen
class WorkspaceDemand:
    """What one workspace asks for, in tokens.

    Attributes
    ----------
    tokens
        Tokens that it offered lately.
    sure_tokens
        The part of them that is not explained by chance, since few prompts were seen.
    """

    tokens: float
    sure_tokens: float

    @classmethod
    def from_load(cls, load: KindLoad) -> WorkspaceDemand:
        """Return the demand of a workspace of which some prompts were seen."""
        noise = math.sqrt(load.squared_tokens)
        return cls(load.tokens, max(0.0, load.tokens - noise))

    def admitted(self, level: float, lowest: float) -> float:
        """Return the part admitted with at most ``level`` of the sure tokens."""
        if self.sure_tokens <= level:
            return 1.0
        return max(lowest, (self.tokens - self.sure_tokens + level) / self.tokens)


def share_refusals(
    part: float, demands: Mapping[str, WorkspaceDemand], total: float, lowest: float
) -> dict[str | None, float]:
    """Return refusal probabilities by workspace that together refuse a part of the load.

    Answers a workspace that asks for many times the others' load: shares are max-min
    fair over tokens. Who asks for more than an equal share is refused more, down to the
    lowest admission. With few prompts seen, all are treated alike. Workspaces that are
    not in the result belong to ``None``.

    Parameters
    ----------
    part
        Part of the load that is refused.
    demands
        Workspaces with the most tokens.
    total
        Tokens of all workspaces.
    lowest
        Least part of a workspace's load that is admitted.
    """
    wanted = (1.0 - part) * total
    others = max(0.0, total - sum(demand.tokens for demand in demands.values()))

    def admitted_at(level: float) -> float:
        known = (item.tokens * item.admitted(level, lowest) for item in demands.values())
        return others + sum(known)

    level, factor = 0.0, 1.0
    least = admitted_at(0.0)
    if least > wanted:
        # Even without the excess there is too much: all are admitted less often.
        floor = lowest * total
        factor = 0.0 if least <= floor else max(0.0, (wanted - floor) / (least - floor))
    else:
        level = _find_level(admitted_at, wanted, demands)
    refused: dict[str | None, float] = {
        name: 1.0 - (lowest + factor * (item.admitted(level, lowest) - lowest))
        for name, item in demands.items()
    }
    refused[None] = 1.0 - (lowest + factor * (1.0 - lowest))
    return refused


def _find_level(
    admitted_at: Callable[[float], float],
    wanted: float,
    demands: Mapping[str, WorkspaceDemand],
) -> float:
    low, high = 0.0, max((item.sure_tokens for item in demands.values()), default=0.0)
    for _ in range(LEVEL_STEPS):
        middle = 0.5 * (low + high)
        if admitted_at(middle) > wanted:
            high = middle
        else:
            low = middle
    return low
