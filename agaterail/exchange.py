"""A request that passes through the filters, and its reply."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from agaterail.errors import Outcome

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from agaterail.callerwatch import CallerWatch
    from agaterail.chat import ChatRequest
    from agaterail.engines import EngineReply
    from agaterail.policies import Decision
    from agaterail.prefix import Prefix, Scope
    from agaterail.tables import Pool, Route, Tables


@attrs.define(kw_only=True)
class Exchange:
    """State of one request.

    Attributes
    ----------
    tables
        Tables in force when the request arrived; used until the request ends.
    deadline_at
        Monotonic time in seconds by which the first byte of the answer is due.
    excluded
        Targets that this request must not be sent to again.
    attempt
        Number of attempts so far.
    priority
        Priority at the engine; that of the route if None.
    resuming
        Whether a broken stream is being rerun on another target.
    watch
        Ends the request if the caller disconnects; None if nothing watches for that.
    answer_headers
        Headers to add to the answer, whether it is a reply or an error.
    """

    request_id: str
    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes
    received_at: float
    tables: Tables
    caller: str = ""
    route: Route | None = None
    pool: Pool | None = None
    chat: ChatRequest | None = None
    scope: Scope | None = None
    prefix: Prefix | None = None
    deadline_at: float = 0.0
    decision: Decision | None = None
    excluded: set[str] = attrs.field(factory=set)
    attempt: int = 0
    outcome: Outcome | None = None
    priority: int | None = None
    resuming: bool = False
    watch: CallerWatch | None = None
    answer_headers: dict[str, str] = attrs.field(factory=dict)
    finish_callbacks: list[Callable[[Outcome], None]] = attrs.field(factory=list)

    @property
    def at_most_once(self) -> bool:
        """Whether the route declares this method as non-idempotent."""
        return self.route is not None and self.method in self.route.at_most_once_methods

    @property
    def attempt_id(self) -> str:
        """Return the id of the current attempt, which the target echoes."""
        return f"{self.request_id}.{self.attempt}"

    def on_finish(self, callback: Callable[[Outcome], None]) -> None:
        """Register a callback for the end of the answer or the failure of the request."""
        self.finish_callbacks.append(callback)

    def finish(self, outcome: Outcome) -> None:
        """Record the outcome and run the callbacks; later calls have no effect."""
        if self.outcome is not None:
            return
        self.outcome = outcome
        while self.finish_callbacks:
            self.finish_callbacks.pop()(outcome)


@attrs.define(kw_only=True)
class Reply:
    """Answer for the caller.

    Attributes
    ----------
    body
        Complete body, or an iterator over its parts with a ``close`` method.
    source
        Engine's answer from which the body is yet to be read.
    """

    status: int
    headers: dict[str, str]
    body: bytes | Iterator[bytes] = b""
    source: EngineReply | None = None
