"""From a caller's request to its answer: routing, keys, forwarding, failures."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Success

from agaterail import logs
from agaterail.callerwatch import CallerLeft
from agaterail.errors import ErrorKind, Failure
from agaterail.gateway.admission import retry_after_s
from agaterail.gateway.attempts import Attempts
from agaterail.gateway.desired import pick_service
from agaterail.gateway.forwarder import Forwarder
from agaterail.gateway.job import Job
from agaterail.platform import requests

if TYPE_CHECKING:
    from agaterail.gateway.daemon import Daemon
    from agaterail.gateway.desired import DesiredState, Route, Workspace
    from agaterail.gateway.front import CallerConnection
    from agaterail.gateway.inbound import Inbound

logger = logs.get_logger("gateway")

# Way of an answer to the caller and back, and pauses of the event loop.
ANSWER_MARGIN_S = 0.03
DEFAULT_TIME_LIMIT_S = 60.0


class RequestHandler:
    """Answers callers' requests."""

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon

    def handle(self, inbound: Inbound, caller: CallerConnection) -> None:
        """Answer one request."""
        job: Job | None = None
        failure: Failure | None = None
        left = False
        try:
            outcome = self._admit(inbound, caller)
            if isinstance(outcome, Job):
                job = outcome
                failure = Forwarder(self.daemon, job).run()
            else:
                failure = outcome
        except (CallerLeft, OSError) as error:
            left = True
            logger.info(
                "Caller left.",
                request=inbound.request_id,
                target=None if job is None else job.target,
                first_byte=job is not None and job.first_byte_at is not None,
                age_s=round(self.daemon.now() - inbound.received_at, 4),
                reason=type(error).__name__,
            )
            raise
        except Exception:
            # A fault of ours; without an answer the caller could not tell it from
            # a lost connection.
            logger.exception("Handling a request raised.", request=inbound.request_id)
            failure = Failure(ErrorKind.INTERNAL)
            if job is not None and job.first_byte_at is not None:
                caller.abort()
                job.cut, failure = True, None
        finally:
            self._measure(inbound, job, failure, left)
        if failure is not None:
            self._send_failure(inbound, caller, failure, job)

    def _measure(
        self, inbound: Inbound, job: Job | None, failure: Failure | None, left: bool
    ) -> None:
        kind = "unknown" if job is None else job.route.kind.value
        if failure is not None:
            outcome = failure.kind.value
        elif left:
            outcome = "caller_left"
        else:
            outcome = "cut" if job is not None and job.cut else "answered"
        self.daemon.metrics.requests.labels(kind, outcome).inc()
        age_s = self.daemon.now() - inbound.received_at
        self.daemon.metrics.duration.labels(kind, outcome).observe(age_s)
        if job is not None and job.first_byte_at is not None:
            first_s = job.first_byte_at - inbound.received_at
            self.daemon.metrics.first_byte.labels(kind).observe(first_s)

    def _admit(self, inbound: Inbound, caller: CallerConnection) -> Job | Failure:
        decoded = requests.decode_request(inbound)
        if not isinstance(decoded, Success):
            return Failure(ErrorKind.BAD_REQUEST, decoded.failure())
        if not inbound.request_id:
            return Failure(ErrorKind.BAD_REQUEST, "The request has no id.")
        desired = self.daemon.state.desired
        if desired is None:
            return Failure(ErrorKind.TABLES_UNAVAILABLE)
        route = desired.match(inbound.host, inbound.path)
        if route is None:
            return self._denied(ErrorKind.NO_ROUTE)
        workspace = self._workspace(desired, route, inbound)
        if isinstance(workspace, Failure):
            return workspace
        limit = inbound.time_limit_s or DEFAULT_TIME_LIMIT_S
        answer_by = inbound.received_at + min(route.timeout_s, limit) - ANSWER_MARGIN_S
        service = pick_service(route, self.daemon.random.random())
        self.daemon.budget.note_request(service, self.daemon.now())
        self.daemon.demand.note(inbound.prompt_tokens, self.daemon.now())
        return Job(
            inbound=inbound,
            route=route,
            service=service,
            workspace=workspace,
            answer_by=answer_by,
            caller=caller,
            attempts=Attempts(route),
        )

    def _workspace(
        self, desired: DesiredState, route: Route, inbound: Inbound
    ) -> Workspace | Failure | None:
        workspace = desired.workspace_by_key.get(inbound.api_key)
        if route.public or not desired.has_workspaces:
            return workspace if self.daemon.freshness.allows_keys(self.daemon.now()) else None
        if workspace is None:
            return self._denied(ErrorKind.UNAUTHENTICATED)
        if not self.daemon.freshness.allows_keys(self.daemon.now()):
            return Failure(ErrorKind.TABLES_UNAVAILABLE, "Keys cannot be verified now.")
        return workspace

    def _denied(self, kind: ErrorKind) -> Failure:
        """Deny for good only what a fresh reading does not know."""
        if self.daemon.freshness.allows_denial(self.daemon.now()):
            return Failure(kind)
        return Failure(ErrorKind.TABLES_UNAVAILABLE, "The desired state may be newer.")

    def _send_failure(
        self, inbound: Inbound, caller: CallerConnection, failure: Failure, job: Job | None
    ) -> None:
        status = failure.answer.status
        desired = self.daemon.state.desired
        hint = self._hint(failure, inbound)
        lines = requests.encode_failure_headers(inbound.request_id, hint)
        logger.info(
            "Request failed.",
            request=inbound.request_id,
            kind=failure.kind.value,
            status=status,
            detail=failure.detail,
            route=None if job is None else job.route.name,
            sends=None if job is None else job.attempts.sends,
            runs=None if job is None else job.attempts.runs,
            reading_age_s=round(self.daemon.freshness.age_s(self.daemon.now()), 3),
            desired=None if desired is None else desired.version,
            retry_after_s=hint,
        )
        caller.send_answer(status, lines, b"")

    def _hint(self, failure: Failure, inbound: Inbound) -> float | None:
        """Return when to come back: a part of the caller's time, spread at random.

        Callers heed a hint of up to a third of the time that they have left; a
        longer one would be an answer that nobody waits for.
        """
        if failure.retry_after_s is not None or failure.retry_hint_s is None:
            return failure.retry_after_s
        limit = inbound.time_limit_s or DEFAULT_TIME_LIMIT_S
        return retry_after_s(limit, self.daemon.random.random())
