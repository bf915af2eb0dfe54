"""HTTP client for model engines (docs/internals/protocols)."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from agaterail.engines import (
    CacheContents,
    CacheEvent,
    CacheEventKind,
    CacheEvents,
    Engine,
    EngineOrder,
    EngineReply,
    EngineRequest,
    EngineState,
    LoadReport,
    OrderAnswer,
)
from agaterail.util.httpconn import HttpConnections, Response, SendError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from agaterail.util.address import Address
from agaterail.util.untrusted import DecodeError, load_json, load_msgpack

HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_ACCEPTED = 202
CONTROL_TIMEOUT_S = 2.0
TRANSFER_TIMEOUT_S = 5.0
# Homes store only the leading bytes of a key; the remaining bytes would be most of what
# an engine sends.
KEY_BYTES = 8


class HttpEngineReply(EngineReply):
    """Answer of an engine, read from a persistent connection."""

    def __init__(self, response: Response) -> None:
        self.response = response
        self.status = response.status_code
        self.request_id = str(response.get("x-request-id", ""))
        self.weights_version = str(response.get("x-weights-version", ""))
        self.refused = response.get("x-not-run") == "true"
        hint = response.get("retry-after")
        self.retry_after_s = _decode_seconds(hint)

    def read_available(self) -> bytes:
        """Return the next bytes, or empty bytes at the end; raises OSError."""
        return self.response.read_available()

    def set_read_timeout(self, seconds: float) -> None:
        """Set the timeout of each later read."""
        self.response.set_read_timeout(seconds)

    def discard(self) -> None:
        """Close the connection immediately."""
        self.response.discard()


class HttpEngine(Engine):
    """Client of one engine over HTTP; control calls use separate connections."""

    def __init__(self, address: Address) -> None:
        self.requests = HttpConnections(address)
        self.control = HttpConnections(address)

    def open(self, request: EngineRequest) -> Result[EngineReply, SendError]:
        """Send a request and return the head of the answer."""
        return self._send("/v1/chat/completions", request)

    def resume(self, request: EngineRequest) -> Result[EngineReply, SendError]:
        """Continue the stream of a request at its ``position``."""
        return self._send("/resume", request)

    def cancel(self, request_id: str) -> Result[None, str]:
        """Cancel a request."""
        return self._call("POST", "/cancel", {"request_id": request_id}).map(lambda _: None)

    def events(self, after: int, wait_s: float) -> Result[CacheEvents, str]:
        """Fetch the cache events after a sequence number, with the load."""
        path = (
            f"/events?after={after}&wait_ms={int(wait_s * 1e3)}&load=1&key_bytes={KEY_BYTES}"
        )
        fetched = self._fetch(path, CONTROL_TIMEOUT_S + wait_s)
        return fetched.bind(_parse_msgpack).bind(_parse_events)

    def contents(self) -> Result[CacheContents, str]:
        """Fetch all cached keys."""
        fetched = self._fetch(f"/cache?key_bytes={KEY_BYTES}", TRANSFER_TIMEOUT_S)
        return fetched.bind(_parse_msgpack).bind(_parse_contents)

    def order(self, order: EngineOrder) -> Result[OrderAnswer, str]:
        """Send an order; after a failed call it may or may not have been accepted."""
        fields = {
            "order_id": order.order_id,
            "fencing": order.fencing,
            "model": order.model,
            "weights_version": order.weights_version,
            "adapters": list(order.adapters),
            "role": order.role,
        }
        body = json.dumps(fields).encode()
        answer = self.control.call("POST", "/orders", body, timeout_s=CONTROL_TIMEOUT_S)
        if not isinstance(answer, Success):
            return Failure(str(answer.failure()))
        status, _ = answer.unwrap()
        answers = {
            HTTP_OK: OrderAnswer.DONE,
            HTTP_ACCEPTED: OrderAnswer.STARTED,
            HTTP_CONFLICT: OrderAnswer.STALE,
        }
        return Success(answers.get(status, OrderAnswer.FAILED))

    def state(self) -> Result[EngineState, str]:
        """Read the engine's current state."""
        return self._call("GET", "/state").bind(_parse_state)

    def export_blocks(self, keys: Sequence[bytes], store: str) -> Result[int, str]:
        """Have the engine copy blocks to the KV store at ``store``; return their number."""
        fields = {"keys": [key.hex() for key in keys], "store": store}
        answer = self._call("POST", "/kv/export", fields, TRANSFER_TIMEOUT_S)
        return answer.map(lambda body: int(body.get("blocks", 0)))

    def import_blocks(self, keys: Sequence[bytes], source: str) -> Result[int, str]:
        """Have the engine copy blocks from a KV store at ``source``; return their number."""
        fields = {"keys": [key.hex() for key in keys], "source": source}
        answer = self._call("POST", "/kv/import", fields, TRANSFER_TIMEOUT_S)
        return answer.map(lambda body: int(body.get("blocks", 0)))

    def _send(self, path: str, request: EngineRequest) -> Result[EngineReply, SendError]:
        headers = {
            "content-type": "application/json",
            "x-request-id": request.request_id,
            "x-cache-salt": request.cache_salt,
            "x-priority": str(request.priority),
            "x-position": str(request.position),
            "x-expect-weights": request.weights_version,
        }
        sent = self.requests.send(
            "POST", path, request.body, headers, timeout_s=request.deadline_ms / 1e3
        )
        return sent.map(HttpEngineReply)

    def _call(
        self,
        method: str,
        path: str,
        fields: dict[str, Any] | None = None,
        timeout_s: float = CONTROL_TIMEOUT_S,
    ) -> Result[dict[str, Any], str]:
        body = b"" if fields is None else json.dumps(fields).encode()
        return self._fetch(path, timeout_s, method, body).bind(_parse_json)

    def _fetch(
        self, path: str, timeout_s: float, method: str = "GET", body: bytes = b""
    ) -> Result[bytes, str]:
        answer = self.control.call(method, path, body, timeout_s=timeout_s)
        if not isinstance(answer, Success):
            return Failure(str(answer.failure()))
        status, data = answer.unwrap()
        return Success(data) if status == HTTP_OK else Failure(f"status {status}")


def _decode_seconds(hint: object) -> float | None:
    """Return a number of seconds; None if there is none or it is malformed."""
    try:
        seconds = float(hint) if isinstance(hint, str) else math.nan
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds >= 0.0 else None


def _parse_json(data: bytes) -> Result[dict[str, Any], str]:
    try:
        return _require_object(load_json(data))
    except DecodeError as error:
        return Failure(f"malformed answer: {error}")


def _parse_msgpack(data: bytes) -> Result[dict[str, Any], str]:
    try:
        return _require_object(load_msgpack(data))
    except DecodeError as error:
        return Failure(f"malformed answer: {error}")


def _require_object(value: object) -> Result[dict[str, Any], str]:
    if not isinstance(value, dict):
        return Failure("malformed answer: not an object")
    return Success(value)


def _parse_state(fields: dict[str, Any]) -> Result[EngineState, str]:
    try:
        return Success(EngineState(**{**fields, "adapters": tuple(fields["adapters"])}))
    except (TypeError, KeyError) as error:
        return Failure(f"malformed state: {error}")


def _parse_events(fields: dict[str, Any]) -> Result[CacheEvents, str]:
    try:
        events = [
            CacheEvent(number, CacheEventKind(kind), _split_keys(keys))
            for number, kind, keys in fields["events"]
        ]
        load = LoadReport(**fields["load"]) if "load" in fields else None
        return Success(CacheEvents(fields["incarnation"], events, fields["last"], load))
    except (TypeError, KeyError, ValueError) as error:
        return Failure(f"malformed events: {error}")


def _parse_contents(fields: dict[str, Any]) -> Result[CacheContents, str]:
    try:
        keys = _split_keys(fields["keys"])
        return Success(CacheContents(fields["incarnation"], fields["sequence"], keys))
    except (TypeError, KeyError, ValueError) as error:
        return Failure(f"malformed contents: {error}")


def _split_keys(joined: bytes) -> tuple[bytes, ...]:
    return tuple(
        joined[start : start + KEY_BYTES] for start in range(0, len(joined), KEY_BYTES)
    )
