"""Seeded request traces, which are the same for each policy."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator, Mapping, Sequence

import attrs

from standins.load import TOKEN_BYTES, Prompt

# A block of 64 tokens represents one of about 2,000 tokens. Prompts stay small
# enough for a load generator in Python, while the prefill of a block takes as
# long as that of 1,000 to 2,000 real tokens.
BLOCK_TOKENS = 64
BLOCK_PREFILL_MS = 50.0
WORKSPACES = 8


@attrs.frozen(kw_only=True)
class Arrival:
    """One request of a trace.

    Attributes
    ----------
    at_s
        Send time, in seconds after the start of the trace.
    daemon_selector
        Random number that selects the daemon, in place of the platform's load
        balancer.
    """

    at_s: float
    daemon_selector: int
    prompt: Prompt


@attrs.frozen(kw_only=True)
class Profile:
    """Parameters of one workload.

    Attributes
    ----------
    workspace_skew
        Exponent of the Zipf-like distribution of requests over the workspaces.
    prefix_skew
        Exponent of the Zipf-like distribution of a workspace's requests over its
        shared prefixes.
    prefixes
        Number of shared prefixes (customer histories, tariffs) per workspace.
    instruction_blocks, prefix_blocks
        Minimum and maximum number of blocks of a workspace's instructions and
        of a shared prefix.
    notes, note_tokens
        Number of callers per workspace with a short text of their own after the
        prefix (0 for none), and the number of tokens of this text.
    question_tokens
        Minimum and maximum number of tokens of a question; each question is
        asked once.
    rate_per_s
        Arrivals per second in the first half of the run.
    late_rate_per_s
        Arrivals per second in the second half of the run.
    shift
        Number of ranks by which the hot prefixes move at half time.
    deadline_ms
        Deadline for the first token.
    miss_weight
        Miss weight of the route, for the ``cost`` policy.
    """

    name: str
    workspace_skew: float
    prefix_skew: float
    prefixes: int
    instruction_blocks: tuple[float, float]
    prefix_blocks: tuple[float, float]
    notes: int = 0
    note_tokens: int = 0
    question_tokens: tuple[int, int]
    rate_per_s: float
    late_rate_per_s: float
    shift: int
    deadline_ms: int
    miss_weight: float = 3.0


CARONI = Profile(
    name="caroni",
    workspace_skew=1.0,
    prefix_skew=1.6,
    prefixes=8,
    instruction_blocks=(2.0, 4.0),
    prefix_blocks=(5.0, 12.0),
    question_tokens=(16, 40),
    rate_per_s=18.0,
    late_rate_per_s=18.0,
    shift=4,
    deadline_ms=12_000,
)
ISIKOVA = Profile(
    name="isikova",
    workspace_skew=0.8,
    prefix_skew=1.2,
    prefixes=6,
    instruction_blocks=(1.0, 2.0),
    prefix_blocks=(2.0, 4.0),
    notes=30,
    note_tokens=24,
    question_tokens=(8, 16),
    rate_per_s=28.0,
    late_rate_per_s=56.0,
    shift=3,
    deadline_ms=4_000,
)
PROFILES: Mapping[str, Profile] = {profile.name: profile for profile in (CARONI, ISIKOVA)}


class Trace:
    """Generator of one seeded trace; the same calls give the same arrivals."""

    def __init__(self, profile: Profile, seed: int) -> None:
        self.profile = profile
        self.random = random.Random(f"{profile.name}-{seed}")
        self.workspace_weights = _zipf(WORKSPACES, profile.workspace_skew)
        self.prefix_weights = _zipf(profile.prefixes, profile.prefix_skew)
        self.question_count = 0
        self.texts = [self._texts(workspace) for workspace in range(WORKSPACES)]

    def warm_up(self, count: int, rate_per_s: float) -> list[Arrival]:
        """Return arrivals at a constant rate, with the hot prefixes of the first half."""
        return list(
            self._poisson_arrivals(lambda _: rate_per_s, lambda _: 0, count / rate_per_s)
        )

    def arrivals(self, seconds: float) -> list[Arrival]:
        """Return the arrivals of the run; rate and hot prefixes change at half time."""
        half = seconds / 2
        profile = self.profile
        return list(
            self._poisson_arrivals(
                lambda at: profile.rate_per_s if at < half else profile.late_rate_per_s,
                lambda at: 0 if at < half else profile.shift,
                seconds,
            )
        )

    def _poisson_arrivals(
        self,
        rate_per_s: Callable[[float], float],
        shift: Callable[[float], int],
        seconds: float,
    ) -> Iterator[Arrival]:
        at = 0.0
        while True:
            at += self.random.expovariate(rate_per_s(at))
            if at >= seconds:
                return
            daemon_selector = self.random.randrange(1 << 16)
            yield Arrival(
                at_s=at, daemon_selector=daemon_selector, prompt=self._prompt(shift(at))
            )

    def _prompt(self, shift: int) -> Prompt:
        profile = self.profile
        workspace = _weighted_index(self.random, self.workspace_weights)
        rank = _weighted_index(self.random, self.prefix_weights)
        prefix = (rank + shift) % profile.prefixes
        instructions, prefixes, notes = self.texts[workspace]
        parts = [("system", instructions), ("user", prefixes[prefix])]
        if notes:
            parts.append(("user", notes[self.random.randrange(len(notes))]))
        self.question_count += 1
        question = _text(
            f"q{self.question_count}", self.random.randint(*profile.question_tokens)
        )
        parts.append(("user", question))
        messages = tuple({"role": role, "content": text} for role, text in parts)
        return Prompt(workspace=workspace, customer=prefix, messages=messages)

    def _texts(self, workspace: int) -> tuple[str, list[str], list[str]]:
        profile = self.profile
        instructions = _text(f"w{workspace}", self._random_tokens(profile.instruction_blocks))
        prefixes = [
            _text(f"w{workspace}p{number}", self._random_tokens(profile.prefix_blocks))
            for number in range(profile.prefixes)
        ]
        notes = [
            _text(f"w{workspace}n{number}", profile.note_tokens)
            for number in range(profile.notes)
        ]
        return instructions, prefixes, notes

    def _random_tokens(self, blocks: tuple[float, float]) -> int:
        return int(self.random.uniform(*blocks) * BLOCK_TOKENS)


def _zipf(count: int, exponent: float) -> list[float]:
    return [1.0 / (rank + 1) ** exponent for rank in range(count)]


def _weighted_index(rng: random.Random, weights: Sequence[float]) -> int:
    return rng.choices(range(len(weights)), weights)[0]


def _text(name: str, tokens: int) -> str:
    size = tokens * TOKEN_BYTES
    return ((name + " ") * (size // (len(name) + 1) + 1))[:size]
