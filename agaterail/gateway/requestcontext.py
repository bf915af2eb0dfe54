"""One request with all that was decided before it is sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from agaterail.gateway.attempts import RetryState
    from agaterail.gateway.desired import Route, Workspace
    from agaterail.gateway.httpserver import CallerConnection
    from agaterail.gateway.inbound import InboundRequest


@attrs.define(kw_only=True)
class RequestContext:
    """A request on its way to an answer.

    Attributes
    ----------
    deadline
        Time at which the last byte of the answer is due.
    saves
        The engine that has it was told to save its prompt.
    """

    inbound: InboundRequest
    route: Route
    service: str
    workspace: Workspace | None
    deadline: float
    caller: CallerConnection
    retry_state: RetryState
    first_byte_at: float | None = None
    target: str = ""
    truncated: bool = False
    saves: bool = False

    @property
    def first_byte_s(self) -> float | None:
        """Return after how many seconds the answer began; None before."""
        at = self.first_byte_at
        return None if at is None else at - self.inbound.received_at
