"""Pass an engine's answer on to the caller, whole and in order."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from agaterail import errors, logs
from agaterail.errors import ErrorKind, Outcome
from agaterail.filters import Filter
from agaterail.sse import FrameCheck

if TYPE_CHECKING:
    from collections.abc import Iterator

    from agaterail.application import Application
    from agaterail.engines import EngineReply
    from agaterail.exchange import Exchange, Reply
    from agaterail.filters import Proceed

logger = logs.get_logger("relay")

OK = 200
TOKEN_GAP_TIMEOUT_S = 10.0


class RelayFilter(Filter):
    """Reads the first part inside the chain, so that its loss can be retried."""

    order = 650

    def __init__(self, app: Application) -> None:
        self.app = app

    def handle(self, exchange: Exchange, proceed: Proceed) -> Result[Reply, errors.Failure]:
        """Replace the engine's answer by one that is checked on its way."""
        result = proceed(exchange)
        if not isinstance(result, Success):
            return result
        reply = result.unwrap()
        if reply.source is None:
            return result
        assert exchange.chat is not None
        if exchange.chat.stream and reply.status == OK:
            return self._relay_stream(exchange, reply, reply.source)
        return self._relay_whole(reply, reply.source)

    def _relay_stream(
        self, exchange: Exchange, reply: Reply, source: EngineReply
    ) -> Result[Reply, errors.Failure]:
        relay = StreamRelay(exchange, source)
        try:
            first = relay.next_part()
        except OSError as error:
            source.discard()
            return Failure(_read_failure(error))
        if not first:
            source.discard()
            return Failure(errors.Failure(ErrorKind.TARGET_LOST))
        source.set_read_timeout(TOKEN_GAP_TIMEOUT_S)
        relay.first = first
        reply.headers["content-type"] = "text/event-stream"
        reply.body = relay
        return Success(reply)

    def _relay_whole(self, reply: Reply, source: EngineReply) -> Result[Reply, errors.Failure]:
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


class StreamRelay:
    """Iterator over the checked parts of one stream."""

    def __init__(self, exchange: Exchange, source: EngineReply) -> None:
        self.exchange = exchange
        self.source = source
        self.check = FrameCheck()
        self.first = b""
        self.ended = False

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        if self.first:
            part, self.first = self.first, b""
            return part
        if self.ended:
            raise StopIteration
        try:
            part = self.next_part()
        except OSError as error:
            return self._fail(_read_failure(error))
        if part:
            return part
        if self.check.finished:
            self.ended = True
            self.exchange.finish(Outcome.COMPLETED)
            raise StopIteration
        return self._fail(errors.Failure(ErrorKind.TARGET_LOST, "The stream was cut short."))

    def next_part(self) -> bytes:
        """Read until at least one whole frame; nothing at the end or a gap."""
        while not self.check.broken:
            data = self.source.read_available()
            if not data:
                return b""
            part = self.check.accept(data)
            if part:
                return part
        return b""

    def close(self) -> None:
        """Release the stream; a caller that left early stops the engine too."""
        if not self.ended:
            self.source.discard()
            self.ended = True
        self.exchange.finish(Outcome.UNKNOWN)

    def _fail(self, failure: errors.Failure) -> bytes:
        # Ending here without a word would look like a whole answer to a
        # client that does not wait for the final frame.
        self.source.discard()
        self.ended = True
        self.exchange.finish(failure.outcome)
        logger.warning(
            "Stream failed.", request=self.exchange.request_id, kind=failure.kind.value
        )
        error = error_object(failure)
        return b"event: error\ndata: " + json.dumps(error).encode() + b"\n\n"


def error_object(failure: errors.Failure) -> dict[str, dict[str, str]]:
    """Return the error in the shape that OpenAI clients expect."""
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
