"""A model of engines, daemons and callers whose prompts differ in urgency."""

from __future__ import annotations

import heapq
import itertools
import random

import attrs

from agaterail.decisions.refusalorder import OfferedPrompt
from agaterail.gateway.admission import retry_after_s
from agaterail.gateway.shedding import LoadShedder

READ_TOKENS_PER_S = 38_700.0
MEMORY_TOKENS = 92_470
EVENT_S = 0.02
# Callers abandon a stream that brings nothing for this long.
PATIENCE_S = 2.4
STEP_S = 0.01


@attrs.frozen
class Kind:
    """One kind of prompt; part of the tokens are shared and kept by the engines."""

    name: str
    urgency: int
    prompt_tokens: int
    read_tokens: int
    events: int
    objective_s: float
    time_limit_s: float


URGENT = Kind("urgent", 0, 826, 628, 58, 0.415, 15.6)
LARGE = Kind("large", 2, 9190, 2890, 10, 1.235, 5.1)


@attrs.define
class Counts:
    offered: int = 0
    served: int = 0
    on_time: int = 0
    refused: int = 0
    refused_again: int = 0

    def part(self) -> float:
        return self.served / max(1, self.offered)


@attrs.define(eq=False)
class Caller:
    kind: Kind
    workspace: int
    daemon: int
    came_at: float
    tries: int = 0
    waiting: object = None

    def key(self) -> tuple[str, int]:
        return self.kind.name, self.workspace


@attrs.define(eq=False)
class Engine:
    queue: list = attrs.field(factory=list)
    ends: list = attrs.field(factory=list)
    queued_tokens: float = 0.0
    held_tokens: int = 0
    free_at: float = 0.0


class PromptLoad:
    """Callers that return once, daemons that shed, and engines that serve the urgent first.

    Attributes
    ----------
    skew
        How much more of the large prompts some daemons get than others, from 0 to 1.
    own_urgency
        Priority of all workspaces; None if they have none.
    refusals
        Time, kind and number of the try of each refusal.
    """

    def __init__(
        self,
        daemons: int = 6,
        engines: int = 12,
        workspaces: int = 16,
        ordered: bool = True,
        skew: float = 0.0,
        seed: int = 11,
        own_urgency: int | None = None,
    ) -> None:
        self.random = random.Random(seed)
        self.ordered, self.skew, self.workspaces = ordered, skew, workspaces
        self.own_urgency = own_urgency
        self.now = 0.0
        self.shedders = [LoadShedder("s", 0.0) for _ in range(daemons)]
        self.engines = [Engine() for _ in range(engines)]
        self.returns: list = []
        self.numbers = itertools.count()
        self.counts: dict[tuple[str, int], Counts] = {}
        self.refusals: list[tuple[float, str, int]] = []

    def run(
        self,
        seconds: float,
        urgent: float = 100.0,
        large: float = 100.0,
        hot: float = 1.0,
        kind_of_hot: Kind = LARGE,
    ) -> None:
        """Offer prompts at rates per second; workspace 0 sends ``hot`` times its usual."""
        self.counts.clear()
        extra = (hot - 1.0) / self.workspaces
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for kind, rate in ((URGENT, urgent), (LARGE, large)):
                for _ in range(self._arrivals(rate * STEP_S)):
                    self._arrive(kind, self.random.randrange(self.workspaces))
                if kind is kind_of_hot:
                    for _ in range(self._arrivals(rate * extra * STEP_S)):
                        self._arrive(kind, 0)
            while self.returns and self.returns[0][0] <= self.now:
                self._try(heapq.heappop(self.returns)[2])
            for engine in self.engines:
                self._work(engine)

    def finish(self, seconds: float = 3.0) -> None:
        """Let the callers of the latest run end, with no new ones."""
        kept = dict(self.counts)
        self.run(seconds, 0.0, 0.0)
        for key, counts in kept.items():
            late = self.counts.get(key, Counts())
            counts.served += late.served
            counts.on_time += late.on_time
            counts.refused += late.refused
            counts.refused_again += late.refused_again
        self.counts = kept

    def of(self, kind: Kind, workspaces: range | None = None) -> Counts:
        """Return the sums of a kind of prompt."""
        total = Counts()
        for (name, workspace), counts in self.counts.items():
            if name == kind.name and (workspaces is None or workspace in workspaces):
                for field in attrs.fields(Counts):
                    value = getattr(total, field.name) + getattr(counts, field.name)
                    setattr(total, field.name, value)
        return total

    def fail_engines(self, part: float) -> None:
        """Take a part of the engines away; what they had is lost."""
        self.engines = self.engines[round(part * len(self.engines)) :]

    def _arrivals(self, mean: float) -> int:
        return int(mean) + (self.random.random() < mean % 1.0)

    def _arrive(self, kind: Kind, workspace: int) -> None:
        daemon = self.random.randrange(len(self.shedders))
        if kind is LARGE and self.random.random() < self.skew:
            daemon = self.random.randrange((len(self.shedders) + 3) // 4)
        caller = Caller(kind, workspace, daemon, self.now)
        self._count(caller).offered += 1
        self._try(caller)

    def _count(self, caller: Caller) -> Counts:
        return self.counts.setdefault(caller.key(), Counts())

    def _try(self, caller: Caller) -> None:
        kind, shedder = caller.kind, self.shedders[caller.daemon]
        caller.tries += 1
        left_s = kind.time_limit_s - (self.now - caller.came_at)
        offer = None
        if self.ordered:
            prompt = OfferedPrompt(
                urgency=kind.urgency if self.own_urgency is None else self.own_urgency,
                route_priority=kind.urgency,
                route=kind.name,
                workspace=str(caller.workspace),
                tokens=kind.prompt_tokens + kind.events,
                time_limit_s=left_s,
            )
            offer = shedder.order.offer(prompt, self.now)
        if shedder.should_refuse(self.random.random(), self.now, offer):
            self._refuse(caller, left_s)
            return
        caller.waiting = shedder.begin(kind.objective_s, self.now)
        engine = min(self.random.sample(self.engines, 2), key=lambda item: item.queued_tokens)
        engine.queued_tokens += kind.read_tokens
        item = (kind.urgency, next(self.numbers), self.now, caller)
        heapq.heappush(engine.queue, item)

    def _refuse(self, caller: Caller, left_s: float) -> None:
        self.refusals.append((self.now, caller.kind.name, caller.tries))
        if caller.tries > 1:
            self._count(caller).refused_again += 1
            return
        self._count(caller).refused += 1
        hint_s = retry_after_s(left_s, self.random.random(), overloaded=True)
        caller.daemon = self.random.randrange(len(self.shedders))
        heapq.heappush(self.returns, (self.now + hint_s, next(self.numbers), caller))

    def _work(self, engine: Engine) -> None:
        while engine.ends and engine.ends[0][0] <= self.now:
            engine.held_tokens -= heapq.heappop(engine.ends)[1]
        while engine.queue and engine.free_at <= self.now:
            _, _, sent_at, caller = engine.queue[0]
            kind, shedder = caller.kind, self.shedders[caller.daemon]
            tokens = kind.prompt_tokens + kind.events
            is_gone = self.now - sent_at > PATIENCE_S
            if not is_gone and engine.held_tokens + tokens > MEMORY_TOKENS:
                return
            heapq.heappop(engine.queue)
            engine.queued_tokens -= kind.read_tokens
            if is_gone:
                shedder.end(caller.waiting, self.now, first_token=False)
                continue
            engine.free_at = max(self.now, engine.free_at)
            engine.free_at += kind.read_tokens / READ_TOKENS_PER_S
            self._serve(engine, caller, tokens)

    def _serve(self, engine: Engine, caller: Caller, tokens: int) -> None:
        first_at = engine.free_at
        ends_at = first_at + caller.kind.events * EVENT_S
        engine.held_tokens += tokens
        heapq.heappush(engine.ends, (ends_at, tokens))
        self.shedders[caller.daemon].end(caller.waiting, first_at)
        if ends_at - caller.came_at <= caller.kind.time_limit_s:
            counts = self._count(caller)
            counts.served += 1
            counts.on_time += first_at - caller.came_at <= caller.kind.objective_s
