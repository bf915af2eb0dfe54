"""Send a request to targets until one answers, and pass the answer on."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from agaterail.errors import Failure
from agaterail.gateway.attempts import LEAST_TIME_S, AttemptOutcome
from agaterail.gateway.channel import wait_readable
from agaterail.gateway.eventstream import EventCutter
from agaterail.gateway.sender import Sender

if TYPE_CHECKING:
    from agaterail.gateway.attempt import Attempt
    from agaterail.gateway.daemon import Daemon
    from agaterail.gateway.inbound import AnswerHead
    from agaterail.gateway.job import Job

# A head of which a part has come is whole soon, or its target has failed.
HEAD_TIMEOUT_S = 0.1
# Statuses that promise to callers that the request did not run. A target that
# sends one without saying so in its protocol's form may have run it.
PROMISES = (408, 421, 429, 503)
SERVER_ERRORS_FROM = 500


@attrs.frozen
class WholeAnswer:
    """A target's answer that is passed on in one piece."""

    head: AnswerHead
    body: bytes


class Forwarder:
    """The attempts of one request.

    A silent target is left only when another one answers: most that could take over
    may refuse or fail, while the silent one still has the whole answer.

    Attributes
    ----------
    attempt
        The one that the answer is read from.
    successor
        One that was sent while the first is silent.
    cutter
        Passes on each event of a stream once, whichever target sends it.
    target_failure
        A target's own failure, for the caller if no other target answers.
    answered
        Something of an answer was sent to the caller.
    """

    def __init__(self, daemon: Daemon, job: Job) -> None:
        self.daemon = daemon
        self.job = job
        self.attempts = job.attempts
        self.attempt: Attempt | None = None
        self.successor: Attempt | None = None
        self.target_failure: WholeAnswer | None = None
        last_event = job.inbound.last_event
        self.cutter = EventCutter(last_id=int(last_event) if last_event.isdigit() else None)
        self.sender = Sender(daemon, job)
        self.answered = False

    def run(self) -> Failure | None:
        """Answer the request; returns why it failed if nothing was sent yet."""
        try:
            while True:
                begun = self.sender.begin(self._last_event())
                if isinstance(begun, Failure):
                    return self._fail(begun)
                if self._follow(begun):
                    return None
        finally:
            for attempt in (self.attempt, self.successor):
                if attempt is not None:
                    attempt.abandon()

    def _fail(self, failure: Failure) -> Failure | None:
        if self.target_failure is not None and not self.answered:
            self._send_whole(self.target_failure)
            return None
        if not self.answered:
            return failure
        self._note_length()
        # Part of a stream is with the caller; without its end it is plainly cut.
        self.job.caller.abort()
        self.job.cut = True
        self.sender.log(
            "Stream cut.",
            kind=failure.kind.value,
            detail=failure.detail,
            events=self.cutter.passed,
            last_id=self.cutter.last_id,
            output_tokens=self.job.inbound.output_tokens,
        )
        return None

    # Reading.

    def _follow(self, attempt: Attempt) -> bool:
        """Read on until an answer has ended; tells whether one was passed on."""
        self._use(attempt)
        while True:
            current = self.attempt
            assert current is not None
            try:
                outcome = self._read_on(current)
            except TimeoutError:
                if self._ask_another(current):
                    continue
                outcome = AttemptOutcome.SILENT
            except OSError as error:
                self.sender.log("Attempt broke.", error=str(error))
                outcome = AttemptOutcome.BROKEN
            if outcome is None:
                return True
            self.sender.settle(current, outcome)
            return False

    def _use(self, attempt: Attempt) -> None:
        """Read the answer from an attempt from now on."""
        if attempt is not self.attempt:
            self.cutter.restart()
        self.attempt, self.successor = attempt, None
        self.sender.choice = attempt.choice
        self.job.target = attempt.instance

    def _read_on(self, attempt: Attempt) -> AttemptOutcome | None:
        """Pass an answer on; returns how the attempt failed, or nothing at its end."""
        now = self.daemon.now()
        patience = self.attempts.patience_s(self.job.answer_by - now)
        head = attempt.read_head(now + patience)
        outcome = self._judge(attempt, head)
        if outcome is not None:
            return outcome
        if attempt.is_stream:
            return self._relay(attempt, head)
        return self._pass_on(attempt, head)

    def _judge(self, attempt: Attempt, head: AnswerHead) -> AttemptOutcome | None:
        """Return why an answer is of no use to the caller; nothing if it may be."""
        if head.not_run:
            return AttemptOutcome.REFUSED
        if attempt.is_stream:
            return None
        # A stream that has begun can only go on with events.
        if self.answered or not head.signed or head.status in PROMISES:
            return AttemptOutcome.FAILED
        return None

    def _pass_on(self, attempt: Attempt, head: AnswerHead) -> AttemptOutcome | None:
        """Read a whole answer, then send it; half an answer is never passed on."""
        answer = WholeAnswer(head, attempt.read_rest(self.job.answer_by))
        failed = head.status >= SERVER_ERRORS_FROM
        if failed and self.attempts.may_repeat():
            self.target_failure = answer
            attempt.finish()
            return AttemptOutcome.FAILED
        attempt.finish(sound=not failed)
        self._send_whole(answer)
        return None

    def _relay(self, attempt: Attempt, head: AnswerHead) -> AttemptOutcome | None:
        """Pass events on as they come."""
        while True:
            now = self.daemon.now()
            left = self.job.answer_by - now
            if attempt.has_events:
                patience = self.attempts.gap_patience_s(left)
            else:
                patience = self.attempts.patience_s(left)
            data = attempt.read_body(now + patience)
            if not data:
                break
            passed = self.cutter.passed
            events = self.cutter.feed(data)
            if events:
                self._send_events(head, events)
                attempt.note_events(self.cutter.passed - passed)
        if self.cutter.rest.strip() or self.cutter.broken:
            return AttemptOutcome.BROKEN
        attempt.finish()
        self._note_length()
        if not self.answered:
            self._send_events(head, b"")
        self.job.caller.end_stream()
        self.sender.log(
            "Stream complete.",
            events=self.cutter.passed,
            last_id=self.cutter.last_id,
            output_tokens=self.job.inbound.output_tokens,
            late=self._is_late(),
            ran_weights=head.weights_version,
        )
        return None

    # A silent target and another one beside it.

    def _ask_another(self, silent: Attempt) -> bool:
        """Send to further targets until one of them or the silent one answers.

        Returns whether there is an attempt to read on from; it is the silent one if no
        other target could be asked.
        """
        if self._left_s() < LEAST_TIME_S:
            return False
        silent.target.note_failure(self.daemon.now())
        while self._left_s() >= LEAST_TIME_S:
            begun = self.sender.begin(self._last_event())
            if isinstance(begun, Failure):
                self._use(silent)
                self.sender.log("Silent target kept.", reason=begun.detail)
                return True
            self.successor = begun
            self.sender.log("Another target is asked.", silent=silent.instance)
            if self._await_either(silent, begun):
                return True
        return False

    def _await_either(self, silent: Attempt, successor: Attempt) -> bool:
        """Wait for an answer of either target; tells whether one of them goes on."""
        channels = (successor.channel, silent.channel)
        while ready := wait_readable(channels, self._left_s()):
            # Once the successor runs, the silent one must not go on beside it.
            if successor.channel in ready:
                return self._take_over(silent, successor)
            outcome = self._first_word(silent)
            if outcome is None:
                self.sender.settle(successor, AttemptOutcome.NOT_NEEDED)
                self._use(silent)
                return True
            if outcome is not AttemptOutcome.SILENT:
                self.sender.settle(silent, outcome)
                self._use(successor)
                return True
        self.sender.settle(successor, AttemptOutcome.SILENT)
        return False

    def _take_over(self, silent: Attempt, successor: Attempt) -> bool:
        outcome = self._first_word(successor)
        if outcome is not None:
            self.sender.settle(successor, outcome)
            self.successor = None
            return False
        self.sender.settle(silent, AttemptOutcome.SILENT)
        self._use(successor)
        return True

    def _first_word(self, attempt: Attempt) -> AttemptOutcome | None:
        """Take in what a target sent; returns how it failed, or nothing if it goes on."""
        deadline = min(self.job.answer_by, self.daemon.now() + HEAD_TIMEOUT_S)
        try:
            if attempt.is_stream:
                return None if attempt.take_in(self.cutter) else AttemptOutcome.SILENT
            head = attempt.read_head(deadline)
            outcome = self._judge(attempt, head)
            if outcome is not None or attempt.is_stream or head.status < SERVER_ERRORS_FROM:
                return outcome
            self.target_failure = WholeAnswer(head, attempt.read_rest(deadline))
        except OSError as error:
            self.sender.log("Attempt broke.", attempt.choice, error=str(error))
            return AttemptOutcome.BROKEN
        return AttemptOutcome.FAILED

    def _note_length(self) -> None:
        shedder = self.daemon.shedder_of(self.job.service)
        shedder.pace.note_end(self.job.route, self.cutter.passed)

    def _left_s(self) -> float:
        return self.job.answer_by - self.daemon.now()

    def _last_event(self) -> str:
        last = self.cutter.last_id
        return self.job.inbound.last_event if last is None else str(last)

    # The caller.

    def _send_whole(self, answer: WholeAnswer) -> None:
        self._answered_now()
        self.job.caller.send_answer(answer.head.status, _lines(answer.head), answer.body)
        self.sender.log("Answered.", status=answer.head.status, late=self._is_late())

    def _send_events(self, head: AnswerHead, events: bytes) -> None:
        if self.answered:
            self.job.caller.send_chunk(events)
            return
        self._answered_now()
        self.job.caller.start_stream(head.status, _lines(head), events)

    def _answered_now(self) -> None:
        self.answered = True
        self.job.first_byte_at = self.daemon.now()

    def _is_late(self) -> bool:
        first_s = self.job.first_byte_s
        return first_s is not None and first_s > self.job.route.objective_s


def _lines(head: AnswerHead) -> list[bytes]:
    return [name + b": " + value for name, value in head.headers]
