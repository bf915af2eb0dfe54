"""Rows of the routes table and the pools table."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import Any, Generic, TypeVar

import attrs

from agaterail.util import interning

DEFAULT_BLOCK_TOKENS = 2000
DEFAULT_TOKEN_BYTES = 4
DEFAULT_DEADLINE_MS = 30_000
DEFAULT_MISS_WEIGHT = 3.0
MAX_PRIORITY = 9
NO_VERSION = -1


class TableName(enum.Enum):
    """The two tables that operators edit."""

    ROUTES = "routes"
    POOLS = "pools"


class PoolKind(enum.Enum):
    """Kind of the targets of a pool."""

    ENGINE = "engine"
    SERVICE = "service"


@attrs.frozen(kw_only=True)
class TargetEntry:
    """One target of a pool and its failure domain."""

    address: str
    domain: str


@attrs.frozen(kw_only=True)
class Pool:
    """A named set of targets and their desired state.

    Attributes
    ----------
    kind
        Whether the targets are model engines or plain services.
    targets
        Addresses in the form IP:port, each with its failure domain.
    model
        Model that the engines should have loaded.
    adapters
        Adapters that the engines should have loaded.
    role
        Role that the engines should be in.
    policy
        Policy that selects a target for each request.
    weights_version, also_serve
        Weights that engines should load, and older weights that engines may
        keep serving until they have loaded them.
    fencing
        Whether the engines reject orders with an old fencing number.
    serving_min
        Number of targets that must keep serving during a rollout.
    block_tokens
        Tokens in one cached block.
    token_bytes
        Prompt bytes that are counted as one token.
    prefill_ms_per_token, decode_ms_per_token
        Estimates used until an engine reports its own values.
    import_ms_per_block
        Estimated time to import one cached block; 0 disables imports.
    """

    name: str
    kind: PoolKind
    targets: tuple[TargetEntry, ...]
    model: str = ""
    weights_version: str = ""
    also_serve: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = "serve"
    fencing: bool = True
    serving_min: int = 1
    block_tokens: int = DEFAULT_BLOCK_TOKENS
    token_bytes: int = DEFAULT_TOKEN_BYTES
    prefill_ms_per_token: float = 0.05
    decode_ms_per_token: float = 10.0
    import_ms_per_block: float = 0.0
    policy: str = "cost"

    def serves(self, weights_version: str) -> bool:
        """Return whether answers from these weights may be sent to callers."""
        if not self.weights_version:
            return True
        return weights_version in (self.weights_version, *self.also_serve)


@attrs.frozen(kw_only=True)
class Route:
    """A named rule that assigns callers and requests to a pool.

    Attributes
    ----------
    workspace
        Workspace within which requests may share cached prefixes.
    pool
        Name of the pool that serves the route.
    callers
        SHA-256 digests, in hex, of the API keys that may use the route.
    models
        Model names served; only for chat completions.
    path_prefix, methods
        Requests served; only for services.
    at_most_once_methods
        HTTP methods whose requests are not idempotent.
    priority
        0 to 9, where larger is more urgent; passed to the engine.
    deadline_ms
        Maximum time to the first byte of the answer.
    max_concurrency, tokens_per_s
        Limits of the route across all hosts; 0 means no limit.
    miss_weight
        Cost of a missing token in units of its own prefill time.
    hedge_after_ms
        Time without a first token after which an idempotent request is also
        sent to a second target; 0 disables hedging.
    resume_elsewhere
        Whether an interrupted stream may be resumed on another engine.
    """

    name: str = attrs.field(converter=interning.intern_string)
    workspace: str = attrs.field(converter=interning.intern_string)
    callers: tuple[str, ...] = attrs.field(converter=interning.intern_strings)
    pool: str = attrs.field(converter=interning.intern_string)
    models: tuple[str, ...] = attrs.field(default=(), converter=interning.intern_strings)
    path_prefix: str = ""
    methods: tuple[str, ...] = ()
    at_most_once_methods: tuple[str, ...] = ()
    priority: int = 5
    deadline_ms: int = DEFAULT_DEADLINE_MS
    max_concurrency: int = 0
    tokens_per_s: int = 0
    miss_weight: float = DEFAULT_MISS_WEIGHT
    hedge_after_ms: int = 0
    resume_elsewhere: bool = True


Row = Route | Pool
R = TypeVar("R", Route, Pool)


@attrs.frozen
class Versioned(Generic[R]):
    """A row with its version, which is the log offset of the edit that last wrote it."""

    row: R
    version: int
    author: str = attrs.field(default="", converter=interning.intern_string)


@attrs.frozen
class Tables:
    """Both tables as of one offset of the log.

    Attributes
    ----------
    through
        Offset of the last folded record; -1 before the first.
    edit_ids
        Ids of recent edits, accepted or rejected, with their offsets.
    """

    routes: Mapping[str, Versioned[Route]] = attrs.field(factory=dict)
    pools: Mapping[str, Versioned[Pool]] = attrs.field(factory=dict)
    edit_ids: Mapping[str, int] = attrs.field(factory=dict)
    through: int = NO_VERSION

    def pool_of(self, route: Route) -> Pool:
        """Return the pool that a valid route refers to."""
        return self.pools[route.pool].row

    def rows_of(self, table: TableName) -> Mapping[str, Versioned[Any]]:
        """Return the rows of one table by name."""
        return self.routes if table is TableName.ROUTES else self.pools

    def version_of(self, table: TableName, name: str) -> int:
        """Return the version of a row, or -1 if it does not exist."""
        versioned = self.rows_of(table).get(name)
        return NO_VERSION if versioned is None else versioned.version
