"""The application object that wires the parts of one gateway daemon."""

from __future__ import annotations

import random
import secrets
import time
from typing import TYPE_CHECKING, Any

import attrs
import gevent
from gevent.pool import Group
from returns.result import Success

from agaterail import logs
from agaterail.callerwatch import CallerLeft
from agaterail.errors import ErrorKind, Failure
from agaterail.gateway import admission, placement
from agaterail.gateway.attempts import Attempts
from agaterail.gateway.channels import ChannelPool
from agaterail.gateway.demand import Demand
from agaterail.gateway.desired import CallerLimits, pick_service
from agaterail.gateway.feedhub import FeedHub
from agaterail.gateway.forwarder import Forwarder, Job
from agaterail.gateway.freshness import Freshness
from agaterail.gateway.front import Front
from agaterail.gateway.membership import MembershipController
from agaterail.gateway.metrics import GatewayMetrics
from agaterail.gateway.placement import PlacementRules
from agaterail.gateway.readiness import make_readiness
from agaterail.gateway.retrybudget import RetryBudget
from agaterail.gateway.state import GatewayState
from agaterail.gateway.targets import TargetBook
from agaterail.gateway.weightscontroller import WeightsController
from agaterail.platform import names, requests
from agaterail.timers import GeventTimerService

if TYPE_CHECKING:
    from collections.abc import Callable

    from agaterail.gateway.controlstore import ControlStore
    from agaterail.gateway.desired import DesiredState, Route, Workspace
    from agaterail.gateway.enginecontrol import EngineControl
    from agaterail.gateway.front import CallerConnection
    from agaterail.gateway.hostsettings import HostSettings
    from agaterail.gateway.inbound import Inbound
    from agaterail.gateway.placement import Choice
    from agaterail.timers import Subscription

logger = logs.get_logger("gateway")

# Registrations that lapsed in an outage are back within about two seconds of
# the store's return.
LAPSE_GRACE_S = 2.0
# Way of an answer to the caller and back, and pauses of the event loop.
ANSWER_MARGIN_S = 0.03
# When to come back: callers heed a hint of up to a third of the time that they
# have left, and a longer one would be an answer that nobody waits for.
RETRY_PART = 0.3
LONGEST_RETRY_S = 1.0
RETRY_SPREAD = 0.5
DEFAULT_TIME_LIMIT_S = 60.0
BOOT_BYTES = 4
LEAST_URGENT = 9
# Age that a process assumes of weights that were named before it started.
UNKNOWN_AGE_PART = 0.6
HOUSEKEEPING_PERIOD_S = 0.5


def boot_now() -> float:
    """Return seconds of the clock that also counts while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Daemon:
    """Parts of one daemon and the state that they share."""

    def __init__(
        self, settings: HostSettings, store: ControlStore, engine_control: EngineControl
    ) -> None:
        self.settings = settings
        self.store = store
        self.engine_control = engine_control
        self.now = boot_now
        self.boot = secrets.token_hex(BOOT_BYTES)
        self.random = random.Random()
        bounds = settings.bounds
        self.freshness = Freshness(
            bound_s=bounds.revoke_s or float("inf"), denial_bound_s=bounds.config_s
        )
        self.book = TargetBook(LAPSE_GRACE_S)
        self.state = GatewayState(
            self.freshness, self.book, bounds.version_s * UNKNOWN_AGE_PART
        )
        self.budget = RetryBudget(bounds.retries)
        self.demand = Demand()
        self.channels = ChannelPool(requests.decode_answer_head, self.now)
        self.book.on_gone = self.channels.drop
        self.rules = PlacementRules(domain=settings.domain, version_s=bounds.version_s)
        self.encode = requests.encode_attempt
        self.stopping = False
        self.metrics = GatewayMetrics()
        self.log_lines_dropped: Callable[[], int] = lambda: 0
        self.membership = MembershipController(self)
        self.weights = WeightsController(self)
        self.feeds = FeedHub(self)
        self.readiness = make_readiness(
            settings.ready_listen, names.READY_PATH, lambda: self.ready, self.now
        )
        self.timers = GeventTimerService()
        self.greenlets = Group()
        self.subscriptions: list[Subscription] = []
        self.front = Front(settings.caller_listen, self.handle, self._limits, self.now)

    @property
    def ready(self) -> bool:
        """Tell whether the balancer should send new connections."""
        return not self.stopping and self.state.desired is not None

    def start(self) -> None:
        """Start the controllers and accept callers."""
        self.feeds.start()
        self.greenlets.spawn(self._join_forever)
        self.subscriptions = [
            self.timers.every(self.weights.period_s, self.weights.step),
            self.timers.every(HOUSEKEEPING_PERIOD_S, self.tidy),
        ]
        self.readiness.start()
        self.front.start()

    def close(self) -> None:
        """End everything at once, as the process's end would."""
        for subscription in self.subscriptions:
            subscription.cancel()
        for server in (self.front, self.readiness, self.feeds.server):
            server.close()
        self.greenlets.kill(block=False)

    def _join_forever(self) -> None:
        while True:
            self.membership.step()
            gevent.sleep(self.membership.period_s)

    def tidy(self) -> None:
        """Drop lapsed targets and connections that will not be used again."""
        for target in self.book.expire(self.now()):
            logger.info("Target gone for good.", target=target.instance)
        self.channels.close_stale()

    def set_fleet_size(self, daemons: float) -> None:
        """Take in how many daemons share the targets."""
        self.rules = attrs.evolve(self.rules, daemons=daemons)

    def handle(self, inbound: Inbound, caller: CallerConnection) -> None:
        """Answer one request."""
        job: Job | None = None
        failure: Failure | None = None
        left = False
        try:
            outcome = self._admit(inbound, caller)
            if isinstance(outcome, Job):
                job = outcome
                failure = Forwarder(self, job).run()
            else:
                failure = outcome
        except (CallerLeft, OSError) as error:
            left = True
            logger.info(
                "Caller left.",
                request=inbound.request_id,
                target=None if job is None else job.target,
                first_byte=job is not None and job.first_byte_at is not None,
                age_s=round(self.now() - inbound.received_at, 4),
                reason=type(error).__name__,
            )
            raise
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
        self.metrics.requests.labels(kind, outcome).inc()
        age_s = self.now() - inbound.received_at
        self.metrics.duration.labels(kind, outcome).observe(age_s)
        if job is not None and job.first_byte_at is not None:
            first_s = job.first_byte_at - inbound.received_at
            self.metrics.first_byte.labels(kind).observe(first_s)

    def choose(self, job: Job, now: float) -> Choice | None:
        """Return the next target for a request."""
        targets = self.book.of_service(job.service)
        tried = job.attempts.tried
        if not job.route.prompted:
            return placement.choose_plain(targets, tried, self.rules, now)
        named = self.state.weights.get(job.inbound.model)
        return placement.choose_engine(job.inbound, targets, tried, self.rules, named, now)

    def expected_wait_s(self, job: Job, choice: Choice) -> float:
        """Return the expected wait for a first token at the chosen target."""
        if not job.route.prompted:
            return 0.0
        engines = self.book.of_service(job.service)
        return admission.expected_wait_s(choice.target, engines, self.rules.daemons)

    def cache_terms(self, job: Job, choice: Choice) -> dict[str, Any]:
        """Return what the engine is told of cached parts."""
        if not job.route.prompted:
            return {}
        workspace = job.workspace
        isolated = workspace is not None and workspace.isolated
        version = choice.weights_version
        own = job.route.priority if workspace is None else workspace.priority
        priority = job.route.priority if own is None else own
        scope = "" if version is None else f"v{version}"
        if isolated and workspace is not None:
            scope += f".{workspace.name}"
        terms: dict[str, Any] = {"cache_scope": scope, "weights_version": version}
        terms["priority"] = max(0, min(LEAST_URGENT, priority))
        desired = self.state.desired
        if desired is not None and desired.kv_stores and version is not None:
            shared = job.inbound.shared_parts
            key = shared[-1].name if shared else ""
            addresses = [spec.address for spec in desired.kv_stores]
            address = placement.choose_by_hash(key, addresses)
            terms.update(fetch_from=address, save_to=address)
        return terms

    def retry_after_s(self, job: Job, now: float) -> float:
        """Return when a refused caller should come back, spread at random."""
        left = max(0.0, job.answer_by - now)
        hint = min(LONGEST_RETRY_S, left * RETRY_PART)
        return hint * (1.0 - RETRY_SPREAD * self.random.random())

    def _admit(self, inbound: Inbound, caller: CallerConnection) -> Job | Failure:
        decoded = requests.decode_request(inbound)
        if not isinstance(decoded, Success):
            return Failure(ErrorKind.BAD_REQUEST, decoded.failure())
        if not inbound.request_id:
            return Failure(ErrorKind.BAD_REQUEST, "The request has no id.")
        desired = self.state.desired
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
        service = pick_service(route, self.random.random())
        self.budget.note_request(service, self.now())
        self.demand.note(inbound.prompt_tokens, self.now())
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
            return workspace if self.freshness.allows_keys(self.now()) else None
        if workspace is None:
            return self._denied(ErrorKind.UNAUTHENTICATED)
        if not self.freshness.allows_keys(self.now()):
            return Failure(ErrorKind.TABLES_UNAVAILABLE, "Keys cannot be verified now.")
        return workspace

    def _denied(self, kind: ErrorKind) -> Failure:
        """Deny for good only what a fresh reading does not know."""
        if self.freshness.allows_denial(self.now()):
            return Failure(kind)
        return Failure(ErrorKind.TABLES_UNAVAILABLE, "The desired state may be newer.")

    def _send_failure(
        self, inbound: Inbound, caller: CallerConnection, failure: Failure, job: Job | None
    ) -> None:
        answer = failure.answer
        status = answer.status
        lines = requests.encode_failure_headers(inbound.request_id, self._hint(failure))
        logger.info(
            "Request failed.",
            request=inbound.request_id,
            kind=failure.kind.value,
            status=status,
            detail=failure.detail,
            route=None if job is None else job.route.name,
            sends=None if job is None else job.attempts.sends,
            runs=None if job is None else job.attempts.runs,
            reading_age_s=round(self.freshness.age_s(self.now()), 3),
            desired=None if self.state.desired is None else self.state.desired.version,
            retry_after_s=self._hint(failure),
        )
        caller.send_answer(status, lines, b"")

    def _hint(self, failure: Failure) -> float | None:
        hint = failure.retry_hint_s
        return None if hint is None else min(hint, LONGEST_RETRY_S)

    def _limits(self) -> CallerLimits:
        desired = self.state.desired
        return CallerLimits() if desired is None else desired.limits
