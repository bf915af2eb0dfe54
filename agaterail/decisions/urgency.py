"""How the part of the load that must be refused is divided among urgencies."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

LOWEST_PRIORITY = 9
# By how much the order may raise the number of refused prompts, relative to refusing
# all alike. Small prompts make little room: many would be refused in place of one
# large, more urgent prompt.
MAX_EXTRA_REFUSALS = 0.25


def effective_priority(route_priority: int, workspace_priority: int | None) -> int:
    """Return the urgency of a request, from 0, the most urgent, to 9.

    Parameters
    ----------
    workspace_priority
        Overrides the route's priority; None keeps it.
    """
    priority = route_priority if workspace_priority is None else workspace_priority
    return max(0, min(LOWEST_PRIORITY, priority))


def rank_priorities(
    workspaces: Iterable[int | None], routes: Iterable[int]
) -> dict[tuple[int, int], int]:
    """Return priorities from 0 to 9 that also tell apart routes of one workspace priority.

    Answers a load of urgent and less urgent prompts of the same workspaces: by the
    workspace's priority alone, engines serve both in the order of their arrival.

    Parameters
    ----------
    workspaces
        Priorities of the workspaces; None where the route's holds.
    routes
        Priorities of the routes.

    Returns
    -------
    dict
        By effective priority and that of the route; empty if there are too many, or no
        workspace has a priority of its own.
    """
    own, routes = set(workspaces), set(routes)
    if own <= {None}:
        return {}
    pairs = {
        (effective_priority(route, workspace), effective_priority(route, None))
        for workspace in own
        for route in routes
    }
    if len(pairs) > LOWEST_PRIORITY + 1:
        return {}
    return {pair: rank for rank, pair in enumerate(sorted(pairs))}


@attrs.frozen
class UrgencyLoad:
    """Load offered lately by the prompts of one urgency.

    Attributes
    ----------
    prompts
        Part of all prompts of the service.
    tokens
        Part of all their tokens.
    """

    prompts: float
    tokens: float


def divide_refusals(part: float, loads: Sequence[UrgencyLoad], lowest: float) -> list[float]:
    """Divide the part of the load to be refused; return probabilities by urgency.

    Answers a load of several urgencies that the engines cannot bear. The least urgent
    prompts are refused first, the others only once these are refused as much as
    allowed. The tokens refused are those that one probability for all would refuse,
    and a more urgent prompt is never refused more often than a less urgent one.

    Parameters
    ----------
    part
        Part of the tokens that must be refused.
    loads
        Loads in order of urgency, the most urgent first.
    lowest
        Least admission of an urgency, relative to that of all prompts.
    """
    if len(loads) < 2 or part <= 0.0:
        return [part] * len(loads)
    ordered = _refuse_in_order(part, loads, lowest)
    total = sum(load.prompts * item for load, item in zip(loads, ordered, strict=True))
    excess, allowed = total - part, MAX_EXTRA_REFUSALS * part
    strength = 1.0 if excess <= allowed else allowed / excess
    return [part + strength * (item - part) for item in ordered]


def _refuse_in_order(part: float, loads: Sequence[UrgencyLoad], lowest: float) -> list[float]:
    for index in range(len(loads) - 1, -1, -1):
        admitted, admitted_below = _admit_partly(index, part, loads, lowest)
        if admitted >= admitted_below:
            break
    refused = [0.0] * index + [1.0 - admitted]
    refused += [1.0 - admitted_below] * (len(loads) - index - 1)
    return [min(1.0, max(0.0, item)) for item in refused]


def _admit_partly(
    index: int, part: float, loads: Sequence[UrgencyLoad], lowest: float
) -> tuple[float, float]:
    """Return how often one urgency and those below it are admitted.

    All above are admitted always, and those below as rarely as allowed, which depends on
    how often all prompts are.
    """
    own, above, below = loads[index], loads[:index], loads[index + 1 :]
    scale = 1.0 - lowest * sum(load.prompts for load in below)
    # Admission of those below: ``constant + slope * admission of this urgency``.
    constant = lowest * sum(load.prompts for load in above) / scale
    slope = lowest * own.prompts / scale
    tokens_below = sum(load.tokens for load in below)
    left = 1.0 - part - sum(load.tokens for load in above) - constant * tokens_below
    admitted = left / max(1e-12, own.tokens + slope * tokens_below)
    return admitted, constant + slope * admitted
