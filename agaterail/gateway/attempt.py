"""One send of a request to one target, up to its answer or its failure."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agaterail.gateway.desired import RequestKind

if TYPE_CHECKING:
    from agaterail.gateway.daemon import Daemon
    from agaterail.gateway.eventstream import EventSplitter
    from agaterail.gateway.inbound import AnswerHead
    from agaterail.gateway.placement import Choice
    from agaterail.gateway.requestcontext import RequestContext
    from agaterail.gateway.shedding import Waiting
    from agaterail.gateway.targetconnection import TargetConnection

OK_STATUSES = range(200, 300)
# Reading what has arrived already.
POLL_TIMEOUT_S = 0.005


class Attempt:
    """A request at one target, with what this daemon counts for it there.

    Attributes
    ----------
    head
        Head of the answer; None before it came.
    body_parts
        What was read of an answer that is passed on whole.
    buffered
        Bytes of a stream that were taken in and not read yet.
    has_events
        An event of the stream was passed on.
    last_event_at
        Time of the newest event.
    """

    def __init__(
        self,
        daemon: Daemon,
        context: RequestContext,
        choice: Choice,
        connection: TargetConnection,
    ) -> None:
        self.daemon = daemon
        self.context = context
        self.choice = choice
        self.target = choice.target
        self.connection = connection
        self.head: AnswerHead | None = None
        self.body_parts: list[bytes] = []
        self.buffered = b""
        self.has_events = False
        self.last_event_at = 0.0
        self.is_open = True
        self.waiting: Waiting | None = None
        self.target.in_flight += 1
        self._begin_prefill()

    @property
    def instance(self) -> str:
        """Return the id of the target."""
        return self.target.instance

    @property
    def is_stream(self) -> bool:
        """Tell whether the target answers with events."""
        head = self.head
        if head is None or self.context.route.kind is not RequestKind.STREAM:
            return False
        return head.has_server_stamp and head.status in OK_STATUSES

    def read_head(self, deadline: float) -> AnswerHead:
        """Wait for the head of the answer, if it was not read yet.

        Raises
        ------
        TimeoutError
            If it has not come by the deadline.
        OSError
            If the connection broke or what came is no answer.
        """
        if self.head is None:
            self.head = self.connection.read_head(self.context.inbound.request_id, deadline)
            self._record_weights(self.head)
        return self.head

    def read_rest(self, deadline: float) -> bytes:
        """Return the whole body; what was read before an error is kept for the next call.

        Raises
        ------
        TimeoutError
            If it has not come by the deadline.
        OSError
            If the body was cut short.
        """
        while data := self.connection.read_body(deadline):
            self.body_parts.append(data)
        return b"".join(self.body_parts)

    def read_body(self, deadline: float) -> bytes:
        """Return the next bytes of a stream, or nothing at its end.

        Raises
        ------
        TimeoutError
            If nothing has come by the deadline.
        OSError
            If the stream was cut short.
        """
        buffered, self.buffered = self.buffered, b""
        return buffered or self.connection.read_body(deadline)

    def poll_events(self, splitter: EventSplitter) -> bool:
        """Take in what has come of a stream; tells whether a whole event or its end has.

        Raises
        ------
        OSError
            If the stream was cut short.
        """
        try:
            data = self.connection.read_body(self.daemon.now() + POLL_TIMEOUT_S)
        except TimeoutError:
            return False
        self.buffered += data
        return not data or splitter.completes_event(self.buffered)

    def record_events(self, count: int) -> None:
        """Take in that events were passed on."""
        now = self.daemon.now()
        if self.has_events:
            self.daemon.shedder_of(self.context.service).pace.note(
                now - self.last_event_at, count, now
            )
        else:
            self.has_events = True
            self._end_prefill(first_token=True)
        self.last_event_at = now

    def finish(self, healthy: bool = True) -> None:
        """Keep the channel, as the answer was read whole.

        Parameters
        ----------
        healthy
            The answer shows that the target is well.
        """
        if self._end():
            if healthy:
                self.target.note_success()
            self.daemon.channels.release(self.target, self.connection)

    def abandon(self) -> None:
        """Close the channel at once, so that the target stops working."""
        if self._end():
            self.connection.close()

    def _end(self) -> bool:
        was_open, self.is_open = self.is_open, False
        if was_open:
            self.target.in_flight -= 1
            self._end_prefill()
        return was_open

    def _begin_prefill(self) -> None:
        context = self.context
        if context.route.prompted:
            shedder = self.daemon.shedder_of(context.service)
            self.waiting = shedder.begin(context.route.objective_s, self.daemon.now())
            self.target.prefill_tokens += context.inbound.prompt_tokens

    def _end_prefill(self, first_token: bool = False) -> None:
        waiting, self.waiting = self.waiting, None
        if waiting is not None:
            shedder = self.daemon.shedder_of(self.context.service)
            shedder.end(waiting, self.daemon.now(), first_token)
            self.target.prefill_tokens -= self.context.inbound.prompt_tokens

    def _record_weights(self, head: AnswerHead) -> None:
        if head.weights_version is not None and (head.not_run or self.is_stream):
            self.target.note_weights(self.context.inbound.model, head.weights_version)
