"""Relay an engine's answer to the caller, complete and in order."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import gevent
from returns.result import Failure, Result, Success

from agaterail import errors, logs
from agaterail.engines import EngineRequest
from agaterail.errors import ErrorKind, Outcome, WasteReason
from agaterail.filters import Filter
from agaterail.filters.choose import ChooseFilter
from agaterail.sse import FrameValidator

if TYPE_CHECKING:
    from collections.abc import Iterator

    from agaterail.application import Application
    from agaterail.engines import EngineReply
    from agaterail.exchange import Exchange, Reply
    from agaterail.filters import Proceed

logger = logs.get_logger("relay")

OK = 200
STREAM_TRUNCATED = errors.Failure(ErrorKind.TARGET_LOST, "The stream was cut short.")
INTER_TOKEN_TIMEOUT_S = 10.0
RESUME_TIMEOUT_S = 1.0
MAX_RESUMES = 3
CHOOSE_ORDER = ChooseFilter.order


class RelayFilter(Filter):
    """Reads the start of an answer inside the chain, so that its loss can be retried."""

    order = 650

    def __init__(self, app: Application) -> None:
        self.app = app

    def handle(self, exchange: Exchange, proceed: Proceed) -> Result[Reply, errors.Failure]:
        """Replace the engine's answer with one that is validated while it is relayed."""
        try:
            result = self._handle(exchange, proceed)
        except gevent.GreenletExit:
            # The caller disconnected, or another attempt of the request was faster.
            self._cancel_wasted_run(exchange, WasteReason.LEFT)
            raise
        if (
            not isinstance(result, Success)
            and result.failure().kind is ErrorKind.TARGET_TIMEOUT
        ):
            self._cancel_wasted_run(exchange, WasteReason.TIMED_OUT)
        return result

    def _handle(self, exchange: Exchange, proceed: Proceed) -> Result[Reply, errors.Failure]:
        result = proceed(exchange)
        if not isinstance(result, Success):
            return result
        reply = result.unwrap()
        if reply.source is None or exchange.resuming:
            return result
        assert exchange.chat is not None
        if exchange.chat.stream and reply.status == OK:
            return self._relay_stream(exchange, reply, reply.source)
        return self._relay_buffered(reply, reply.source)

    def _relay_stream(
        self, exchange: Exchange, reply: Reply, source: EngineReply
    ) -> Result[Reply, errors.Failure]:
        relay = StreamRelay(self.app, exchange, source)
        try:
            frames = relay.read_frames()
        except OSError as error:
            source.discard()
            return Failure(_read_failure(error))
        if not frames:
            source.discard()
            return Failure(errors.Failure(ErrorKind.TARGET_LOST))
        source.set_read_timeout(INTER_TOKEN_TIMEOUT_S)
        relay.first_frames = frames
        reply.headers["content-type"] = "text/event-stream"
        reply.body = relay
        return Success(reply)

    def _relay_buffered(
        self, reply: Reply, source: EngineReply
    ) -> Result[Reply, errors.Failure]:
        parts: list[bytes] = []
        try:
            while part := source.read_available():
                parts.append(part)
        except OSError as error:
            source.discard()
            return Failure(_read_failure(error))
        reply.headers["content-type"] = "application/json"
        reply.body = b"".join(parts)
        return Success(reply)

    def _cancel_wasted_run(self, exchange: Exchange, reason: WasteReason) -> None:
        if exchange.chat is not None and exchange.decision is not None:
            self.app.metrics.count(f"wasted.{reason.value}")
            cancel_in_background(self.app, exchange.decision.address, exchange.attempt_id)


class StreamRelay:
    """Iterator over the validated parts of one stream.

    Attributes
    ----------
    attempt_id, address, weights_version
        The run from which the stream is read.
    resumes
        Number of attempts to resume the stream after a failure.
    """

    def __init__(self, app: Application, exchange: Exchange, source: EngineReply) -> None:
        assert exchange.decision is not None
        self.app = app
        self.exchange = exchange
        self.source = source
        self.address = exchange.decision.address
        self.attempt_id = exchange.attempt_id
        self.weights_version = source.weights_version
        run_id = self.attempt_id.encode()
        self.validator = FrameValidator(run_id=run_id, first_run_id=run_id)
        self.first_frames = b""
        self.ended = False
        self.resumes = 0

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        if self.first_frames:
            part, self.first_frames = self.first_frames, b""
            return part
        if self.ended:
            raise StopIteration
        while True:
            failure = None
            try:
                part = self.read_frames()
            except OSError as error:
                part, failure = b"", _read_failure(error)
            if part:
                return part
            if self.validator.finished and not self.validator.broken:
                self.ended = True
                self.exchange.finish(Outcome.COMPLETED)
                raise StopIteration
            failure = failure or STREAM_TRUNCATED
            if not self._resume(failure):
                return self._fail(failure)

    def read_frames(self) -> bytes:
        """Read at least one complete frame; empty at the end or at a missing frame."""
        while not self.validator.broken:
            data = self.source.read_available()
            if not data:
                return b""
            part = self.validator.accept(data)
            if part:
                return part
        return b""

    def close(self) -> None:
        """Release the stream, and cancel the run if the caller left before its end."""
        if not self.ended:
            self.ended = True
            self.source.discard()
            self.app.metrics.count(f"wasted.{WasteReason.LEFT.value}")
            self.app.metrics.count("wasted_events", self.validator.position)
            cancel_in_background(self.app, self.address, self.attempt_id)
        self.exchange.finish(Outcome.UNKNOWN)

    def _resume(self, failure: errors.Failure) -> bool:
        self.source.discard()
        while self.resumes < MAX_RESUMES and not self.validator.diverged:
            self.resumes += 1
            on_same_engine = self._resume_on_same_engine()
            if on_same_engine or self._rerun_on_other_engine():
                logger.info(
                    "Resumed stream.",
                    request=self.exchange.request_id,
                    after=failure.kind.value,
                    target=self.address,
                    position=self.validator.position,
                    elsewhere=not on_same_engine,
                )
                return True
        return False

    def _resume_on_same_engine(self) -> bool:
        exchange = self.exchange
        assert exchange.route is not None and exchange.scope is not None
        if self.validator.replay_digest is not None:
            return False
        opened = self.app.engine_at(self.address).resume(
            EngineRequest(
                request_id=self.attempt_id,
                body=b"",
                cache_salt=exchange.scope.salt,
                priority=exchange.route.priority,
                deadline_ms=int(RESUME_TIMEOUT_S * 1e3),
                position=self.validator.position,
            )
        )
        if not isinstance(opened, Success):
            return False
        reply = opened.unwrap()
        if reply.status != OK or not self._matches_run(reply, self.attempt_id):
            reply.discard()
            return False
        self.app.metrics.count("resumes.same")
        self._switch_source(reply, self.validator.for_resume())
        return True

    def _rerun_on_other_engine(self) -> bool:
        exchange = self.exchange
        assert exchange.route is not None
        if not exchange.route.resume_elsewhere or exchange.at_most_once:
            return False
        if not self.app.retry_budget.take():
            return False
        cancel_in_background(self.app, self.address, self.attempt_id)
        exchange.excluded.add(self.address)
        exchange.resuming = True
        exchange.deadline_at = self.app.timers.now() + exchange.route.deadline_ms / 1e3
        started = self.app.chain.run_from(CHOOSE_ORDER, exchange)
        if not isinstance(started, Success):
            return False
        reply = started.unwrap().source
        assert exchange.decision is not None
        self.address = exchange.decision.address
        self.attempt_id = exchange.attempt_id
        if (
            reply is None
            or reply.status != OK
            or not self._matches_run(reply, self.attempt_id)
        ):
            if reply is not None:
                reply.discard()
            return False
        self.app.metrics.count("resumes.elsewhere")
        self.app.metrics.count(f"wasted.{WasteReason.REPLAYED.value}")
        self.app.metrics.count("wasted_events", self.validator.position)
        self._switch_source(reply, self.validator.for_rerun(self.attempt_id.encode()))
        return True

    def _matches_run(self, reply: EngineReply, request_id: str) -> bool:
        same_weights = reply.weights_version == self.weights_version
        return reply.request_id == request_id and same_weights

    def _switch_source(self, reply: EngineReply, validator: FrameValidator) -> None:
        reply.set_read_timeout(INTER_TOKEN_TIMEOUT_S)
        self.source = reply
        self.validator = validator

    def _fail(self, failure: errors.Failure) -> bytes:
        # Ending the stream silently would look like a complete answer to a client that
        # does not wait for the final frame.
        self.source.discard()
        self.ended = True
        cancel_in_background(self.app, self.address, self.attempt_id)
        self.exchange.finish(failure.outcome)
        logger.warning(
            "Stream failed.", request=self.exchange.request_id, kind=failure.kind.value
        )
        error = error_object(failure)
        return b"event: error\ndata: " + json.dumps(error).encode() + b"\n\n"


def cancel_in_background(app: Application, address: str, attempt_id: str) -> None:
    """Cancel a run at its engine, without waiting for the answer."""
    app.timers.after(0.0, lambda: _cancel(app, address, attempt_id))


def _cancel(app: Application, address: str, attempt_id: str) -> None:
    cancelled = app.engine_at(address).cancel(attempt_id)
    app.metrics.count("cancels")
    if not isinstance(cancelled, Success):
        app.metrics.count("cancels_failed")


def error_object(failure: errors.Failure) -> dict[str, dict[str, str]]:
    """Return the error in the format that OpenAI clients expect."""
    return {
        "error": {
            "message": failure.message,
            "type": failure.answer.error_type,
            "code": failure.kind.value,
            "outcome": failure.outcome.value,
        }
    }


def _read_failure(error: OSError) -> errors.Failure:
    if isinstance(error, TimeoutError):
        return errors.Failure(ErrorKind.TARGET_TIMEOUT)
    return errors.Failure(ErrorKind.TARGET_LOST)


def setup(app: Application) -> None:
    """Register the filter."""
    app.add_filter(RelayFilter(app))
