"""Enforce rate limits, concurrency limits and admission control."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result

from agaterail import admission, errors
from agaterail.admission import AdmissionRequest, FairGate, MissRatio
from agaterail.errors import ErrorKind, Outcome
from agaterail.events import MembersChanged
from agaterail.filters import Filter
from agaterail.limits import TokenBucket, concurrency_share, rate_share
from agaterail.tables import PoolKind
from agaterail.util.jitter import jittered_retry_after_s

if TYPE_CHECKING:
    from agaterail.application import Application
    from agaterail.exchange import Exchange, Reply
    from agaterail.filters import Proceed
    from agaterail.policies import Decision
    from agaterail.tables import Pool, Route

DEFAULT_MAX_TOKENS = 256
BASE_COST_MS = 1.0


class RouteUsage:
    """Requests in flight and token bucket of one route on this daemon."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.bucket: TokenBucket | None = None


class LimitsFilter(Filter):
    """Enforces the limits of a route and the daemon's limit of requests in flight."""

    order = 410

    def __init__(self, app: Application) -> None:
        self.app = app
        self.members: tuple[str, ...] = ()
        self.routes: dict[str, RouteUsage] = {}
        app.events.subscribe(MembersChanged, self._on_members)

    def handle(self, exchange: Exchange, proceed: Proceed) -> Result[Reply, errors.Failure]:
        """Reject a request that exceeds a limit, without queueing it."""
        route = exchange.route
        assert route is not None
        if self.app.in_flight > self.app.settings.max_in_flight:
            return Failure(_refusal(ErrorKind.OVERLOADED, exchange))
        usage = self.routes.get(route.name)
        if usage is None:
            usage = self.routes[route.name] = RouteUsage()
        if usage.in_flight >= self._concurrency_limit(route):
            return Failure(_refusal(ErrorKind.RATE_LIMITED, exchange))
        wait_s, tokens = self._take_tokens(exchange, route, usage)
        if wait_s > 0.0:
            return Failure(_refusal(ErrorKind.RATE_LIMITED, exchange, wait_s))
        usage.in_flight += 1

        def release(outcome: Outcome) -> None:
            usage.in_flight -= 1
            if outcome is Outcome.NOT_RUN and usage.bucket is not None:
                usage.bucket.refund(tokens)

        exchange.on_finish(release)
        return proceed(exchange)

    def _concurrency_limit(self, route: Route) -> float:
        if not route.max_concurrency:
            return float("inf")
        own = self.app.peers.own_address
        return concurrency_share(route.max_concurrency, route.name.encode(), own, self.members)

    def _take_tokens(
        self, exchange: Exchange, route: Route, usage: RouteUsage
    ) -> tuple[float, float]:
        if not route.tokens_per_s or exchange.chat is None or exchange.prefix is None:
            return 0.0, 0.0
        now = self.app.timers.now()
        rate = rate_share(route.tokens_per_s, self.app.peers.own_address, self.members)
        if usage.bucket is None:
            usage.bucket = TokenBucket(rate, now)
        if usage.bucket.rate != rate:
            usage.bucket.set_rate(rate, now)
        answer_tokens = exchange.chat.max_tokens or DEFAULT_MAX_TOKENS
        tokens = float(exchange.prefix.prompt_tokens + answer_tokens)
        return usage.bucket.take(tokens, now), tokens

    def _on_members(self, event: MembersChanged) -> None:
        # A draining daemon is no longer a member but still serves requests.
        self.members = tuple(sorted({*event.members, self.app.peers.own_address}))


class AdmissionFilter(Filter):
    """Keeps the queues of engines short and shares them fairly among workspaces."""

    order = 510

    def __init__(self, app: Application) -> None:
        self.app = app
        self.member_count = 1
        self.gates: dict[str, FairGate] = {}
        self.miss_ratios: dict[str, MissRatio] = {}
        app.events.subscribe(MembersChanged, self._on_members)

    def handle(self, exchange: Exchange, proceed: Proceed) -> Result[Reply, errors.Failure]:
        """Reject a request that would wait too long; count others until their first token."""
        pool, route, request = exchange.pool, exchange.route, self._admission_request(exchange)
        assert pool is not None and route is not None
        if request is None:
            return proceed(exchange)
        gate, capacity_ms = self.gate_of(pool), self.capacity_ms(pool, route.deadline_ms)
        weight = admission.priority_weight(request.priority)
        light = gate.is_light(request.workspace, request.cost_ms, capacity_ms)
        if not admission.can_meet_deadline(request) or not gate.admit(
            request.workspace, request.cost_ms, capacity_ms, weight
        ):
            hint_s = (request.expected_ms or 0.0) / 1e3
            return Failure(_refusal(ErrorKind.OVERLOADED, exchange, hint_s))
        # Engines serve requests with a higher priority first. A workspace that holds
        # much of the queue gets a lower priority, so that its requests wait behind
        # those of the others.
        exchange.priority = request.priority if light else max(0, request.priority - 1)
        try:
            return proceed(exchange)
        finally:
            gate.release(request.workspace, request.cost_ms)

    def gate_of(self, pool: Pool) -> FairGate:
        """Return the admission gate of a pool, created on first use."""
        gate = self.gates.get(pool.name)
        if gate is None:
            gate = self.gates[pool.name] = FairGate()
        return gate

    def capacity_ms(self, pool: Pool, deadline_ms: float) -> float:
        """Return the prefill work, in milliseconds, that this daemon may queue at a pool."""
        return admission.queue_capacity_ms(len(pool.targets), self.member_count, deadline_ms)

    def _admission_request(self, exchange: Exchange) -> AdmissionRequest | None:
        route, pool, decision = exchange.route, exchange.pool, exchange.decision
        assert route is not None and pool is not None and decision is not None
        if exchange.prefix is None:
            return None
        missing = self._missing_tokens(pool, exchange.prefix.prompt_tokens, decision)
        return AdmissionRequest(
            workspace=route.workspace,
            priority=route.priority,
            cost_ms=BASE_COST_MS + missing * pool.prefill_ms_per_token,
            expected_ms=decision.expected_ms,
            remaining_ms=(exchange.deadline_at - self.app.timers.now()) * 1e3,
        )

    def _missing_tokens(self, pool: Pool, prompt_tokens: int, decision: Decision) -> int:
        miss_ratio = self.miss_ratios.setdefault(pool.name, MissRatio())
        if decision.expected_ms is None:
            return round(prompt_tokens * miss_ratio.value)
        missing = max(0, prompt_tokens - decision.hit_blocks * pool.block_tokens)
        miss_ratio.update(missing, prompt_tokens)
        return missing

    def _on_members(self, event: MembersChanged) -> None:
        self.member_count = max(1, len(event.members))


class EarlyRejectionFilter(Filter):
    """Sheds load before any work is spent on placement."""

    order = 395

    def __init__(self, admission_filter: AdmissionFilter) -> None:
        self.admission_filter = admission_filter

    def handle(self, exchange: Exchange, proceed: Proceed) -> Result[Reply, errors.Failure]:
        """Reject a request that would not be admitted even with a fully cached prompt."""
        route, pool = exchange.route, exchange.pool
        assert route is not None and pool is not None
        if pool.kind is not PoolKind.ENGINE:
            return proceed(exchange)
        rejected = self.admission_filter.gate_of(pool).is_full(
            route.workspace,
            BASE_COST_MS,
            self.admission_filter.capacity_ms(pool, route.deadline_ms),
            admission.priority_weight(route.priority),
        )
        if rejected:
            return Failure(_refusal(ErrorKind.OVERLOADED, exchange))
        return proceed(exchange)


def _refusal(kind: ErrorKind, exchange: Exchange, wait_s: float = 0.0) -> errors.Failure:
    hint_s = jittered_retry_after_s(errors.ANSWERS[kind], exchange.request_id)
    return errors.Failure(kind, retry_after_s=wait_s + hint_s)


def setup(app: Application) -> None:
    """Register the filters."""
    app.add_filter(LimitsFilter(app))
    admission_filter = AdmissionFilter(app)
    app.add_filter(admission_filter)
    app.add_filter(EarlyRejectionFilter(admission_filter))
