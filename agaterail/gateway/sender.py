"""Start attempts at targets and record how each one ends."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import gevent

from agaterail import logs
from agaterail.bytelimits.answers import exceeded_bounds
from agaterail.decisions.refusalorder import OfferedPrompt
from agaterail.decisions.urgency import effective_priority
from agaterail.errors import ANSWERS, ErrorKind, Failure
from agaterail.gateway.admission import retry_after_s, would_miss_deadline
from agaterail.gateway.attempt import Attempt
from agaterail.gateway.inbound import AttemptHead
from agaterail.gateway.placement import Choice
from agaterail.gateway.relayprotocol import RelayedHead
from agaterail.gateway.requestcontext import urgency_of
from agaterail.gateway.retrystate import AttemptOutcome

if TYPE_CHECKING:
    from agaterail.decisions.refusalorder import Offer
    from agaterail.gateway.daemon import Daemon
    from agaterail.gateway.inbound import AnswerHead
    from agaterail.gateway.quarantinecontroller import Block
    from agaterail.gateway.requestcontext import RequestContext
    from agaterail.gateway.targetconnection import TargetConnection
    from agaterail.gateway.targets import Target

logger = logs.get_logger("forward")

# Hosts are a few milliseconds apart. One that does not complete a connect in this
# time has lost power, is frozen or is partitioned.
CONNECT_TIMEOUT_S = 0.3
CONNECT_TIMEOUT_FRACTION = 0.25
# Time for the answer to reach the caller: a few milliseconds of network latency
# plus event loop pauses on a busy host.
RETURN_MARGIN_S = 0.02
# Callers abandon a stream that pauses for longer than two seconds.
MAX_BUILD_WAIT_S = 1.0
MIN_SERVER_ERROR_STATUS = 500
MAX_LOGGED_ID = 64  # characters of an id that a caller chose
MAX_LOGGED_PARTS = 8


class Sender:
    """Chooses targets for one request, sends it to them and ends its attempts.

    Attributes
    ----------
    choice
        The latest choice, whether or not the request was sent there; None before
        the first.
    relay_failure
        Why the latest daemon that was to forward the request did not run it.
    permit
        Who gave the latest permit for a target with a limit; empty if none was needed.
    offer
        The prompt as it was recorded for the order of refusals; None before.
    """

    def __init__(self, daemon: Daemon, context: RequestContext) -> None:
        self.daemon = daemon
        self.context = context
        self.retry_state = context.retry_state
        self.choice: Choice | None = None
        self.relay_failure: Failure | None = None
        self.permit = ""
        self.offer: Offer | None = None
        self.full_deadline = context.deadline

    def start_attempt(self, last_event_id: str, may_wait: bool = True) -> Attempt | Failure:
        """Send the request to the next target, or return why that is not possible.

        Parameters
        ----------
        last_event_id
            Id of the event after which a stream resumes; empty for the start.
        may_wait
            Whether to wait for an engine that goes on with the stream soon.
        """
        while True:
            blocked = self._check_stop() or self._check_quarantine()
            if blocked is not None:
                return blocked
            opened = self._connect(may_wait)
            if isinstance(opened, Failure):
                return opened
            choice, connection = opened
            attempt = self._send(choice, connection, last_event_id)
            if attempt is not None:
                return attempt

    def end_attempt(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Record how an attempt ended, then close or release its connection."""
        self._record_outcome(attempt.instance, outcome)
        if outcome is AttemptOutcome.REFUSED:
            self._handle_refusal(attempt)
            return
        if outcome is AttemptOutcome.NOT_RELAYED:
            self._handle_relay_refusal(attempt)
            return
        attempt.abandon()
        if attempt.choice.relayed:
            self._record_relay_failure(attempt.target, outcome)
        elif outcome is not AttemptOutcome.NOT_NEEDED:
            attempt.target.record_failure(self.daemon.now())
            if outcome is AttemptOutcome.BROKEN:
                self.daemon.restarts.record_break(attempt.target)
                self.daemon.quarantine.record_broken(attempt)
        self.log(
            "Attempt failed.", attempt.choice, outcome=outcome.value, **_progress(attempt)
        )

    def _handle_refusal(self, attempt: Attempt) -> None:
        head = attempt.head
        assert head is not None
        resend = self._learned_newer_weights(attempt, head)
        if resend:
            self.retry_state.allow_resend(attempt.instance)
        else:
            attempt.target.record_refusal(self.daemon.now())
            self.daemon.target_rooms.record_refusal(attempt.target)
        self.log(
            "Refused by the target.",
            attempt.choice,
            status=head.status,
            instance=head.instance or None,
            has_weights=head.weights_version,
            resend=resend,
        )
        if resend:
            # A late second copy of the refusal would be taken for the answer to the next
            # send, as both have the id of the request.
            attempt.abandon()
            return
        self._finish_refused(attempt)

    def _handle_relay_refusal(self, attempt: Attempt) -> None:
        """Take back what was counted for a run that did not take place."""
        context, head = self.context, attempt.head
        assert isinstance(head, RelayedHead) and head.refusal is not None
        refusal = head.refusal
        self.retry_state.sends += refusal.sends - 1
        if context.cost:
            context.charged_runs -= 1  # the other daemon has refunded it
        self.daemon.relays.record_refusal(context.service, attempt.instance, refusal)
        kind = refusal.kind
        answer = ANSWERS[kind]
        if answer.status < MIN_SERVER_ERROR_STATUS and answer.retry_after_s is None:
            # This daemon would admit the request. The desired states differ for now.
            kind = ErrorKind.TABLES_UNAVAILABLE
        self.relay_failure = Failure(
            kind, f"not run by {attempt.instance}", head.retry_after_s
        )
        self.log(
            "Not forwarded by the other daemon.",
            attempt.choice,
            status=head.status,
            kind=refusal.kind.value,
            sent_to=refusal.sends,
        )
        self._finish_refused(attempt)

    def _record_relay_failure(self, peer: Target, outcome: AttemptOutcome) -> None:
        """Use another daemon next if this one broke off or was silent."""
        if outcome in (AttemptOutcome.BROKEN, AttemptOutcome.SILENT):
            self.daemon.relays.record_failure(self.context.service, peer.instance)

    def _finish_refused(self, attempt: Attempt) -> None:
        try:
            attempt.read_rest(self.daemon.now() + CONNECT_TIMEOUT_S)
        except OSError as error:
            exceeded = exceeded_bounds.record(error)
            self.log(
                "Could not read the rest of a refusal.",
                attempt.choice,
                error=str(error),
                exceeded=exceeded,
            )
            attempt.abandon()
            return
        attempt.finish(healthy=False)

    def _learned_newer_weights(self, attempt: Attempt, head: AnswerHead) -> bool:
        """Return whether an engine refused only since it has newer weights than expected.

        This daemon has recorded them by now. The engine itself is not full, so the
        request can be sent to it again.
        """
        expected = attempt.choice.weights_version
        if expected is None or head.weights_version is None:
            return False
        is_same = head.instance in ("", attempt.instance)
        return (
            is_same
            and attempt.target.wants_requests(self.daemon.now())
            and head.weights_version > expected
            and attempt.instance not in self.retry_state.resent
        )

    def _record_outcome(self, instance: str, outcome: AttemptOutcome) -> None:
        self.retry_state.record_outcome(instance, outcome)
        self.daemon.metrics.attempts.labels(outcome.value).inc()

    def log(self, event: str, choice: Choice | None = None, **fields: object) -> None:
        """Log a decision about the given choice, by default the latest one."""
        context = self.context
        choice = choice or self.choice
        logger.info(
            event,
            request=context.inbound.request_id,
            route=context.route.name,
            workspace=None if context.workspace is None else context.workspace.name,
            target=None if choice is None else choice.target.instance,
            age_s=round(self.daemon.now() - context.inbound.received_at, 4),
            first_byte_s=None
            if context.first_byte_s is None
            else round(context.first_byte_s, 4),
            left_s=round(context.deadline - self.daemon.now(), 3),
            sends=self.retry_state.sends,
            cost_ms=None if choice is None else round(choice.cost_ms, 1),
            queue_ms=None if choice is None else round(choice.queue_ms, 1),
            rank=None if choice is None else choice.rank,
            candidates=None if choice is None else choice.candidates,
            weights=None if choice is None else choice.weights_version,
            saves=context.saves,
            cache_scope=context.cache_scope or None,
            desired=self.daemon.state.desired_version,
            build=None if choice is None else choice.target.registration.build,
            targets_age_s=round(self.daemon.feeds.targets_age_s(), 3),
            resumes=context.inbound.resumes[:MAX_LOGGED_ID] or None,
            after_event=context.inbound.last_event_id[:MAX_LOGGED_ID] or None,
            **({"relayed": True} if context.relayed else {}),
            **_cost_fields(choice),
            **self._permit_fields(choice),
            **self._outdated_weights_fields(choice),
            **self._plan_fields(),
            **fields,
        )

    def log_broken(self, error: OSError, choice: Choice | None = None) -> None:
        """Log why an exchange with a target failed, and count a bound that it exceeds."""
        exceeded = exceeded_bounds.record(error)
        self.log(
            "Exchange with the target failed.", choice, error=str(error), exceeded=exceeded
        )

    def _permit_fields(self, choice: Choice | None) -> dict[str, object]:
        """Return log fields about limits of targets, if any were in the way."""
        limit = None if choice is None else choice.target.rate_limit
        fields: dict[str, object] = {}
        if limit is not None:
            fields["limit_per_s"] = limit.rate_per_s
            fields["permit"] = self.permit or None
        if self.retry_state.denied:
            fields["denied"] = list(self.retry_state.denied)
        return fields

    def _outdated_weights_fields(self, choice: Choice | None) -> dict[str, object]:
        """Return log fields about outdated weights at the chosen target, if any."""
        named = None if choice is None else choice.outdated_by
        if named is None:
            return {}
        return {
            "outdated_by": named.version,
            "outdated_s": round(self.daemon.now() - named.known_at, 3),
            "age_assumed": named.assumed,
        }

    def _plan_fields(self) -> dict[str, object]:
        """Return log fields about the announced loads, for requests to engines."""
        if not self.context.route.prompted:
            return {}
        return self.daemon.weights.plan_fields(self.daemon.now())

    def _connect(self, may_wait: bool) -> tuple[Choice, TargetConnection] | Failure:
        """Connect to a target or a daemon that forwards, or return why the request ends.

        A daemon that reaches few targets would overload these and lose the cached prefixes
        of the others.
        """
        opened: tuple[Choice, TargetConnection] | Failure | None = None
        if self.daemon.paths.is_impaired(self.context.service):
            opened = self._connect_to_relay()
        opened = opened or self._connect_to_next(may_wait) or self._connect_to_relay()
        return opened or self._fail_without_path(self.daemon.now())

    def _connect_to_next(
        self, may_wait: bool
    ) -> tuple[Choice, TargetConnection] | Failure | None:
        """Connect to the next target, or return why the request ends.

        Returns None if no target can be connected, so that only another daemon may help.
        """
        while True:
            now = self.daemon.now()
            left = self.context.deadline - now
            if not self.retry_state.may_try_another(left):
                if self._may_use_relay(left):
                    return None
                return self._give_up(now, "no attempts left")
            choice = self.daemon.choose(self.context, now)
            if choice is None and may_wait and self._await_same_build(now, left):
                continue
            if choice is None:
                if self._may_use_relay(left):
                    return None
                return self._no_usable_target(now)
            self.choice = choice
            overload = self._check_wait(choice, now)
            if overload is not None:
                return overload
            if not self._is_still_of_build(choice.target):
                continue
            if not self._charge_run():
                return self._give_up(now, "allowance exhausted")
            if not self._get_permit(choice.target):
                continue
            self.context.target = choice.target.instance
            connection = self._acquire(choice, left, now)
            if connection is None:
                continue
            if not choice.target.wants_requests(self.daemon.now()):
                # Another request learned this while this one was connecting.
                self.daemon.connection_pool.release_unused(choice.target, connection)
                continue
            if self.retry_state.sends and not self.daemon.budget.try_consume(
                self.context.service, now
            ):
                self.daemon.connection_pool.release_unused(choice.target, connection)
                return self._give_up(now, "retry budget exhausted")
            return choice, connection

    def _is_still_of_build(self, target: Target) -> bool:
        """Return whether a target surely is of the build that began the stream."""
        if self.context.source is None or self.daemon.restarts.confirm(target):
            return True
        self._record_outcome(target.instance, AttemptOutcome.NOT_CONNECTED)
        self.log("Build of the target not confirmed.")
        return False

    def _await_same_build(self, now: float, left: float) -> bool:
        """Wait for the next engine of the stream's build; return whether there is one."""
        if self.context.source is None or self.context.service in self.daemon.paths.outages:
            return False
        tried = self.retry_state.tried
        engines = self.daemon.targets_of(self.context)
        usable_at = min(
            (item.usable_at(now) for item in engines if item.instance not in tried),
            default=math.inf,
        )
        if not now < usable_at < now + min(left, MAX_BUILD_WAIT_S):
            return False
        self.log("Waiting for an engine of the build.", wait_s=round(usable_at - now, 3))
        gevent.sleep(usable_at - now)
        return True

    def _may_use_relay(self, left: float) -> bool:
        """Return whether another daemon may reach targets that this one does not.

        A request that another daemon passed on is never passed on again.
        """
        source = self.context.source
        if source is not None and not source.is_known:
            return False
        if self.context.relayed or not self.retry_state.may_be_relayed(left):
            return False
        if self.daemon.paths.is_impaired(self.context.service):
            return True
        # A target that refused the request shows that there is a path.
        failures, refusals = self.retry_state.connect_failures, self.retry_state.refusals
        return failures > 0 and not refusals

    def _connect_to_relay(self) -> tuple[Choice, TargetConnection] | Failure | None:
        """Connect to a daemon that forwards the request; None if there is none."""
        context, relays = self.context, self.daemon.relays
        while self._may_use_relay(context.deadline - self.daemon.now()):
            if self._is_rate_limited():
                return self.relay_failure
            peer = relays.choose(context.service, self.retry_state.tried)
            if peer is None:
                return None
            self.choice = choice = Choice(target=peer, cost_ms=0.0, relayed=True)
            context.target = peer.instance
            now = self.daemon.now()
            connection = self._acquire(choice, context.deadline - now, now)
            if connection is None:
                relays.record_failure(context.service, peer.instance)
                continue
            if self.retry_state.sends and not self.daemon.budget.try_consume(
                context.service, now
            ):
                relays.pool.release_unused(peer, connection)
                return self._give_up(now, "retry budget exhausted")
            self._leave_charge_to_relay()
            return choice, connection
        return None

    def _is_rate_limited(self) -> bool:
        failure = self.relay_failure
        return failure is not None and failure.kind is ErrorKind.RATE_LIMITED

    def _leave_charge_to_relay(self) -> None:
        """Refund a run that was charged here; the other daemon charges it again."""
        context = self.context
        if context.workspace is None or not context.cost:
            return
        if self.retry_state.runs < context.charged_runs:
            self.daemon.allowances.refund(context.workspace.name, context.cost)
        else:
            context.charged_runs += 1

    def _fail_without_path(self, now: float) -> Failure:
        """Return why neither this daemon nor another one could serve the request."""
        failure = self.relay_failure
        if failure is None or self.retry_state.runs:
            return self._no_usable_target(now)
        return failure

    def _charge_run(self) -> bool:
        """Charge the workspace's allowance if one more run than before is possible."""
        context = self.context
        workspace = context.workspace
        if self.retry_state.runs < context.charged_runs or not context.cost:
            return True
        if workspace is None or workspace.allowance is None:
            return True
        allowances = self.daemon.allowances
        if allowances.admit(workspace.name, workspace.allowance, context.cost) is not None:
            return False
        context.charged_runs += 1
        return True

    def _get_permit(self, target: Target) -> bool:
        """Return whether what a target says that it can bear leaves room for the request."""
        daemon = self.daemon
        has_permit = daemon.target_limits.admit(target)
        self.permit = "" if target.rate_limit is None else target.permits.source
        if has_permit and daemon.target_rooms.admit(target):
            return True
        self.retry_state.record_denial(target.instance)
        return False

    def _acquire(self, choice: Choice, left: float, now: float) -> TargetConnection | None:
        timeout_s = min(CONNECT_TIMEOUT_S, left * CONNECT_TIMEOUT_FRACTION)
        idempotent = self.context.route.idempotent
        pool = self.daemon.relays.pool if choice.relayed else self.daemon.connection_pool
        try:
            connection = pool.acquire(choice.target, idempotent, timeout_s)
        except OSError as error:
            if choice.relayed:
                outcome = AttemptOutcome.NOT_RELAYED
            else:
                outcome = AttemptOutcome.NOT_CONNECTED
                choice.target.record_failure(now)
                self.daemon.restarts.record_break(choice.target)
                self.daemon.silence.record_failure(choice.target)
            self._record_outcome(choice.target.instance, outcome)
            self.log("Could not connect to the target.", error=str(error))
            return None
        if not choice.relayed:
            self.daemon.restarts.record_connect(choice.target)
        return connection

    def _check_wait(self, choice: Choice, now: float) -> Failure | None:
        wait_s = self.daemon.expected_wait_s(self.context, choice)
        if would_miss_deadline(wait_s, self.context.deadline - now):
            return self._give_up(now, f"expected wait {wait_s:.1f} s")
        return self._check_overload(now)

    def _check_overload(self, now: float) -> Failure | None:
        """Shed a prompt that was not sent yet if the service is overloaded.

        Served late itself, it would make the prompts of other callers late too.
        """
        if not self.context.route.prompted or self.retry_state.sends:
            return None
        if self.context.source is not None:
            return None  # its caller has waited already, and has part of the answer
        if self.retry_state.denied:
            return None  # decided before the first target was asked for
        random = self.daemon.random
        shedder = self.daemon.shedder_of(self.context.service)
        if self.offer is None:
            self.offer = shedder.order.offer(self._offered_prompt(), now)
        if not shedder.should_refuse(random.random(), now, self.offer):
            return None
        chance = shedder.chance(self.offer, now)
        reason = (
            f"wait {shedder.mean_wait:.2f} objectives, "
            f"{shedder.refusal_probability:.2f} refused; {chance.describe()}"
        )
        self.daemon.metrics.prompts_refused.labels(
            chance.offer.prompt.urgency, chance.reason.value
        ).inc()
        hint = retry_after_s(self.context.deadline - now, random.random(), overloaded=True)
        return Failure(ErrorKind.OVERLOADED, reason, hint)

    def _offered_prompt(self) -> OfferedPrompt:
        context, inbound = self.context, self.context.inbound
        return OfferedPrompt(
            urgency=urgency_of(context),
            route_priority=effective_priority(context.route.priority, None),
            route=context.route.name,
            workspace=context.workspace_name,
            tokens=inbound.prompt_tokens + inbound.output_tokens,
            time_limit_s=inbound.time_limit_s,
        )

    def _check_stop(self) -> Failure | None:
        """Return why a request is not sent while the process stops; None if it is.

        A request that may not end before the process is turned away while that is true:
        later, it could only be cut.
        """
        window, context = self.daemon.stop_window, self.context
        if window is None:
            return None
        now = self.daemon.now()
        if not self.retry_state.runs and not window.allows(now, self.full_deadline):
            reason = f"the process ends in {window.ends_at - now:.1f} s"
            return Failure(ErrorKind.SHUTTING_DOWN, reason, retry_after_s=0.0)
        context.deadline = min(self.full_deadline, window.ends_at)
        return None

    def _check_quarantine(self) -> Failure | None:
        """Return why a request that may end its target is not sent; None if it is."""
        quarantine, keys = self.daemon.quarantine, self.context.keys
        if self.retry_state.runs and not quarantine.may_resend(keys):
            kind = self.retry_state.error_kind()
            return Failure(kind, f"targets ended under {keys.request}")
        block = quarantine.begin_send(keys)
        return None if block is None else self._fail_quarantined(block)

    def _fail_quarantined(self, block: Block) -> Failure:
        """Return the failure of a request that was put in quarantine meanwhile."""
        if self.retry_state.runs:
            return Failure(self.retry_state.error_kind(), f"{block.detail} is quarantined")
        return Failure(ErrorKind.QUARANTINED, block.detail, block.retry_after_s)

    def _send(
        self, choice: Choice, connection: TargetConnection, last_event_id: str
    ) -> Attempt | None:
        left = self.context.deadline - self.daemon.now()
        attempt = Attempt(self.daemon, self.context, choice, connection, last_event_id)
        self.retry_state.record_send(attempt.instance)
        self._count_placement(choice)
        try:
            encode = self._encode_relayed if choice.relayed else self._encode
            connection.send(*encode(choice, left, last_event_id), timeout_s=max(0.001, left))
        except OSError as error:
            self.log_broken(error)
            self.end_attempt(attempt, AttemptOutcome.BROKEN)
            return None
        except BaseException:
            # The caller left; no one else holds a reference to this attempt yet.
            attempt.abandon()
            raise
        return attempt

    def _count_placement(self, choice: Choice) -> None:
        if self.context.route.prompted and not choice.relayed:
            basis = "own requests" if choice.cost is None else "figures"
            place = "other" if choice.rank else "home"
            self.daemon.metrics.placements.labels(basis, place).inc()

    def _encode(self, choice: Choice, left: float, last_event_id: str) -> tuple[bytes, bytes]:
        context = self.context
        directives = self.daemon.cache_directives(context, choice)
        context.saves = bool(directives.save_to)
        context.cache_scope = directives.cache_scope
        homes = self.daemon.engine_homes.get(context.service)
        if homes is not None and directives.fetch_from:
            homes.record_parts(context.route.name, context.saves)
        head = AttemptHead(
            time_left_s=max(0.001, left - RETURN_MARGIN_S),
            instance=choice.target.instance,
            workspace=context.workspace_name,
            last_event_id=last_event_id,
            **attrs.asdict(directives),
        )
        return self.daemon.encode(context.inbound, head), context.inbound.body

    def _encode_relayed(
        self, _choice: Choice, left: float, last_event_id: str
    ) -> tuple[bytes, bytes]:
        inbound = self.context.inbound
        # Targets that only failed to be connected from here may be reached from there.
        state = self.retry_state
        tried = state.may_have_run | state.ran_elsewhere | state.refused
        head = self.daemon.relays.encode(
            inbound,
            self.context.service,
            left - RETURN_MARGIN_S,
            last_event_id,
            tried,
            self.context.build,
        )
        return head, inbound.body

    def _no_usable_target(self, now: float) -> Failure:
        """Return a failure that names what keeps the request from the targets."""
        targets = self.daemon.targets_of(self.context)
        over_limit = sum(target.is_over_limit(now) for target in targets)
        resting = sum(now < target.rest_until for target in targets)
        reason = "no usable target"
        if over_limit or resting:
            reason += f", of {len(targets)} {over_limit} over their limits, {resting} resting"
        if self.context.source is not None:
            others = len(self.daemon.registry.of_service(self.context.service)) - len(targets)
            reason += f"; {others} of other builds left out"
        earliest = min((target.takes_requests_at(now) for target in targets), default=math.inf)
        earliest_s = max(0.0, earliest - now) if math.isfinite(earliest) else 0.0
        return self._give_up(now, reason, earliest_s)

    def _give_up(self, now: float, reason: str, earliest_s: float = 0.0) -> Failure:
        """Return a failure.

        Parameters
        ----------
        earliest_s
            Seconds until a target takes requests again; 0 if that is not known.
        """
        kind = self.retry_state.error_kind()
        if kind is ErrorKind.NO_TARGET and (self.choice is not None or earliest_s):
            kind = ErrorKind.OVERLOADED
        if kind is ErrorKind.NO_TARGET and self.context.source is not None:
            return Failure(ErrorKind.BUILD_UNAVAILABLE, reason)
        number = self.daemon.random.random()
        hint_s = retry_after_s(self.context.deadline - now, number, earliest_s=earliest_s)
        return Failure(kind, reason, hint_s)


def _cost_fields(choice: Choice | None) -> dict[str, object]:
    """Return log fields about a choice that follows from figures of the fleet."""
    if choice is None or choice.cost is None:
        return {}
    age_s = choice.figures_age_s
    return {
        "cost": choice.cost.summary(),
        "figures_age_s": None if age_s is None else round(age_s, 2),
        **({"crowded": True} if choice.crowded else {}),
    }


def _progress(attempt: Attempt) -> dict[str, object]:
    """Return log fields that tell what was asked for and how far the answer had got."""
    parts = attempt.context.inbound.shared_parts
    return {
        "key": attempt.context.keys.request,
        "has_head": attempt.head is not None,
        "events": attempt.events,
        "parts": [part.name for part in parts[-MAX_LOGGED_PARTS:]] or None,
    }
