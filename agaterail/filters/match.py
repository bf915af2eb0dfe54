"""Match a request to a route by caller, model, path and method."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from agaterail import chat, errors
from agaterail.filters import Filter
from agaterail.tables import NO_VERSION, Tables

if TYPE_CHECKING:
    from agaterail.application import Application
    from agaterail.exchange import Exchange, Reply
    from agaterail.filters import Proceed
    from agaterail.tables import Route

CHAT_PATH = "/v1/chat/completions"
DEADLINE_HEADER = "x-deadline-ms"


class MatchFilter(Filter):
    """Finds the route of a request and parses chat completions."""

    order = 200

    def __init__(self) -> None:
        self.index = CallerIndex()

    def handle(self, exchange: Exchange, proceed: Proceed) -> Result[Reply, errors.Failure]:
        """Reject a request that no route serves."""
        if exchange.tables.through == NO_VERSION:
            return Failure(errors.Failure(errors.ErrorKind.TABLES_UNAVAILABLE))
        routes = self.index.routes_of(exchange.tables, exchange.caller)
        if not routes:
            return Failure(errors.Failure(errors.ErrorKind.UNAUTHENTICATED))
        if exchange.path == CHAT_PATH:
            parsed = chat.parse(exchange.body)
            if not isinstance(parsed, Success):
                return Failure(errors.Failure(errors.ErrorKind.BAD_REQUEST, parsed.failure()))
            exchange.chat = parsed.unwrap()
        route = _match(routes, exchange)
        if route is None:
            return Failure(errors.Failure(errors.ErrorKind.NO_ROUTE))
        exchange.route = route
        exchange.pool = exchange.tables.pool_of(route)
        exchange.deadline_at = exchange.received_at + _deadline_ms(exchange, route) / 1e3
        return proceed(exchange)


class CallerIndex:
    """Index of routes by caller, rebuilt when the routes change."""

    def __init__(self) -> None:
        self.routes: object = None
        self.by_caller: dict[str, list[Route]] = {}

    def routes_of(self, tables: Tables, caller: str) -> list[Route]:
        """Return the routes that a caller may use, sorted by name."""
        if tables.routes is not self.routes:
            self.routes = tables.routes
            self.by_caller = _group_by_caller(tables)
        return self.by_caller.get(caller, [])


def _group_by_caller(tables: Tables) -> dict[str, list[Route]]:
    grouped: dict[str, list[Route]] = {}
    for name in sorted(tables.routes):
        route = tables.routes[name].row
        for caller in route.callers:
            grouped.setdefault(caller, []).append(route)
    return grouped


def _match(routes: list[Route], exchange: Exchange) -> Route | None:
    if exchange.chat is not None:
        model = exchange.chat.model
        return next((route for route in routes if model in route.models), None)
    matching = [
        route
        for route in routes
        if route.path_prefix
        and exchange.path.startswith(route.path_prefix)
        and (not route.methods or exchange.method in route.methods)
    ]
    return max(matching, key=lambda route: len(route.path_prefix), default=None)


def _deadline_ms(exchange: Exchange, route: Route) -> float:
    text = exchange.headers.get(DEADLINE_HEADER, "")
    if text.isdecimal() and 0 < int(text) < route.deadline_ms:
        return float(text)
    return route.deadline_ms


def setup(app: Application) -> None:
    """Register the filter."""
    app.add_filter(MatchFilter())
