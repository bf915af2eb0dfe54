"""Send a request to the next target, and take in how each attempt ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from agaterail import logs
from agaterail.errors import ErrorKind, Failure
from agaterail.gateway.admission import retry_after_s, would_miss_deadline
from agaterail.gateway.attempt import Attempt
from agaterail.gateway.attempts import AttemptOutcome
from agaterail.gateway.inbound import AttemptHead

if TYPE_CHECKING:
    from agaterail.gateway.channel import Channel
    from agaterail.gateway.daemon import Daemon
    from agaterail.gateway.job import Job
    from agaterail.gateway.placement import Choice

logger = logs.get_logger("forward")

# A host that does not answer a connection at all is without power, frozen or
# cut off; hosts are some milliseconds apart.
CONNECT_TIMEOUT_S = 0.3
CONNECT_PART = 0.25
# The answer needs its time back to the caller: a few milliseconds of network,
# and the event loop's pauses on a busy host.
WAY_BACK_S = 0.02


class Sender:
    """Chooses targets for one request, sends it to them, and settles its attempts.

    Attributes
    ----------
    choice
        The newest choice, sent to or not; None before the first.
    """

    def __init__(self, daemon: Daemon, job: Job) -> None:
        self.daemon = daemon
        self.job = job
        self.attempts = job.attempts
        self.choice: Choice | None = None

    def begin(self, last_event: str) -> Attempt | Failure:
        """Send the request to the next target, or tell why there is none.

        Parameters
        ----------
        last_event
            Id of the event after which a stream is to go on; empty for the start.
        """
        while True:
            opened = self._open()
            if isinstance(opened, Failure):
                return opened
            choice, channel = opened
            attempt = self._send(choice, channel, last_event)
            if attempt is not None:
                return attempt

    def settle(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Take in how an attempt ended and let go of its channel."""
        self._note(attempt.instance, outcome)
        if outcome is AttemptOutcome.REFUSED:
            self._take_refusal(attempt)
            return
        attempt.abandon()
        if outcome is not AttemptOutcome.NOT_NEEDED:
            attempt.target.note_failure(self.daemon.now())
        self.log("Attempt failed.", attempt.choice, outcome=outcome.value)

    def _take_refusal(self, attempt: Attempt) -> None:
        head = attempt.head
        assert head is not None
        attempt.target.note_refusal(self.daemon.now())
        self.log(
            "Refused by the target.",
            attempt.choice,
            status=head.status,
            instance=head.instance or None,
        )
        try:
            attempt.read_rest(self.daemon.now() + CONNECT_TIMEOUT_S)
        except OSError as error:
            self.log("Refusal was cut short.", attempt.choice, error=str(error))
            attempt.abandon()
            return
        attempt.finish()

    def _note(self, instance: str, outcome: AttemptOutcome) -> None:
        self.attempts.note(instance, outcome)
        self.daemon.metrics.attempts.labels(outcome.value).inc()

    def log(self, sentence: str, choice: Choice | None = None, **fields: object) -> None:
        """Write a line on a decision; about the newest choice, if not another."""
        job = self.job
        choice = choice or self.choice
        logger.info(
            sentence,
            request=job.inbound.request_id,
            route=job.route.name,
            workspace=None if job.workspace is None else job.workspace.name,
            target=None if choice is None else choice.target.instance,
            age_s=round(self.daemon.now() - job.inbound.received_at, 4),
            first_byte_s=None if job.first_byte_s is None else round(job.first_byte_s, 4),
            left_s=round(job.answer_by - self.daemon.now(), 3),
            sends=self.attempts.sends,
            cost_ms=None if choice is None else round(choice.cost_ms, 1),
            queue_ms=None if choice is None else round(choice.queue_ms, 1),
            rank=None if choice is None else choice.rank,
            candidates=None if choice is None else choice.candidates,
            weights=None if choice is None else choice.weights_version,
            saves=job.saves,
            **self._age_of_weights(choice),
            **fields,
        )

    def _age_of_weights(self, choice: Choice | None) -> dict[str, object]:
        """Return what is believed of outdated weights at the chosen target."""
        named = None if choice is None else choice.outdated_by
        if named is None:
            return {}
        return {
            "outdated_by": named.version,
            "outdated_s": round(self.daemon.now() - named.known_at, 3),
            "age_assumed": named.assumed,
        }

    def _open(self) -> tuple[Choice, Channel] | Failure:
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
            if would_miss_deadline(wait_s, left):
                return self._given_up(now, f"expected wait {wait_s:.1f} s")
            overload = self._overload(now)
            if overload is not None:
                return overload
            self.job.target = choice.target.instance
            channel = self._connect(choice, left, now)
            if channel is None:
                continue
            if self.attempts.sends and not self.daemon.budget.try_consume(
                self.job.service, now
            ):
                self.daemon.channels.give_back_unused(choice.target, channel)
                return self._given_up(now, "no repeat left in the budget")
            return choice, channel

    def _connect(self, choice: Choice, left: float, now: float) -> Channel | None:
        timeout_s = min(CONNECT_TIMEOUT_S, left * CONNECT_PART)
        idempotent = self.job.route.idempotent
        try:
            return self.daemon.channels.take(choice.target, idempotent, timeout_s)
        except OSError as error:
            choice.target.note_failure(now)
            self._note(choice.target.instance, AttemptOutcome.NOT_CONNECTED)
            self.log("No connection.", error=str(error))
            return None

    def _overload(self, now: float) -> Failure | None:
        """Refuse a prompt that would make others late, before it was sent anywhere."""
        if not self.job.route.prompted or self.attempts.sends:
            return None
        random = self.daemon.random
        shedder = self.daemon.shedder_of(self.job.service)
        if not shedder.should_refuse(random.random(), now):
            return None
        left = self.job.answer_by - now
        reason = (
            f"wait {shedder.mean_wait:.2f} objectives, "
            f"{shedder.refusal_probability:.2f} refused"
        )
        hint = retry_after_s(left, random.random(), overloaded=True)
        return Failure(ErrorKind.OVERLOADED, reason, hint)

    def _send(self, choice: Choice, channel: Channel, last_event: str) -> Attempt | None:
        left = self.job.answer_by - self.daemon.now()
        attempt = Attempt(self.daemon, self.job, choice, channel)
        self.attempts.begin(attempt.instance)
        try:
            channel.send(*self._encoded(choice, left, last_event), timeout_s=max(0.001, left))
        except OSError as error:
            self.log("Attempt broke.", error=str(error))
            self.settle(attempt, AttemptOutcome.BROKEN)
            return None
        except BaseException:
            # The caller left; nobody else knows of this attempt yet.
            attempt.abandon()
            raise
        return attempt

    def _encoded(self, choice: Choice, left: float, last_event: str) -> tuple[bytes, bytes]:
        job = self.job
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

    def _given_up(self, now: float, reason: str) -> Failure:
        kind = self.attempts.error_kind()
        if kind is ErrorKind.NO_TARGET and self.choice is not None:
            kind = ErrorKind.OVERLOADED
        number = self.daemon.random.random()
        return Failure(kind, reason, retry_after_s(self.job.answer_by - now, number))
