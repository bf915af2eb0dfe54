"""Measure the tables by size, and the messages of the members by number of daemons.

Prints lines of ``name size value``.
"""

from __future__ import annotations

from agaterail.util import greenlets

greenlets.patch()

import gc
import hashlib
import time
import tracemalloc
from collections.abc import Callable
from typing import TypeVar

from agaterail import codec, logs, snapshots
from agaterail.fold import fold
from agaterail.homes import HomeMap
from agaterail.records import TABLES_STREAM, Action, Change, Edit, TablesRecord
from agaterail.tables import (
    Pool,
    PoolKind,
    Route,
    Row,
    TableName,
    Tables,
    TargetEntry,
    Versioned,
)
from tests.cluster import Cluster, address_of

ROWS = (1_000, 6_000, 23_000)
MEMBERS = (8, 64, 400)
EDITS = 40
MEASURE_S = 60
ENGINES = 600
EDIT_IDS = 4096
Result = TypeVar("Result")


def main() -> None:
    """Measure and print all figures."""
    logs.configure("error")
    for rows in ROWS:
        _measure_rows(rows)
    for count in MEMBERS:
        _measure_members(count)


def _measure_rows(rows: int) -> None:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    tables = _tables(rows)
    gc.collect()
    _print("tables.memory_bytes", rows, tracemalloc.get_traced_memory()[0] - before)
    tracemalloc.stop()
    _print("fold.route_ms", rows, _fold_ms(tables, _route(7, priority=1)))
    _print("fold.pool_ms", rows, _fold_ms(tables, _pool(decode_ms_per_token=9.0)))
    snapshot, encode_ms = _timed(lambda: snapshots.encode(tables))
    _print("snapshot.bytes", rows, snapshot.size)
    _print("snapshot.chunks", rows, len(snapshot.chunks))
    _print("snapshot.largest_chunk_bytes", rows, max(map(len, snapshot.chunks)))
    _print("snapshot.encode_ms", rows, encode_ms)
    _, decode_ms = _timed(
        lambda: snapshots.decode(snapshot.through, snapshot.digest, snapshot.chunks)
    )
    _print("snapshot.decode_ms", rows, decode_ms)
    change = _change(_route(7, priority=1), 7)
    edit = Edit(edit_id="0" * 24, author="shift-a", changes=(change,))
    _print("edit.bytes", rows, len(codec.encode(edit, TablesRecord)))


def _fold_ms(tables: Tables, row: Row) -> float:
    """Return the median time to fold an edit of one row, in milliseconds."""
    times = []
    for number in range(EDITS):
        table = TableName.ROUTES if isinstance(row, Route) else TableName.POOLS
        change = _change(row, tables.version_of(table, row.name))
        edit = Edit(edit_id=f"fold-{number}-{row.name}", author="shift-a", changes=(change,))
        offset = tables.through + 1
        started = time.perf_counter()
        tables = fold(tables, edit, offset).tables
        times.append(time.perf_counter() - started)
    return sorted(times)[EDITS // 2] * 1e3


def _measure_members(count: int) -> None:
    cluster = Cluster(count)
    pool = _pool(targets=2)
    edit = Edit(edit_id="first", author="shift-a", changes=(_change(pool, -1),))
    cluster.log.append(TABLES_STREAM, codec.encode(edit, TablesRecord))
    for number in range(count):
        cluster.start(number)
    started = cluster.network.messages
    cluster.run(2, 0.1)
    _print("members.start_messages", count, (cluster.network.messages - started) / count)
    _print("members.messages_per_s", count, _messages_per_s(cluster))
    cluster.log.down = True
    _print("members.outage_messages_per_s", count, _messages_per_s(cluster))
    cluster.log.down = False
    homes = HomeMap(address_of(0))
    homes.set_members(address_of(number) for number in range(count))
    engines = [f"10.9.{number // 250}.{number % 250}:80" for number in range(ENGINES)]
    old = {engine: homes.home_of(engine) for engine in engines}
    remaining = [address_of(number) for number in range(count) if number != count // 2]
    _, change_ms = _timed(lambda: _change_members(homes, remaining, engines))
    moved = sum(homes.home_of(engine) != old[engine] for engine in engines)
    _print("homes.change_ms", count, change_ms)
    _print("homes.moved_of_600", count, moved)


def _change_members(homes: HomeMap, members: list[str], engines: list[str]) -> None:
    homes.set_members(members)
    for engine in engines:
        homes.home_of(engine)


def _messages_per_s(cluster: Cluster) -> float:
    before = cluster.network.messages
    cluster.run(MEASURE_S, 0.5)
    return (cluster.network.messages - before) / MEASURE_S / len(cluster.apps)


def _tables(rows: int) -> Tables:
    routes = {f"route-{number}": Versioned(_route(number), number) for number in range(rows)}
    pools = {"assistant": Versioned(_pool(), 0)}
    edit_ids = {
        hashlib.sha256(str(number).encode()).hexdigest()[:24]: number
        for number in range(EDIT_IDS)
    }
    return Tables(routes, pools, edit_ids, rows)


def _route(number: int, **fields: int) -> Route:
    return Route(
        name=f"route-{number}",
        workspace=f"workspace-{number}",
        callers=(hashlib.sha256(str(number).encode()).hexdigest(),),
        models=("atlas",),
        pool="assistant",
        **fields,  # type: ignore[arg-type]
    )


def _pool(targets: int = ENGINES, **fields: float) -> Pool:
    entries = tuple(
        TargetEntry(address=f"10.9.{number // 250}.{number % 250}:80", domain="a")
        for number in range(targets)
    )
    return Pool(
        name="assistant",
        kind=PoolKind.ENGINE,
        model="atlas",
        targets=entries,
        **fields,  # type: ignore[arg-type]
    )


def _change(row: Row, version: int) -> Change:
    is_route = isinstance(row, Route)
    return Change(
        table=TableName.ROUTES if is_route else TableName.POOLS,
        name=row.name,
        action=Action.PUT,
        expected_version=version,
        route=row if isinstance(row, Route) else None,
        pool=row if isinstance(row, Pool) else None,
    )


def _timed(call: Callable[[], Result]) -> tuple[Result, float]:
    started = time.perf_counter()
    result = call()
    return result, (time.perf_counter() - started) * 1e3


def _print(name: str, size: int, value: float) -> None:
    print(
        f"{name} {size} {value:.4g}" if isinstance(value, float) else f"{name} {size} {value}"
    )


if __name__ == "__main__":
    main()
