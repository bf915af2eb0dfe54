"""Server for callers: strict HTTP/1.1 on plain gevent sockets."""

from __future__ import annotations

from collections import deque
from socket import MSG_PEEK
from typing import TYPE_CHECKING, Any

import gevent
import gevent.event
import httptools
from gevent import socket
from gevent.server import StreamServer

from agaterail import logs
from agaterail.callerwatch import CallerLeft, CallerWatch
from agaterail.gateway.inbound import InboundRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from agaterail.gateway.desired import CallerLimits
    from agaterail.util.address import Address

logger = logs.get_logger("front")

BACKLOG = 1024
READ_BYTES = 64 * 1024
READ = 1
# A caller that takes nothing of its answer for so long is cut; its stream waits
# in the kernel's bounded buffers until then and holds nobody else up.
SEND_TIMEOUT_S = 10.0
# Requests that a caller sends ahead on one connection are kept up to here.
MAX_PIPELINED_REQUESTS = 16
# How long a connection that was answered with an error is read on and thrown
# away: closing with unread bytes would reset it, and the answer with it.
LINGER_S = 0.5

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class RequestRefused(Exception):  # noqa: N818
    """A request that is not read to its end; carries the status to answer."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class RequestReader:
    """Parses one connection's bytes into whole requests.

    llhttp refuses what leaves open where a request ends (a length beside
    chunks, two lengths, bare line feeds, bad chunk sizes): with such bytes a
    caller could smuggle a second request past the router.
    """

    def __init__(self, limits: Callable[[], CallerLimits], now: Callable[[], float]) -> None:
        self.limits = limits
        self.now = now
        self.parser = httptools.HttpRequestParser(self)
        self.ready: deque[InboundRequest] = deque()
        self.current: InboundRequest | None = None
        self.head_bytes = 0
        self.pieces: list[bytes] = []
        self.body_bytes = 0
        self.in_head = False
        self.wants_continue = False

    @property
    def in_progress(self) -> bool:
        """Tell whether part of a request has been read."""
        return self.current is not None

    def feed(self, data: bytes) -> None:
        """Take in bytes.

        Raises
        ------
        RequestRefused
            If they are no proper request, or more than the limits allow.
        """
        if self.in_head or self.current is None:
            self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, RequestRefused):
                raise cause from error
            raise
        except httptools.HttpParserUpgrade as error:
            raise RequestRefused(400, "upgrades are not supported") from error
        except httptools.HttpParserError as error:
            raise RequestRefused(400, str(error)) from error
        if self.in_head and self.head_bytes > self.limits().max_header_bytes:
            raise RequestRefused(431, "the head is too large")
        if len(self.ready) > MAX_PIPELINED_REQUESTS:
            raise RequestRefused(400, "too many requests were sent ahead")

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        self.current = InboundRequest(
            method=b"", target=b"", headers=[], received_at=self.now()
        )
        self.in_head = True
        self.pieces = []
        self.body_bytes = 0

    def on_url(self, part: bytes) -> None:
        """Note a piece of the target."""
        assert self.current is not None
        self.current.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note a header."""
        assert self.current is not None
        self.current.headers.append((name, value))
        if name.lower() == b"expect" and value.lower() == b"100-continue":
            self.wants_continue = True

    def on_headers_complete(self) -> None:
        """Note the end of the head."""
        assert self.current is not None
        self.in_head = False
        self.head_bytes = 0
        self.current.method = self.parser.get_method()
        if not self.current.target.startswith(b"/"):
            raise RequestRefused(400, "the target is no path")

    def on_body(self, data: bytes) -> None:
        """Keep a piece of the body."""
        self.pieces.append(data)
        self.body_bytes += len(data)
        if self.body_bytes > self.limits().max_body_bytes:
            raise RequestRefused(413, "the body is too large")

    def on_message_complete(self) -> None:
        """Keep the whole request."""
        assert self.current is not None
        self.current.body = b"".join(self.pieces)
        self.current.keep_alive = bool(self.parser.should_keep_alive())
        self.current.complete_at = self.now()
        self.ready.append(self.current)
        self.current = None
        self.pieces = []


class CallerConnection:
    """One caller's connection and the answers on it."""

    def __init__(self, sock: Any, http_server: HttpServer) -> None:
        self.sock = sock
        self.http_server = http_server
        self.reader = RequestReader(http_server.limits, http_server.now)
        self.keep_open = True  # of the connection, after the answer under way
        self.answering = False
        self.streaming = False
        self.wake = gevent.event.Event()
        self.idle = False

    def serve(self) -> None:
        """Answer the connection's requests one after the other."""
        while self.keep_open:
            inbound = self._next_request()
            if inbound is None:
                return
            self.keep_open = inbound.keep_alive
            self.answering = True
            self.streaming = False
            watch = CallerWatch(self.sock)
            try:
                self.http_server.handle(inbound, self)
            finally:
                watch.stop()
                self.answering = False
            if self.http_server.stopping:
                # A stream whose head was sent before the stop has not told its
                # caller; the next request on the connection could come so late
                # that the process ends before its answer does.
                return

    def send_answer(self, status: int, lines: Sequence[bytes], body: bytes) -> None:
        """Send a whole answer."""
        self._send(self._head(status, lines, b"Content-Length: %d" % len(body)) + body)

    def send_large_answer(self, status: int, lines: Sequence[bytes], body: bytes) -> None:
        """Send a whole answer whose body may queue behind others on the link.

        Where many such answers are due at the same moment, all heads go first: whoever
        waits for a body that is queued knows that it comes, and need not ask elsewhere,
        which would queue it there too.
        """
        self._send(self._head(status, lines, b"Content-Length: %d" % len(body)))
        gevent.sleep(0.0)
        self._send(body)

    def start_stream(self, status: int, lines: Sequence[bytes], first: bytes) -> None:
        """Send the head of a streamed answer with its first bytes."""
        head = self._head(status, lines, b"Transfer-Encoding: chunked")
        self.streaming = True
        chunk = b"%x\r\n%b\r\n" % (len(first), first) if first else b""
        self._send(head + chunk)

    def send_chunk(self, data: bytes) -> None:
        """Send the next bytes of a stream."""
        self._send(b"%x\r\n%b\r\n" % (len(data), data))

    def end_stream(self) -> None:
        """End a stream that is complete."""
        self._send(b"0\r\n\r\n")

    def abort(self) -> None:
        """End the connection so that an unfinished answer does not look complete."""
        self.keep_open = False

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or answered.

        Only a flag is set: the connection's own greenlet looks for bytes that
        have arrived meanwhile before it closes. Ended from outside, it might
        just have read a request and passed it on.
        """
        if self.idle:
            self.keep_open = False
            self.wake.set()

    def _next_request(self) -> InboundRequest | None:
        reader = self.reader
        while not reader.ready:
            if not reader.in_progress and not self._wait_idle():
                return None
            self.sock.settimeout(self.http_server.limits().header_timeout_s)
            try:
                data = self.sock.recv(READ_BYTES)
            except TimeoutError:
                self._refuse(RequestRefused(408, "the request came too slowly"))
                return None
            if not data:
                return None
            try:
                reader.feed(data)
            except RequestRefused as refused:
                if reader.ready:
                    # Whole requests before the bad bytes still get answers.
                    self.keep_open = False
                    break
                self._refuse(refused)
                return None
            if reader.wants_continue:
                reader.wants_continue = False
                if reader.in_progress:
                    self._send(b"HTTP/1.1 100 Continue\r\n\r\n")
        return reader.ready.popleft()

    def _wait_idle(self) -> bool:
        """Wait for the next request; tells whether there is something to read."""
        self.wake.clear()
        watcher = gevent.get_hub().loop.io(self.sock.fileno(), READ)
        watcher.start(self.wake.set)
        self.idle = True
        try:
            self.wake.wait(self.http_server.limits().idle_timeout_s)
        finally:
            self.idle = False
            watcher.stop()
            watcher.close()
        try:
            self.sock._sock.recv(1, MSG_PEEK)
        except BlockingIOError:
            return False
        return True

    def _refuse(self, refused: RequestRefused) -> None:
        logger.info(
            "Refused a malformed request.", status=refused.status, reason=refused.reason
        )
        self.http_server.count_refusal(refused.status)
        self.keep_open = False
        self.send_answer(refused.status, [], b"")
        self._linger()

    def _linger(self) -> None:
        self.sock.shutdown(socket.SHUT_WR)
        with gevent.Timeout(LINGER_S, False):
            while self.sock.recv(READ_BYTES):
                pass

    def _head(self, status: int, lines: Sequence[bytes], framing: bytes) -> bytes:
        if self.http_server.stopping:
            self.keep_open = False
        head = [b"HTTP/1.1 %d %b" % (status, REASONS.get(status, b"Status")), *lines, framing]
        if not self.keep_open:
            head.append(b"Connection: close")
        return b"\r\n".join([*head, b"", b""])

    def _send(self, data: bytes) -> None:
        self.sock.settimeout(SEND_TIMEOUT_S)
        try:
            sent = self.sock.send(data)
            if sent < len(data):
                self.sock.sendall(memoryview(data)[sent:])
        except OSError as error:
            # As an OSError it would look like the target's failure to whoever
            # passes events on, and the stream would be run again for nobody.
            raise CallerLeft(str(error)) from error


class HttpServer:
    """Listens for callers and hands whole requests on.

    Attributes
    ----------
    stopping
        Answers end their connection, so that callers go elsewhere.
    """

    def __init__(
        self,
        address: Address,
        handle: Callable[[InboundRequest, CallerConnection], None],
        limits: Callable[[], CallerLimits],
        now: Callable[[], float],
        count_refusal: Callable[[int], None] = lambda _status: None,
    ) -> None:
        self.address = address
        self.handle = handle
        self.limits = limits
        self.now = now
        self.count_refusal = count_refusal
        self.stopping = False
        self.connections: set[CallerConnection] = set()
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit this. With Nagle's algorithm an event
        # would wait for the caller's delayed acknowledgement, about 40 ms.
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        listener.bind((address.host, address.port))
        listener.listen(BACKLOG)
        self.server = StreamServer(listener, self._on_connection)

    def start(self) -> None:
        """Accept connections."""
        self.server.start()

    def begin_stop(self) -> None:
        """End each connection with its next answer."""
        self.stopping = True

    def close_idle(self) -> None:
        """Close connections on which nothing is under way."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def stop_accepting(self) -> None:
        """Close the listener."""
        self.server.stop_accepting()
        self.server.close()

    def close(self) -> None:
        """Close the listener and all connections at once."""
        self.server.stop(timeout=0)

    @property
    def active_requests(self) -> int:
        """Return the number of requests being read or answered."""
        return sum(item.answering or item.reader.in_progress for item in self.connections)

    def _on_connection(self, sock: Any, _address: Any) -> None:
        connection = CallerConnection(sock, self)
        self.connections.add(connection)
        try:
            connection.serve()
        except (OSError, CallerLeft):
            # The caller left or takes nothing; there is nobody to tell.
            pass
        finally:
            self.connections.discard(connection)
            sock.close()
