"""Daemon extension: the ``cost`` policy with exact cache and queue states.

It queries every engine stand-in for each decision, which real engines could
not answer in time. Its results are an upper bound on what better information
about caches and queues can gain.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import attrs
import gevent
from returns.result import Success

from agaterail.policies import Decision, Placement, Policy
from agaterail.util import rendezvous
from agaterail.util.address import Address
from agaterail.util.httpconn import HttpConnections

if TYPE_CHECKING:
    from collections.abc import Sequence

    from agaterail.application import Application
    from agaterail.targets import TargetState

QUERY_TIMEOUT_S = 1.0


@attrs.frozen
class ExactState:
    """Exact cached depth and queueing time of an engine for one prompt."""

    address: str
    blocks: int
    queue_ms: float


class OraclePolicy(Policy):
    """Policy that replaces the ``cost`` policy under the same name."""

    name = "cost"

    def __init__(self) -> None:
        self.connections: dict[str, HttpConnections] = {}

    def choose(self, placement: Placement, targets: Sequence[TargetState]) -> Decision | None:
        """Return the target with the lowest exact cost."""
        if placement.prefix is None:
            return None
        keys = [key.hex() for key in placement.prefix.keys]
        # Rendezvous hash order, so that ties between equal costs do not always go
        # to the same engine.
        addresses = [state.address for state in targets]
        order = rendezvous.ranked(placement.prefix.placement_key, addresses, len(addresses))
        queries = [gevent.spawn(self._query, address, keys) for address in order]
        gevent.joinall(queries)
        known = [greenlet.value for greenlet in queries if greenlet.value is not None]
        decisions = [_decision(placement, exact) for exact in known]
        return min(decisions, key=lambda item: item[0], default=(0.0, None))[1]

    def _query(self, address: str, keys: list[str]) -> ExactState | None:
        connections = self.connections.get(address)
        if connections is None:
            connections = HttpConnections(Address.parse(address))
            self.connections[address] = connections
        body = json.dumps({"keys": keys}).encode()
        answer = connections.call("POST", "/exact", body, timeout_s=QUERY_TIMEOUT_S)
        if not isinstance(answer, Success) or answer.unwrap()[0] != 200:
            return None
        fields = json.loads(answer.unwrap()[1])
        return ExactState(address, fields["blocks"], fields["queue_ms"])


def _decision(placement: Placement, exact: ExactState) -> tuple[float, Decision]:
    assert placement.prefix is not None
    pool = placement.pool
    missing = placement.prefix.prompt_tokens - exact.blocks * pool.block_tokens
    prefill_ms = max(0, missing) * pool.prefill_ms_per_token
    decision = Decision(
        address=exact.address,
        reason="oracle",
        hit_blocks=exact.blocks,
        expected_ms=exact.queue_ms + prefill_ms,
        terms=(("queue_ms", exact.queue_ms), ("prefill_ms", prefill_ms)),
    )
    return exact.queue_ms + placement.route.miss_weight * prefill_ms, decision


def setup(app: Application) -> None:
    """Replace the ``cost`` policy."""
    app.add_policy(OraclePolicy())
