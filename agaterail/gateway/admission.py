"""Whether a request can still be served in time, and when to come back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agaterail.gateway.placement import PREFILL_MS_PER_TOKEN

if TYPE_CHECKING:
    from collections.abc import Sequence

    from agaterail.gateway.targets import Target

# Callers heed a hint of up to a third of the time that they have left.
RETRY_FRACTION = 0.3
MAX_RETRY_AFTER_S = 1.0
# A shortage of engines lasts for seconds, whatever part of the prompts is refused: a
# caller that comes back sooner meets it again.
MAX_OVERLOAD_RETRY_AFTER_S = 5.0
# Hints are spread over half of their length, so that callers who were refused
# together do not return together.
RETRY_JITTER = 0.5


def expected_wait_s(target: Target, engines: Sequence[Target], daemons: float) -> float:
    """Return the expected wait for the prompts that an engine has before it, in seconds.

    Of the other daemons' prompts only their sum can be guessed: each has about
    as many outstanding as this one, spread over all engines. That this one's
    own happen to lie at one engine says nothing of theirs; multiplied by the
    number of daemons, a single long prompt would look like a queue of seconds.
    """
    serving = [item for item in engines if item.registration.ready] or [target]
    mean = sum(item.prefill_tokens for item in serving) / len(serving)
    tokens = target.prefill_tokens + mean * max(0.0, daemons - 1.0)
    return tokens * PREFILL_MS_PER_TOKEN * 1e-3


def would_miss_deadline(wait_s: float, left_s: float) -> bool:
    """Tell whether the first token would come after the caller has left.

    Such a request is refused at once: its caller is told when to come back
    instead of waiting for nothing, and the prompt that an engine would read in
    vain is spared to those behind it. It answers loads of several seconds'
    worth of prompts per engine; up to there lateness is better than a refusal.
    """
    return wait_s >= left_s


def retry_after_s(left_s: float, number: float, overloaded: bool = False) -> float:
    """Return when a refused caller should come back, in seconds.

    Parameters
    ----------
    left_s
        Seconds that the caller will still wait.
    number
        Random number from 0 to 1.
    overloaded
        It was refused because the engines have more prompts than they can read.
    """
    longest = MAX_OVERLOAD_RETRY_AFTER_S if overloaded else MAX_RETRY_AFTER_S
    hint = min(longest, max(0.0, left_s) * RETRY_FRACTION)
    return hint * (1.0 - RETRY_JITTER * number)
