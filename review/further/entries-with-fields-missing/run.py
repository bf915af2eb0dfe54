"""An entry of another writer, with fields missing, moves an engine to another service."""

from __future__ import annotations

import json
import pathlib
import sys
from typing import Any

import gevent

from review.harness import (
    ENGINES,
    MODEL,
    PLAIN,
    RATES_PER_S,
    ROUTES,
    ZONES,
    Fleet,
    Record,
    has_trouble,
    run_case,
)
from standins.platform_engine import PlatformTargetStandIn

HEARTBEAT_S = 1.2
BEFORE_S, BETWEEN_S, AFTER_S = 5.0, 1.2, 4.0
ROUNDS = 32
WORK_S = 0.0225  # mean of the site's plain requests
# Fields of the pages' entries that this writer leaves out.
MISSING = ("version", "slots", "cold_remaining_ms", "seq_no", "models", "born")


class Server(PlatformTargetStandIn):
    """Server that records what it runs, with the service that it belongs to."""

    def __init__(self, instance: str, service: str, model: str = "") -> None:
        super().__init__(instance, model)
        self.service = service
        self.seq_no = 1
        self.work_s = WORK_S


def case(fleet: Fleet, record: Record) -> bool:
    """Play the case; return whether ROUTE held."""
    fleet.publish(1)
    servers = [Server(f"e-{number}", ENGINES, MODEL) for number in range(5)]
    servers += [Server(f"p-{number}", PLAIN) for number in range(len(ZONES))]
    for number, server in enumerate(servers):
        fleet.add_server(server, server.service, ZONES[number % len(ZONES)])
        gevent.spawn(_write_heartbeats, fleet, server)
    fleet.start_machines()
    fleet.await_ready()
    for kind, per_s in RATES_PER_S.items():
        gevent.spawn(fleet.send_forever, kind, 1.0 / per_s, fleet.in_rotation)
    gevent.sleep(BEFORE_S)
    for _ in range(ROUNDS):
        for server in servers:
            if has_trouble() and server.service == ENGINES:
                _write_foreign_entry(fleet, record, server.instance)
        gevent.sleep(BETWEEN_S)
    gevent.sleep(AFTER_S)
    kinds = {item.request_id: item.kind for item in fleet.requests}
    answers = {item.request_id: item for item in fleet.requests}
    wrong: list[Any] = [
        (server, run)
        for server in servers
        for run in server.runs
        if ROUTES[kinds[run.request_id]]["service"] != server.service
    ]
    for server, run in wrong:
        record.say(
            f"{run.request_id} ({kinds[run.request_id]}, a route to {PLAIN}) was run by "
            f"{server.instance} of {server.service} at {record.at(run.started_at):.3f}; its "
            f"client got {answers[run.request_id].status}"
        )
    record.say(f"requests that were run by a service that no route allows: {len(wrong)}")
    return not wrong


def _write_heartbeats(fleet: Fleet, server: Server) -> None:
    """Write a server's entry as often as the platform's servers do."""
    while True:
        gevent.sleep(HEARTBEAT_S)
        entry = json.loads(fleet.entries[server.instance])
        server.seq_no += 1
        entry["seq_no"] = server.seq_no
        fleet.store.put("keyed.servers", server.instance, json.dumps(entry).encode())


def _write_foreign_entry(fleet: Fleet, record: Record, instance: str) -> None:
    """Write an entry under a server's id that lacks fields and names another service."""
    entry = json.loads(fleet.entries[instance])
    entry["service"] = PLAIN
    for name in MISSING:
        entry.pop(name, None)
    fleet.store.put("keyed.servers", instance, json.dumps(entry).encode())
    record.say(f"other writer: servers/{instance} = {json.dumps(entry)}")


if __name__ == "__main__":
    sys.exit(run_case(case, pathlib.Path(__file__).resolve().parent))
