"""Shares of workspaces in the load that is admitted of one urgency."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from agaterail.decisions.decayedsums import KindSums

# Halvings of the interval in which the level of equal shares lies, before interpolation.
LEVEL_STEPS = 6
# Two prompts of one workspace within seconds are chance. The sum of more prompts is sure
# but for this number of them.
PROMPTS_BY_CHANCE = 2.25


@attrs.frozen
class WorkspaceDemand:
    """What one workspace asks for, in tokens.

    Attributes
    ----------
    tokens
        Tokens that it offered lately.
    sure_tokens
        The part of them that is not explained by chance, since few prompts were seen.
    lowest
        Least part of its load that is admitted.
    """

    tokens: float
    sure_tokens: float
    lowest: float

    @classmethod
    def from_sums(cls, load: KindSums, lowest: float) -> WorkspaceDemand:
        """Return the demand of a workspace of which some prompts were seen."""
        # Prompts of one size that would have the same variance of the sum.
        prompts = load.amount * load.amount / load.squares
        sure = max(0.0, 1.0 - PROMPTS_BY_CHANCE / prompts)
        return cls(load.amount, sure * load.amount, lowest)

    def admitted(self, level: float) -> float:
        """Return the part admitted with at most ``level`` of the sure tokens."""
        if self.sure_tokens <= level:
            return 1.0
        return max(self.lowest, (self.tokens - self.sure_tokens + level) / self.tokens)


def share_refusals(part: float, demands: Mapping[str, WorkspaceDemand]) -> dict[str, float]:
    """Return refusal probabilities by workspace that together refuse a part of the load.

    Answers a workspace that asks for many times the others' load: shares are max-min
    fair over tokens. Who asks for more than an equal share is refused more, down to its
    lowest admission. With few prompts seen, all are treated alike.

    Parameters
    ----------
    part
        Part of the load that is refused.
    """
    wanted = (1.0 - part) * sum(item.tokens for item in demands.values())
    above = [item for item in demands.values() if item.sure_tokens > 0.0]
    others = sum(item.tokens for item in demands.values() if item.sure_tokens <= 0.0)

    def admitted_at(level: float) -> float:
        return others + sum(item.tokens * item.admitted(level) for item in above)

    level, factor = 0.0, 1.0
    least = admitted_at(0.0)
    if least > wanted:
        # Even without the excess there is too much: all are admitted less often.
        floor = sum(item.tokens * item.lowest for item in demands.values())
        factor = 0.0 if least <= floor else max(0.0, (wanted - floor) / (least - floor))
    else:
        level = _find_level(admitted_at, wanted, demands)
    return {
        name: 1.0 - (item.lowest + factor * (item.admitted(level) - item.lowest))
        for name, item in demands.items()
    }


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
    below, above = admitted_at(low), admitted_at(high)
    if above <= below:
        return low
    return low + (high - low) * min(1.0, (wanted - below) / (above - below))
