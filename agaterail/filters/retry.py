"""Retry a request on another target if that is safe and within the budget."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from agaterail import errors, logs
from agaterail.errors import ErrorKind, Outcome
from agaterail.filters import Filter

if TYPE_CHECKING:
    from agaterail.application import Application
    from agaterail.exchange import Exchange, Reply
    from agaterail.filters import Proceed
    from agaterail.targets import TargetStateTable
    from agaterail.timers import TimerService

logger = logs.get_logger("retry")

MAX_ATTEMPTS = 4
BUDGET_FRACTION = 0.2
BUDGET_BURST = 10.0
RETRYABLE = frozenset(
    {
        ErrorKind.TARGET_REFUSED,
        ErrorKind.TARGET_UNREACHABLE,
        ErrorKind.TARGET_LOST,
        ErrorKind.TARGET_FAILED,
        ErrorKind.WRONG_WEIGHTS,
    }
)


class RetryBudget:
    """Limits retries to a fraction of the requests of this daemon.

    A limit per request would multiply the traffic to a failing pool; the shared budget
    bounds the additional traffic to a fraction.
    """

    def __init__(self, fraction: float = BUDGET_FRACTION, burst: float = BUDGET_BURST) -> None:
        self.fraction = fraction
        self.burst = burst
        self.tokens = burst

    def on_request(self) -> None:
        """Add the fraction of a retry that each request earns."""
        self.tokens = min(self.burst, self.tokens + self.fraction)

    def take(self) -> bool:
        """Spend one retry; return False if the budget is exhausted."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class RetryFilter(Filter):
    """Runs the inner filters again with the failed target excluded."""

    order = 450

    def __init__(
        self, targets: TargetStateTable, timers: TimerService, budget: RetryBudget
    ) -> None:
        self.targets = targets
        self.timers = timers
        self.budget = budget

    def handle(self, exchange: Exchange, proceed: Proceed) -> Result[Reply, errors.Failure]:
        """Try targets until one answers or no further retry is allowed."""
        self.budget.on_request()
        possibly_run: errors.Failure | None = None
        previous: errors.Failure | None = None
        while True:
            result = proceed(exchange)
            if isinstance(result, Success):
                return result
            failure = result.failure()
            if failure.kind is ErrorKind.NO_TARGET and previous is not None:
                # The failure of the last target is more useful than the fact that no
                # target is left.
                failure = previous
            previous = failure
            if failure.outcome is not Outcome.NOT_RUN:
                possibly_run = failure
            if result.failure() is not failure or not self._may_retry(exchange, failure):
                # An earlier target may have run the request even if the last one did
                # not, so reporting "not run" would be wrong.
                return Failure(possibly_run or failure)
            self._exclude(exchange, failure)
            logger.info(
                "Retrying the request.", request=exchange.request_id, after=failure.kind.value
            )

    def _exclude(self, exchange: Exchange, failure: errors.Failure) -> None:
        if exchange.decision is None or exchange.pool is None:
            return
        address = exchange.decision.address
        # The answer reported the weights version of the target, which serves a retry
        # with block keys of that version. Excluding it could leave a pool without
        # targets during a rollout.
        weights_version = self.targets.states[address].weights_version
        if failure.kind is ErrorKind.WRONG_WEIGHTS and exchange.pool.serves(weights_version):
            return
        exchange.excluded.add(address)

    def _may_retry(self, exchange: Exchange, failure: errors.Failure) -> bool:
        if failure.kind not in RETRYABLE or exchange.attempt >= MAX_ATTEMPTS:
            return False
        if exchange.at_most_once and failure.outcome is not Outcome.NOT_RUN:
            # A target may have acted on the first attempt; a retry could perform the
            # action twice, for example book the same swap again.
            return False
        if self.timers.now() >= exchange.deadline_at:
            return False
        return self.budget.take()


def setup(app: Application) -> None:
    """Register the filter."""
    app.add_filter(RetryFilter(app.targets, app.timers, app.retry_budget))
