"""Validation of single rows and of references between the two tables."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import attrs

from agaterail.tables import MAX_PRIORITY, Pool, PoolKind, Route, Row, TableName, Tables
from agaterail.util.address import Address

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,99}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
ROLES = ("serve", "prefill", "decode", "standby")
POLICIES = ("cost", "random", "round_robin", "least_in_flight", "pure_hash", "bounded_load")


@attrs.frozen
class TableProblem:
    """One reason why a row or a reference between the tables is invalid."""

    table: TableName
    row: str
    field: str
    found: str
    allowed: str

    def __str__(self) -> str:
        return (
            f"{self.table.value}.{self.row}.{self.field}: "
            f"found {self.found}, allowed {self.allowed}"
        )


def row_problems(row: Row) -> list[TableProblem]:
    """Return all problems of a row that do not depend on other rows."""
    if isinstance(row, Pool):
        return list(_pool_problems(row))
    return list(_route_problems(row))


def cross_table_problems(
    tables: Tables, changed: Iterable[tuple[TableName, str]]
) -> list[TableProblem]:
    """Return the invalid references that the changed rows cause.

    Only changed routes and routes to changed pools are checked, because all other
    routes were valid before and cannot have become invalid.
    """
    routes: set[str] = set()
    pools: set[str] = set()
    for table, name in changed:
        (routes if table is TableName.ROUTES else pools).add(name)
    problems: list[TableProblem] = []
    for name in routes:
        versioned = tables.routes.get(name)
        if versioned is not None:
            problems.extend(_reference_problems(tables, versioned.row))
    if pools:
        for name, versioned in tables.routes.items():
            if versioned.row.pool in pools and name not in routes:
                problems.extend(_reference_problems(tables, versioned.row))
    return sorted(problems, key=lambda problem: problem.row)


def _reference_problems(tables: Tables, route: Route) -> Iterator[TableProblem]:
    versioned = tables.pools.get(route.pool)
    if versioned is None:
        yield TableProblem(
            TableName.ROUTES, route.name, "pool", route.pool, "the name of a pool in force"
        )
        return
    pool = versioned.row
    if pool.kind is PoolKind.ENGINE and pool.model not in route.models:
        yield TableProblem(
            TableName.ROUTES,
            route.name,
            "models",
            _join_names(route.models),
            f"a list with {pool.model}",
        )
    if pool.kind is PoolKind.SERVICE and not route.path_prefix:
        yield TableProblem(
            TableName.ROUTES, route.name, "path_prefix", "nothing", "a path for a service pool"
        )


def _pool_problems(pool: Pool) -> Iterator[TableProblem]:
    def problem(field: str, found: object, allowed: str) -> TableProblem:
        return TableProblem(
            TableName.POOLS, pool.name, field, str(found) or "nothing", allowed
        )

    if not NAME_PATTERN.fullmatch(pool.name):
        yield problem("name", pool.name, "lower-case letters, digits, dot, dash, underscore")
    if not pool.targets:
        yield problem("targets", "none", "at least one target")
    seen: set[str] = set()
    for entry in pool.targets:
        if not _is_address(entry.address):
            yield problem("targets.address", entry.address, "IP:port")
        if not entry.domain:
            yield problem("targets.domain", "nothing", "a failure domain")
        if entry.address in seen:
            yield problem("targets.address", entry.address, "each address once")
        seen.add(entry.address)
    if pool.kind is PoolKind.ENGINE and not pool.model:
        yield problem("model", "nothing", "a model name for an engine pool")
    if pool.role not in ROLES:
        yield problem("role", pool.role, ", ".join(ROLES))
    if pool.policy not in POLICIES:
        yield problem("policy", pool.policy, ", ".join(POLICIES))
    if not 0 <= pool.serving_min <= len(pool.targets):
        yield problem("serving_min", pool.serving_min, f"0 to {len(pool.targets)}")
    for field in ("block_tokens", "token_bytes"):
        if getattr(pool, field) < 1:
            yield problem(field, getattr(pool, field), "1 or more")
    for field in ("prefill_ms_per_token", "decode_ms_per_token", "import_ms_per_block"):
        if getattr(pool, field) < 0:
            yield problem(field, getattr(pool, field), "0 or more")


def _route_problems(route: Route) -> Iterator[TableProblem]:
    def problem(field: str, found: object, allowed: str) -> TableProblem:
        return TableProblem(
            TableName.ROUTES, route.name, field, str(found) or "nothing", allowed
        )

    if not NAME_PATTERN.fullmatch(route.name):
        yield problem("name", route.name, "lower-case letters, digits, dot, dash, underscore")
    if not route.workspace:
        yield problem("workspace", "nothing", "a workspace name")
    if not route.callers:
        yield problem("callers", "none", "at least one SHA-256 digest")
    for digest in route.callers:
        if not DIGEST_PATTERN.fullmatch(digest):
            yield problem("callers", digest, "64 lower-case hex digits")
    if bool(route.models) == bool(route.path_prefix):
        yield problem("models", _join_names(route.models), "either models or path_prefix")
    if route.path_prefix and not route.path_prefix.startswith("/"):
        yield problem("path_prefix", route.path_prefix, "a path that starts with /")
    for field in ("methods", "at_most_once_methods"):
        for method in getattr(route, field):
            if not (method.isalpha() and method.isupper()):
                yield problem(field, method, "HTTP methods in upper case")
    if not 0 <= route.priority <= MAX_PRIORITY:
        yield problem("priority", route.priority, f"0 to {MAX_PRIORITY}")
    if route.deadline_ms < 1:
        yield problem("deadline_ms", route.deadline_ms, "1 or more")
    for field in ("max_concurrency", "tokens_per_s", "miss_weight", "hedge_after_ms"):
        if getattr(route, field) < 0:
            yield problem(field, getattr(route, field), "0 or more")


def _is_address(text: str) -> bool:
    try:
        Address.parse(text)
    except ValueError:
        return False
    return True


def _join_names(names: tuple[str, ...]) -> str:
    return ", ".join(names) or "none"
