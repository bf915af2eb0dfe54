"""Seeded traces of arrivals: the same trace is sent under every policy."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator, Mapping, Sequence

import attrs

from standins.load import TOKEN_BYTES, Prompt

# A block of 64 tokens stands for one of about 2,000: prompts stay small enough
# for a generator in Python, while a block costs as much prefill as 1,000 to
# 2,000 real tokens.
BLOCK_TOKENS = 64
BLOCK_PREFILL_MS = 50.0
WORKSPACES = 8


@attrs.frozen(kw_only=True)
class Arrival:
    """One request of a trace.

    Attributes
    ----------
    at_s
        Second after the start of the trace at which it is sent.
    entry
        Number that selects the daemon, as the platform's balancer would.
    """

    at_s: float
    entry: int
    prompt: Prompt


@attrs.frozen(kw_only=True)
class Profile:
    """Shape of one workload.

    Attributes
    ----------
    large_share
        Exponent of the Zipf-like sizes of the workspaces.
    skew
        Exponent of the Zipf-like choice of a shared prefix in a workspace.
    prefixes
        Shared prefixes (customer histories, tariffs) in each workspace.
    instruction_blocks, prefix_blocks
        Least and most blocks of a workspace's instructions and of a prefix.
    notes, note_tokens
        Callers with a short text of their own after the prefix; 0 for none.
    question_tokens
        Least and most tokens of a question; each question is asked once.
    rate
        Arrivals per second in the first half.
    late_rate
        Arrivals per second in the second half.
    shift
        Ranks by which the hot prefixes move at half time.
    deadline_ms
        Deadline of the first token.
    miss_weight
        The route's setting for the ``cost`` policy.
    """

    name: str
    large_share: float
    skew: float
    prefixes: int
    instruction_blocks: tuple[float, float]
    prefix_blocks: tuple[float, float]
    notes: int = 0
    note_tokens: int = 0
    question_tokens: tuple[int, int]
    rate: float
    late_rate: float
    shift: int
    deadline_ms: int
    miss_weight: float = 3.0


CARONI = Profile(
    name="caroni",
    large_share=1.0,
    skew=1.6,
    prefixes=8,
    instruction_blocks=(2.0, 4.0),
    prefix_blocks=(5.0, 12.0),
    question_tokens=(16, 40),
    rate=18.0,
    late_rate=18.0,
    shift=4,
    deadline_ms=12_000,
)
ISIKOVA = Profile(
    name="isikova",
    large_share=0.8,
    skew=1.2,
    prefixes=6,
    instruction_blocks=(1.0, 2.0),
    prefix_blocks=(2.0, 4.0),
    notes=30,
    note_tokens=24,
    question_tokens=(8, 16),
    rate=28.0,
    late_rate=56.0,
    shift=3,
    deadline_ms=4_000,
)
PROFILES: Mapping[str, Profile] = {profile.name: profile for profile in (CARONI, ISIKOVA)}


class Trace:
    """Generator of one seeded trace; equal arguments give equal arrivals."""

    def __init__(self, profile: Profile, seed: int) -> None:
        self.profile = profile
        self.random = random.Random(f"{profile.name}-{seed}")
        self.workspace_weights = _zipf(WORKSPACES, profile.large_share)
        self.prefix_weights = _zipf(profile.prefixes, profile.skew)
        self.asked = 0
        self.texts = [self._texts(workspace) for workspace in range(WORKSPACES)]

    def warm_up(self, count: int, rate: float) -> list[Arrival]:
        """Return arrivals at a steady rate before the hot prefixes move."""
        return list(self._poisson(lambda _: rate, lambda _: 0, count / rate))

    def arrivals(self, seconds: float) -> list[Arrival]:
        """Return the measured arrivals; rate and hot set change at half time."""
        half = seconds / 2
        profile = self.profile
        return list(
            self._poisson(
                lambda at: profile.rate if at < half else profile.late_rate,
                lambda at: 0 if at < half else profile.shift,
                seconds,
            )
        )

    def _poisson(
        self, rate: Callable[[float], float], shift: Callable[[float], int], seconds: float
    ) -> Iterator[Arrival]:
        at = 0.0
        while True:
            at += self.random.expovariate(rate(at))
            if at >= seconds:
                return
            entry = self.random.randrange(1 << 16)
            yield Arrival(at_s=at, entry=entry, prompt=self._prompt(shift(at)))

    def _prompt(self, shift: int) -> Prompt:
        profile = self.profile
        workspace = _choose(self.random, self.workspace_weights)
        rank = _choose(self.random, self.prefix_weights)
        prefix = (rank + shift) % profile.prefixes
        instructions, prefixes, notes = self.texts[workspace]
        parts = [("system", instructions), ("user", prefixes[prefix])]
        if notes:
            parts.append(("user", notes[self.random.randrange(len(notes))]))
        self.asked += 1
        question = _text(f"q{self.asked}", self.random.randint(*profile.question_tokens))
        parts.append(("user", question))
        messages = tuple({"role": role, "content": text} for role, text in parts)
        return Prompt(workspace=workspace, customer=prefix, messages=messages)

    def _texts(self, workspace: int) -> tuple[str, list[str], list[str]]:
        profile = self.profile
        instructions = _text(f"w{workspace}", self._tokens(profile.instruction_blocks))
        prefixes = [
            _text(f"w{workspace}p{number}", self._tokens(profile.prefix_blocks))
            for number in range(profile.prefixes)
        ]
        notes = [
            _text(f"w{workspace}n{number}", profile.note_tokens)
            for number in range(profile.notes)
        ]
        return instructions, prefixes, notes

    def _tokens(self, blocks: tuple[float, float]) -> int:
        return int(self.random.uniform(*blocks) * BLOCK_TOKENS)


def _zipf(count: int, exponent: float) -> list[float]:
    return [1.0 / (rank + 1) ** exponent for rank in range(count)]


def _choose(generator: random.Random, weights: Sequence[float]) -> int:
    return generator.choices(range(len(weights)), weights)[0]


def _text(name: str, tokens: int) -> str:
    size = tokens * TOKEN_BYTES
    return ((name + " ") * (size // (len(name) + 1) + 1))[:size]
