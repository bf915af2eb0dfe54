"""A fleet of daemons on a manual clock that sends to brittle targets."""

from __future__ import annotations

import heapq
import itertools
import random

import attrs

from agaterail.decisions.rooms import RoomLedger

ASK_S = 0.002
SEND_S = 0.001
REPORT_S = 0.003
FALL_S = 3.0
WINDOW_S = 1.0
MAX_TRIES = 3


@attrs.define
class _Engine:
    name: str
    in_system: int = 0
    down_until: float = 0.0
    refusals: list[float] = attrs.field(factory=list)
    falls: int = 0


@attrs.define(slots=False)
class RoomFleet:
    """Daemons that ask one coordinator before each request to a brittle engine.

    Attributes
    ----------
    bearable
        Refusals in a second that an engine bears.
    room
        Requests that an engine runs or lets wait.
    service_s
        Seconds for which a request occupies one of the slots.
    paced
        Whether the daemons ask at all.
    """

    engines: int
    bearable: float
    offered_per_s: float
    slots: int = 8
    room: int = 12
    service_s: float = 0.2
    paced: bool = True
    seed: int = 1

    def __attrs_post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.ledger = RoomLedger()
        self.all = [_Engine(f"e-{number}") for number in range(self.engines)]
        self.queue: list = []
        self.order = itertools.count()
        self.served = 0

    @property
    def falls(self) -> int:
        return sum(engine.falls for engine in self.all)

    def at(self, when, call, *arguments) -> None:
        heapq.heappush(self.queue, (when, next(self.order), call, arguments))

    def play(self, seconds: float = 20.0) -> RoomFleet:
        self.at(0.0, self.arrive, seconds)
        while self.queue:
            now, _, call, arguments = heapq.heappop(self.queue)
            call(now, *arguments)
        return self

    def arrive(self, now, end) -> None:
        if now < end:
            self.ask(now + ASK_S, frozenset())
            self.at(now + self.random.expovariate(self.offered_per_s), self.arrive, end)

    def ask(self, now, tried) -> None:
        found = self.random.sample(self.all, min(2 * MAX_TRIES, len(self.all)))
        left = [item for item in found if item.name not in tried and now >= item.down_until]
        left.sort(key=lambda engine: engine.in_system)
        for engine in left[:MAX_TRIES]:
            if not self.paced or self.ledger.grant(engine.name, self.bearable, now) == 0.0:
                self.at(now + SEND_S, self.reach, engine, tried | {engine.name})
                return

    def reach(self, now, engine, tried) -> None:
        if now < engine.down_until:
            return
        if engine.in_system < self.room:
            engine.in_system += 1
            waves = 1 + engine.in_system // self.slots
            self.at(now + waves * self.service_s, self.end, engine, engine.falls)
            return
        engine.refusals = [at for at in engine.refusals if at > now - WINDOW_S] + [now]
        if len(engine.refusals) > self.bearable:
            engine.falls += 1
            engine.in_system, engine.refusals = 0, []
            engine.down_until = now + FALL_S
        self.at(now + REPORT_S, self.report, engine)
        if len(tried) < MAX_TRIES:
            self.at(now + SEND_S, self.again, tried)

    def again(self, now, tried) -> None:
        self.ask(now + ASK_S, tried)

    def report(self, now, engine) -> None:
        self.ledger.refuse(engine.name, self.bearable, now)

    def end(self, _now, engine, falls) -> None:
        if engine.falls == falls:
            engine.in_system -= 1
            self.served += 1
