"""Send a request to targets until one answers, and pass the answer on."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from agaterail import logs
from agaterail.errors import ErrorKind, Failure
from agaterail.gateway.admission import is_hopeless, retry_after_s
from agaterail.gateway.attempts import AttemptOutcome
from agaterail.gateway.desired import RequestKind
from agaterail.gateway.eventstream import EventCutter
from agaterail.gateway.inbound import AttemptHead

if TYPE_CHECKING:
    from agaterail.gateway.channel import Channel
    from agaterail.gateway.daemon import Daemon
    from agaterail.gateway.inbound import AnswerHead
    from agaterail.gateway.job import Job
    from agaterail.gateway.placement import Choice
    from agaterail.gateway.shedding import Waiting

logger = logs.get_logger("forward")

# A host that does not answer a connection at all is without power, frozen or
# cut off; hosts are some milliseconds apart.
CONNECT_TIMEOUT_S = 0.3
CONNECT_PART = 0.25
# The answer needs its time back to the caller: a few milliseconds of network,
# and the event loop's pauses on a busy host.
WAY_BACK_S = 0.02
# Statuses that promise to callers that the request did not run. A target that
# sends one without saying so in its protocol's form may have run it.
PROMISES = (408, 421, 429, 503)
SERVER_ERRORS_FROM = 500
OK_STATUSES = range(200, 300)


class Forwarder:
    """The attempts of one request, one after the other."""

    def __init__(self, daemon: Daemon, job: Job) -> None:
        self.daemon = daemon
        self.job = job
        self.attempts = job.attempts
        self.choice: Choice | None = None
        self.channel: Channel | None = None
        self.cutter: EventCutter | None = None
        self.answered = False
        self.waiting: Waiting | None = None

    def run(self) -> Failure | None:
        """Answer the request; returns why it failed if nothing was sent yet."""
        last_event = self.job.inbound.last_event
        first = int(last_event) if last_event.isdigit() else None
        self.cutter = EventCutter(last_id=first)
        try:
            while True:
                failure = self._open()
                if failure is not None:
                    return self._fail(failure)
                outcome = self._attempt()
                if outcome is None:
                    return None
                self._settle(outcome)
        finally:
            self._release(whole=False)

    def _fail(self, failure: Failure) -> Failure | None:
        if not self.answered:
            return failure
        # Part of a stream is with the caller; without its end it is plainly cut.
        self.job.caller.abort()
        self.job.cut = True
        self._log("Stream cut.", kind=failure.kind.value)
        return None

    def _open(self) -> Failure | None:
        """Connect to the next target, or tell why there is none."""
        while True:
            now = self.daemon.now()
            left = self.job.answer_by - now
            if not self.attempts.may_go_on(left):
                return self._given_up(now, "no attempt left")
            choice = self.daemon.choose(self.job, now)
            if choice is None:
                return self._given_up(now, "no usable target")
            self.choice = choice
            wait_s = self.daemon.expected_wait_s(self.job, choice)
            if is_hopeless(wait_s, left):
                return self._given_up(now, f"expected wait {wait_s:.1f} s")
            overload = self._overload(now)
            if overload is not None:
                return overload
            self.job.target = choice.target.instance
            try:
                self.channel = self.daemon.channels.take(
                    choice.target,
                    self.job.route.idempotent,
                    min(CONNECT_TIMEOUT_S, left * CONNECT_PART),
                )
            except OSError as error:
                choice.target.note_failure(now)
                self.attempts.note(choice.target.instance, AttemptOutcome.NOT_CONNECTED)
                self.daemon.metrics.attempts.labels(AttemptOutcome.NOT_CONNECTED.value).inc()
                self._log("No connection.", error=str(error))
                continue
            if self.attempts.sends and not self.daemon.budget.take(self.job.service, now):
                self.daemon.channels.give_back_unused(choice.target, self.channel)
                self.channel = None
                return self._given_up(now, "no repeat left in the budget")
            return None

    def _overload(self, now: float) -> Failure | None:
        """Refuse a prompt that would make others late, before it was sent anywhere."""
        if not self.job.route.prompted or self.attempts.sends or self.answered:
            return None
        random = self.daemon.random
        shedder = self.daemon.shedder_of(self.job.service)
        if not shedder.refuses(random.random(), now):
            return None
        left = self.job.answer_by - now
        reason = f"wait {shedder.mean_wait:.2f} objectives, {shedder.chance:.2f} refused"
        hint = retry_after_s(left, random.random(), overloaded=True)
        return Failure(ErrorKind.OVERLOADED, reason, hint)

    def _attempt(self) -> AttemptOutcome | None:
        """Send the request once; returns how it failed, or nothing when answered."""
        assert self.choice is not None and self.channel is not None
        now = self.daemon.now()
        left = self.job.answer_by - now
        target = self.choice.target
        self.attempts.sends += 1
        target.in_flight += 1
        self._begin_prefill()
        try:
            self.channel.send(*self._encoded(left), timeout_s=max(0.001, left))
            head = self._read_head(now, left)
            return self._answer(head)
        except TimeoutError:
            return AttemptOutcome.SILENT
        except OSError as error:
            self._log("Attempt broke.", error=str(error))
            return AttemptOutcome.BROKEN
        finally:
            target.in_flight -= 1
            self._end_prefill()

    def _read_head(self, now: float, left: float) -> AnswerHead:
        assert self.channel is not None
        patience = self.attempts.patience_s(left)
        return self.channel.read_head(self.job.inbound.request_id, now + patience)

    def _answer(self, head: AnswerHead) -> AttemptOutcome | None:
        if head.not_run:
            return self._refused(head)
        streamed = self.job.route.kind is RequestKind.STREAM and head.status in OK_STATUSES
        if streamed and head.signed:
            self._note_weights(head)
            return self._relay(head)
        if self.answered:
            # A continued stream can only go on with events.
            return AttemptOutcome.FAILED
        return self._pass_on(head)

    def _refused(self, head: AnswerHead) -> AttemptOutcome:
        assert self.choice is not None
        target = self.choice.target
        now = self.daemon.now()
        if head.weights_version is not None:
            target.note_weights(self.job.inbound.model, head.weights_version)
        target.note_refusal(now)
        self._log("Refused by the target.", status=head.status, instance=head.instance or None)
        self._discard_answer()
        return AttemptOutcome.REFUSED

    def _discard_answer(self) -> None:
        assert self.channel is not None
        try:
            while self.channel.read_body(self.daemon.now() + CONNECT_TIMEOUT_S):
                continue
        except OSError as error:
            self._log("Refusal was cut short.", error=str(error))
            return
        self._release(whole=True)

    def _pass_on(self, head: AnswerHead) -> AttemptOutcome | None:
        """Read a whole answer, then send it; half an answer is never passed on."""
        assert self.channel is not None
        pieces = []
        while piece := self.channel.read_body(self.job.answer_by):
            pieces.append(piece)
        failed = head.status >= SERVER_ERRORS_FROM
        last = self.attempts.runs + 1 >= self.job.route.max_attempts
        if failed and self.job.route.idempotent and not last and self._may_repeat():
            self._release(whole=True)
            return AttemptOutcome.FAILED
        if not head.signed or head.status in PROMISES:
            return AttemptOutcome.FAILED
        self._release(whole=True, failed=failed)
        self._answered_now()
        lines = [name + b": " + value for name, value in head.headers]
        self.job.caller.send_answer(head.status, lines, b"".join(pieces))
        self._log("Answered.", status=head.status, late=self._is_late())
        return None

    def _may_repeat(self) -> bool:
        return self.daemon.budget.left(self.job.service, self.daemon.now()) >= 1.0

    def _relay(self, head: AnswerHead) -> AttemptOutcome | None:
        """Pass events on as they come."""
        assert self.channel is not None and self.cutter is not None
        self.cutter.restart()
        first = True
        while True:
            now = self.daemon.now()
            left = self.job.answer_by - now
            patience = (
                self.attempts.patience_s(left) if first else self.attempts.gap_patience_s(left)
            )
            data = self.channel.read_body(now + patience)
            if not data:
                break
            events = self.cutter.feed(data)
            if events:
                self._send_events(head, events)
                if first:
                    self._end_prefill(first_token=True)
                    first = False
        if self.cutter.rest.strip() or self.cutter.broken:
            return AttemptOutcome.BROKEN
        self._release(whole=True)
        if not self.answered:
            self._send_events(head, b"")
        self.job.caller.end_stream()
        self._log("Stream complete.", events=self.cutter.passed, late=self._is_late())
        return None

    def _send_events(self, head: AnswerHead, events: bytes) -> None:
        if self.answered:
            self.job.caller.send_chunk(events)
            return
        self._answered_now()
        lines = [name + b": " + value for name, value in head.headers]
        self.job.caller.start_stream(head.status, lines, events)

    def _answered_now(self) -> None:
        self.answered = True
        self.job.first_byte_at = self.daemon.now()

    def _settle(self, outcome: AttemptOutcome) -> None:
        """Take in a failed attempt and let go of its channel."""
        assert self.choice is not None
        target = self.choice.target
        self.attempts.note(target.instance, outcome)
        self.daemon.metrics.attempts.labels(outcome.value).inc()
        self._release(whole=False)
        if outcome is not AttemptOutcome.REFUSED:
            target.note_failure(self.daemon.now())
            self._log("Attempt failed.", outcome=outcome.value)

    def _given_up(self, now: float, reason: str) -> Failure:
        kind = self.attempts.error_kind()
        if kind is ErrorKind.NO_TARGET and self.choice is not None:
            kind = ErrorKind.OVERLOADED
        number = self.daemon.random.random()
        return Failure(kind, reason, retry_after_s(self.job.answer_by - now, number))

    def _encoded(self, left: float) -> tuple[bytes, bytes]:
        job, choice = self.job, self.choice
        assert choice is not None and self.cutter is not None
        last_event = job.inbound.last_event
        if self.cutter.last_id is not None:
            last_event = str(self.cutter.last_id)
        terms = self.daemon.cache_terms(job, choice)
        job.saves = bool(terms.save_to)
        head = AttemptHead(
            time_left_s=max(0.001, left - WAY_BACK_S),
            instance=choice.target.instance,
            workspace="" if job.workspace is None else job.workspace.name,
            last_event=last_event,
            **attrs.asdict(terms),
        )
        return self.daemon.encode(job.inbound, head), job.inbound.body

    def _release(self, whole: bool, failed: bool = False) -> None:
        channel, self.channel = self.channel, None
        if channel is None or self.choice is None:
            return
        if not whole:
            channel.close()
            return
        if not failed:
            self.choice.target.note_success()
        self.daemon.channels.give_back(self.choice.target, channel)

    def _begin_prefill(self) -> None:
        assert self.choice is not None
        job = self.job
        if job.route.prompted:
            shedder = self.daemon.shedder_of(job.service)
            self.waiting = shedder.begin(job.route.objective_s, self.daemon.now())
            self.choice.target.prefill_tokens += job.inbound.prompt_tokens

    def _end_prefill(self, first_token: bool = False) -> None:
        assert self.choice is not None
        waiting, self.waiting = self.waiting, None
        if waiting is not None:
            shedder = self.daemon.shedder_of(self.job.service)
            shedder.end(waiting, self.daemon.now(), first_token)
            self.choice.target.prefill_tokens -= self.job.inbound.prompt_tokens

    def _note_weights(self, head: AnswerHead) -> None:
        assert self.choice is not None
        if head.weights_version is not None:
            self.choice.target.note_weights(self.job.inbound.model, head.weights_version)

    def _is_late(self) -> bool:
        first_s = self._first_byte_s()
        return first_s is not None and first_s > self.job.route.objective_s

    def _first_byte_s(self) -> float | None:
        at = self.job.first_byte_at
        return None if at is None else round(at - self.job.inbound.received_at, 4)

    def _log(self, sentence: str, **fields: object) -> None:
        choice = self.choice
        logger.info(
            sentence,
            request=self.job.inbound.request_id,
            route=self.job.route.name,
            workspace=None if self.job.workspace is None else self.job.workspace.name,
            target=self.job.target,
            age_s=round(self.daemon.now() - self.job.inbound.received_at, 4),
            first_byte_s=self._first_byte_s(),
            left_s=round(self.job.answer_by - self.daemon.now(), 3),
            sends=self.attempts.sends,
            cost_ms=None if choice is None else round(choice.cost_ms, 1),
            queue_ms=None if choice is None else round(choice.queue_ms, 1),
            rank=None if choice is None else choice.rank,
            candidates=None if choice is None else choice.candidates,
            weights=None if choice is None else choice.weights_version,
            saves=self.job.saves,
            **fields,
        )
