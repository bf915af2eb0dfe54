"""Engines that read prompts in chunks between decode steps, before a fleet of daemons."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import OrderedDict, deque

import attrs

from agaterail.engineloads.figures import EngineFigures, EngineLoads
from agaterail.gateway.desired import EngineTraits, RequestKind, Route
from agaterail.gateway.inbound import InboundRequest, PromptPart
from agaterail.gateway.placement import FleetView, PlacementRules, choose_engine
from tests.test_agaterail.test_gateway.test_targets import make_target

LATENCY_S = 0.15


@attrs.frozen(kw_only=True)
class EngineKind:
    """Engines of a service, and what its callers ask of them.

    Attributes
    ----------
    step_ms
        Time of a decode step.
    tokens_per_ms
        Prompt tokens that are read in a millisecond.
    chunk
        Prompt tokens that are read in a step at most.
    event_steps
        Decode steps of an event.
    gap_s
        Longest pause between events with which an answer is on time.
    paces
        Relative durations of everything, for one engine after the other.
    slots, kv_tokens
        Requests and tokens that an engine runs at once.
    objectives_s
        Seconds up to which the first tokens of long and short prompts are on time.
    output_tokens
        Tokens of the answers to long and to short prompts.
    """

    step_ms: float = 5.05
    tokens_per_ms: float = 40.0
    chunk: int = 4096
    event_steps: int = 6
    gap_s: float = 0.6
    paces: tuple[float, ...] = (0.55, 1.2, 1.2, 1.2)
    slots: int = 12
    kv_tokens: int = 86_000
    objectives_s: tuple[float, float] = (0.835, 1.215)
    output_tokens: tuple[int, int] = (9, 49)

    @property
    def traits(self) -> EngineTraits:
        """Return what daemons know of the engines."""
        return EngineTraits(
            slots=self.slots,
            kv_tokens=self.kv_tokens,
            kv_bytes_per_token=1.0,
            link_mbps=1.0,
        )


SLOW_ENGINES = EngineKind()
# Their chunks are too short for a pause that is too long, whatever they read.
QUICK_ENGINES = EngineKind(
    step_ms=4.84,
    tokens_per_ms=74.8,
    chunk=2048,
    event_steps=5,
    gap_s=0.3,
    paces=(1.0, 1.0, 1.3, 1.0),
    slots=16,
    kv_tokens=105_687,
    objectives_s=(0.5, 0.3),
    output_tokens=(52, 290),
)


@attrs.define(eq=False)
class Prompt:
    """A prompt and what became of it."""

    at: float
    inbound: InboundRequest
    objective_s: float
    daemon: int
    unread: int = 0
    first_at: float = 0.0
    first_step: int = 0
    gap_s: float = 0.0


@attrs.define(eq=False)
class Engine:
    """One engine: a step decodes a token of each stream and reads up to a chunk."""

    name: str
    kind: EngineKind
    pace: float
    waiting: deque[Prompt] = attrs.field(factory=deque)
    reading: deque[Prompt] = attrs.field(factory=deque)
    streams: list[tuple[int, int, Prompt]] = attrs.field(factory=list)
    cached: OrderedDict[str, int] = attrs.field(factory=OrderedDict)
    kv_used: int = 0
    step_ends: list[float] = attrs.field(factory=lambda: [0.0])
    is_busy: bool = False
    busy_s: float = 0.0
    missed_tokens: int = 0
    is_gone: bool = False

    def start_step(self, now: float) -> float | None:
        """Return the end of the next step; None if there is nothing to do."""
        self._admit()
        self.is_busy = bool(self.reading or self.streams)
        if not self.is_busy:
            return None
        left = self.kind.chunk
        for prompt in self.reading:
            read = min(left, prompt.unread)
            prompt.unread -= read
            left -= read
        seconds = self.pace * self._step_ms(self.kind.chunk - left) * 1e-3
        self.busy_s += seconds
        return now + seconds

    def end_step(self, now: float) -> tuple[list[Prompt], list[Prompt]]:
        """Return the prompts that have been read, and the answers that end."""
        self.step_ends.append(now)
        step, read, ended = len(self.step_ends) - 1, [], []
        while self.reading and not self.reading[0].unread:
            prompt = self.reading.popleft()
            prompt.first_at, prompt.first_step = now, step
            last = step + prompt.inbound.output_tokens
            heapq.heappush(self.streams, (last, id(prompt), prompt))
            read.append(prompt)
        while self.streams and self.streams[0][0] <= step:
            prompt = heapq.heappop(self.streams)[2]
            self.kv_used -= prompt.inbound.stated_tokens
            events = [*self.step_ends[prompt.first_step :: self.kind.event_steps], now]
            prompt.gap_s = max(after - at for at, after in itertools.pairwise(events))
            ended.append(prompt)
        return read, ended

    def _step_ms(self, read_tokens: int) -> float:
        return self.kind.step_ms + read_tokens / self.kind.tokens_per_ms

    def _admit(self) -> None:
        while self.waiting and len(self.streams) + len(self.reading) < self.kind.slots:
            prompt = self.waiting[0]
            if self.kv_used + prompt.inbound.stated_tokens > self.kind.kv_tokens:
                return
            self.reading.append(self.waiting.popleft())
            self.kv_used += prompt.inbound.stated_tokens
            shared, own = prompt.inbound.prompt
            prompt.unread = own.tokens
            if shared.name not in self.cached:
                prompt.unread += shared.tokens
                self.missed_tokens += shared.tokens
            self.cached[shared.name] = shared.tokens
            self.cached.move_to_end(shared.name)
            while (
                sum(self.cached.values()) + self.kv_used
                > self.kind.kv_tokens + self.kind.chunk
            ):
                self.cached.popitem(last=False)


class FleetLoads(EngineLoads):
    """Figures of one daemon: the fleet's sums of a while ago, less its own share."""

    def __init__(self, fleet: Fleet, daemon: int) -> None:
        self.fleet = fleet
        self.daemon = daemon

    def figures(self, instance: str) -> EngineFigures | None:
        """Return the figures of an engine."""
        known = self.fleet.known
        if known is None:
            return None
        at, totals, own = known
        streams, prefill_tokens, kv_tokens = totals[instance]
        mine = own.get((self.daemon, instance), (0, 0, 0))
        return EngineFigures(
            streams=streams - mine[0],
            prefill_tokens=prefill_tokens - mine[1],
            kv_tokens=kv_tokens - mine[2],
            pace=self.fleet.engines[instance].pace / max(self.fleet.kind.paces),
            age_s=self.fleet.now - at,
        )


@attrs.define(kw_only=True, eq=False, slots=False)
class Fleet:
    """Daemons before engines, with prompts of two kinds.

    Attributes
    ----------
    period_s
        Seconds between two gatherings of the loads; infinity for none.
    lost
        Part of the gatherings that fail.
    rate
        Prompts a second and engine.
    burst
        Factor by which they are more in the middle of the time.
    hot
        Part of the long prompts that have the same shared part, in the middle.
    gone_at
        Time at which a quarter of the engines is gone.
    """

    seed: int
    daemons: int
    kind: EngineKind = SLOW_ENGINES
    engine_count: int = 16
    seconds: float = 8.0
    period_s: float = 0.5
    lost: float = 0.0
    rate: float = 3.4
    burst: float = 1.0
    hot: float = 0.0
    gone_at: float = math.inf
    parts: int = 70
    now: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Make the engines, the daemons and the prompts."""
        self.random = random.Random(self.seed)
        names = [f"i-{number}" for number in range(self.engine_count)]
        paces = self.kind.paces
        self.engines = {
            name: Engine(name, self.kind, paces[n % len(paces)])
            for n, name in enumerate(names)
        }
        self.targets = [
            {name: make_target(name, weights={"m": 1}) for name in names}
            for _ in range(self.daemons)
        ]
        self.views = [
            FleetView(loads=FleetLoads(self, number), traits=self.kind.traits)
            for number in range(self.daemons)
        ]
        self.rules = PlacementRules(domain="a", version_s=15.0, daemons=self.daemons)
        self.known = None
        self.gathered = deque()
        self.prompts = list(self._prompts())
        self.play()

    @property
    def late(self) -> int:
        """Return the number of late first tokens."""
        return sum(item.first_at - item.at > item.objective_s for item in self.prompts)

    @property
    def paused(self) -> int:
        """Return the number of answers with too long a pause."""
        return sum(item.gap_s > self.kind.gap_s for item in self.prompts)

    @property
    def missed_tokens(self) -> int:
        """Return the tokens of shared parts that engines had to read."""
        return sum(engine.missed_tokens for engine in self.engines.values())

    @property
    def imbalance(self) -> float:
        """Return how busy the busiest engine was, relative to the mean."""
        busy = [engine.busy_s for engine in self.engines.values() if not engine.is_gone]
        return max(busy) * len(busy) / sum(busy)

    def _prompts(self):
        at, draw = 0.0, self.random
        popularity = [(rank + 3) ** -0.45 for rank in range(self.parts)]
        while at < self.seconds:
            is_middle = 0.4 < at / self.seconds < 0.7
            rate = self.rate * self.engine_count * (self.burst if is_middle else 1.0)
            at += draw.expovariate(rate)
            part = draw.choices(range(self.parts), popularity)[0]
            is_long = draw.random() < 0.55
            if is_long and is_middle and draw.random() < self.hot:
                part = 0
            shared = PromptPart(f"{is_long}-{part}", 6300 if is_long else 198)
            mean, top = (2890, 39_600) if is_long else (628, 5000)
            own = min(top, draw.lognormvariate(math.log(mean) - 0.5, 1.0))
            inbound = InboundRequest(
                method=b"POST",
                target=b"/",
                headers=[],
                model="m",
                prompt=(shared, PromptPart("own", int(own) + 1)),
                prompt_tokens=shared.tokens + int(own) + 1,
                output_tokens=self.kind.output_tokens[not is_long],
            )
            objective_s = self.kind.objectives_s[not is_long]
            yield Prompt(at, inbound, objective_s, draw.randrange(self.daemons))

    def play(self) -> None:
        """Play all prompts to their ends."""
        count = itertools.count()
        events = [(item.at, next(count), item) for item in self.prompts]
        if math.isfinite(self.period_s):
            times = (n * self.period_s for n in range(int(self.seconds / self.period_s)))
            events += [(at, next(count), None) for at in times]
        heapq.heapify(events)
        while events:
            self.now, _, item = heapq.heappop(events)
            if item is None:
                self._gather()
                continue
            engine = item
            if isinstance(item, Prompt):
                engine = self._send(item)
                if engine.is_busy:
                    continue
            else:
                read, ended = engine.end_step(self.now)
                for prompt in read:
                    self._count(prompt, engine, 0, -prompt.inbound.prompt_tokens)
                for prompt in ended:
                    self._count(prompt, engine, -1, 0)
            end = engine.start_step(self.now)
            if end is not None:
                heapq.heappush(events, (end, next(count), engine))

    def _send(self, prompt: Prompt) -> Engine:
        for engine in list(self.engines.values())[::4] if self.now >= self.gone_at else ():
            engine.is_gone = True
        while self.gathered and self.gathered[0][0] + LATENCY_S <= self.now:
            self.known = self.gathered.popleft()
        route = Route(
            name="r",
            host="h",
            path_prefix=b"/",
            kind=RequestKind.STREAM,
            shares=(),
            timeout_s=10.0,
            objective_s=prompt.objective_s,
            gap_objective_s=self.kind.gap_s,
        )
        gone = [engine.name for engine in self.engines.values() if engine.is_gone]
        view = attrs.evolve(self.views[prompt.daemon], route=route)
        if view.homes.is_due(self.now):
            view.homes.refresh(list(self.engines), view.loads.figures, self.now)
        targets = list(self.targets[prompt.daemon].values())
        choice = choose_engine(prompt.inbound, targets, gone, self.rules, None, self.now, view)
        engine = self.engines[choice.target.instance]
        engine.waiting.append(prompt)
        self._count(prompt, engine, 1, prompt.inbound.prompt_tokens)
        return engine

    def _count(self, prompt: Prompt, engine: Engine, streams: int, unread: int) -> None:
        target = self.targets[prompt.daemon][engine.name]
        target.in_flight += streams
        target.prefill_tokens += unread
        target.kv_tokens += streams * prompt.inbound.stated_tokens

    def _gather(self) -> None:
        totals = {name: [0, 0, 0] for name in self.engines}
        own = {}
        for number, targets in enumerate(self.targets):
            for target in targets.values():
                if target.in_flight:
                    held = (target.in_flight, target.prefill_tokens, target.kv_tokens)
                    own[number, target.instance] = held
                    total = totals[target.instance]
                    total[:] = [a + b for a, b in zip(total, held, strict=True)]
        if self.random.random() >= self.lost:
            self.gathered.append((self.now, totals, own))
