"""Control overhead of a real daemon that serves no requests.

The daemon knows 600 engines, 410 members and up to 23,000 workspaces. It is the
home of two engines, which send events at the rate expected in a deployment of
the target size. The other addresses are fictitious and never called.
"""

from __future__ import annotations

import os
import pathlib
import time
from collections.abc import Iterator

import attrs
import gevent

from agaterail import codec
from agaterail.homes import HomeMap
from agaterail.logstore.http import HttpLogStore
from agaterail.records import TABLES_STREAM, Action, Change, Edit, TablesRecord
from agaterail.tables import Pool, Route, TableName, TargetEntry
from agaterail.util.address import Address
from standins.engine import EngineConfig, EngineStandIn
from standins.hosts import HostsStandIn, HostsVersion
from standins.log import LogStandIn
from tools.fleet import Fleet, free_port_base, wait_for
from tools.slopes.fit import Point, Slope, fit
from tools.slopes.home import block_key
from tools.slopes.receiver import engine_pool
from tools.slopes.state import make_tables

MEMBERS = 410
ENGINES = 600
ROUTES_PER_EDIT = 2_000
EVENTS_PER_S = 72
HOME_ENGINES = 2
SETTLE_S = 6.0
MEASURE_S = 15.0
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
WORKSPACE_COUNTS = (0, 6_000, 23_000)


@attrs.frozen
class Usage:
    """Resource usage of one daemon during the measurement."""

    cpu_percent: float
    resident_mb: float
    bytes_per_s: float
    calls_per_s: float


def measure() -> Iterator[Slope]:
    """Yield the slopes of an idle daemon by number of workspaces."""
    used = {size: measure_usage(size) for size in WORKSPACE_COUNTS}
    for size, usage in used.items():
        print(f"idle daemon, {size} workspaces: {usage}")
    for name, unit in (("cpu_percent", "%"), ("resident_mb", "MB"), ("bytes_per_s", "B/s")):
        points = [Point(size, getattr(usage, name)) for size, usage in used.items()]
        yield fit(f"idle.{name}", unit, "workspace", points)


def measure_usage(workspaces: int) -> Usage:
    """Run one daemon with stand-ins in this process and return its usage.

    Without workspaces there are no tables, members or engines either, so that
    the usage is that of the libraries alone.
    """
    log, hosts = LogStandIn(), HostsStandIn()
    engines = [
        EngineStandIn(EngineConfig(capacity_blocks=57_000)) for _ in range(HOME_ENGINES)
    ]
    platform = [log, hosts, *engines]
    with Fleet(log_level="error") as fleet:
        fleet.log, fleet.hosts = log.start(), hosts.start()
        fleet.kv_store = "127.0.0.1:9"
        own = fleet.next_address()
        own_peer = f"127.0.0.1:{fleet.last_port + 1}"
        addresses = [
            engine.start(host, port)
            for engine, (host, port) in zip(engines, _home_endpoints(own_peer), strict=False)
        ]
        if workspaces:
            _put_hosts(hosts, own_peer, addresses)
            _append_tables(fleet.log, workspaces, _pool_targets(own_peer, addresses))
        daemon = fleet.start_daemon(address=own)
        wait_for(daemon.address, "/readyz" if workspaces else "/healthz", 60.0)
        emitters = [gevent.spawn(_emit_events, engine) for engine in engines]
        gevent.sleep(SETTLE_S)
        usage = _measure_process(daemon.process.pid, platform)
        gevent.killall(emitters)
    for stand_in in platform:
        stand_in.stop()
    return usage


def _emit_events(engine: EngineStandIn) -> None:
    number = 0
    engine.cache.store(tuple(block_key(id(engine) + position) for position in range(57_000)))
    while True:
        for _ in range(EVENTS_PER_S // 20):
            number += 1
            engine.cache.store((block_key(number),))
        gevent.sleep(0.1)


def _measure_process(pid: int, platform: list) -> Usage:
    before = _cpu_s(pid), _traffic(platform), time.monotonic()
    gevent.sleep(MEASURE_S)
    seconds = time.monotonic() - before[2]
    calls, sent = (now - then for now, then in zip(_traffic(platform), before[1], strict=True))
    statm = pathlib.Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()
    return Usage(
        round((_cpu_s(pid) - before[0]) / seconds * 100, 2),
        round(int(statm[1]) * PAGE_BYTES / 1e6, 1),
        round(sent / seconds),
        round(calls / seconds, 1),
    )


def _cpu_s(pid: int) -> float:
    fields = (
        pathlib.Path(f"/proc/{pid}/stat")
        .read_text(encoding="ascii")
        .rpartition(")")[2]
        .split()
    )
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def _traffic(platform: list) -> tuple[int, int]:
    calls = sum(item.traffic.calls for item in platform)
    return calls, sum(
        item.traffic.received_bytes + item.traffic.sent_bytes for item in platform
    )


def _put_hosts(hosts: HostsStandIn, own_peer: str, engines: list[str]) -> None:
    lines = [
        {"address": address, "role": "engine", "state": "live", "domain": "a"}
        for address in [*engines, *(entry.address for entry in engine_pool(ENGINES).targets)]
    ]
    for address in _members(own_peer):
        lines.append({"address": address, "role": "router", "state": "live", "domain": "a"})
    hosts.versions.append(HostsVersion(0.0, 1, lines))


def _members(own_peer: str) -> list[str]:
    others = [f"10.2.{n // 250}.{n % 250 + 1}:8081" for n in range(MEMBERS - 1)]
    return [own_peer, *others]


def _home_endpoints(own_peer: str) -> Iterator[tuple[str, int]]:
    """Yield loopback endpoints of engines whose home is the measured daemon."""
    homes = HomeMap(own_peer)
    homes.set_members(_members(own_peer))
    port = free_port_base()
    for number in range(1 << 16):
        host = f"127.1.{number // 256}.{number % 256}"
        if homes.is_own(f"{host}:{port}"):
            yield host, port


def _pool_targets(own_peer: str, addresses: list[str]) -> tuple[TargetEntry, ...]:
    # The daemon calls the engines whose home it is, so the fictitious engines are
    # limited to those whose home is another member.
    homes = HomeMap(own_peer)
    homes.set_members(_members(own_peer))
    foreign = [
        entry for entry in engine_pool(ENGINES + 40).targets if not homes.is_own(entry.address)
    ]
    real = tuple(TargetEntry(address=address, domain="a") for address in addresses)
    return (*real, *foreign[: ENGINES - len(real)])


def _append_tables(log: str, workspaces: int, targets: tuple[TargetEntry, ...]) -> None:
    store = HttpLogStore(Address.parse(log))
    tables = make_tables(workspaces)
    pool: Pool = attrs.evolve(tables.pools["p"].row, targets=targets)
    first = Change(table=TableName.POOLS, name="p", action=Action.PUT, pool=pool)
    routes = [versioned.row for versioned in tables.routes.values()]
    for start in range(0, len(routes), ROUTES_PER_EDIT):
        changes = tuple(_put(route) for route in routes[start : start + ROUTES_PER_EDIT])
        edit = Edit(
            edit_id=f"e{start}",
            author="slopes",
            changes=(first, *changes) if start == 0 else changes,
        )
        store.append(TABLES_STREAM, codec.encode(edit, TablesRecord)).unwrap()


def _put(route: Route) -> Change:
    return Change(table=TableName.ROUTES, name=route.name, action=Action.PUT, route=route)
