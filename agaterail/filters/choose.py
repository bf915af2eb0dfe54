"""Choose the target of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result

from agaterail import errors, logs
from agaterail.errors import ErrorKind
from agaterail.filters import Filter
from agaterail.policies import Placement

if TYPE_CHECKING:
    from agaterail.application import Application
    from agaterail.exchange import Exchange, Reply
    from agaterail.filters import Proceed

logger = logs.get_logger("choose")

HASH_POLICY = "pure_hash"


class ChooseFilter(Filter):
    """Asks the pool's policy and writes the decision to the log."""

    order = 500

    def __init__(self, app: Application) -> None:
        self.app = app

    def handle(self, exchange: Exchange, proceed: Proceed) -> Result[Reply, errors.Failure]:
        """Refuse a request that no target can serve in time."""
        pool, route = exchange.pool, exchange.route
        assert pool is not None and route is not None
        now = self.app.timers.now()
        if now >= exchange.deadline_at:
            return Failure(errors.Failure(ErrorKind.DEADLINE_EXCEEDED_BEFORE_RUN))
        targets = self.app.targets.usable(pool, now, exchange.excluded)
        if not targets:
            return Failure(errors.Failure(ErrorKind.NO_TARGET))
        placement = Placement(
            pool=pool,
            route=route,
            prefix=exchange.prefix,
            deadline_ms=(exchange.deadline_at - now) * 1e3,
        )
        decision = self.app.policy_of(pool).choose(placement, targets)
        if decision is None:
            return Failure(errors.Failure(ErrorKind.OVERLOADED))
        exchange.decision = decision
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
        return proceed(exchange)


def setup(app: Application) -> None:
    """Register the filter."""
    app.add_filter(ChooseFilter(app))
