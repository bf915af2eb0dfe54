"""Send a hedged request to a second engine if the first token is late."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import gevent
from gevent.queue import Empty, Queue
from returns.result import Failure, Result, Success

from agaterail import errors, logs
from agaterail.errors import ErrorKind, Outcome, WasteReason
from agaterail.filters import Filter

if TYPE_CHECKING:
    from agaterail.application import Application
    from agaterail.exchange import Exchange, Reply
    from agaterail.filters import Proceed

logger = logs.get_logger("hedge")


class HedgedAttempt:
    """One of the two concurrent attempts, with its own copy of the exchange."""

    def __init__(self, exchange: Exchange, offset: int, avoid: set[str]) -> None:
        self.exchange = attrs.evolve(
            exchange,
            attempt=exchange.attempt + offset,
            excluded=exchange.excluded | avoid,
            finish_callbacks=[],
        )
        self.result: Result[Reply, errors.Failure] | None = None
        self.greenlet: gevent.Greenlet | None = None

    def start(self, proceed: Proceed, completions: Queue) -> None:
        """Start the attempt in a greenlet that puts it into ``completions`` at its end."""
        self.greenlet = gevent.spawn(self._run, proceed, completions)

    def cancel(self) -> None:
        """Stop the attempt and the run at its engine, and discard any answer."""
        if self.greenlet is not None:
            self.greenlet.kill()
        if isinstance(self.result, Success):
            close = getattr(self.result.unwrap().body, "close", None)
            if close is not None:
                close()
        self.exchange.finish(Outcome.UNKNOWN)

    def _run(self, proceed: Proceed, completions: Queue) -> None:
        try:
            self.result = proceed(self.exchange)
        except Exception:
            logger.exception("Hedged attempt raised.", request=self.exchange.request_id)
            self.result = Failure(errors.Failure(ErrorKind.INTERNAL))
        completions.put(self)


class HedgeFilter(Filter):
    """Sends idempotent completions to a second engine after the route's delay.

    The first attempt that returns the start of an answer wins; the other is canceled at
    its engine. Hedges draw on the retry budget, so that a slow pool does not get twice
    the load.
    """

    order = 460

    def __init__(self, app: Application) -> None:
        self.app = app

    def handle(self, exchange: Exchange, proceed: Proceed) -> Result[Reply, errors.Failure]:
        """Make one attempt, or two concurrent ones if the first is slow."""
        route = exchange.route
        assert route is not None
        if not route.hedge_after_ms or exchange.at_most_once or exchange.chat is None:
            return proceed(exchange)
        completions: Queue = Queue()
        attempts = [HedgedAttempt(exchange, 0, set())]
        try:
            attempts[0].start(proceed, completions)
            winner = self._wait_for_winner(exchange, attempts, proceed, completions)
        except BaseException:
            for attempt in attempts:
                attempt.cancel()
            raise
        for attempt in attempts:
            if attempt is not winner:
                self.app.metrics.count(f"wasted.{WasteReason.HEDGED.value}")
                attempt.cancel()
        _apply_winner(exchange, winner, len(attempts))
        assert winner.result is not None
        return winner.result

    def _wait_for_winner(
        self,
        exchange: Exchange,
        attempts: list[HedgedAttempt],
        proceed: Proceed,
        completions: Queue,
    ) -> HedgedAttempt:
        assert exchange.route is not None
        try:
            return completions.get(timeout=exchange.route.hedge_after_ms / 1e3)
        except Empty:
            pass
        decision = attempts[0].exchange.decision
        if decision is not None and self.app.retry_budget.take():
            logger.info("Started a hedge.", request=exchange.request_id, slow=decision.address)
            attempts.append(HedgedAttempt(exchange, 1, {decision.address}))
            attempts[1].start(proceed, completions)
        first = completions.get()
        if isinstance(first.result, Success) or len(attempts) == 1:
            return first
        second = completions.get()
        if isinstance(second.result, Success):
            return second
        # If one of the attempts may have run, "not run" must not be reported.
        return max((first, second), key=lambda item: _may_have_run(item.result))


def _may_have_run(result: Result[Reply, errors.Failure] | None) -> bool:
    assert result is not None
    return result.failure().outcome is not Outcome.NOT_RUN


def _apply_winner(exchange: Exchange, winner: HedgedAttempt, attempt_count: int) -> None:
    winning = winner.exchange
    exchange.decision = winning.decision
    exchange.excluded |= winning.excluded
    # Attempt ids must not be reused: a delayed cancel of the losing attempt would
    # otherwise stop a run that resumes the stream.
    exchange.attempt = winning.attempt = max(exchange.attempt + attempt_count, winning.attempt)
    # The body of the answer finishes the copy and the server finishes the original, so
    # each of them finishes the other.
    winning.on_finish(exchange.finish)
    exchange.on_finish(winning.finish)


def setup(app: Application) -> None:
    """Register the filter."""
    app.add_filter(HedgeFilter(app))
