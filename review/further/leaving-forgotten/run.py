"""That an engine leaves is forgotten when the entry of its latest start is read."""

from __future__ import annotations

import pathlib
import random
import sys
import time

import gevent

from review.harness import (
    ENGINES,
    MODEL,
    PLAIN,
    RATES_PER_S,
    SERVER_PORT,
    ZONES,
    Fleet,
    Record,
    has_trouble,
    run_case,
)
from standins.platform_engine import PlatformTargetStandIn

SILENT_S, DRAIN_S = 4.5, 2.0
QUIET_S, BURST_S, STREAMS = 4.0, 0.3, 60
STARTS_AFTER_S, SENT_AFTER_S, AFTERWARDS_S = 0.3, 0.3, 6.0


def case(fleet: Fleet, record: Record) -> bool:
    """Play the case; return whether DRAIN held."""
    fleet.publish(1)
    engines = [PlatformTargetStandIn(f"e-{number}", MODEL) for number in range(5)]
    for number, engine in enumerate(engines):
        fleet.add_server(engine, ENGINES, ZONES[number % len(ZONES)])
    for number, zone in enumerate(ZONES):
        fleet.add_server(PlatformTargetStandIn(f"p-{number}"), PLAIN, zone)
    fleet.start_machines()
    fleet.await_ready()
    send_streams(fleet)
    gevent.sleep(QUIET_S)
    if has_trouble():
        fleet.store.silent = True
        record.say("store: silent")
    silent_at = time.monotonic()
    leaving = engines[1]
    leaving.crash()
    record.say("server e-1: ends")
    gevent.sleep(STARTS_AFTER_S)
    leaving.born += 1
    leaving.leaving = True
    leaving.start(fleet.addresses_of["e-1"].rpartition(":")[0], SERVER_PORT)
    record.say("server e-1: starts again, and says in its answers that it leaves")
    register = gevent.spawn(_register_when_possible, fleet, leaving)
    gevent.sleep(SENT_AFTER_S)
    send_streams(fleet)
    gevent.sleep(SILENT_S - (time.monotonic() - silent_at))
    fleet.store.silent = False
    record.say("store: answers")
    register.join(timeout=5.0)
    sender = gevent.spawn(
        fleet.send_forever, "help", 1.0 / RATES_PER_S["help"], fleet.in_rotation
    )
    gevent.sleep(AFTERWARDS_S)
    sender.kill()
    gevent.sleep(1.0)
    return not _report(fleet, record)


def send_streams(fleet: Fleet) -> None:
    """Send streams to all machines within a short time."""
    for number in range(STREAMS):
        machine = fleet.machines[number % len(fleet.machines)]
        part = f"{random.randrange(16**6):x}"
        gevent.spawn_later(
            BURST_S * random.random(), fleet.send, "help", machine, f"{part}:600,cd:300"
        )


def _register_when_possible(fleet: Fleet, server: PlatformTargetStandIn) -> None:
    while fleet.store.silent:
        gevent.sleep(0.05)
    fleet.register(server, ENGINES, fleet.addresses_of[server.instance], ZONES[1])


def _report(fleet: Fleet, record: Record) -> list[str]:
    """Record which requests reached the engine too late, by what each machine was told."""
    told: dict[str, float] = {}
    for item in fleet.requests:
        if item.headers.get("server-leaving") == "1":
            told[item.machine] = min(told.get(item.machine, item.ended_at), item.ended_at)
    for machine, at in sorted(told.items()):
        record.line(f"machine {machine}: has passed on that e-1 leaves", at)
    by_id = {item.request_id: item for item in fleet.requests}
    late = [
        f"{request_id} by {by_id[request_id].machine}"
        for _, request_id in fleet.servers["e-1"].arrivals
        if by_id[request_id].sent_at > told.get(by_id[request_id].machine, 1e12) + DRAIN_S
    ]
    record.say(f"machines that had passed on that e-1 leaves: {len(told)}")
    record.say(f"requests sent later than {DRAIN_S:.0f} s after that that reached it: {late}")
    return late


if __name__ == "__main__":
    sys.exit(run_case(case, pathlib.Path(__file__).resolve().parent))
