"""One attempt at a target, from sending the request to its answer or failure."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agaterail.bytelimits.answers import AnswerBoundExceeded, AnswerPart, check_bound
from agaterail.decisions.crashevidence import BEGUN_EVENTS
from agaterail.gateway.controlstore import Feed
from agaterail.gateway.desired import RequestKind
from agaterail.gateway.relayprotocol import RelayedHead
from agaterail.gateway.targets import REGISTRATION_DELAY_S

if TYPE_CHECKING:
    from agaterail.gateway.daemon import Daemon
    from agaterail.gateway.eventstream import EventSplitter
    from agaterail.gateway.inbound import AnswerHead
    from agaterail.gateway.placement import Choice
    from agaterail.gateway.requestcontext import RequestContext
    from agaterail.gateway.shedding import PendingPrompt
    from agaterail.gateway.targetconnection import TargetConnection
    from agaterail.gateway.targets import Target

OK_STATUSES = range(200, 300)
# Only data that has already arrived is read.
POLL_TIMEOUT_S = 0.005
# Two waits of a read. While the store answers, readings of the targets are rarely older.
MAX_READING_AGE_S = 1.2


class Attempt:
    """A request at one target and its share of the target's in-flight counters.

    Attributes
    ----------
    head
        Head of the answer; None until it arrives.
    body_bytes
        Size of ``body_parts``.
    body_parts
        Parts read so far of a body that is relayed only when complete.
    buffered
        Bytes of a stream that were polled but not relayed yet.
    has_events
        Whether an event of the stream was relayed.
    events
        Number of events with an id that were relayed.
    survived
        Whether it was recorded that the target goes on after the answer's beginning.
    last_event_at
        Time of the latest event.
    sent_at
        Time at which the request was sent.
    read_at, since_read_s
        Time at which events were last read, and the seconds between the last two reads.
    is_sending
        Whether events are being sent to the caller, so that none are read.
    kv_tokens
        Tokens of memory that the request needs to its end.
    hedged_early
        Whether it was hedged because its engine is suspected to be silent.
    from_start
        Whether the target runs all of the request, and not the rest of a stream.
    """

    def __init__(
        self,
        daemon: Daemon,
        context: RequestContext,
        choice: Choice,
        connection: TargetConnection,
        last_event_id: str = "",
    ) -> None:
        self.daemon = daemon
        self.context = context
        self.choice = choice
        self.target = choice.target
        self.connection = connection
        self.pool = daemon.relays.pool if choice.relayed else daemon.connection_pool
        self.head: AnswerHead | None = None
        self.body_parts: list[bytes] = []
        self.body_bytes = 0
        self.buffered = b""
        self.has_events = False
        self.events = 0
        self.survived = False
        self.last_event_at = 0.0
        self.is_open = True
        self.hedged_early = False
        self.from_start = not last_event_id
        self.sent_at = daemon.now()
        self.pending_prompt: PendingPrompt | None = None
        self.read_at = self.since_read_s = 0.0
        self.is_sending = False
        self.kv_tokens = self._stated_kv_tokens()
        self.target.begin_request(self.sent_at)
        self.target.kv_tokens += self.kv_tokens
        daemon.silence.record_begin(self)
        self._begin_prefill()

    @property
    def instance(self) -> str:
        """Return the id of the target."""
        return self.target.instance

    @property
    def build(self) -> str:
        """Return the id of the build that answers; empty if it is not known."""
        if not self.choice.relayed:
            return self.target.build_at(self.connection.opened_at)
        return self.head.build if isinstance(self.head, RelayedHead) else ""

    @property
    def is_start_known(self) -> bool:
        """Return whether surely the latest known start of the target answers.

        A start that the target has registered before the connection was opened would have
        been read by now. One that broke no connection here is not noticed otherwise.
        """
        read_at = self.daemon.feeds.read_at[Feed.TARGETS]
        is_registered = self.connection.opened_at + REGISTRATION_DELAY_S < read_at
        return self.target.is_confirmed and is_registered

    @property
    def is_build_doubtful(self) -> bool:
        """Return whether the target may have started anew with another build unnoticed.

        This is so while no readings of the targets come, unless the target or a reading has
        confirmed its start since the connection was opened. A start that breaks no
        connection here shows in nothing else.
        """
        opened_at, feeds = self.connection.opened_at, self.daemon.feeds
        if self.target.is_confirmed and self.target.confirmed_at >= opened_at:
            return False
        is_read = feeds.read_at[Feed.TARGETS] >= opened_at
        return not is_read and feeds.targets_age_s() > MAX_READING_AGE_S

    @property
    def known_start(self) -> int:
        """Return the start time of the target that answers; 0 if it is not known."""
        return self.target.start if self.is_start_known else 0

    @property
    def is_stream(self) -> bool:
        """Return whether the target answers with an event stream."""
        head = self.head
        if head is None or self.context.route.kind is not RequestKind.STREAM:
            return False
        return head.has_server_stamp and head.status in OK_STATUSES

    def read_head(self, deadline: float) -> AnswerHead:
        """Return the head of the answer, waiting for it if necessary.

        Raises
        ------
        TimeoutError
            If the head does not arrive by the deadline.
        OSError
            If the connection fails or the data is not a valid answer.
        """
        if self.head is None:
            self.head = self.connection.read_head(self.context.inbound.request_id, deadline)
            self._record_head(self.head)
        return self.head

    def read_rest(self, deadline: float) -> bytes:
        """Return the complete body; after an error, the next call continues reading.

        Raises
        ------
        TimeoutError
            If the body does not arrive by the deadline.
        OSError
            If the body is truncated or too large to be kept.
        """
        while data := self.connection.read_body(deadline):
            self.body_bytes += len(data)
            if self.body_bytes > self.daemon.max_body_bytes:
                self.body_parts.clear()
                raise AnswerBoundExceeded(AnswerPart.BODY)
            self.context.caller.hold(len(data))
            self.body_parts.append(data)
        body = b"".join(self.body_parts)
        self.body_parts = [body]  # the parts would keep the memory twice
        return body

    def read_body(self, deadline: float) -> bytes:
        """Return the next bytes of a stream, or empty bytes at its end.

        Raises
        ------
        TimeoutError
            If no data arrives by the deadline.
        OSError
            If the stream is truncated.
        """
        buffered, self.buffered = self.buffered, b""
        return buffered or self.connection.read_body(deadline)

    def poll_events(self, splitter: EventSplitter) -> bool:
        """Buffer arrived data; return whether a complete event or the end is there.

        Raises
        ------
        OSError
            If the stream is truncated or exceeds a bound.
        """
        try:
            data = self.connection.read_body(self.daemon.now() + POLL_TIMEOUT_S)
        except TimeoutError:
            return False
        self.buffered += data
        check_bound(AnswerPart.EVENT, len(self.buffered))
        return not data or splitter.completes_event(self.buffered)

    def begin_send(self) -> None:
        """Record that events were read and are about to be relayed."""
        now = self.daemon.now()
        self.since_read_s, self.read_at = now - self.read_at, now
        self.is_sending = True
        self.target.sending += 1

    def record_events(self, count: int) -> None:
        """Record that events were relayed."""
        now = self.daemon.now()
        self._end_send()
        wait_s = self.connection.waited_s if self.has_events else now - self.sent_at
        self.daemon.silence.record_wait(self, wait_s)
        if self.has_events:
            gap_s = now - self.last_event_at
            self.daemon.shedder_of(self.context.service).pace.record(gap_s, count, now)
            self.daemon.own_loads.record_step(
                self.target, self.since_read_s, count, self.context.route.gap_objective_s
            )
        else:
            self.has_events = True
            self._end_prefill(first_token=True)
        self.events += count
        if self.events >= BEGUN_EVENTS:
            self._record_survival()
        self.last_event_at = now

    def finish(self, healthy: bool = True) -> None:
        """Release the connection for reuse after the answer was read completely.

        Parameters
        ----------
        healthy
            Whether the answer resets the target's failures, refusals and backoff.
        """
        if self._end():
            if healthy:
                self.target.record_success()
                self._record_survival()
            if self.from_start and self.head is not None and not self.head.not_run:
                self.daemon.quarantine.record_completion(self.context.keys)
            self.pool.release(self.target, self.connection, self.context.route.idempotent)

    def abandon(self) -> None:
        """Close the connection at once, so that the target stops working."""
        if self._end():
            self.connection.close()

    def _end(self) -> bool:
        was_open, self.is_open = self.is_open, False
        if was_open:
            self.target.in_flight -= 1
            self.target.kv_tokens -= self.kv_tokens
            self._end_send()
            self.daemon.silence.record_end(self)
            self.body_parts.clear()
            self._end_prefill()
        return was_open

    def _end_send(self) -> None:
        if self.is_sending:
            self.is_sending = False
            self.target.sending -= 1

    def _stated_kv_tokens(self) -> int:
        inbound = self.context.inbound
        return (inbound.stated_tokens or 0) if self.context.route.prompted else 0

    def _begin_prefill(self) -> None:
        context = self.context
        if context.route.prompted:
            shedder = self.daemon.shedder_of(context.service)
            self.pending_prompt = shedder.begin(context.route.objective_s, self.daemon.now())
            self.target.prefill_tokens += context.inbound.prompt_tokens

    def _end_prefill(self, first_token: bool = False) -> None:
        pending, self.pending_prompt = self.pending_prompt, None
        if pending is not None:
            shedder = self.daemon.shedder_of(self.context.service)
            shedder.end(pending, self.daemon.now(), first_token)
            self.target.prefill_tokens -= self.context.inbound.prompt_tokens

    def _record_survival(self) -> None:
        """Record once that the target goes on although it has begun this answer."""
        if not self.survived and self.head is not None and self.head.status in OK_STATUSES:
            self.survived = True
            self.daemon.quarantine.record_survival(self.context.keys)

    def _record_head(self, head: AnswerHead) -> None:
        if self.choice.relayed:
            if isinstance(head, RelayedHead) and head.refusal is None:
                self._record_forwarded(head)
            return
        self._record_weights(self.target, head)
        request_id = self.context.inbound.request_id
        self.daemon.notices.record(
            self.target, head, self.sent_at, request_id, self.is_start_known
        )

    def _record_forwarded(self, head: RelayedHead) -> None:
        """Record the head of an answer that another daemon got from a target."""
        daemon, context = self.daemon, self.context
        context.retry_state.record_relayed(head.target)
        daemon.relays.record_forwarded(context.service, self.instance)
        request_id = context.inbound.request_id
        daemon.notices.record_forwarded(head, self.sent_at, request_id, self.instance)
        target = daemon.registry.targets.get(head.target)
        if target is not None:
            self._record_weights(target, head)

    def _record_weights(self, target: Target, head: AnswerHead) -> None:
        if head.weights_version is not None and (head.not_run or self.is_stream):
            target = self.daemon.registry.current(target)
            target.record_weights(self.context.inbound.model, head.weights_version)
