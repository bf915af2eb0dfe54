"""Model engines, behind one interface."""

from __future__ import annotations

import abc
import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result

    from agaterail.util.httpconn import SendError


@attrs.frozen(kw_only=True)
class EngineRequest:
    """One chat completion as sent to an engine.

    Attributes
    ----------
    request_id
        Id of this attempt; the engine repeats it in its answer.
    cache_salt
        Scope of the cached blocks: requests with other salts share none.
    weights_version
        Weights that must answer; an engine with others refuses. Empty for any.
    position
        First event wanted; larger than 0 only to resume a stream.
    """

    request_id: str
    body: bytes
    cache_salt: str
    priority: int
    deadline_ms: int
    weights_version: str = ""
    position: int = 0
    stream: bool = True


class EngineReply(abc.ABC):
    """Answer head of an engine with a body that is still arriving.

    Attributes
    ----------
    status
        HTTP status.
    request_id
        Id that the engine says the answer is for.
    weights_version
        Weights that produced the answer.
    refused
        The engine says, in the form its protocol defines, that it did not run.
    """

    status: int
    request_id: str
    weights_version: str
    refused: bool
    retry_after_s: float | None

    @abc.abstractmethod
    def read_available(self) -> bytes:
        """Return the next bytes, or nothing at the end; raises OSError."""

    @abc.abstractmethod
    def set_read_timeout(self, seconds: float) -> None:
        """Bound the wait of each later read."""

    @abc.abstractmethod
    def discard(self) -> None:
        """Close the connection at once."""


@attrs.frozen(kw_only=True)
class LoadReport:
    """Load of an engine as it was ``age_ms`` ago.

    Attributes
    ----------
    waiting_prefill_tokens
        Tokens of waiting requests that must still be prefilled.
    accepted
        Number of requests that the engine had accepted since it started.
    """

    incarnation: str
    weights_version: str
    model: str
    running: int
    waiting: int
    waiting_prefill_tokens: int
    accepted: int
    cached_blocks: int
    capacity_blocks: int
    prefill_ms_per_token: float
    decode_ms_per_token: float
    age_ms: float
    draining: bool = False
    role: str = "serve"


class CacheEventKind(enum.Enum):
    """What happened to blocks of an engine's cache."""

    STORED = "s"
    EVICTED = "e"
    CLEARED = "c"


@attrs.frozen
class CacheEvent:
    """One numbered event of an engine's cache."""

    sequence: int
    kind: CacheEventKind
    keys: tuple[bytes, ...] = ()


@attrs.frozen
class CacheEvents:
    """Events after a sequence number, of one incarnation of the engine.

    Attributes
    ----------
    load
        Load report that came with the events, if any.
    """

    incarnation: str
    events: Sequence[CacheEvent]
    last_sequence: int
    load: LoadReport | None = None


@attrs.frozen
class CacheContents:
    """All keys that an engine holds, as of a sequence number."""

    incarnation: str
    sequence: int
    keys: tuple[bytes, ...]


@attrs.frozen(kw_only=True)
class EngineOrder:
    """Absolute desired state of an engine, with the fencing number of the lease."""

    order_id: str
    fencing: int
    model: str
    weights_version: str
    adapters: tuple[str, ...]
    role: str


class OrderAnswer(enum.Enum):
    """How an engine answered an order."""

    DONE = "done"
    STARTED = "started"
    STALE = "stale"
    FAILED = "failed"


@attrs.frozen(kw_only=True)
class EngineState:
    """State of an engine as read back."""

    incarnation: str
    model: str
    weights_version: str
    adapters: tuple[str, ...]
    role: str
    loading: bool
    fencing: int
    healthy: bool = True
    cached_blocks: int = 0


class Engine(abc.ABC):
    """Client of one model engine."""

    @abc.abstractmethod
    def open(self, request: EngineRequest) -> Result[EngineReply, SendError]:
        """Send a request and return the head of the answer."""

    @abc.abstractmethod
    def resume(self, request: EngineRequest) -> Result[EngineReply, SendError]:
        """Continue the stream of a request at its ``position``."""

    @abc.abstractmethod
    def cancel(self, request_id: str) -> Result[None, str]:
        """Stop a request."""

    @abc.abstractmethod
    def events(self, after: int, wait_s: float) -> Result[CacheEvents, str]:
        """Fetch the cache events after a sequence number, with the load."""

    @abc.abstractmethod
    def contents(self) -> Result[CacheContents, str]:
        """Fetch all cached keys."""

    @abc.abstractmethod
    def order(self, order: EngineOrder) -> Result[OrderAnswer, str]:
        """Give an order; a failed call leaves open whether it was taken."""

    @abc.abstractmethod
    def state(self) -> Result[EngineState, str]:
        """Read the engine's state back."""

    @abc.abstractmethod
    def export_blocks(self, keys: Sequence[bytes], store: str) -> Result[int, str]:
        """Have blocks copied to the KV store at ``store``; returns how many were."""

    @abc.abstractmethod
    def import_blocks(self, keys: Sequence[bytes], source: str) -> Result[int, str]:
        """Have blocks copied in from the KV store at ``source``."""
