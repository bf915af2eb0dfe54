"""The desired state that operators publish, as one immutable value."""

from __future__ import annotations

import enum
from functools import cached_property
from typing import TYPE_CHECKING

import attrs

from agaterail.decisions.cachepool import workspace_id
from agaterail.decisions.urgency import rank_priorities

if TYPE_CHECKING:
    from agaterail.decisions.allowances import Allowance


class RequestKind(enum.Enum):
    """Whether and how requests of a route may be retried."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@attrs.frozen
class ServiceShare:
    """Weight of one service in a route's traffic split."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """Rule that maps requests by host and path prefix to services.

    Attributes
    ----------
    path_prefix
        Raw bytes that the request's path starts with; ends with a slash.
    timeout_s
        Seconds until the last byte must be sent.
    objective_s
        Latency objective in seconds: up to it an answer has its full value to the caller.
    gap_objective_s
        Longest gap in seconds between events of a stream that counts as on time.
    prompted
        Whether requests identify the parts of their prompt.
    resumable
        Whether a broken stream may be resumed at another target.
    """

    name: str
    host: str
    path_prefix: bytes
    kind: RequestKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    objective_s: float
    gap_objective_s: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    prompted: bool = False
    resumable: bool = False

    @property
    def idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RequestKind.SAFE or (
            self.kind is RequestKind.STREAM and self.resumable
        )


@attrs.frozen(kw_only=True)
class EngineTraits:
    """Properties that all engines of a service share.

    Attributes
    ----------
    slots
        Requests that an engine processes concurrently.
    kv_tokens
        Capacity of an engine's KV cache in tokens.
    kv_bytes_per_token
        Bytes of KV cache per token.
    link_mbps
        Bandwidth for transfers of KV cache in Mbit/s.
    """

    slots: int
    kv_tokens: int
    kv_bytes_per_token: float
    link_mbps: float
    models: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Service:
    """One service, under whose name its targets register."""

    name: str
    max_connections: int
    engine: EngineTraits | None = None


@attrs.frozen(kw_only=True)
class KvStoreSpec:
    """A store outside the engines that keeps KV cache."""

    name: str
    address: str
    domain: str
    link_mbps: float


@attrs.frozen(kw_only=True)
class Workspace:
    """One workspace and its API keys.

    Attributes
    ----------
    priority
        Overrides the route's priority; None keeps the route's.
    isolated
        Whether the workspace shares no cached prompt parts with other workspaces.
    allowance
        What it may send to targets; None if that is not limited.
    """

    name: str
    api_keys: tuple[str, ...]
    priority: int | None = None
    isolated: bool = False
    allowance: Allowance | None = None

    @cached_property
    def id(self) -> int:
        """Return the id of the workspace in records."""
        return workspace_id(self.name)


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Size limits and timeouts of a caller's requests."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen(kw_only=True)
class DesiredState:
    """One version of everything that operators configure.

    Attributes
    ----------
    longest_stream_s
        Longest time limit in seconds of routes whose streams may be resumed.
    prompted_services
        Services of engines that routes with prompts lead to.
    engine_priorities
        Priorities that engines get with prompts, by the effective priority and that of
        the route; empty where the effective priority is all that counts.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    kv_stores: tuple[KvStoreSpec, ...]
    workspaces: tuple[Workspace, ...]
    limits: CallerLimits
    routes_by_host: dict[str, list[Route]] = attrs.field(init=False)
    workspace_by_key: dict[str, Workspace] = attrs.field(init=False)
    workspace_by_name: dict[str, Workspace] = attrs.field(init=False)
    has_allowances: bool = attrs.field(init=False)
    longest_stream_s: float = attrs.field(init=False)
    prompted_services: tuple[str, ...] = attrs.field(init=False)
    engine_priorities: dict[tuple[int, int], int] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Index routes by host, longest prefix first, and workspaces by key."""
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        by_key = {key: item for item in self.workspaces for key in item.api_keys}
        object.__setattr__(self, "routes_by_host", by_host)
        object.__setattr__(self, "workspace_by_key", by_key)
        by_name = {item.name: item for item in self.workspaces}
        object.__setattr__(self, "workspace_by_name", by_name)
        limited = any(item.allowance is not None for item in self.workspaces)
        object.__setattr__(self, "has_allowances", limited)
        streams = (route.timeout_s for route in self.routes if route.resumable)
        object.__setattr__(self, "longest_stream_s", max(streams, default=0.0))
        object.__setattr__(self, "prompted_services", self._prompted_services())
        priorities = rank_priorities(
            (item.priority for item in self.workspaces),
            (route.priority for route in self.routes if route.prompted),
        )
        object.__setattr__(self, "engine_priorities", priorities)

    def _prompted_services(self) -> tuple[str, ...]:
        """Return the services of engines that routes with prompts lead to."""
        prompted = {
            share.service for route in self.routes if route.prompted for share in route.shares
        }
        return tuple(
            item.name
            for item in self.services.values()
            if item.engine is not None and item.name in prompted
        )

    @property
    def has_workspaces(self) -> bool:
        """Return whether requests need an API key."""
        return bool(self.workspaces)

    def match(self, host: str, path: bytes) -> Route | None:
        """Return the route whose prefix is the longest match of the path."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def pick_service(route: Route, number: float) -> str:
    """Return the service of a route's traffic split for a number in [0, 1)."""
    total = sum(share.weight for share in route.shares)
    left = number * total
    for share in route.shares:
        left -= share.weight
        if left < 0.0:
            return share.service
    return route.shares[-1].service
