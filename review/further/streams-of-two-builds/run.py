"""A stream goes on at another build after a restart that the gateway could not notice."""

from __future__ import annotations

import pathlib
import random
import sys

import gevent

from review.harness import (
    ENGINES,
    MODEL,
    PLAIN,
    SERVER_PORT,
    ZONES,
    Exchange,
    Fleet,
    Record,
    has_trouble,
    run_case,
)
from standins.platform_engine import PlatformTargetStandIn

SILENT_S = 4.5
QUIET_S, BURST_S, STREAMS = 4.0, 0.3, 60
STARTS_AFTER_S, BURST_AFTER_S, ENDS_AFTER_S, DOWN_S = 0.3, 0.7, 0.8, 2.0
EVENTS, EVENT_S = 20, 0.05
MAX_MIXED = 2


def case(fleet: Fleet, record: Record) -> bool:
    """Play the case; return whether ORDER held."""
    fleet.publish(1)
    engines = [PlatformTargetStandIn(f"e-{number}", MODEL, EVENTS) for number in range(5)]
    for number, engine in enumerate(engines):
        engine.event_s = EVENT_S
        fleet.add_server(engine, ENGINES, ZONES[number % len(ZONES)])
    for number, zone in enumerate(ZONES):
        fleet.add_server(PlatformTargetStandIn(f"p-{number}"), PLAIN, zone)
    fleet.start_machines()
    fleet.await_ready()
    _send_streams(fleet, STREAMS)
    gevent.sleep(QUIET_S)
    if has_trouble():
        fleet.store.silent = True
        record.say("store: silent")
    upgraded = engines[1]
    upgraded.crash()
    record.say("server e-1: ends, to start again with another version of its software")
    gevent.sleep(STARTS_AFTER_S)
    upgraded.build, upgraded.born = "v2", upgraded.born + 1
    _start_again(fleet, upgraded)
    register = gevent.spawn(_register_when_possible, fleet, upgraded)
    gevent.sleep(BURST_AFTER_S)
    _send_streams(fleet, STREAMS)
    gevent.sleep(ENDS_AFTER_S)
    if has_trouble():
        upgraded.crash()
        record.say("server e-1: ends once more")
        gevent.sleep(DOWN_S)
        upgraded.born += 1
        _start_again(fleet, upgraded)
    gevent.sleep(SILENT_S - STARTS_AFTER_S - BURST_AFTER_S - ENDS_AFTER_S - DOWN_S)
    fleet.store.silent = False
    record.say("store: answers")
    register.join(timeout=5.0)
    gevent.sleep(3.0)
    mixed = [item for item in fleet.requests if len(_builds(item)) > 1]
    for item in mixed:
        record.say(f"{item.request_id} holds events of {sorted(_builds(item))}")
    record.say(f"streams with events of two versions of the software: {len(mixed)}")
    return len(mixed) <= MAX_MIXED


def _send_streams(fleet: Fleet, count: int) -> None:
    """Send streams to all machines within a short time."""
    for number in range(count):
        machine = fleet.machines[number % len(fleet.machines)]
        part = f"{random.randrange(16**6):x}"
        gevent.spawn_later(
            BURST_S * random.random(), fleet.send, "help", machine, f"{part}:600,cd:300"
        )


def _builds(item: Exchange) -> set[bytes]:
    """Return the versions that wrote the events of an answer."""
    lines = item.body.split(b"\n")
    return {line[len(b": build ") :] for line in lines if line.startswith(b": build ")}


def _start_again(fleet: Fleet, server: PlatformTargetStandIn) -> None:
    host = server_address(fleet, server).rpartition(":")[0]
    server.start(host, SERVER_PORT)
    fleet.record.say(f"server {server.instance}: starts, version {server.build}")


def server_address(fleet: Fleet, server: PlatformTargetStandIn) -> str:
    """Return the address that a server has registered."""
    return fleet.addresses_of[server.instance]


def _register_when_possible(fleet: Fleet, server: PlatformTargetStandIn) -> None:
    while fleet.store.silent:
        gevent.sleep(0.05)
    address = server_address(fleet, server)
    fleet.register(server, ENGINES, address, ZONES[1])


if __name__ == "__main__":
    sys.exit(run_case(case, pathlib.Path(__file__).resolve().parent))
