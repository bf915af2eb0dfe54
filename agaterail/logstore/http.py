"""HTTP client for the platform's log (docs/internals/protocols)."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from agaterail.logstore import LogError, LogErrorKind, LogRecord, LogSlice, LogStore
from agaterail.util.address import Address
from agaterail.util.httpconn import ConnectFailed, HttpConnections
from agaterail.util.untrusted import load_msgpack

HTTP_TOO_MANY_REQUESTS = 429
HTTP_CONTENT_TOO_LARGE = 413
HTTP_OK = 200


class HttpLogStore(LogStore):
    """Client of the log over HTTP."""

    def __init__(self, address: Address, timeout_s: float = 2.0) -> None:
        self.connections = HttpConnections(address)
        self.timeout_s = timeout_s

    def append(self, stream: str, data: bytes) -> Result[int, LogError]:
        """Append one record and return its offset."""
        answer = self.connections.call(
            "POST", f"/streams/{stream}/append", data, timeout_s=self.timeout_s
        )
        if not isinstance(answer, Success):
            return Failure(_transport_error(answer.failure()))
        status, body = answer.unwrap()
        if status != HTTP_OK:
            return Failure(_status_error(status))
        try:
            return Success(load_msgpack(body)["offset"])
        except (ValueError, KeyError, TypeError) as error:
            return Failure(_malformed_answer(error))

    def read(
        self, stream: str, offset: int, limit: int = 1000, wait_s: float = 0.0
    ) -> Result[LogSlice, LogError]:
        """Read records from an offset on, waiting up to ``wait_s`` for the first."""
        path = (
            f"/streams/{stream}/read?offset={offset}&limit={limit}&wait_ms={int(wait_s * 1e3)}"
        )
        answer = self.connections.call("GET", path, timeout_s=self.timeout_s + wait_s)
        if not isinstance(answer, Success):
            return Failure(_transport_error(answer.failure()))
        status, body = answer.unwrap()
        if status != HTTP_OK:
            return Failure(_status_error(status))
        try:
            fields = load_msgpack(body)
            records = [LogRecord(number, data) for number, data in fields["records"]]
            return Success(LogSlice(records, fields["first"], fields["end"]))
        except (ValueError, KeyError, TypeError) as error:
            return Failure(_malformed_answer(error))


def _transport_error(error: object) -> LogError:
    if isinstance(error, ConnectFailed):
        return LogError(LogErrorKind.DOWN, error.reason)
    return LogError(LogErrorKind.UNANSWERED, str(error))


def _malformed_answer(error: Exception) -> LogError:
    return LogError(LogErrorKind.UNANSWERED, f"malformed answer: {error!r}")


def _status_error(status: int) -> LogError:
    if status == HTTP_TOO_MANY_REQUESTS:
        return LogError(LogErrorKind.THROTTLED)
    if status == HTTP_CONTENT_TOO_LARGE:
        return LogError(LogErrorKind.TOO_LARGE)
    # 503 is sent before the record is processed. After any other status, an append may
    # have taken effect.
    kind = LogErrorKind.DOWN if status == 503 else LogErrorKind.UNANSWERED
    return LogError(kind, f"status {status}")
