"""A late second copy of a refusal is taken for the answer to the request sent again."""

from __future__ import annotations

import pathlib
import random
import signal
import sys
import time
from collections import Counter
from typing import Any

import gevent

from review.harness import (
    ENGINES,
    MODEL,
    PLAIN,
    RATES_PER_S,
    ZONES,
    Fleet,
    Record,
    has_trouble,
    run_case,
)
from standins.platform_engine import PlatformTargetStandIn

# The largest dose of second answers at the site: 0.03 of the answers of 0.6 of the engines,
# for 5 s. The largest freeze is one of 4 s.
EXTRA_SHARE, FAULTY, FAULTY_S = 0.03, 3, 5.0
FAULTY_BEFORE_S = 2.0
ENGINE_COUNT = 5
LATE_S = (0.04, 0.13)
FIRST_EVENT_S = 0.15
NAMINGS, NAMING_PERIOD_S, FREEZE_S = 10, 8.0, 3.5
KEPT_CHANNELS = 30  # at each machine, for the prompts that may run once
HEARTBEAT_S = 1.2


class Engine(PlatformTargetStandIn):
    """Engine that sends a second, late copy of few of its refusals while it is faulty."""

    def __init__(self, instance: str, fleet: Fleet) -> None:
        super().__init__(instance, MODEL)
        self.fleet = fleet
        self.faulty = False
        self.load_s = 0.42
        self.work_s = FIRST_EVENT_S
        self.answers = self.extras = 0

    def _answer(
        self, sock: Any, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> bool:
        if self.faulty and not path.startswith("/agaterail/"):
            self.answers += 1
        version = headers.get("expect-version")
        request_id = headers.get("request-id", "")
        if path.startswith("/agaterail/") or version in (None, str(self.version)):
            return super()._answer(sock, method, path, headers, body)
        self.arrivals.append((time.monotonic(), request_id))
        self.fleet.record.line(
            f"server {self.instance}: {request_id} expects weights {version}, refused (421)"
        )
        refusal = {"Weight-Versions": str(self.version), "Request-Id": request_id}
        kept = self._send(sock, 421, {**refusal, "Not-Run": "1"})
        may_add = self.faulty and self.extras + 1 <= EXTRA_SHARE * self.answers
        if may_add and path.startswith("/digest/") and int(version) < self.version:
            self.extras += 1
            gevent.spawn_later(random.uniform(*LATE_S), self._send_extra, sock, refusal)
        return kept

    def _send_extra(self, sock: Any, refusal: dict[str, str]) -> None:
        try:
            self._send(sock, 421, {**refusal, "Not-Run": "1"})
        except OSError:
            return  # closed meanwhile
        self.fleet.record.line(
            f"server {self.instance}: second copy of the refusal of {refusal['Request-Id']}"
        )


def case(fleet: Fleet, record: Record) -> bool:
    """Play the case; return whether TWICE held."""
    fleet.publish(1)
    engines = [Engine(f"e-{number}", fleet) for number in range(ENGINE_COUNT)]
    for number, engine in enumerate(engines):
        fleet.add_server(engine, ENGINES, ZONES[number % len(ZONES)])
        # Entries are written with the next heartbeat.
        register = engine.on_loaded
        engine.on_loaded = lambda register=register: gevent.spawn_later(
            random.uniform(0.0, HEARTBEAT_S), register
        )
    for number, zone in enumerate(ZONES):
        fleet.add_server(PlatformTargetStandIn(f"p-{number}"), PLAIN, zone)
    fleet.start_machines()
    fleet.await_ready()
    gevent.spawn(fleet.send_forever, "help", 1.0 / RATES_PER_S["help"], fleet.in_rotation)
    pause_s = KEPT_CHANNELS * len(fleet.machines) / RATES_PER_S["digest"]
    for machine in fleet.machines:
        for _ in range(KEPT_CHANNELS):
            gevent.spawn(fleet.send_on_kept_channel, "digest", machine, pause_s)
    gevent.sleep(5.0)
    for number in range(NAMINGS):
        machine = random.choice(fleet.machines)
        if has_trouble():
            fleet.signal(machine, signal.SIGSTOP)
            record.say(f"machine {machine.name}: freezes")
        fleet.name_weights(2 + number)
        gevent.sleep(FREEZE_S - FAULTY_BEFORE_S)
        faulty = random.sample(engines, FAULTY) if has_trouble() else []
        for engine in faulty:
            engine.faulty = True
        if faulty:
            record.say(f"faulty: {[engine.instance for engine in faulty]}")
        gevent.sleep(FAULTY_BEFORE_S)
        fleet.signal(machine, signal.SIGCONT)
        if has_trouble():
            record.say(f"machine {machine.name}: goes on")
        gevent.sleep(FAULTY_S - FAULTY_BEFORE_S)
        for engine in faulty:
            engine.faulty = False
        gevent.sleep(NAMING_PERIOD_S - FREEZE_S - FAULTY_S + FAULTY_BEFORE_S)
    gevent.sleep(2.0)
    runs = Counter(run.request_id for engine in engines for run in engine.runs)
    once = {item.request_id for item in fleet.requests if item.kind == "digest"}
    twice = [name for name, count in runs.items() if count > 1 and name in once]
    answers, extras = (
        sum(getattr(e, name) for e in engines) for name in ("answers", "extras")
    )
    record.say(f"answers of faulty engines: {answers}, with a second copy: {extras}")
    for name in twice:
        at = [
            f"{engine.instance} at {record.at(run.started_at):.3f} ({run.outcome})"
            for engine in engines
            for run in engine.runs
            if run.request_id == name
        ]
        record.say(f"not idempotent, ran {runs[name]} times: {name} at {', '.join(at)}")
    return not twice


if __name__ == "__main__":
    sys.exit(run_case(case, pathlib.Path(__file__).resolve().parent))
