"""Slopes of the tables, the host list, the members and the lease."""

from __future__ import annotations

import json
from collections.abc import Iterator

import attrs

from agaterail import codec, snapshots
from agaterail.application import Application
from agaterail.events import MembersChanged
from agaterail.filters.match import CallerIndex
from agaterail.fold import fold
from agaterail.homes import HomeMap
from agaterail.hostlists.http import _parse_host
from agaterail.logstore.memory import MemoryLogStore
from agaterail.records import Action, Change, Edit, TablesRecord
from agaterail.settings import Settings
from agaterail.tables import Pool, Route, TableName, Tables, Versioned
from agaterail.timers import ManualTimerService
from agaterail.util.address import Address
from tools.fleet import digest_of
from tools.slopes.fit import Point, Slope, cpu_s, fit, retained_bytes
from tools.slopes.receiver import engine_pool

ROWS = 23_000
ENGINES = 600
LEASE_SECONDS = 120


def measure() -> Iterator[Slope]:
    """Yield the slopes of these roles."""
    rows = (1_000, 6_000, 23_000)
    yield fit("tables.row_memory", "bytes", "route", [_table_memory(n) for n in rows])
    yield fit("tables.caller_index", "bytes", "route", [_index_memory(n) for n in rows])
    yield fit("tables.caller_index_cpu", "s", "route", [_index_cpu(n) for n in rows])
    yield fit("tables.fold_cpu", "s", "edit", [_fold_cpu(n) for n in (20, 40, 80)])
    yield fit("tables.edit_bytes", "bytes", "edit", [_edit_bytes(n) for n in (10, 20, 40)])
    yield fit("snapshot.bytes", "bytes", "route", [_snapshot_bytes(n) for n in rows])
    yield fit("snapshot.cpu", "s", "route", [_snapshot_cpu(n) for n in rows])
    hosts = (100, 400, 1_010)
    yield fit("hosts.list_bytes", "bytes", "host", [_host_list_bytes(n) for n in hosts])
    yield fit("hosts.parse_cpu", "s", "host", [_host_list_cpu(n) for n in hosts])
    yield fit("members.change_cpu", "s", "member", [_member_cpu(n) for n in (64, 200, 410)])
    yield fit("lease.log_reads", "reads", "daemon", [_lease_reads(n) for n in (8, 16, 32)])


def make_tables(rows: int) -> Tables:
    """Return tables with one engine pool and one route per workspace."""
    pool = engine_pool(ENGINES)
    routes = {f"route-{n}": Versioned(_route(n), n, "shift-a") for n in range(rows)}
    pools: dict[str, Versioned[Pool]] = {pool.name: Versioned(pool, 0, "shift-a")}
    return Tables(routes, pools, {}, rows)


def _route(number: int) -> Route:
    return Route(
        name=f"route-{number}",
        workspace=f"workspace-{number}",
        callers=(digest_of(f"key-{number}"),),
        pool="p",
        models=("atlas",),
        deadline_ms=1400 + number % 7,
    )


def _decode(data: bytes) -> Tables:
    return codec.decode(data, Tables).unwrap()


def _table_memory(rows: int) -> Point:
    data = codec.encode(make_tables(rows))
    return Point(rows, retained_bytes(lambda: _decode(data)))


def _index_memory(rows: int) -> Point:
    tables = make_tables(rows)
    return Point(rows, retained_bytes(lambda: _build_caller_index(tables)))


def _index_cpu(rows: int) -> Point:
    tables = make_tables(rows)
    return Point(rows, cpu_s(lambda: _build_caller_index(tables)))


def _build_caller_index(tables: Tables) -> CallerIndex:
    index = CallerIndex()
    index.routes_of(tables, "")
    return index


def _edits(count: int) -> list[Edit]:
    edits: list[Edit] = []
    for number in range(count):
        route = attrs.evolve(_route(number), priority=7)
        change = Change(
            table=TableName.ROUTES,
            name=route.name,
            action=Action.PUT,
            expected_version=number,
            route=route,
        )
        edits.append(Edit(edit_id=f"{number:024x}", author="shift-a", changes=(change,)))
    return edits


def _fold_cpu(count: int) -> Point:
    records = [codec.encode(edit, TablesRecord) for edit in _edits(count)]
    start = make_tables(ROWS)

    def run() -> None:
        tables = start
        for number, data in enumerate(records):
            tables = fold(
                tables, codec.decode(data, TablesRecord).unwrap(), ROWS + number
            ).tables

    return Point(count, cpu_s(run))


def _edit_bytes(count: int) -> Point:
    return Point(count, sum(len(codec.encode(edit, TablesRecord)) for edit in _edits(count)))


def _snapshot_bytes(rows: int) -> Point:
    return Point(rows, snapshots.encode(make_tables(rows)).size)


def _snapshot_cpu(rows: int) -> Point:
    tables = make_tables(rows)
    return Point(rows, cpu_s(lambda: snapshots.encode(tables), repeat=2))


def _host_lines(count: int) -> list[dict[str, str]]:
    return [
        {
            "address": f"10.2.{n // 250}.{n % 250 + 1}:8081",
            "role": "router" if n % 5 < 2 else "engine",
            "state": "live",
            "domain": "abcde"[n % 5],
        }
        for n in range(count)
    ]


def _host_list_bytes(count: int) -> Point:
    return Point(count, len(json.dumps({"hosts": _host_lines(count)})))


def _host_list_cpu(count: int) -> Point:
    data = json.dumps({"hosts": _host_lines(count)})
    return Point(
        count, cpu_s(lambda: tuple(_parse_host(line) for line in json.loads(data)["hosts"]))
    )


def _member_cpu(count: int) -> Point:
    members = [f"10.2.{n // 250}.{n % 250 + 1}:8081" for n in range(count)]
    homes = HomeMap(members[0])
    homes.set_engines([entry.address for entry in engine_pool(ENGINES).targets])
    homes.set_members(members)

    def change() -> None:
        homes.set_members(members[:-1])
        homes.set_members(members)

    return Point(count, cpu_s(change) / 2)


def _lease_reads(count: int) -> Point:
    timers = ManualTimerService()
    log = CountingLog()
    members = tuple(f"127.0.0.1:{1000 + n}" for n in range(count))
    apps: list[Application] = []
    for member in members:
        app = Application(
            Settings(peer_listen=Address.parse(member)),
            timers=timers,
            log_store=log,
            modules=("agaterail.controllers.leases",),
        )
        app.events.publish(MembersChanged(members))
        apps.append(app)
    for _ in range(LEASE_SECONDS):
        for app in apps:
            app.controllers["leases"].reconcile()
        timers.advance(1.0)
    return Point(count, log.reads / LEASE_SECONDS)


class CountingLog(MemoryLogStore):
    """Log store that counts the reads."""

    reads = 0

    def read(self, *arguments, **named):  # type: ignore[no-untyped-def]
        """Count the read and delegate it."""
        self.reads += 1
        return super().read(*arguments, **named)
