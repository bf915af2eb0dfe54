"""Which engine a prompt is sent to, by what it and the others lose there.

This answers a load on which long and short prompts meet at engines of different speeds, before
a fleet in which one daemon sees few of the requests.
"""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING

import attrs

from agaterail.engineloads.figures import EngineFigures

if TYPE_CHECKING:
    from collections.abc import Iterable

# Assumed prefill time of one token. It is within a factor of two for the engines in
# use, and placement depends only on the order of the costs.
PREFILL_MS_PER_TOKEN = 0.016
# Each request in decode slows down every step of the others slightly.
DECODE_SLOWDOWN_MS = 1.0
# Assumed time of a decode step, which delays a request that waits for a slot.
DECODE_MS_PER_TOKEN = 8.0
# Since the assumed prefill time may be half of the real one, reading counts as a stall of the
# running streams from half of their gap objective on.
STALL_FRACTION = 0.5
# Events of an answer of this many tokens are spread over several chunks of others' prompts.
LONG_ANSWER_TOKENS = 32
# Prompts have no memory of their own in the last part of the capacity: blocks are allocated
# whole, and answers grow beyond what was expected.
KV_FRACTION = 0.9
# A new connection takes a round trip and a handshake.
NEW_CONNECTION_MS = 1.5
# The waits that figures tell of last for about this long, so half of the difference between
# engines is gone after it.
FIGURES_HALF_LIFE_S = 0.7
# Engines of the hash order among which a prompt has the choice.
CHOICES = 3
# From this part of the objective on, the usual queue shows that all engines are crowded.
CROWDED_FRACTION = 0.25
# Engines among which a prompt has the choice then. With more of them, all daemons turn to
# the engines that were the least crowded some time ago, and others stand idle.
CROWDED_CHOICES = 2
# Engines that are looked at if a first token may be late at all before. Where all engines are
# overloaded, a choice must not take longer than usual.
MAX_CANDIDATES = 12
# What is read again also delays the prompts behind it.
READ_AGAIN_FACTOR = 2.0
# A first token has its full value up to the objective, so short waits cost little. Since the
# expected wait may be half of the real one, this holds only far below the objective.
UNNOTICED_FRACTION = 0.4
UNNOTICED_WEIGHT = 0.3
# From this part of the objective on, a first token may be late.
LATE_FRACTION = 0.5


@attrs.frozen(kw_only=True)
class PromptLoad:
    """What a prompt asks of the engine that gets it.

    Attributes
    ----------
    shared_tokens
        Tokens of its shared parts.
    new_fraction
        Probability that its home has not cached these either, since no prompt had them.
    own_tokens
        Tokens that every engine has to read.
    output_tokens
        Expected tokens of the answer.
    gap_objective_s
        Longest pause in seconds with which a stream is on time; 0 if there is none.
    objective_s
        Seconds up to which the first token is on time; 0 if there is none.
    """

    shared_tokens: int = 0
    new_fraction: float = 0.0
    own_tokens: int = 0
    output_tokens: int = 0
    gap_objective_s: float = 0.0
    objective_s: float = 0.0


@attrs.frozen(kw_only=True)
class Candidate:
    """An engine that may get a prompt.

    Attributes
    ----------
    rank
        Position in the hash order of the prompt's shared part; 0 is its home.
    prefill_tokens, streams, kv_tokens
        This daemon's own prompt tokens without a first token, requests under way and tokens
        of memory there.
    figures
        What the other daemons have there; None if that is not known.
    slots, kv_capacity
        Requests and tokens that the engine runs at once; 0 if not known.
    domain_ms
        Cost of the way to its failure domain.
    is_connected
        Whether an idle connection to it is open.
    """

    rank: int = 0
    prefill_tokens: float = 0.0
    streams: float = 0.0
    kv_tokens: float = 0.0
    figures: EngineFigures | None = None
    slots: int = 0
    kv_capacity: int = 0
    domain_ms: float = 0.0
    is_connected: bool = False


@attrs.frozen(kw_only=True)
class PlacementCost:
    """Expected cost of one engine, by cause, in milliseconds.

    Attributes
    ----------
    wait_ms
        Prompts that are read before.
    reading_ms
        Reading of the prompt itself.
    stall_ms
        Pauses of running streams beyond their objective.
    memory_ms
        Reading again of requests that are preempted.
    slots_ms
        Wait for a slot.
    distance_ms
        Way to the engine.
    queue_ms
        Expected wait behind other prompts and steps, of which ``wait_ms`` is the cost.
    first_token_ms
        Expected time to the first token. Neither is part of the sum.
    """

    wait_ms: float = 0.0
    reading_ms: float = 0.0
    stall_ms: float = 0.0
    memory_ms: float = 0.0
    slots_ms: float = 0.0
    distance_ms: float = 0.0
    queue_ms: float = 0.0
    first_token_ms: float = 0.0

    @property
    def total_ms(self) -> float:
        """Return the sum of all parts."""
        return (
            self.wait_ms
            + self.reading_ms
            + self.stall_ms
            + self.memory_ms
            + self.slots_ms
            + self.distance_ms
        )

    def summary(self) -> dict[str, int]:
        """Return the parts that are at least 1 ms, for a log line."""
        parts = attrs.asdict(self).items()
        return {name: round(value) for name, value in parts if value >= 1.0}


def choose_candidate(
    prompt: PromptLoad, candidates: Iterable[Candidate], usual: EngineFigures
) -> tuple[int, PlacementCost]:
    """Return the index of the cheapest of the first candidates, and its cost.

    More of them are looked at only while a prompt would be late at all before, and fewer
    while all engines are crowded. All daemons have the same figures, so a choice among all
    engines would send every prompt to the one that was idle when these were gathered.

    Parameters
    ----------
    candidates
        Engines in the hash order of the prompt's shared part; at least one.
    usual
        Mean figures of the service's engines, which stand for figures that are missing.
    """
    best_index, best = -1, PlacementCost(wait_ms=math.inf)
    most = CROWDED_CHOICES if is_crowded(prompt, usual) else MAX_CANDIDATES
    for index, candidate in enumerate(itertools.islice(candidates, most)):
        if index and index % CHOICES == 0 and not _is_late(prompt, best):
            break
        cost = expected_cost(prompt, candidate, usual)
        if cost.total_ms < best.total_ms:
            best_index, best = index, cost
    return best_index, best


def is_crowded(prompt: PromptLoad, usual: EngineFigures) -> bool:
    """Return whether the usual queue is a notable part of a prompt's objective.

    Then no engine is free for long, and leaving an engine for another one gains little.
    """
    allowed_ms = prompt.objective_s * 1e3 * CROWDED_FRACTION
    ahead_ms = usual.prefill_tokens * PREFILL_MS_PER_TOKEN * usual.pace
    return 0.0 < allowed_ms < _queue_ms(ahead_ms, usual.streams)


def expected_cost(
    prompt: PromptLoad, candidate: Candidate, usual: EngineFigures
) -> PlacementCost:
    """Return the expected cost of sending a prompt to an engine."""
    figures = aged(candidate.figures, usual)
    ms_per_token = PREFILL_MS_PER_TOKEN * figures.pace
    streams = figures.streams + candidate.streams
    ahead_ms = (figures.prefill_tokens + candidate.prefill_tokens) * ms_per_token
    queue_ms = _queue_ms(ahead_ms, streams)
    missed = prompt.shared_tokens * (1.0 if candidate.rank else prompt.new_fraction)
    reading_ms = (prompt.own_tokens + missed) * ms_per_token
    kv_tokens = figures.kv_tokens + candidate.kv_tokens
    needed = prompt.shared_tokens + prompt.own_tokens + prompt.output_tokens
    return PlacementCost(
        wait_ms=_wait_ms(prompt, queue_ms),
        reading_ms=reading_ms + missed * PREFILL_MS_PER_TOKEN * (READ_AGAIN_FACTOR - 1.0),
        stall_ms=_stall_ms(prompt, streams, ahead_ms, reading_ms),
        memory_ms=_preempted(candidate, streams, kv_tokens, needed)
        * ms_per_token
        * READ_AGAIN_FACTOR,
        slots_ms=_slots_ms(prompt, candidate, streams, figures.pace),
        distance_ms=candidate.domain_ms + NEW_CONNECTION_MS * (not candidate.is_connected),
        queue_ms=queue_ms,
        first_token_ms=queue_ms + reading_ms,
    )


def aged(figures: EngineFigures | None, usual: EngineFigures) -> EngineFigures:
    """Return the figures to expect by now: the older, the nearer to the usual ones."""
    if figures is None:
        return usual
    weight = 0.5 ** (figures.age_s / FIGURES_HALF_LIFE_S)
    rest = 1.0 - weight
    return EngineFigures(
        streams=figures.streams * weight + usual.streams * rest,
        prefill_tokens=figures.prefill_tokens * weight + usual.prefill_tokens * rest,
        kv_tokens=figures.kv_tokens * weight + usual.kv_tokens * rest,
        pace=figures.pace,
        age_s=figures.age_s,
    )


def _queue_ms(ahead_ms: float, streams: float) -> float:
    """Return the wait behind prompts that are read before and behind running streams."""
    return ahead_ms + streams * DECODE_SLOWDOWN_MS


def _is_late(prompt: PromptLoad, cost: PlacementCost) -> bool:
    """Return whether a first token may come after its objective."""
    late_ms = prompt.objective_s * 1e3 * LATE_FRACTION or math.inf
    return cost.first_token_ms + cost.slots_ms > late_ms


def _wait_ms(prompt: PromptLoad, wait_ms: float) -> float:
    """Return the cost of a wait, most of which callers do not notice at first."""
    free_ms = prompt.objective_s * 1e3 * UNNOTICED_FRACTION
    return wait_ms - min(wait_ms, free_ms) * (1.0 - UNNOTICED_WEIGHT)


def _stall_ms(prompt: PromptLoad, streams: float, ahead_ms: float, reading_ms: float) -> float:
    """Return by how much streams pause longer than they may, summed over them.

    Chunks of the prompts that an engine reads come between the decode steps of its streams.
    """
    allowed_ms = prompt.gap_objective_s * 1e3 * STALL_FRACTION
    if not allowed_ms:
        return 0.0
    before_ms = max(0.0, ahead_ms - allowed_ms)
    added_ms = max(0.0, ahead_ms + reading_ms - allowed_ms) - before_ms
    exposure = min(1.0, prompt.output_tokens / LONG_ANSWER_TOKENS)
    return streams * added_ms + exposure * before_ms


def _preempted(candidate: Candidate, streams: float, kv_tokens: float, needed: float) -> float:
    """Return the tokens that are read again since memory has run out."""
    room = candidate.kv_capacity * KV_FRACTION - kv_tokens
    if not candidate.kv_capacity or needed <= room or streams < 1.0:
        return 0.0
    return max(needed - room, kv_tokens / streams)


def _slots_ms(prompt: PromptLoad, candidate: Candidate, streams: float, pace: float) -> float:
    """Return the wait for a slot behind answers as long as the prompt's own."""
    if not candidate.slots or streams < candidate.slots:
        return 0.0
    waiting = streams + 1.0 - candidate.slots
    answer_ms = max(1, prompt.output_tokens) * DECODE_MS_PER_TOKEN * pace
    return waiting / candidate.slots * answer_ms
