"""Send a request to targets until one answers, and relay the answer to the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import attrs
import gevent

from agaterail.bytelimits.answers import AnswerBoundExceeded
from agaterail.decisions.streamrecords import stream_key
from agaterail.decisions.streamsources import StreamSource
from agaterail.errors import Failure
from agaterail.gateway import relayprotocol
from agaterail.gateway.eventstream import EventSplitter
from agaterail.gateway.requestcontext import urgency_of
from agaterail.gateway.retrystate import MIN_TIME_LEFT_S, AttemptOutcome
from agaterail.gateway.sender import Sender
from agaterail.gateway.targetconnection import wait_readable

if TYPE_CHECKING:
    from collections.abc import Callable

    from agaterail.gateway.attempt import Attempt
    from agaterail.gateway.daemon import Daemon
    from agaterail.gateway.inbound import AnswerHead
    from agaterail.gateway.requestcontext import RequestContext

# Once part of a head has arrived, the rest follows soon or the target has failed.
HEAD_TIMEOUT_S = 0.1
# Statuses that tell callers that the request did not run. A target that sends one
# without its protocol's not-run marker may have run it all the same.
NOT_RUN_STATUSES = (408, 421, 429, 503)
MIN_SERVER_ERROR_STATUS = 500
# An engine that broke off has this long to report its start. One that crashed refuses.
BROKEN_TIMEOUT_S = 0.1
# A stream that breaks off waits this long for a reading that confirms its build.
PROOF_TIMEOUT_S = 1.0
PROOF_POLL_S = 0.02
# A wait for a target is interrupted this often, to learn whether the target is suspected.
SUSPICION_CHECK_S = 0.2

T = TypeVar("T")


@attrs.frozen
class BufferedAnswer:
    """A target's complete answer, read before any of it is relayed."""

    head: AnswerHead
    body: bytes


class Forwarder:
    """Runs the attempts of one request and relays the answer.

    A silent target is abandoned only once a hedge, the same request at another target,
    answers: the hedge may be refused or fail while the silent target still completes
    the answer.

    Attributes
    ----------
    attempt
        The attempt that the answer is read from.
    hedge
        A second attempt, started while the first is silent.
    splitter
        Relays each event of a stream once, whichever target sends it.
    target_failure
        An error answer of a target, relayed if no other target answers.
    answer_started
        Whether part of an answer was sent to the caller.
    """

    def __init__(self, daemon: Daemon, context: RequestContext) -> None:
        self.daemon = daemon
        self.context = context
        self.retry_state = context.retry_state
        self.attempt: Attempt | None = None
        self.hedge: Attempt | None = None
        self.target_failure: BufferedAnswer | None = None
        last_event_id = context.inbound.last_event_id
        self.splitter = EventSplitter(
            last_id=int(last_event_id) if last_event_id.isdigit() else None
        )
        self.sender = Sender(daemon, context)
        self.answer_started = False

    def run(self) -> Failure | None:
        """Answer the request; return the failure if nothing was sent to the caller."""
        try:
            while True:
                started = self.sender.start_attempt(self._last_event_id())
                if isinstance(started, Failure):
                    return self._fail(started)
                if self._relay_answer(started):
                    return None
                self._check_source()
        finally:
            for attempt in (self.attempt, self.hedge):
                if attempt is not None:
                    attempt.abandon()

    def _fail(self, failure: Failure) -> Failure | None:
        if self.target_failure is not None and not self.answer_started:
            self._send_buffered(self.target_failure)
            return None
        if not self.answer_started:
            return failure
        self._record_stream_length()
        # The caller has part of the stream. Closing the connection without the final
        # chunk shows that the stream is incomplete.
        self.context.caller.abort()
        self.context.truncated = True
        self.sender.log(
            "Stream cut.",
            kind=failure.kind.value,
            detail=failure.detail,
            events=self.splitter.event_count,
            last_id=self.splitter.last_id,
            output_tokens=self.context.inbound.output_tokens,
        )
        return None

    # Reading answers.

    def _relay_answer(self, attempt: Attempt) -> bool:
        """Relay until the answer ends; return whether a complete one was relayed."""
        self._switch_to(attempt)
        while True:
            current = self.attempt
            assert current is not None
            try:
                outcome = self._relay_from(current)
            except TimeoutError:
                if self._send_hedge(current):
                    continue
                outcome = AttemptOutcome.SILENT
            except OSError as error:
                self.sender.log_broken(error)
                outcome = AttemptOutcome.BROKEN
            if outcome is None:
                return True
            self.sender.end_attempt(current, outcome)
            return False

    def _switch_to(self, attempt: Attempt) -> None:
        """Continue reading the answer from the given attempt."""
        if attempt is not self.attempt:
            self.splitter.discard_partial()
        self.attempt, self.hedge = attempt, None
        self.sender.choice = attempt.choice
        self.context.target = attempt.instance

    def _relay_from(self, attempt: Attempt) -> AttemptOutcome | None:
        """Relay an attempt's answer; return how it failed, or None when complete."""
        now = self.daemon.now()
        timeout_s = self.retry_state.first_byte_timeout_s(self.context.deadline - now)
        head = self._await(attempt, attempt.read_head, now + timeout_s)
        outcome = self._check_head(attempt, head)
        if outcome is not None:
            return outcome
        if attempt.is_stream:
            return self._relay_stream(attempt, head)
        return self._relay_buffered(attempt, head)

    def _await(self, attempt: Attempt, read: Callable[[float], T], deadline: float) -> T:
        """Read from a target; time out early if it is suspected to be silent meanwhile."""
        silence, service = self.daemon.silence, self.context.service
        while silence.may_hedge_early(attempt):
            now = self.daemon.now()
            if now + SUSPICION_CHECK_S >= deadline:
                break
            try:
                return read(now + SUSPICION_CHECK_S)
            except TimeoutError:
                retries_left = self.daemon.budget.remaining(service, self.daemon.now())
                if silence.should_hedge(attempt, retries_left):
                    self.sender.log("Engine is silent, hedging early.", attempt.choice)
                    raise
        return read(deadline)

    def _check_head(self, attempt: Attempt, head: AnswerHead) -> AttemptOutcome | None:
        """Return the outcome that rules an answer out, or None if it can be relayed."""
        if head.not_run:
            relayed = attempt.choice.relayed
            return AttemptOutcome.NOT_RELAYED if relayed else AttemptOutcome.REFUSED
        if attempt.is_stream:
            return None
        # A stream that has started can only continue with events.
        if self.answer_started or not head.has_server_stamp or head.status in NOT_RUN_STATUSES:
            return AttemptOutcome.FAILED
        return None

    def _relay_buffered(self, attempt: Attempt, head: AnswerHead) -> AttemptOutcome | None:
        """Read the complete answer before sending it, so that no part of one is sent."""
        answer = BufferedAnswer(head, attempt.read_rest(self.context.deadline))
        if attempt.connection.ended_by_close and not self._accepts_connections(attempt):
            return AttemptOutcome.BROKEN
        failed = head.status >= MIN_SERVER_ERROR_STATUS
        if failed and self.retry_state.may_run_again():
            self.target_failure = answer
            attempt.finish(healthy=False)
            return AttemptOutcome.FAILED
        attempt.finish(healthy=not failed)
        self._send_buffered(answer)
        return None

    def _relay_stream(self, attempt: Attempt, head: AnswerHead) -> AttemptOutcome | None:
        """Relay events as they arrive."""
        while True:
            now = self.daemon.now()
            left = self.context.deadline - now
            if attempt.has_events:
                timeout_s = self.retry_state.event_timeout_s(left)
            else:
                timeout_s = self.retry_state.first_byte_timeout_s(left)
            data = self._await(attempt, attempt.read_body, now + timeout_s)
            if not data:
                break
            events_before = self.splitter.event_count
            events = self.splitter.feed(data)
            if events:
                attempt.begin_send()
                self._send_events(head, events)
                attempt.record_events(self.splitter.event_count - events_before)
            self.context.caller.hold_partial_event(len(self.splitter.partial))
            if self.splitter.broken is not None:
                raise AnswerBoundExceeded(self.splitter.broken)
        if self.splitter.partial.strip():
            return AttemptOutcome.BROKEN
        if attempt.connection.ended_by_close and not (
            attempt.events and self._accepts_connections(attempt)
        ):
            return AttemptOutcome.BROKEN
        attempt.finish()
        self._record_stream_length()
        if not self.answer_started:
            self._send_events(head, b"")
        self.context.caller.end_stream()
        self.sender.log(
            "Stream complete.",
            events=self.splitter.event_count,
            last_id=self.splitter.last_id,
            output_tokens=self.context.inbound.output_tokens,
            late=self._is_late(),
            paused=self.context.has_paused,
            longest_pause_s=round(self.context.longest_pause_s, 3),
            ran_weights=head.weights_version,
        )
        self._count_lateness()
        return None

    def _accepts_connections(self, attempt: Attempt) -> bool:
        """Return whether an answer that ended with its connection may be complete.

        A target that ends closes its connections too, but then refuses new ones.
        """
        pool = self.daemon.connection_pool
        try:
            connection = pool.open(attempt.target, BROKEN_TIMEOUT_S)
        except ConnectionRefusedError:
            return False
        except OSError:
            return True
        pool.release_unused(attempt.target, connection)
        return True

    # Hedging a silent target.

    def _send_hedge(self, silent: Attempt) -> bool:
        """Send to further targets until one of them or the silent one answers.

        Returns whether there is an attempt to keep reading from: the silent one if no
        other target could be tried.
        """
        if self._time_left_s() < MIN_TIME_LEFT_S:
            return False
        if silent.has_events and not silent.choice.relayed and silent.is_build_doubtful:
            # The hedge might be of another build than what the caller has.
            self.sender.log("No hedge, build of the stream not confirmed.", silent.choice)
            return True
        silent.target.record_failure(self.daemon.now())
        while self._time_left_s() >= MIN_TIME_LEFT_S:
            started = self.sender.start_attempt(self._last_event_id(), may_wait=False)
            if isinstance(started, Failure):
                self._switch_to(silent)
                self.sender.log(
                    "Could not hedge, still waiting for the target.", reason=started.detail
                )
                return True
            self.hedge = started
            self.sender.log("Sent a hedge to another target.", silent=silent.instance)
            if self._await_either_answer(silent, started):
                return True
        return False

    def _await_either_answer(self, silent: Attempt, hedge: Attempt) -> bool:
        """Wait for either target to answer; return whether one of them continues."""
        connections = (hedge.connection, silent.connection)
        while ready := wait_readable(connections, self._time_left_s()):
            if hedge.connection in ready:
                outcome = self._check_progress(hedge)
                if outcome is not AttemptOutcome.SILENT:
                    return self._decide_for_hedge(silent, hedge, outcome)
            if silent.connection not in ready:
                continue
            outcome = self._check_progress(silent)
            if outcome is None:
                self.sender.end_attempt(hedge, AttemptOutcome.NOT_NEEDED)
                self._switch_to(silent)
                return True
            if outcome is not AttemptOutcome.SILENT:
                self.sender.end_attempt(silent, outcome)
                self._switch_to(hedge)
                return True
        self.sender.end_attempt(hedge, AttemptOutcome.SILENT)
        return False

    def _decide_for_hedge(
        self, silent: Attempt, hedge: Attempt, outcome: AttemptOutcome | None
    ) -> bool:
        """Continue with the hedge, or end it if it failed."""
        if outcome is not None:
            self.sender.end_attempt(hedge, outcome)
            self.hedge = None
            return False
        # The silent target must not keep working too.
        self.sender.end_attempt(silent, AttemptOutcome.SILENT)
        self._switch_to(hedge)
        return True

    def _check_progress(self, attempt: Attempt) -> AttemptOutcome | None:
        """Read what a target has sent; return how it failed, or None if it continues.

        A stream continues with its next event; after its head, a hedge may pause too.
        """
        deadline = min(self.context.deadline, self.daemon.now() + HEAD_TIMEOUT_S)
        try:
            if attempt.is_stream:
                return None if attempt.poll_events(self.splitter) else AttemptOutcome.SILENT
            head = attempt.read_head(deadline)
            outcome = self._check_head(attempt, head)
            if outcome is None and attempt.is_stream:
                return None if attempt.poll_events(self.splitter) else AttemptOutcome.SILENT
            if outcome is not None or head.status < MIN_SERVER_ERROR_STATUS:
                return outcome
            self.target_failure = BufferedAnswer(head, attempt.read_rest(deadline))
        except OSError as error:
            self.sender.log_broken(error, attempt.choice)
            return AttemptOutcome.BROKEN
        return AttemptOutcome.FAILED

    def _record_stream_length(self) -> None:
        shedder = self.daemon.shedder_of(self.context.service)
        shedder.pace.record_end(self.context.route, self.splitter.event_count)

    def _time_left_s(self) -> float:
        return self.context.deadline - self.daemon.now()

    def _last_event_id(self) -> str:
        last = self.splitter.last_id
        return self.context.inbound.last_event_id if last is None else str(last)

    # Writing to the caller.

    def _send_buffered(self, answer: BufferedAnswer) -> None:
        self._mark_answer_started()
        self.context.caller.send_answer(
            answer.head.status, _header_lines(answer.head), answer.body
        )
        self.sender.log("Answered.", status=answer.head.status, late=self._is_late())

    def _send_events(self, head: AnswerHead, events: bytes) -> None:
        if events:
            self.context.record_events_sent(self.daemon.now())
        if self.answer_started:
            self.context.caller.send_chunk(events)
            return
        self._fix_source()
        self._mark_answer_started()
        self.context.caller.start_stream(head.status, _header_lines(head), events)

    def _fix_source(self) -> None:
        """Keep the stream at the build whose first event goes to the caller.

        An engine that sent only a head has begun nothing.
        """
        attempt, context = self.attempt, self.context
        if context.source is None and context.route.resumable:
            assert attempt is not None
            context.source = StreamSource(context.service, attempt.build)
            if context.source.is_known and not context.relayed:
                key = stream_key(context.workspace_name, context.inbound.request_id)
                self.daemon.streams.record(key, context.source)
            self._ask_for_proof(attempt)

    def _ask_for_proof(self, attempt: Attempt) -> None:
        """Have the engine confirm its start while no readings of the targets come."""
        if not attempt.choice.relayed and attempt.is_build_doubtful:
            gevent.spawn(self.daemon.restarts.confirm, attempt.target)

    def _check_source(self) -> None:
        """Give a stream's source up if the engine that broke off is of a later start.

        It may have been when the stream began, as its registration was not read yet.
        """
        attempt, context = self.attempt, self.context
        if context.source is None or attempt is None or attempt.choice.relayed:
            return
        if not attempt.has_events or not context.source.is_known:
            return
        is_proven = self._await_proof(attempt)
        self.daemon.restarts.confirm(attempt.target, BROKEN_TIMEOUT_S)
        if is_proven and not attempt.target.reported_born:
            return
        self.sender.log("Build of the stream given up.", attempt.choice, proven=is_proven)
        if not context.relayed:
            key = stream_key(context.workspace_name, context.inbound.request_id)
            # It contradicts the former record, so that no host goes on with the stream.
            self.daemon.streams.withdraw(
                key, StreamSource(context.service, attempt.target.reported_build_id)
            )
        context.source = StreamSource(context.service, "")

    def _await_proof(self, attempt: Attempt) -> bool:
        """Wait until the build of a stream is in no doubt; return whether that is so."""
        wait_s = min(PROOF_TIMEOUT_S, self._time_left_s())
        until = self.daemon.now() + wait_s
        while attempt.is_build_doubtful:
            if self.daemon.now() >= until:
                return False
            gevent.sleep(PROOF_POLL_S)
        return True

    def _mark_answer_started(self) -> None:
        self.answer_started = True
        if self.context.relayed:
            assert self.attempt is not None
            self.context.caller.extra_lines = relayprotocol.forwarded_lines(
                self.context.target, self.context.build, self.attempt.known_start
            )
        self.context.first_byte_at = self.daemon.now()

    def _count_lateness(self) -> None:
        """Count a complete stream that was late, by what was late first.

        The daemon that passed a request on counts it.
        """
        if self.context.relayed:
            return
        if self._is_late():
            part = "first_event"
        elif self.context.has_paused:
            part = "pause"
        else:
            return
        self.daemon.metrics.late_streams.labels(urgency_of(self.context), part).inc()

    def _is_late(self) -> bool:
        first_s = self.context.first_byte_s
        return first_s is not None and first_s > self.context.route.objective_s


def _header_lines(head: AnswerHead) -> list[bytes]:
    return [name + b": " + value for name, value in head.headers]
