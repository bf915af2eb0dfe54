"""Choose the target of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from returns.result import Failure, Result, Success

from agaterail import errors, logs, transfers
from agaterail.candidates import PrefixSample, sample_prefix
from agaterail.errors import ErrorKind, Outcome
from agaterail.filters import Filter
from agaterail.filters.prefix import assign_prefix, prefix_for_scope
from agaterail.policies import Placement
from agaterail.transfers import Source

if TYPE_CHECKING:
    from collections.abc import Mapping

    from agaterail.application import Application
    from agaterail.candidates import CandidateState
    from agaterail.exchange import Exchange, Reply
    from agaterail.filters import Proceed
    from agaterail.policies import Decision, Policy

logger = logs.get_logger("choose")

KV_STORE_TIMEOUT_S = 0.02


class ChooseFilter(Filter):
    """Lets the policy of the pool choose a target and logs the decision."""

    order = 500

    def __init__(self, app: Application) -> None:
        self.app = app

    def handle(self, exchange: Exchange, proceed: Proceed) -> Result[Reply, errors.Failure]:
        """Reject a request that no target can serve before its deadline."""
        pool, route = exchange.pool, exchange.route
        assert pool is not None and route is not None
        now = self.app.timers.now()
        if now >= exchange.deadline_at:
            return Failure(errors.Failure(ErrorKind.DEADLINE_EXCEEDED_BEFORE_RUN))
        scope = exchange.scope
        if scope is not None and scope.weights_version != pool.weights_version:
            assign_prefix(exchange, pool.weights_version)
        placement = Placement(
            pool=pool,
            route=route,
            prefix=exchange.prefix,
            deadline_ms=(exchange.deadline_at - now) * 1e3,
            now=now,
        )
        policy = self.app.policy_of(pool)
        sample = None
        if policy.queries_homes and exchange.prefix is not None:
            sample = sample_prefix(exchange.prefix)
        chosen = self._choose(exchange, policy, placement, sample)
        if not isinstance(chosen, Success):
            return Failure(chosen.failure())
        exchange.decision = decision = chosen.unwrap()
        exchange.attempt += 1
        logger.info(
            "Chose target.",
            request=exchange.request_id,
            route=route.name,
            pool=pool.name,
            target=decision.address,
            reason=decision.reason,
            **dict(decision.terms),
        )
        if sample is None:
            self._rescope(exchange, decision)
            return proceed(exchange)
        return self._proceed_with_notices(exchange, proceed, decision, sample)

    def _choose(
        self,
        exchange: Exchange,
        policy: Policy,
        placement: Placement,
        sample: PrefixSample | None,
    ) -> Result[Decision, errors.Failure]:
        targets = None
        if sample is not None:
            entries = policy.candidates(placement, exchange.excluded)
            states = [self.app.targets.state_of(entry) for entry in entries]
            targets = [state for state in states if state.usable(placement.now)]
            addresses = [state.address for state in targets]
            views = self._query_candidates(exchange, addresses, sample) if addresses else {}
            placement = attrs.evolve(placement, views=views)
            placement = attrs.evolve(placement, import_source=self._query_kv_store(placement))
        if not targets:
            targets = self.app.targets.usable(placement.pool, placement.now, exchange.excluded)
        if not targets:
            return Failure(errors.Failure(ErrorKind.NO_TARGET))
        decision = policy.choose(placement, targets)
        if decision is None:
            return Failure(errors.Failure(ErrorKind.OVERLOADED))
        return Success(decision)

    def _query_candidates(
        self, exchange: Exchange, addresses: list[str], sample: PrefixSample
    ) -> dict[str, CandidateState]:
        assert exchange.pool is not None and exchange.scope is not None
        views = dict(self.app.candidates.query(addresses, sample))
        for version in exchange.pool.also_serve:
            older = [
                address
                for address in addresses
                if _weights_version_of(views, address) == version
            ]
            if older and version != exchange.scope.weights_version:
                # Block keys depend on the weights version, so these engines must be
                # queried with the keys of the older weights.
                scope = attrs.evolve(exchange.scope, weights_version=version)
                older_sample = sample_prefix(prefix_for_scope(exchange, scope))
                views.update(self.app.candidates.query(older, older_sample))
        for address, view in views.items():
            # The view of a home lags, so a version that the target itself reported
            # takes precedence.
            state = self.app.targets.states[address]
            state.weights_version = state.weights_version or view.weights_version
        return views

    def _rescope(self, exchange: Exchange, decision: Decision) -> bool:
        """Recompute the block keys if the target serves other weights of the pool."""
        pool, scope = exchange.pool, exchange.scope
        if pool is None or scope is None:
            return False
        version = self.app.targets.states[decision.address].weights_version
        version = version if version and pool.serves(version) else pool.weights_version
        if not pool.weights_version or version == scope.weights_version:
            return False
        assign_prefix(exchange, version)
        return True

    def _query_kv_store(self, placement: Placement) -> Source | None:
        """Query the KV store if no candidate has cached the whole shared prefix."""
        store, prefix = self.app.kv_store, placement.prefix
        if store is None or prefix is None or placement.pool.import_ms_per_block <= 0:
            return None
        shared_blocks = transfers.shared_blocks(prefix)
        depth = max((view.depth for view in placement.views.values()), default=0)
        if depth >= shared_blocks or not self.app.imports.usable(store.address, placement.now):
            return None
        kept = store.count_leading_keys(
            prefix.keys[:shared_blocks], KV_STORE_TIMEOUT_S
        ).value_or(0)
        return Source(store.address, kept) if kept else None

    def _proceed_with_notices(
        self, exchange: Exchange, proceed: Proceed, decision: Decision, sample: PrefixSample
    ) -> Result[Reply, errors.Failure]:
        if self._rescope(exchange, decision):
            assert exchange.prefix is not None
            sample = sample_prefix(exchange.prefix)
        assert exchange.prefix is not None and exchange.pool is not None
        address, dispatch_id = decision.address, exchange.attempt_id
        hit_tokens = decision.hit_blocks * exchange.pool.block_tokens
        missing = max(0, exchange.prefix.prompt_tokens - hit_tokens)
        if decision.transfer is not None:
            imported = decision.transfer.end - decision.transfer.start
            missing = max(0, missing - imported * exchange.pool.block_tokens)
        finder = self.app.candidates
        finder.notify_dispatch(address, dispatch_id, missing, sample.keys)
        result = proceed(exchange)
        if isinstance(result, Success):
            exchange.on_finish(lambda _: finder.notify_finish(address, dispatch_id, True))
        else:
            ran = result.failure().outcome is not Outcome.NOT_RUN
            finder.notify_finish(address, dispatch_id, ran)
        return result


def _weights_version_of(views: Mapping[str, CandidateState], address: str) -> str:
    view = views.get(address)
    return "" if view is None else view.weights_version


def setup(app: Application) -> None:
    """Register the filter."""
    app.add_filter(ChooseFilter(app))
