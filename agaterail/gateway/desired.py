"""The desired state that operators publish, as one immutable value."""

from __future__ import annotations

import enum

import attrs


class RequestKind(enum.Enum):
    """What may be repeated of a route's requests."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@attrs.frozen
class ServiceShare:
    """Part of a route's requests that goes to one service."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """One route.

    Attributes
    ----------
    path_prefix
        Raw bytes that the request's path begins with; ends with a slash.
    timeout_s
        Seconds within which the operator wants the last byte sent.
    objective_s
        Seconds within which an answer is fully useful to its caller.
    gap_objective_s
        Longest pause between events of a stream that is still on time.
    prompted
        Requests name the parts of their prompt.
    resumable
        A broken stream may be continued at another target.
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
        """Tell whether a request may run more than once."""
        return self.kind is RequestKind.SAFE or (
            self.kind is RequestKind.STREAM and self.resumable
        )


@attrs.frozen(kw_only=True)
class EngineTraits:
    """What all engines of a service have in common.

    Attributes
    ----------
    slots
        Requests that an engine processes at once.
    kv_tokens
        Tokens that an engine's KV cache holds.
    kv_bytes_per_token
        Bytes of KV cache for one token.
    link_mbps
        Megabits per second at which an engine moves KV cache.
    """

    slots: int
    kv_tokens: int
    kv_bytes_per_token: float
    link_mbps: float
    models: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Service:
    """One service: its targets register themselves under its name."""

    name: str
    max_connections: int
    engine: EngineTraits | None = None


@attrs.frozen(kw_only=True)
class KvStoreSpec:
    """A store of kept KV cache beside the engines."""

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
        Goes before the route's priority; None leaves the route's.
    isolated
        Shares no cached prompt part with any other workspace.
    """

    name: str
    api_keys: tuple[str, ...]
    priority: int | None = None
    isolated: bool = False


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Bounds on what a caller may send and how long it may take."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen(kw_only=True)
class DesiredState:
    """Everything that operators set, of one version."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    kv_stores: tuple[KvStoreSpec, ...]
    workspaces: tuple[Workspace, ...]
    limits: CallerLimits
    routes_by_host: dict[str, list[Route]] = attrs.field(init=False)
    workspace_by_key: dict[str, Workspace] = attrs.field(init=False)

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

    @property
    def has_workspaces(self) -> bool:
        """Tell whether requests need a key at all."""
        return bool(self.workspaces)

    def match(self, host: str, path: bytes) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def pick_service(route: Route, number: float) -> str:
    """Return the service of a route's split for a number from 0 up to 1."""
    total = sum(share.weight for share in route.shares)
    left = number * total
    for share in route.shares:
        left -= share.weight
        if left < 0.0:
            return share.service
    return route.shares[-1].service
