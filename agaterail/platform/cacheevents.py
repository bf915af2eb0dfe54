"""Client for the cache events of KV stores."""

from __future__ import annotations

from typing import Any

from returns.result import Failure, Result, Success

from agaterail.gateway.inbound import normalize_part_name
from agaterail.gateway.kvstoreindex import CacheChange, CacheChangeBatch, CacheFeed
from agaterail.platform import fields, names
from agaterail.platform.fields import MalformedError
from agaterail.util.httpconn import ConnectionsByAddress
from agaterail.util.untrusted import load_json

CONNECT_TIMEOUT_S = 0.3
# Time beyond the requested wait before a long poll times out.
LONG_POLL_MARGIN_S = 0.6
HTTP_OK = 200
S_PER_MS = 1e-3
# An event is [number, sign, scope, part, tokens still held, model].
EVENT_FIELDS = 6


class PlatformCacheFeed(CacheFeed):
    """Reads cache events over HTTP, on persistent connections to each store."""

    def __init__(self) -> None:
        self.stores = ConnectionsByAddress(CONNECT_TIMEOUT_S)

    def follow(self, address: str, since: int, wait_s: float) -> Result[CacheChangeBatch, str]:
        """Return the changes from an event number on, waiting up to ``wait_s`` for one."""
        called = self.stores.to(address).call(
            "GET",
            f"{names.CACHE_EVENTS_PATH}?since={since}",
            headers={names.WAIT_MS: str(int(wait_s / S_PER_MS))},
            timeout_s=wait_s + LONG_POLL_MARGIN_S,
            answer_s=wait_s + LONG_POLL_MARGIN_S,
        )
        if not isinstance(called, Success):
            return Failure(called.failure().reason)
        status, body = called.unwrap()
        if status != HTTP_OK:
            return Failure(f"status {status}")
        try:
            return Success(decode_cache_changes(body))
        except ValueError as error:  # MalformedError and DecodeError
            return Failure(str(error))


def decode_cache_changes(body: bytes) -> CacheChangeBatch:
    """Decode the body of an answer.

    Raises
    ------
    ValueError
        If the body is malformed.
    """
    answer = fields.json_object(load_json(body), "the answer")
    events = fields.array(answer, "events")
    return CacheChangeBatch(
        epoch=fields.integer(answer, "boot_epoch"),
        next_number=fields.integer(answer, "next"),
        changes=tuple(_decode_change(event) for event in events),
    )


def _decode_change(event: Any) -> CacheChange:
    if not isinstance(event, list) or len(event) < EVENT_FIELDS:
        raise MalformedError("an event is not a list of six fields")
    sign, scope, part = event[1:4]
    if not isinstance(scope, str) or not isinstance(part, str):
        raise MalformedError("an event has no scope or part name")
    # A partially evicted part counts as not held, because a prompt needs all of it.
    return CacheChange(scope, normalize_part_name(part), held=sign == "+")
