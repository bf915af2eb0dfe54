"""Daemons that send prompts to engines of which some fall silent, without a network."""

from __future__ import annotations

import random

import attrs

from agaterail.decisions.silence import (
    FAILURE_VALID_S,
    MIN_SILENCE_S,
    EngineView,
    SuspectedEngines,
)
from agaterail.engineloads.figures import EngineFigures
from agaterail.engineloads.silencecontroller import (
    PERIOD_S,
    SECOND_TRIER_AFTER_S,
    TRIAL_PERIOD_S,
)

TICK_S = 0.05
DECIDE_S = PERIOD_S
REPORT_S = 0.5
TIMEOUT_S = 1.0
EVENTS = 58
GAP_S = 0.045
DOMAINS = 3
RETRANSMIT_S = 0.2


@attrs.define(eq=False)
class Stream:
    engine: int
    wait_since: float
    next_at: float
    left: int = EVENTS
    in_stream: bool = False


@attrs.define(eq=False)
class Snapshot:
    """What the gatherer told at one time."""

    at: float
    silent: dict[int, list[int]]
    heard_at: list[float]


class SimulatedDaemon:
    def __init__(self, number, engines, rng):
        self.number, self.domain = number, number % DOMAINS
        self.suspected = SuspectedEngines()
        self.streams: list[Stream] = []
        self.heard_at = [float("-inf")] * engines
        self.failed_at = [float("-inf")] * engines
        self.reported: frozenset[int] = frozenset()
        self.reports_at = rng.uniform(0.0, REPORT_S)
        self.snapshot: Snapshot | None = None
        self.tried_at: dict[str, float] = {}


class SilenceFleet:
    """One request a second of each daemon to random engines, 58 events in 2.6 s.

    ``is_silent(engine, now)`` says which engines send nothing, ``is_cut(daemon, now)`` which
    daemons get and tell nothing, ``answers_trials(engine, now)`` which engines answer trials.
    """

    def __init__(self, daemons, engines, seed=1, observers=30, first_s=0.15, **fields):
        self.rng = random.Random(seed)
        self.now, self.first_s, self.loss = 0.0, first_s, fields.get("loss", 0.0)
        self.rate = fields.get("rate", 1.5)
        self.slow_callers = fields.get("slow_callers", 0.0)
        self.is_silent = fields.get("is_silent", lambda _engine, _now: False)
        self.is_cut = fields.get("is_cut", lambda _daemon, _now: False)
        self.answers_trials = fields.get(
            "answers_trials", lambda engine, now: not self.is_silent(engine, now)
        )
        self.engines = range(engines)
        self.daemons = [SimulatedDaemon(n, engines, self.rng) for n in range(daemons)]
        # Each daemon decides alike, so in a large fleet only some of them do.
        self.observers = self.daemons[:observers]
        # What the gatherer holds: waits by engine and domain, and the latest bytes.
        self.silent: dict[int, list[int]] = {}
        self.heard_at = [float("-inf")] * engines
        self.decides_at = 0.0
        self.since: dict[tuple[int, int], float] = {}
        self.spans: list[tuple[int, int, float, float]] = []

    def run(self, until):
        while self.now < until:
            self.now += TICK_S
            for daemon in self.daemons:
                self.step_requests(daemon)
                if self.now >= daemon.reports_at:
                    self.exchange_reports(daemon)
            if self.now >= self.decides_at:
                self.decides_at += DECIDE_S
                for daemon in self.observers:
                    self.decide(daemon)

    def step_requests(self, daemon):
        if self.rng.random() < self.rate * TICK_S:
            usable = [e for e in self.engines if f"e-{e}" not in daemon.suspected.suspected]
            first_s = self.first_s * self.rng.uniform(0.5, 1.0)
            engine = self.rng.choice(usable)
            daemon.streams.append(Stream(engine, self.now, self.now + first_s))
        is_cut = self.is_cut(daemon.number, self.now)
        for stream in list(daemon.streams):
            if is_cut or self.is_silent(stream.engine, self.now):
                stream.next_at = max(stream.next_at, self.now + GAP_S)
                if self.now - stream.wait_since > TIMEOUT_S:
                    daemon.failed_at[stream.engine] = self.now
                    daemon.streams.remove(stream)
                continue
            while stream.next_at <= self.now and stream.left:
                self.receive(daemon, stream)
            if not stream.left:
                daemon.streams.remove(stream)

    def receive(self, daemon, stream):
        usual = daemon.suspected.usual
        wait_s = max(0.0, stream.next_at - stream.wait_since)
        (usual.gap if stream.in_stream else usual.first).record(wait_s)
        daemon.heard_at[stream.engine] = self.now
        stream.in_stream = True
        stream.left -= 1
        stream.wait_since = stream.next_at
        if self.rng.random() < self.slow_callers:
            stream.wait_since += 1.0  # nothing is awaited while the caller reads
        stream.next_at = stream.wait_since + GAP_S
        if self.rng.random() < self.loss:
            stream.next_at += RETRANSMIT_S

    def exchange_reports(self, daemon):
        daemon.reports_at += REPORT_S
        if self.rng.random() < self.loss or self.is_cut(daemon.number, self.now):
            return
        silent = {
            item.engine
            for item in daemon.streams
            if self.now - item.wait_since > daemon.suspected.usual.silence_s(item.in_stream)
        }
        silent.update(engine for engine in self.engines if self.has_failed(daemon, engine))
        if sum(self.now - at < MIN_SILENCE_S for at in daemon.heard_at) < len(silent):
            silent.clear()  # more likely cut off itself
        self.count(daemon, daemon.reported, -1)
        daemon.reported = frozenset(silent)
        self.heard_at = list(map(max, self.heard_at, daemon.heard_at))
        if self.rng.random() >= self.loss:  # otherwise the answer is lost
            counts = {engine: list(found) for engine, found in self.silent.items()}
            daemon.snapshot = Snapshot(self.now, counts, self.heard_at)
        self.count(daemon, daemon.reported, 1)

    def count(self, daemon, engines, number):
        for engine in engines:
            self.silent.setdefault(engine, [0] * DOMAINS)[daemon.domain] += number

    def has_failed(self, daemon, engine):
        heard_at = daemon.heard_at[engine]
        if daemon.snapshot is not None:
            heard_at = max(heard_at, daemon.snapshot.heard_at[engine])
        return daemon.failed_at[engine] > max(heard_at, self.now - FAILURE_VALID_S)

    def view(self, daemon, engine, streams):
        snapshot, figures = daemon.snapshot, None
        if snapshot is not None and self.now - snapshot.at < 2.0:
            silent = snapshot.silent.get(engine, [])
            figures = EngineFigures(
                silent_daemons=sum(silent),
                silent_domains=sum(map(bool, silent)),
                heard_s=self.now - snapshot.heard_at[engine],
                age_s=self.now - snapshot.at,
            )
        waits = [
            (self.now - item.wait_since, item.in_stream) for item in streams.get(engine, ())
        ]
        wait_s, in_stream = max(waits, default=(0.0, False))
        return EngineView(
            instance=f"e-{engine}",
            start=1,
            figures=figures,
            wait_s=max(0.0, wait_s),
            in_stream=in_stream,
            failed_s=self.now - daemon.failed_at[engine],
            heard_s=self.now - daemon.heard_at[engine],
        )

    def decide(self, daemon):
        streams: dict[int, list[Stream]] = {}
        for stream in daemon.streams:
            streams.setdefault(stream.engine, []).append(stream)
        views = [self.view(daemon, engine, streams) for engine in self.engines]
        changes = daemon.suspected.update(
            views,
            engines=len(views),
            heard=sum(view.heard_s < MIN_SILENCE_S for view in views),
            domains=DOMAINS,
            now=self.now,
            number=self.rng.random(),
        )
        for instance, suspicion in list(daemon.suspected.suspected.items()):
            engine = int(instance.removeprefix("e-"))
            tried_at = daemon.tried_at.get(instance, float("-inf"))
            place = (daemon.number - engine) % len(self.observers)  # in line for trials
            is_in_line = place == 0 or (
                place == 1 and self.now > suspicion.since + SECOND_TRIER_AFTER_S
            )
            if not is_in_line or self.now < tried_at + TRIAL_PERIOD_S - TICK_S:
                continue
            daemon.tried_at[instance] = self.now
            daemon.failed_at[engine] = self.now
            if self.answers_trials(engine, self.now):
                daemon.heard_at[engine] = self.now
                changes += daemon.suspected.record_trial(instance, self.now)
        for change in changes:
            key = (daemon.number, int(change.instance.removeprefix("e-")))
            if change.cleared_by:
                self.spans.append((*key, self.since.pop(key), self.now))
            else:
                self.since[key] = self.now
                self.hedge(daemon, key[1])

    def hedge(self, daemon, engine):
        """Give up what waits at a suspected engine."""
        for stream in list(daemon.streams):
            if stream.engine == engine and self.now - stream.wait_since > MIN_SILENCE_S:
                daemon.failed_at[engine] = self.now
                daemon.streams.remove(stream)

    def suspecting(self, engine):
        """Return the fraction of the daemons that suspect an engine."""
        found = sum(f"e-{engine}" in item.suspected.suspected for item in self.observers)
        return found / len(self.observers)

    def longest_suspicion_s(self, is_in_service):
        """Return for how long one daemon suspected an engine that was in service."""
        spans = self.spans + [(*key, at, self.now) for key, at in self.since.items()]
        return max(
            (end - start for _, engine, start, end in spans if is_in_service(engine)),
            default=0.0,
        )
