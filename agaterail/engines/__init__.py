"""Interface to model engines."""

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
        Scope of the cached blocks; requests with different salts share no blocks.
    weights_version
        Required weights version; an engine with another one refuses. Empty for any.
    position
        Number of the first event to send; greater than 0 only to resume a stream.
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
    """Head of an engine's answer, whose body is still arriving.

    Attributes
    ----------
    status
        HTTP status.
    request_id
        Id of the attempt that the engine says it answers.
    weights_version
        Weights version that produced the answer.
    refused
        Whether the engine states, in the form that its protocol defines, that the
        request did not run.
    """

    status: int
    request_id: str
    weights_version: str
    refused: bool
    retry_after_s: float | None

    @abc.abstractmethod
    def read_available(self) -> bytes:
        """Return the next bytes, or empty bytes at the end; raises OSError."""

    @abc.abstractmethod
    def set_read_timeout(self, seconds: float) -> None:
        """Set the timeout of each later read."""

    @abc.abstractmethod
    def discard(self) -> None:
        """Close the connection immediately."""


@attrs.frozen(kw_only=True)
class LoadReport:
    """Load of an engine, as of ``age_ms`` milliseconds ago.

    Attributes
    ----------
    waiting_prefill_tokens
        Tokens of waiting requests that must still be prefilled.
    accepted
        Number of requests that the engine accepted since its start.
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
        Load report sent with the events, if any.
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
    """Complete desired state of an engine, with the fencing number of the lease."""

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
    """State that an engine reports of itself."""

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
        """Cancel a request."""

    @abc.abstractmethod
    def events(self, after: int, wait_s: float) -> Result[CacheEvents, str]:
        """Fetch the cache events after a sequence number, with the load."""

    @abc.abstractmethod
    def contents(self) -> Result[CacheContents, str]:
        """Fetch all cached keys."""

    @abc.abstractmethod
    def order(self, order: EngineOrder) -> Result[OrderAnswer, str]:
        """Send an order; after a failed call it may or may not have been accepted."""

    @abc.abstractmethod
    def state(self) -> Result[EngineState, str]:
        """Read the engine's current state."""

    @abc.abstractmethod
    def export_blocks(self, keys: Sequence[bytes], store: str) -> Result[int, str]:
        """Have the engine copy blocks to the KV store at ``store``; return their number."""

    @abc.abstractmethod
    def import_blocks(self, keys: Sequence[bytes], source: str) -> Result[int, str]:
        """Have the engine copy blocks from a KV store at ``source``; return their number."""
