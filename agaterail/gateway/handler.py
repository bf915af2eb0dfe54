"""Handle callers' requests: routing, API keys, forwarding and failures."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Success

from agaterail import logs
from agaterail.callerwatch import CallerEnded, CallerLeft
from agaterail.decisions.streamsources import StreamSource
from agaterail.errors import ErrorKind, Failure
from agaterail.gateway import relayprotocol
from agaterail.gateway.admission import retry_after_s
from agaterail.gateway.desired import pick_service
from agaterail.gateway.forwarder import Forwarder
from agaterail.gateway.httpserver import AnswerInterrupted
from agaterail.gateway.relayprotocol import RelayRefusal
from agaterail.gateway.requestcontext import RequestContext, keys_of
from agaterail.gateway.retrystate import RetryState
from agaterail.platform import requests

if TYPE_CHECKING:
    from agaterail.gateway.daemon import Daemon
    from agaterail.gateway.desired import DesiredState, Route, Workspace
    from agaterail.gateway.httpserver import CallerConnection
    from agaterail.gateway.inbound import InboundRequest
    from agaterail.gateway.relayprotocol import RelayOrigin

logger = logs.get_logger("gateway")

# Network round trip to the caller plus event loop pauses.
ROUND_TRIP_MARGIN_S = 0.03
DEFAULT_TIME_LIMIT_S = 60.0


class RequestHandler:
    """Answers callers' requests."""

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon

    def handle(
        self,
        inbound: InboundRequest,
        caller: CallerConnection,
        origin: RelayOrigin | None = None,
    ) -> None:
        """Answer one request.

        Parameters
        ----------
        origin
            Where it came from if another daemon passed it on.
        """
        context: RequestContext | None = None
        failure: Failure | None = None
        left_as = ""
        try:
            outcome = self._admit(inbound, caller, origin)
            if isinstance(outcome, RequestContext):
                context = outcome
                failure = Forwarder(self.daemon, context).run()
            else:
                failure = outcome
        except AnswerInterrupted:
            failure = self._interrupt(context, caller)
        except (CallerLeft, OSError) as error:
            left_as = error.outcome if isinstance(error, CallerLeft) else CallerLeft.outcome
            logger.info(
                "Caller ended." if isinstance(error, CallerEnded) else "Caller left.",
                request=inbound.request_id,
                target=None if context is None else context.target,
                first_byte=context is not None and context.first_byte_at is not None,
                age_s=round(self.daemon.now() - inbound.received_at, 4),
                reason=type(error).__name__,
                outcome=left_as,
                unsent=caller.unsent_bytes or None,
                held=caller.held.size,
                relayed=origin is not None or None,
            )
            raise
        except Exception:
            # A bug in the gateway. Without an answer, the caller could not tell it
            # from a lost connection.
            logger.exception(
                "Unhandled exception in the request handler.", request=inbound.request_id
            )
            failure = Failure(ErrorKind.INTERNAL)
            if context is not None and context.first_byte_at is not None:
                caller.abort()
                context.truncated, failure = True, None
        finally:
            if context is not None:
                self._refund_unused(context)
            self._record_metrics(inbound, context, failure, left_as)
        if failure is not None:
            if origin is not None:
                caller.extra_lines = _relay_lines(failure, context)
            self._send_failure(inbound, caller, failure, context)

    def _interrupt(
        self, context: RequestContext | None, caller: CallerConnection
    ) -> Failure | None:
        """Return the failure of a request whose process ends; None if it has an answer."""
        if context is not None and context.first_byte_at is not None:
            caller.abort()
            context.truncated = True
            return None
        if context is not None and context.retry_state.runs:
            return Failure(ErrorKind.TARGET_TIMEOUT, "the host is shutting down")
        return Failure(ErrorKind.SHUTTING_DOWN, retry_after_s=0.0)

    def _record_metrics(
        self,
        inbound: InboundRequest,
        context: RequestContext | None,
        failure: Failure | None,
        left_as: str,
    ) -> None:
        kind = "unknown" if context is None else context.route.kind.value
        if failure is not None:
            outcome = failure.kind.value
        elif left_as:
            outcome = left_as
        else:
            outcome = "cut" if context is not None and context.truncated else "answered"
        self.daemon.metrics.requests.labels(kind, outcome).inc()
        age_s = self.daemon.now() - inbound.received_at
        self.daemon.metrics.duration.labels(kind, outcome).observe(age_s)
        if context is not None and context.first_byte_at is not None:
            first_s = context.first_byte_at - inbound.received_at
            self.daemon.metrics.first_byte.labels(kind).observe(first_s)

    def _admit(
        self, inbound: InboundRequest, caller: CallerConnection, origin: RelayOrigin | None
    ) -> RequestContext | Failure:
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
            return self._denial(ErrorKind.NO_ROUTE)
        workspace = self._workspace(desired, route, inbound)
        if isinstance(workspace, Failure):
            return workspace
        service = pick_service(route, self.daemon.random.random())
        if origin is not None:
            # A stream that is resumed must come from the service that began it.
            if origin.service not in {share.service for share in route.shares}:
                return Failure(ErrorKind.TABLES_UNAVAILABLE, "The route has no such service.")
            service = origin.service
        source = self._source(inbound, route, workspace, origin)
        if isinstance(source, Failure):
            return source
        if source is not None:
            service = source.service
        keys = keys_of(inbound, service, workspace)
        block = self.daemon.quarantine.find_block(keys)
        if block is not None:
            return Failure(ErrorKind.QUARANTINED, block.detail, block.retry_after_s)
        cost = self._charge(workspace, inbound)
        if isinstance(cost, Failure):
            return cost
        limit = inbound.time_limit_s or DEFAULT_TIME_LIMIT_S
        deadline = inbound.received_at + min(route.timeout_s, limit) - ROUND_TRIP_MARGIN_S
        retry_state = RetryState(route)
        if origin is not None:
            retry_state = RetryState(route, max_runs=1, tried=set(origin.tried))
        else:
            # A daemon that passes a request on has counted it.
            self.daemon.budget.record_request(service, self.daemon.now())
            self.daemon.demand.record(inbound.prompt_tokens, self.daemon.now())
            if route.prompted:
                lengths = self.daemon.prompt_lengths[service]
                lengths.record(
                    route.name,
                    inbound.prompt_tokens,
                    route.priority,
                    inbound.output_tokens,
                    self.daemon.now(),
                )
        return RequestContext(
            inbound=inbound,
            route=route,
            service=service,
            workspace=workspace,
            deadline=deadline,
            caller=caller,
            retry_state=retry_state,
            relayed=origin is not None,
            cost=cost,
            charged_runs=1,
            source=source,
            keys=keys,
        )

    def _source(
        self,
        inbound: InboundRequest,
        route: Route,
        workspace: Workspace | None,
        origin: RelayOrigin | None,
    ) -> StreamSource | Failure | None:
        """Return where the events come from that the caller has; None if it has none."""
        if origin is not None and origin.build:
            return StreamSource(origin.service, origin.build)
        if not route.resumable or not inbound.last_event_id:
            return None
        # A daemon of a former release passes on streams without their build.
        name = "" if workspace is None else workspace.name
        source = self.daemon.resumed_streams.source_of(inbound, route, name)
        if origin is None or isinstance(source, Failure) or source.service == origin.service:
            return source
        return Failure(ErrorKind.BUILD_UNAVAILABLE, f"the stream is of {source.service}")

    def _charge(self, workspace: Workspace | None, inbound: InboundRequest) -> float | Failure:
        """Charge the workspace's allowance with one run and return its cost."""
        if workspace is None or workspace.allowance is None:
            return 0.0
        cost = workspace.allowance.cost(inbound.stated_tokens)
        refused = self.daemon.allowances.admit(workspace.name, workspace.allowance, cost)
        self.daemon.metrics.record_allowance(workspace.name, admitted=refused is None)
        if refused is None:
            return cost
        return Failure(ErrorKind.RATE_LIMITED, refused.detail, refused.retry_after_s)

    def _refund_unused(self, context: RequestContext) -> None:
        """Return what was charged for runs that surely did not take place."""
        unused = context.charged_runs - context.retry_state.runs
        if context.workspace is not None and context.cost and unused > 0:
            self.daemon.allowances.refund(context.workspace.name, unused * context.cost)

    def _workspace(
        self, desired: DesiredState, route: Route, inbound: InboundRequest
    ) -> Workspace | Failure | None:
        workspace = desired.workspace_by_key.get(inbound.api_key)
        if route.public or not desired.has_workspaces:
            return workspace if self.daemon.freshness.allows_keys(self.daemon.now()) else None
        if workspace is None:
            return self._denial(ErrorKind.UNAUTHENTICATED)
        if not self.daemon.freshness.allows_keys(self.daemon.now()):
            return Failure(
                ErrorKind.TABLES_UNAVAILABLE,
                "The desired state is too old to verify API keys.",
            )
        return workspace

    def _denial(self, kind: ErrorKind) -> Failure:
        """Return a permanent denial, or a temporary one if the desired state is stale.

        A newer desired state may contain the route or API key that is missing here.
        """
        if self.daemon.freshness.allows_denial(self.daemon.now()):
            return Failure(kind)
        return Failure(
            ErrorKind.TABLES_UNAVAILABLE, "The desired state is too old to deny the request."
        )

    def _send_failure(
        self,
        inbound: InboundRequest,
        caller: CallerConnection,
        failure: Failure,
        context: RequestContext | None,
    ) -> None:
        status = failure.answer.status
        hint = self._retry_after_s(failure, inbound)
        lines = requests.encode_failure_headers(inbound.request_id, hint)
        logger.info(
            "Request failed.",
            request=inbound.request_id,
            kind=failure.kind.value,
            status=status,
            detail=failure.detail,
            route=None if context is None else context.route.name,
            sends=None if context is None else context.retry_state.sends,
            runs=None if context is None else context.retry_state.runs,
            denied=None if context is None else context.retry_state.denied or None,
            reading_age_s=round(self.daemon.freshness.age_s(self.daemon.now()), 3),
            desired=self.daemon.state.desired_version,
            retry_after_s=None if hint is None else round(hint, 3),
            relayed=bool(caller.extra_lines) or None,
        )
        if context is not None and self.daemon.paths.is_lost(context.service):
            # The load balancer may open the next connection to a host with a path.
            caller.abort()
        caller.send_answer(status, lines, b"")

    def _retry_after_s(self, failure: Failure, inbound: InboundRequest) -> float | None:
        """Return the Retry-After delay in seconds: a jittered share of the time limit.

        Callers honor a delay of up to a third of the time that they have left. With a
        longer one they would give up instead.
        """
        if failure.retry_after_s is not None or failure.retry_hint_s is None:
            return failure.retry_after_s
        if failure.kind is ErrorKind.RATE_LIMITED:
            return None  # larger than the burst: no delay helps
        limit = inbound.time_limit_s or DEFAULT_TIME_LIMIT_S
        return retry_after_s(limit, self.daemon.random.random())


def _relay_lines(failure: Failure, context: RequestContext | None) -> list[bytes]:
    """Return header lines that tell the daemon that passed a request on whether it ran."""
    if context is None:
        return relayprotocol.refusal_lines(RelayRefusal(failure.kind))
    if context.retry_state.runs:
        return relayprotocol.forwarded_lines(context.target)
    refusal = RelayRefusal(failure.kind, context.retry_state.sends)
    return relayprotocol.refusal_lines(refusal)
