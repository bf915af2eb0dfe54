"""Admission control: whether a request can meet its deadline, and retry hints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agaterail.decisions.engineplacement import PREFILL_MS_PER_TOKEN

if TYPE_CHECKING:
    from collections.abc import Sequence

    from agaterail.engineloads.figures import EngineFigures
    from agaterail.gateway.targets import Target

# Callers honor a retry hint of up to a third of their remaining time.
RETRY_FRACTION = 0.3
MAX_RETRY_AFTER_S = 1.0
# Engine overload lasts for seconds, whatever share of the prompts is refused. A caller
# that retries sooner is likely to be refused again.
MAX_OVERLOAD_RETRY_AFTER_S = 5.0
# Fraction of the hint that is randomized, so callers that were refused together do not
# retry together.
RETRY_JITTER = 0.5


def expected_wait_s(
    target: Target,
    engines: Sequence[Target],
    daemons: float,
    figures: EngineFigures | None = None,
) -> float:
    """Estimate the wait behind the prompts queued at an engine, in seconds.

    Figures of the engine tell what the other daemons have there. Without them, only
    the total of the other daemons' prompts can be estimated: each daemon is
    assumed to have as many outstanding as this one, spread over all engines. This
    daemon's own distribution over the engines says nothing about theirs. If the
    engine's own queue were multiplied by the number of daemons, a single long
    prompt would look like a queue of several seconds.
    """
    if figures is not None:
        queued = target.prefill_tokens + figures.prefill_tokens
        return queued * figures.pace * PREFILL_MS_PER_TOKEN * 1e-3
    serving = [item for item in engines if item.is_ready] or [target]
    mean = sum(item.prefill_tokens for item in serving) / len(serving)
    tokens = target.prefill_tokens + mean * max(0.0, daemons - 1.0)
    return tokens * PREFILL_MS_PER_TOKEN * 1e-3


def would_miss_deadline(wait_s: float, left_s: float) -> bool:
    """Return whether the first token would arrive after the caller's deadline.

    Such a request is refused immediately with a retry hint instead of waiting in
    vain, and the requests behind it do not wait for a prefill whose result is
    discarded. This takes effect only at several seconds' worth of queued prompts
    per engine; below that, a late answer is better than a refusal.
    """
    return wait_s >= left_s


def retry_after_s(
    left_s: float, number: float, overloaded: bool = False, earliest_s: float = 0.0
) -> float:
    """Return the retry hint for a refused caller, in seconds.

    Parameters
    ----------
    left_s
        Seconds until the caller's deadline.
    number
        Random number from 0 to 1.
    overloaded
        Whether the request was refused because the engines are overloaded.
    earliest_s
        Seconds until a target takes requests again; 0 if that is not known.
    """
    longest = MAX_OVERLOAD_RETRY_AFTER_S if overloaded else MAX_RETRY_AFTER_S
    hint = min(longest, max(0.0, left_s) * RETRY_FRACTION)
    return max(
        hint * (1.0 - RETRY_JITTER * number), earliest_s * (1.0 + RETRY_JITTER * number)
    )
