"""Measure the cost of a change of a large desired state for a reader and its peers.

Prints bytes and milliseconds of the whole state and of a change of one row, and the
memory of the retained versions.
"""

from __future__ import annotations

import json
import random
import time
import tracemalloc
from functools import partial
from typing import TYPE_CHECKING, Any, TypeVar

import fire

from agaterail.gateway import documents
from agaterail.gateway.controlstore import DocumentRecord, Reading
from agaterail.gateway.relayed.documents import MAX_VERSIONS, DocumentFeed
from agaterail.platform.desired import DesiredDecoder
from agaterail.util.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from agaterail.gateway.controlstore import Record
    from agaterail.gateway.desired import DesiredState
    from agaterail.gateway.documents import Document
    from agaterail.gateway.relayed import PackedRecord

NAME_CHARACTERS = "abcdefghijklmnopqrstuvwxyz0123456789"
KEY_LENGTH, NAME_LENGTH = 20, 7
MB = 1e6

Result = TypeVar("Result")


def make_state(version: int, routes: int, workspaces: int) -> bytes:
    """Return an encoded state with random names and keys from a fixed seed."""
    rng = random.Random(1)

    def name(length: int) -> str:
        return "".join(rng.choices(NAME_CHARACTERS, k=length))

    rows: list[dict[str, Any]] = [
        {
            "name": f"r-{name(NAME_LENGTH)}",
            "host": f"h{number % 30}.example",
            "path_prefix": f"/{name(NAME_LENGTH)}/",
            "kind": "safe",
            "service": "s",
            "timeout_ms": 1500,
            "target_latency_ms": 400,
            "max_attempts": 2,
        }
        for number in range(routes)
    ]
    tenants: list[dict[str, Any]] = [
        {
            "name": name(NAME_LENGTH),
            "api_keys": [name(KEY_LENGTH), name(KEY_LENGTH)],
            "priority": 1,
            "isolated": False,
        }
        for _ in range(workspaces)
    ]
    changed = rows or tenants
    changed[len(changed) // 2]["priority"] = version
    state = {"version": version, "routes": rows, "services": [], "tenants": tenants}
    return json.dumps(state, separators=(",", ":")).encode()


def main(routes: int = 2800, workspaces: int = 0) -> None:
    """Measure a state with the given number of routes and workspaces."""
    first, second = (make_state(version, routes, workspaces) for version in (1, 2))
    reader, requester, decoder = DocumentFeed(), DocumentFeed(), DesiredDecoder()
    for feed in (reader, requester):
        feed.add_reading(Reading([], 0, 0.0, listed=True))
    print(f"state {len(first) / MB:.2f} MB")
    previous = documents.EMPTY
    for offset, text in enumerate((first, second)):
        label = "change" if offset else "whole"
        document = _timed(f"{label}: parse", partial(_parse, text, previous))
        record = DocumentRecord(offset, "config", document)
        reader.add_reading(Reading([record], offset + 1, 0.0))
        packed = _timed(
            f"{label}: pack", partial(reader.pack_since, offset, requester.base_offsets)
        )
        print(f"{label}: packed {sum(len(item.value) for item in packed or ())} bytes")
        records = _timed(f"{label}: unpack", partial(_unpack, requester, packed or ()))
        requester.add_reading(Reading(records, offset + 1, 0.0))
        _timed(f"{label}: decode", partial(_decode, decoder, document))
        previous = document
    _measure_memory(routes, workspaces)


def _parse(text: bytes, previous: Document) -> Document:
    return documents.parse(text, previous).unwrap()


def _unpack(feed: DocumentFeed, packed: Sequence[PackedRecord]) -> list[Record]:
    return feed.unpack(packed).unwrap()


def _decode(decoder: DesiredDecoder, document: Document) -> DesiredState:
    return decoder.decode(document).unwrap()


def _timed(label: str, work: Callable[[], Result]) -> Result:
    started = time.perf_counter()
    result = work()
    print(f"{label} {(time.perf_counter() - started) * MS_PER_S:.1f} ms")
    return result


def _measure_memory(routes: int, workspaces: int) -> None:
    tracemalloc.start()
    feed, previous = DocumentFeed(), documents.EMPTY
    for offset in range(MAX_VERSIONS):
        previous = documents.parse(make_state(offset, routes, workspaces), previous).unwrap()
        record = DocumentRecord(offset, "config", previous)
        feed.add_reading(Reading([record], offset + 1, 0.0, listed=True))
    print(f"{MAX_VERSIONS} versions {tracemalloc.get_traced_memory()[0] / MB:.1f} MB")


if __name__ == "__main__":
    fire.Fire(main)
