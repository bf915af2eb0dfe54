"""The ``quarantine`` command: list and lift quarantines of requests and parts."""

from __future__ import annotations

import socket
import sys
from datetime import UTC, datetime
from typing import TYPE_CHECKING

from returns.result import Success

from agaterail.decisions.requestkeys import id_digest
from agaterail.gateway.controlstore import Feed, PartQuarantined
from agaterail.platform.store import PlatformStore
from agaterail.util.address import Address

if TYPE_CHECKING:
    from agaterail.gateway.controlstore import ControlStore, Quarantine, StoreError

EXIT_FAILED = 1
EXIT_USAGE = 2


def quarantine(address: str, lift: str, request_id: str) -> int:
    """List the quarantined requests and parts, or lift one; return the exit status.

    Parameters
    ----------
    address
        Address of the platform's store.
    lift
        Key of the request or part to lift; empty to list all.
    request_id
        Id of a request by which to look a quarantine up; empty to list all.
    """
    try:
        store = PlatformStore(Address.parse(address), partitions_per_topic=1)
    except ValueError as error:
        print(f"--store: {error}", file=sys.stderr)
        return EXIT_USAGE
    try:
        return _list_or_lift(store, address, lift, request_id)
    finally:
        store.connections.close()


def _list_or_lift(store: ControlStore, address: str, lift: str, request_id: str) -> int:
    listed = store.listing(Feed.CRASHES)
    if not isinstance(listed, Success):
        return _fail(address, listed.failure())
    verdicts = {
        change.part: change.quarantine
        for change in store.decode(Feed.CRASHES, listed.unwrap().records)
        if isinstance(change, PartQuarantined) and change.quarantine is not None
    }
    if lift:
        return _lift(store, address, lift, lift in verdicts)
    for key, verdict in sorted(verdicts.items()):
        if not request_id or id_digest(request_id) in verdict.requests:
            print(f"{key} crashes={verdict.crashes}{_since(verdict)}")
    return 0


def _since(verdict: Quarantine) -> str:
    """Return when a verdict was reached, if its record says so."""
    if not verdict.decided_at:
        return ""
    return f" since={datetime.fromtimestamp(verdict.decided_at, UTC):%Y-%m-%dT%H:%M:%SZ}"


def _lift(store: ControlStore, address: str, part: str, is_known: bool) -> int:
    if not is_known:
        print(f"{part} is not in quarantine.", file=sys.stderr)
        return EXIT_FAILED
    stored = store.append_crashes([PartQuarantined(part, None)], socket.gethostname())
    return 0 if isinstance(stored, Success) else _fail(address, stored.failure())


def _fail(address: str, error: StoreError) -> int:
    print(f"The store at {address} did not answer: {error.kind.value}", file=sys.stderr)
    return EXIT_FAILED
