"""A request with its route, service, deadline and progress."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from agaterail.decisions.requestkeys import RequestKeys, part_key, request_key
from agaterail.decisions.urgency import effective_priority
from agaterail.gateway.inbound import normalize_part_name

if TYPE_CHECKING:
    from agaterail.decisions.streamsources import StreamSource
    from agaterail.gateway.desired import Route, Workspace
    from agaterail.gateway.httpserver import CallerConnection
    from agaterail.gateway.inbound import InboundRequest
    from agaterail.gateway.retrystate import RetryState


@attrs.define(kw_only=True)
class RequestContext:
    """One request and what the gateway decided and recorded about it.

    Attributes
    ----------
    deadline
        Time by which the last byte of the answer must be sent.
    relayed
        Whether another daemon passed the request on, which decides on further runs.
    saves
        Whether the engine was told to save the prompt.
    cache_scope
        Cache scope of the latest attempt; empty before the first.
    cost
        Cost of one run by the workspace's allowance; 0 if that is not limited.
    charged_runs
        Number of runs that the allowance was charged with.
    source
        Where the events of the stream come from that the caller has; None before the
        first event, and if the stream cannot be resumed.
    keys
        What may crash its target.
    last_sent_at
        When the last events were sent to the caller; None before the first.
    longest_pause_s
        Longest time between two sends of events.
    """

    inbound: InboundRequest
    route: Route
    service: str
    workspace: Workspace | None
    deadline: float
    caller: CallerConnection
    retry_state: RetryState
    keys: RequestKeys
    first_byte_at: float | None = None
    target: str = ""
    truncated: bool = False
    relayed: bool = False
    saves: bool = False
    cache_scope: str = ""
    cost: float = 0.0
    charged_runs: int = 0
    source: StreamSource | None = None
    last_sent_at: float | None = None
    longest_pause_s: float = 0.0

    @property
    def workspace_name(self) -> str:
        """Return the name of the workspace; empty if there is none."""
        return "" if self.workspace is None else self.workspace.name

    @property
    def build(self) -> str:
        """Return the id of the stream's build; empty if it is not known or not fixed."""
        return "" if self.source is None else self.source.build

    @property
    def first_byte_s(self) -> float | None:
        """Return the seconds until the answer's first byte; None before it was sent."""
        at = self.first_byte_at
        return None if at is None else at - self.inbound.received_at

    @property
    def has_paused(self) -> bool:
        """Return whether the caller waited longer for further events than the route allows."""
        allowed_s = self.route.gap_objective_s
        return allowed_s > 0.0 and self.longest_pause_s > allowed_s

    def record_events_sent(self, now: float) -> None:
        """Record that events were sent to the caller."""
        if self.last_sent_at is not None:
            self.longest_pause_s = max(self.longest_pause_s, now - self.last_sent_at)
        self.last_sent_at = now


def keys_of(inbound: InboundRequest, service: str, workspace: Workspace | None) -> RequestKeys:
    """Return the keys of a request.

    Repeats share what is asked for, and of whom. Left out are the id, time limits, what of a
    stream the caller has, and other headers, to which clients add counters and traces.
    """
    asked_for = [
        service.encode(),
        b"" if workspace is None else workspace.name.encode(),
        inbound.host.encode(),
        inbound.method,
        inbound.target,
        inbound.body_digest,
        inbound.model.encode(),
        *(b"%b:%d" % (part.name.encode(), part.tokens) for part in inbound.prompt),
    ]
    parts = (part_key(normalize_part_name(part.name)) for part in inbound.shared_parts)
    return RequestKeys(tuple(parts), request_key(asked_for))


def urgency_of(context: RequestContext) -> int:
    """Return the priority of the workspace, or else of the route: 0 is the first."""
    own = None if context.workspace is None else context.workspace.priority
    return effective_priority(context.route.priority, own)


def priority_pair(context: RequestContext) -> tuple[int, int]:
    """Return the effective priority and that of the route."""
    return urgency_of(context), effective_priority(context.route.priority, None)
