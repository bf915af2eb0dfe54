"""Engines that crash, and what the daemons in front of them report, on a manual clock."""

from __future__ import annotations

import heapq
import itertools
import random

import attrs

from agaterail.decisions.crashevidence import (
    BrokenPrompt,
    CrashEvidence,
    CrashReport,
    TargetStart,
)

FATAL_PART = "fatal"
PREFILL_S = 0.1
# From its first event to the fourth.
BEGINNING_S = 0.06
STREAM_S = 1.2
BACK_S = 4.0
REPORT_S = 0.06
SURVIVAL_S = 0.1
TENANTS = 8
CUSTOMERS_PER_DAEMON = 40


@attrs.define(eq=False)
class Request:
    """One prompt on its way.

    Attributes
    ----------
    runs
        Number of engines that have had it.
    """

    name: str
    parts: tuple[str, ...]
    runs: int = 0

    @property
    def is_fatal(self) -> bool:
        return FATAL_PART in self.parts


@attrs.define(eq=False)
class Engine:
    """An engine with the requests whose answers have not got far."""

    name: str
    domain: int
    born: int = 1
    is_up: bool = True
    beginning: dict[str, Request] = attrs.field(factory=dict)


class CrashFleet:
    """Engines under steady load of sound prompts, and some with a part that ends engines.

    Parameters
    ----------
    fatal_share
        Share of the requests that hold the part.
    crash_after_s
        From the first event to the end of the engine.
    """

    def __init__(
        self, daemons: int, fatal_share: float, seed: int, crash_after_s: float = 0.0
    ) -> None:
        self.rng = random.Random(seed)
        self.daemons = daemons
        self.rate = 7.0 * daemons
        self.fatal_share = fatal_share
        self.crash_after_s = crash_after_s
        engines = max(5, round(1.46 * daemons))
        self.engines = [Engine(f"e-{number}", number % 3) for number in range(engines)]
        self.evidence = CrashEvidence()
        self.quarantined: set[str] = set()
        self.crashes = self.fatal_crashes = self.late_arrivals = 0
        self.fifth_crash_at: float | None = None
        self.now = 0.0
        self.events: list[tuple[float, int, object]] = []
        self.order = itertools.count()
        self.numbers = itertools.count()
        self.survived: dict[str, float] = {}
        self.at(0.0, self.arrive)

    def at(self, time, action) -> None:
        heapq.heappush(self.events, (time, next(self.order), action))

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] < until:
            self.now, _, action = heapq.heappop(self.events)
            action()

    def arrive(self) -> None:
        self.at(self.now + self.rng.expovariate(self.rate), self.arrive)
        number = next(self.numbers)
        tenant = min(self.rng.randrange(TENANTS), self.rng.randrange(TENANTS))
        customer = self.rng.randrange(CUSTOMERS_PER_DAEMON * self.daemons)
        parts = (f"tenant-{tenant}", f"customer-{customer}")
        if self.rng.random() < self.fatal_share:
            parts = ("tenant-0", FATAL_PART)
        self.send(Request(f"r-{number}", parts))

    def send(self, request: Request) -> None:
        up = [engine for engine in self.engines if engine.is_up]
        if not up or not self.quarantined.isdisjoint(request.parts):
            return
        if request.is_fatal and self.fifth_crash_at is not None:
            self.late_arrivals += self.now > self.fifth_crash_at + 3.0
        engine = self.rng.choice(up)
        request.runs += 1
        engine.beginning[request.name] = request
        born, begins_at = engine.born, self.now + PREFILL_S * (0.5 + self.rng.random())
        if request.is_fatal:
            self.at(begins_at + self.crash_after_s, lambda: self.crash(engine, born, True))
        else:
            self.at(begins_at + BEGINNING_S, lambda: self.survive(engine, born, request))

    def survive(self, engine: Engine, born: int, request: Request) -> None:
        if engine.born != born or not engine.is_up:
            return
        del engine.beginning[request.name]
        self.survived.update(dict.fromkeys(request.parts, self.now))
        self.tell_refuted(request.parts)

    def tell_refuted(self, parts) -> None:
        refuted = [
            part
            for part in parts
            if self.evidence.is_refuted(part, self.survived.get(part, -1.0))
        ]
        if refuted:
            self.at(self.now + SURVIVAL_S, lambda: self.evidence.clear(refuted))

    def crash(self, engine: Engine, born: int, is_fatal: bool = False) -> None:
        if engine.born != born or not engine.is_up:
            return
        self.crashes += 1
        self.fatal_crashes += is_fatal
        if self.fatal_crashes == 5 and self.fifth_crash_at is None:
            self.fifth_crash_at = self.now
        engine.is_up = False
        broken = list(engine.beginning.values())
        engine.beginning.clear()
        prompts = tuple(BrokenPrompt(item.name, item.parts) for item in broken)
        start = TargetStart(engine.name, born)
        parts = {part for item in broken for part in item.parts}
        report = CrashReport(start, prompts, tuple(sorted(parts & self.survived.keys())))
        self.at(self.now + REPORT_S, lambda: self.report(report))
        self.at(self.now + BACK_S, lambda: self.restart(engine))
        for request in broken:
            if request.runs < 2:
                self.at(self.now + 0.001, lambda request=request: self.send(request))

    def restart(self, engine: Engine) -> None:
        engine.born += 1
        engine.is_up = True

    def report(self, report: CrashReport) -> None:
        if report.prompts:
            self.evidence.add(report, self.now)
            self.tell_refuted(report.parts)
            self.quarantined |= {cause.part for cause in self.evidence.causes()}

    def crash_share(self, chosen) -> None:
        """End all engines for which a function returns true, within some milliseconds."""
        for engine in filter(chosen, self.engines):
            at = self.now + self.rng.random() * 0.2
            self.at(at, lambda engine=engine: self.crash(engine, engine.born))

    def crash_one(self) -> None:
        engine = self.rng.choice(self.engines)
        self.crash(engine, engine.born)
