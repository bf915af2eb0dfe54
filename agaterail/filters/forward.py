"""Send a request to its target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from agaterail import errors
from agaterail.engines import EngineReply, EngineRequest
from agaterail.errors import ErrorKind
from agaterail.events import Dispatched, TargetLeaving
from agaterail.exchange import Reply
from agaterail.filters import Filter
from agaterail.services import ServiceRequest
from agaterail.tables import PoolKind
from agaterail.util.httpconn import ConnectFailed, SendError

if TYPE_CHECKING:
    from agaterail.application import Application
    from agaterail.exchange import Exchange
    from agaterail.filters import Proceed

OK = 200
SERVER_ERROR = 500
FORWARDED_HEADERS = ("content-type", "accept", "idempotency-key")


class ForwardFilter(Filter):
    """Innermost filter, which makes one attempt at one target."""

    order = 700

    def __init__(self, app: Application) -> None:
        self.app = app

    def handle(self, exchange: Exchange, proceed: Proceed) -> Result[Reply, errors.Failure]:
        """Send the request once and check the head of the answer."""
        assert exchange.pool is not None and exchange.decision is not None
        self._count_in_flight(exchange)
        if exchange.pool.kind is PoolKind.ENGINE:
            return self._send_to_engine(exchange)
        return self._send_to_service(exchange)

    def _send_to_engine(self, exchange: Exchange) -> Result[Reply, errors.Failure]:
        assert exchange.decision is not None and exchange.prefix is not None
        assert exchange.route is not None and exchange.chat is not None
        assert exchange.scope is not None and exchange.pool is not None
        address = exchange.decision.address
        missing = exchange.prefix.prompt_tokens - (
            exchange.decision.hit_blocks * exchange.pool.block_tokens
        )
        self.app.events.publish(Dispatched(address, exchange.prefix.keys, max(0, missing)))
        sent = self.app.engine_at(address).open(
            EngineRequest(
                request_id=exchange.attempt_id,
                body=exchange.body,
                cache_salt=exchange.scope.salt,
                priority=exchange.route.priority
                if exchange.priority is None
                else exchange.priority,
                deadline_ms=self._remaining_ms(exchange),
                weights_version=exchange.scope.weights_version,
                stream=exchange.chat.stream,
            )
        )
        if not isinstance(sent, Success):
            return Failure(self._send_failure(exchange, sent.failure()))
        reply = sent.unwrap()
        failure = self._engine_failure(exchange, reply)
        if failure is not None:
            reply.discard()
            return Failure(failure)
        self.app.targets.mark_serving(address)
        headers = {"x-weights-version": reply.weights_version}
        return Success(Reply(status=reply.status, headers=headers, source=reply))

    def _engine_failure(self, exchange: Exchange, reply: EngineReply) -> errors.Failure | None:
        if reply.request_id != exchange.attempt_id:
            # A late answer to an earlier request on this connection would reach the
            # wrong caller, so it is discarded together with the connection.
            return errors.Failure(ErrorKind.TARGET_LOST, "The answer was for another request.")
        if self._has_other_weights(exchange, reply):
            return errors.Failure(ErrorKind.WRONG_WEIGHTS)
        if reply.refused:
            return self._refusal(exchange, reply.retry_after_s)
        if reply.status >= SERVER_ERROR:
            return errors.Failure(ErrorKind.TARGET_FAILED, f"Status {reply.status}.")
        return None

    def _has_other_weights(self, exchange: Exchange, reply: EngineReply) -> bool:
        assert exchange.decision is not None and exchange.scope is not None
        expected = exchange.scope.weights_version
        reported = reply.weights_version if reply.refused else reply.status == OK
        if not (expected and reported):
            return False
        state = self.app.targets.states[exchange.decision.address]
        state.weights_version = reply.weights_version
        return reply.weights_version != expected

    def _send_to_service(self, exchange: Exchange) -> Result[Reply, errors.Failure]:
        assert exchange.decision is not None and exchange.route is not None
        path = exchange.path + (f"?{exchange.query}" if exchange.query else "")
        headers = {
            name: exchange.headers[name]
            for name in FORWARDED_HEADERS
            if name in exchange.headers
        }
        sent = self.app.service_at(exchange.decision.address).call(
            ServiceRequest(
                request_id=exchange.attempt_id,
                method=exchange.method,
                path=path,
                headers=headers,
                body=exchange.body,
                deadline_ms=self._remaining_ms(exchange),
                at_most_once=exchange.at_most_once,
            )
        )
        if not isinstance(sent, Success):
            return Failure(self._send_failure(exchange, sent.failure()))
        reply = sent.unwrap()
        if reply.request_id != exchange.attempt_id:
            return Failure(
                errors.Failure(ErrorKind.TARGET_LOST, "The answer was for another request.")
            )
        if reply.refused:
            return Failure(self._refusal(exchange, None))
        return Success(
            Reply(status=reply.status, headers=dict(reply.headers), body=reply.body)
        )

    def _refusal(self, exchange: Exchange, retry_after_s: float | None) -> errors.Failure:
        assert exchange.decision is not None
        self.app.events.publish(TargetLeaving(exchange.decision.address, "refusal"))
        return errors.Failure(ErrorKind.TARGET_REFUSED, retry_after_s=retry_after_s)

    def _send_failure(self, exchange: Exchange, error: SendError) -> errors.Failure:
        assert exchange.decision is not None
        if isinstance(error, ConnectFailed):
            now = self.app.timers.now()
            self.app.targets.mark_unreachable(exchange.decision.address, now)
            return errors.Failure(ErrorKind.TARGET_UNREACHABLE)
        if error.timed_out:
            return errors.Failure(ErrorKind.TARGET_TIMEOUT)
        return errors.Failure(ErrorKind.TARGET_LOST)

    def _remaining_ms(self, exchange: Exchange) -> int:
        return max(1, int((exchange.deadline_at - self.app.timers.now()) * 1e3))

    def _count_in_flight(self, exchange: Exchange) -> None:
        assert exchange.decision is not None
        state = self.app.targets.states[exchange.decision.address]
        state.in_flight += 1

        def release(_outcome: object) -> None:
            state.in_flight -= 1

        exchange.on_finish(release)


def setup(app: Application) -> None:
    """Register the filter."""
    app.add_filter(ForwardFilter(app))
