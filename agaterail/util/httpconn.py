"""HTTP client that sends each request at most once and reports how far it got."""

from __future__ import annotations

import errno
from typing import TYPE_CHECKING

import attrs
import gevent
from geventhttpclient.client import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import (
    HTTPParseError,
    HTTPProtocolViolationError,
    HTTPResponse,
    HTTPSocketPoolResponse,
)
from returns.result import Failure, Result, Success

from agaterail import logs
from agaterail.bytelimits.answers import (
    AnswerBoundExceeded,
    AnswerMeter,
    AnswerPart,
    check_bound,
    exceeded_bounds,
)
from agaterail.util.address import Address
from agaterail.util.answerheads import check_head, check_single
from agaterail.util.callbacks import do_nothing
from agaterail.util.readguard import ReadGuard
from agaterail.util.units import BYTES_PER_MB

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from gevent.socket import socket as Socket  # noqa: N812

logger = logs.get_logger("peers")

POOL_SIZE = 4096
READ_BYTES = 16 * 1024
MIN_FINAL_STATUS = 200
# Headers of which an answer has one at most. A second one belongs to another answer.
SINGLE_HEADERS = (b"x-request-id", b"x-not-run", b"x-weights-version")
# Answers that are read whole: states and logs of the fleet, a page of which has some MB.
MAX_BODY_BYTES = 16 * BYTES_PER_MB
# Time for a whole answer. The largest take seconds on a slow link.
MAX_ANSWER_S = 30.0


@attrs.frozen
class ConnectFailed:
    """The connection could not be established, so nothing reached the target."""

    reason: str


@attrs.frozen
class ExchangeBroken:
    """Data may have reached the target, but no complete answer was received."""

    reason: str
    timed_out: bool = False


SendError = ConnectFailed | ExchangeBroken


@attrs.frozen
class Answer:
    """A complete answer.

    Attributes
    ----------
    headers
        Values by name in lower case; of a name that comes more than once, the last one.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class _ConnectionPool(ConnectionPool):
    """Connection pool that can also open a new connection on request."""

    def fresh_socket(self) -> Socket:
        """Open a new connection, which counts toward the pool's size."""
        self._semaphore.acquire()
        try:
            return self._create_socket()
        except BaseException:
            self._semaphore.release()
            raise

    def _resolve(self) -> list:
        # Peers are given by IP address, so no resolver call or thread is needed.
        family = (
            gevent.socket.AF_INET6 if ":" in self._connection_host else gevent.socket.AF_INET
        )
        sockaddr = (self._connection_host, self._connection_port)
        return [(family, gevent.socket.SOCK_STREAM, gevent.socket.IPPROTO_TCP, "", sockaddr)]

    def after_connect(self, sock: Socket) -> None:
        """Disable Nagle's algorithm, as head and body are sent in a single write."""
        sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)


class Response(HTTPSocketPoolResponse):
    """Response whose body can be read incrementally."""

    guard: ReadGuard | None = None
    meter: AnswerMeter | None = None
    reason = ""
    final_status: int | None = None

    @property
    def status_code(self) -> int:
        """Return the status of the answer, also after the beginning of another one."""
        return self.get_code() if self.final_status is None else self.final_status

    def feed(self, data: str | bytes) -> None:
        """Parse data.

        Raises
        ------
        HTTPParseError
            If it is no valid answer.
        AnswerBoundExceeded
            If a part of the answer exceeds its bound.
        """
        meter = self.meter = self.meter or AnswerMeter()
        body_bytes, had_head = len(self._body_buffer), self.has_final_head
        try:
            super().feed(data)
        except HTTPParseError:
            if self.final_status is None:
                raise
            # What follows a complete answer belongs to none; the connection is closed.
            self.message_complete = self._trailing_data_dropped = True
        if self.final_status is not None:
            self.release()
        check_bound(AnswerPart.INFORMATIONAL, meter.informational)
        meter.body_bytes = len(self._body_buffer) - body_bytes
        has_head = self.has_final_head
        meter.has_head = has_head and not had_head
        meter.end_read(len(data), AnswerPart.FRAMING if has_head else AnswerPart.HEAD)
        pause_s = meter.turn_pause_s(len(data))
        if pause_s is not None:
            gevent.sleep(pause_s)

    @property
    def has_final_head(self) -> bool:
        """Return whether the head is complete, and not an informational one."""
        return self.headers_complete and self.status_code >= MIN_FINAL_STATUS

    def _on_message_begin(self) -> None:
        if self.final_status is not None:
            raise HTTPProtocolViolationError("Another answer follows.")
        self.reason = ""
        super()._on_message_begin()

    def _on_status(self, msg: str) -> None:
        self.reason += msg

    def _on_message_complete(self) -> None:
        if self.get_code() >= MIN_FINAL_STATUS:
            self.final_status = self.get_code()
        # The base class of sockets releases the connection here, before it is known whether
        # more follows.
        HTTPResponse._on_message_complete(self)

    def _on_headers_complete(self) -> int | bool | None:
        if self.get_code() < MIN_FINAL_STATUS and self.meter is not None:
            self.meter.informational += 1
        skips_body = super()._on_headers_complete()
        headers = [(_to_bytes(name), _to_bytes(value)) for name, value in self.items()]
        check_head(self.get_code(), _to_bytes(self.reason), headers)
        check_single(headers, SINGLE_HEADERS)
        return skips_body

    def should_close(self) -> bool:
        """Return whether to close the connection: always unless the answer was read fully.

        The rest of a truncated or late answer would be read as part of the next one.
        """
        return not self.message_complete or super().should_close()

    def read_available(self) -> bytes:
        """Return the next bytes of the body, or empty bytes at its end."""
        while not self._body_buffer and not self.message_complete:
            sock = self._sock
            if sock is None:
                raise ConnectionResetError(errno.ECONNRESET, "connection closed")
            guard = self.guard
            data = sock.recv(READ_BYTES) if guard is None else guard.read(READ_BYTES)
            if not data:
                self.release()
                raise ConnectionResetError(errno.ECONNRESET, "body cut short")
            try:
                self.feed(data)
            except HTTPParseError as error:
                self.discard()
                raise ConnectionResetError(errno.EPROTO, str(error)) from error
        available = bytes(self._body_buffer)
        del self._body_buffer[:]
        return available

    def set_read_timeout(self, seconds: float) -> None:
        """Set the timeout of each subsequent read."""
        self._stop_guard()
        if self._sock is not None:
            self.guard = ReadGuard(self._sock, seconds)

    def release(self) -> None:
        """Return the connection to the pool after a complete answer, else close it."""
        self._stop_guard()
        super().release()

    def discard(self) -> None:
        """Close the connection, so that late data is not read as another answer."""
        self._stop_guard()
        pool, sock = self._pool, self._sock
        self._pool = self._sock = None
        if pool is not None and sock is not None:
            pool.release_socket(sock)

    def __del__(self) -> None:
        self._stop_guard()
        super().__del__()

    def _stop_guard(self) -> None:
        guard, self.guard = self.guard, None
        if guard is not None:
            guard.stop()


class HttpConnections:
    """Keep-alive connections to one address, without automatic retries.

    geventhttpclient's ``request`` resends a request if a keep-alive connection turns
    out to be closed. The target may have acted on the first copy, so a non-idempotent
    request could run twice. Here, each call is a single attempt.

    Parameters
    ----------
    max_body_bytes
        Largest body that ``call`` reads.
    """

    def __init__(
        self,
        address: Address,
        connect_timeout_s: float = 1.0,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self.address = address
        self.max_body_bytes = max_body_bytes
        self.pool = _ConnectionPool(
            address.host,
            address.port,
            address.host,
            address.port,
            size=POOL_SIZE,
            connection_timeout=connect_timeout_s,
        )
        self.client = HTTPClient(address.host, address.port)

    def send(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 5.0,
        fresh: bool = False,
    ) -> Result[Response, SendError]:
        """Send one request and read the head of its answer.

        Parameters
        ----------
        timeout_s
            Timeout for the head and for each later read of the body.
        fresh
            Use a new connection. The target may close an idle one just as the request
            is sent, which leaves the outcome unknown.
        """
        try:
            head = self.client._build_request(
                method, path, body=body, headers=dict(headers or {})
            )
        except ValueError as error:
            return Failure(ConnectFailed(str(error)))
        try:
            sock = self.pool.fresh_socket() if fresh else self.pool.get_socket()
        except (OSError, RuntimeError) as error:
            return Failure(ConnectFailed(str(error)))
        try:
            sock.settimeout(timeout_s)
            sock.sendall(head.encode("latin-1") + body)
        except OSError as error:
            self.pool.release_socket(sock)
            return Failure(ExchangeBroken(str(error), isinstance(error, TimeoutError)))
        except BaseException:
            # A greenlet killed while sending leaves a partial request on the
            # connection, and the next request would be read as the rest of it.
            self.pool.release_socket(sock)
            raise
        try:
            with gevent.Timeout(timeout_s, _timed_out("head")):
                return Success(Response(sock, self.pool, block_size=READ_BYTES, method=method))
        except Exception as error:  # parse errors and socket errors; the response closed it
            return Failure(self._broken(error))

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 5.0,
        fresh: bool = False,
        on_data: Callable[[], None] = do_nothing,
        answer_s: float = MAX_ANSWER_S,
    ) -> Result[tuple[int, bytes], SendError]:
        """Send one request and read its complete answer.

        Parameters
        ----------
        timeout_s
            Timeout for the head and for each read of the body.
        on_data
            Called when the head arrives and whenever data of the body arrives.
        answer_s
            Timeout for the whole answer.

        Returns
        -------
        Result
            Status code and body.
        """
        found = self.exchange(method, path, body, headers, timeout_s, fresh, on_data, answer_s)
        return found.map(lambda answer: (answer.status, answer.body))

    def exchange(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 5.0,
        fresh: bool = False,
        on_data: Callable[[], None] = do_nothing,
        answer_s: float = MAX_ANSWER_S,
    ) -> Result[Answer, SendError]:
        """Send one request and read its complete answer, with its headers."""
        sent = self.send(method, path, body, headers, timeout_s, fresh)
        if not isinstance(sent, Success):
            return Failure(sent.failure())
        response = sent.unwrap()
        try:
            with gevent.Timeout(answer_s, _timed_out("answer")):
                body = _read_body(response, on_data, self.max_body_bytes)
            found = {name.lower(): value for name, value in response.items()}
            return Success(Answer(response.status_code, found, body))
        except Exception as error:
            response.discard()
            return Failure(self._broken(error))

    def close(self) -> None:
        """Close the idle connections."""
        self.pool.close()

    def _broken(self, error: Exception) -> ExchangeBroken:
        exceeded = exceeded_bounds.record(error)
        if exceeded is not None:
            logger.warning(
                "Answer exceeds a bound.", address=str(self.address), exceeded=exceeded
            )
        return ExchangeBroken(str(error), isinstance(error, TimeoutError))


class ConnectionsByAddress:
    """Keep-alive connections by address, created when an address is first used."""

    def __init__(self, connect_timeout_s: float) -> None:
        self.connect_timeout_s = connect_timeout_s
        self.connections: dict[str, HttpConnections] = {}

    def to(self, address: str) -> HttpConnections:
        """Return the connections to an address."""
        found = self.connections.get(address)
        if found is None:
            found = HttpConnections(Address.parse(address), self.connect_timeout_s)
            self.connections[address] = found
        return found

    def drop(self, address: str) -> None:
        """Close the connections to an address."""
        found = self.connections.pop(address, None)
        if found is not None:
            found.close()


def _timed_out(part: str) -> TimeoutError:
    return TimeoutError(errno.ETIMEDOUT, f"timed out reading the {part}")


def _to_bytes(text: str) -> bytes:
    return text.encode("utf-8", "replace")


def _read_body(response: Response, on_data: Callable[[], None], max_bytes: int) -> bytes:
    parts = []
    size = 0
    on_data()
    while data := response.read_available():
        on_data()
        size += len(data)
        if size > max_bytes:
            raise AnswerBoundExceeded(AnswerPart.BODY)
        parts.append(data)
    response.release()
    return b"".join(parts)
