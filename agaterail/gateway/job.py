"""One request with all that was decided before it is sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from agaterail.gateway.attempts import Attempts
    from agaterail.gateway.desired import Route, Workspace
    from agaterail.gateway.front import CallerConnection
    from agaterail.gateway.inbound import Inbound


@attrs.define(kw_only=True)
class Job:
    """A request on its way to an answer.

    Attributes
    ----------
    answer_by
        Time at which the last byte of the answer is due.
    saves
        The engine that has it was told to save its prompt.
    """

    inbound: Inbound
    route: Route
    service: str
    workspace: Workspace | None
    answer_by: float
    caller: CallerConnection
    attempts: Attempts
    first_byte_at: float | None = None
    target: str = ""
    cut: bool = False
    saves: bool = False

    @property
    def first_byte_s(self) -> float | None:
        """Return after how many seconds the answer began; None before."""
        at = self.first_byte_at
        return None if at is None else at - self.inbound.received_at
