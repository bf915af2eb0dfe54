"""Strict HTTP/1.1 server on plain gevent sockets."""

from __future__ import annotations

import contextlib
import struct
from collections import deque
from hashlib import blake2b
from socket import MSG_PEEK, SO_LINGER, SOL_SOCKET
from typing import TYPE_CHECKING, Any

import gevent
import gevent.event
import httptools
from gevent import socket
from gevent.server import StreamServer

from agaterail import logs
from agaterail.bytelimits.account import (
    MIN_ENDED_BYTES,
    ByteAccount,
    HeldBytes,
    HolderState,
    Marks,
)
from agaterail.callerwatch import CallerEnded, CallerLeft, CallerWatch
from agaterail.gateway.inbound import InboundRequest
from agaterail.util.callbacks import do_nothing

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from agaterail.gateway.desired import CallerLimits
    from agaterail.util.address import Address

logger = logs.get_logger("front")

BACKLOG = 1024
READ_BYTES = 64 * 1024
READ = 1
# A caller that reads nothing for this long is disconnected. Until then its data waits in
# the kernel's socket buffer and in the connection's own.
SEND_TIMEOUT_S = 10.0
# A stream is read from its target at the target's pace, as targets cut off a stream that
# is not read for some seconds. Beyond this size, reading waits for the caller.
MAX_UNSENT_BYTES = 1024 * 1024
# A caller with more than this unsent for too long does not keep up with its stream.
BEHIND_BYTES = 64 * 1024
MAX_BEHIND_S = 5.0
SLOW_READER = "slow_reader"
HELD_BYTES = "held_bytes"
# Frees the kernel's buffer of a caller that was ended, which would be kept for minutes.
LINGER_RESET = struct.pack("ii", 1, 0)
UNLIMITED = Marks(low=2**62, high=2**62)
MAX_PIPELINED_REQUESTS = 16
BODY_DIGEST_BYTES = 16
# Copying a larger body costs more than another send.
LARGE_BODY_BYTES = 64 * 1024
# After an error answer, incoming data is read and discarded for this long. Closing a
# socket with unread data sends a reset, which may discard the answer.
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
    """Rejects a request before it is read completely; holds the status to answer."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


# Bodies that are being passed on give their room back within a second.
REFUSAL_LINES = {503: (b"Retry-After: 0.5",)}
MAX_LENGTH_DIGITS = 15


class AnswerInterrupted(Exception):  # noqa: N818
    """The process ends before the request does, which gets its final answer now."""


class RequestReader:
    """Parses one connection's data into complete requests.

    llhttp rejects ambiguous request boundaries (a length with chunked encoding, two
    lengths, bare line feeds, bad chunk sizes), which would allow request smuggling:
    a second request hidden from the router.
    """

    def __init__(self, limits: Callable[[], CallerLimits], now: Callable[[], float]) -> None:
        self.limits = limits
        self.now = now
        self.parser = httptools.HttpRequestParser(self)
        self.ready: deque[InboundRequest] = deque()
        self.current: InboundRequest | None = None
        self.head_bytes = 0
        self.body = bytearray()
        self.body_bytes = self.stated_bytes = 0
        self.body_hash: blake2b | None = None
        self.in_head = False
        self.wants_continue = False

    @property
    def remaining_bytes(self) -> int:
        """Return how many bytes of the body are still to come, as far as that is stated."""
        return max(0, self.stated_bytes - self.body_bytes)

    @property
    def in_progress(self) -> bool:
        """Return whether part of a request has been read."""
        return self.current is not None

    def feed(self, data: bytes) -> None:
        """Parse received data.

        Raises
        ------
        RequestRefused
            If the data is not a valid request or exceeds the limits.
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
            raise RequestRefused(400, "too many pipelined requests")

    def close(self) -> None:
        """Drop all data at once; the parser refers back here until garbage collection."""
        self.current = None
        self.body = bytearray()
        self.ready.clear()

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Start a request."""
        self.current = InboundRequest(
            method=b"", target=b"", headers=[], received_at=self.now()
        )
        self.in_head = True
        self.body = bytearray()
        self.body_bytes = self.stated_bytes = 0
        self.body_hash = None

    def on_url(self, part: bytes) -> None:
        """Append a part of the request target."""
        assert self.current is not None
        self.current.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header."""
        assert self.current is not None
        self.current.headers.append((name, value))
        if name.lower() == b"expect" and value.lower() == b"100-continue":
            self.wants_continue = True
        if name.lower() == b"content-length" and value.isdigit():
            self.stated_bytes = int(value[:MAX_LENGTH_DIGITS])

    def on_headers_complete(self) -> None:
        """Record the method and check the request target."""
        assert self.current is not None
        self.in_head = False
        self.head_bytes = 0
        self.current.method = self.parser.get_method()
        if not self.current.target.startswith(b"/"):
            raise RequestRefused(400, "the request target is not a path")

    def on_body(self, data: bytes) -> None:
        """Buffer a part of the body."""
        self.body += data
        self.body_bytes += len(data)
        if self.body_bytes > self.limits().max_body_bytes:
            raise RequestRefused(413, "the body is too large")
        # Hashed as it arrives: a large body at once would delay other requests.
        self.body_hash = self.body_hash or blake2b(digest_size=BODY_DIGEST_BYTES)
        self.body_hash.update(data)

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        assert self.current is not None
        self.current.body = bytes(self.body)
        if self.body_hash is not None:
            self.current.body_digest = self.body_hash.digest()
        self.current.keep_alive = bool(self.parser.should_keep_alive())
        self.current.complete_at = self.now()
        self.ready.append(self.current)
        self.current = None
        self.body = bytearray()


class CallerConnection:
    """A caller's connection, which reads requests and sends their answers in order.

    Attributes
    ----------
    extra_lines
        Header lines of each answer in addition to its own.
    held
        Bytes held for the caller: its requests, what is read of their answers, and what
        is unsent.
    unsent
        Data that the socket has not accepted yet, with ``unsent_bytes`` in all. While
        there is any, ``writer`` sends it.
    charges_unsent
        Whether unsent data is charged, as it is not a part of a body that is.
    behind_since
        Time since which more than ``BEHIND_BYTES`` are unsent; None if it is less.
    """

    def __init__(self, sock: Any, address: Any, http_server: HttpServer) -> None:
        self.sock = sock
        self.address = address
        self.http_server = http_server
        self.reader = RequestReader(http_server.limits, http_server.now)
        self.keep_open = True  # after the current answer
        self.answering = False
        self.streaming = False
        self.extra_lines: Sequence[bytes] = ()
        self.wake = gevent.event.Event()
        self.idle = False
        self.greenlet = gevent.getcurrent()
        self.held = HeldBytes(
            http_server.account, lambda: self.end(HELD_BYTES), self._holder_state
        )
        self.is_turned_away = False
        self.read_bytes = self.answer_bytes = self.partial_bytes = 0
        self.unsent: deque[memoryview] = deque()
        self.unsent_bytes = 0
        self.charges_unsent = True
        self.behind_since: float | None = None
        self.has_room = gevent.event.Event()
        self.writer: gevent.Greenlet | None = None

    def serve(self) -> None:
        """Answer the connection's requests one by one."""
        while self.keep_open and self._serve_next():
            if self.http_server.stopping:
                # If a stream's head was sent before the stop, it lacks the header
                # "Connection: close". A further request could arrive so late that
                # the process exits in the middle of its answer.
                return

    def _serve_next(self) -> bool:
        """Answer the next request; return whether there was one.

        Nothing refers to the request afterwards, so that an idle connection does not keep
        the memory of its last body.
        """
        inbound = self._next_request()
        if inbound is None:
            return False
        self.keep_open = inbound.keep_alive
        self.answering = True
        self.streaming = False
        self.extra_lines = ()
        watch = CallerWatch(self.sock)
        try:
            self.http_server.handle(inbound, self)
            self._flush()
        finally:
            watch.stop()
            self.answering = False
        self._return_request_bytes(inbound)
        return True

    def send_answer(self, status: int, lines: Sequence[bytes], body: bytes) -> None:
        """Send a complete answer."""
        head = self._head(status, lines, b"Content-Length: %d" % len(body))
        if len(body) < LARGE_BODY_BYTES:
            self._return_answer_bytes()
            self._send(head + body)
        else:
            self._charge_body(body)
            self._send(head)
            self._send(body)
        self._flush()

    def send_large_answer(self, status: int, lines: Sequence[bytes], body: bytes) -> None:
        """Send a complete answer whose body may queue behind others on the link.

        When many such answers are due at once, all heads are sent first. A receiver
        whose body is still queued then knows that it is coming and does not ask another
        peer, where it would be queued again.
        """
        self._charge_body(body)
        self._send(self._head(status, lines, b"Content-Length: %d" % len(body)))
        gevent.sleep(0.0)
        self._send(body)
        self._flush()

    def start_stream(self, status: int, lines: Sequence[bytes], first: bytes) -> None:
        """Send the head of a streamed answer with its first data."""
        head = self._head(status, lines, b"Transfer-Encoding: chunked")
        self.streaming = True
        chunk = b"%x\r\n%b\r\n" % (len(first), first) if first else b""
        self._send(head + chunk)

    def send_chunk(self, data: bytes) -> None:
        """Send the next data of a stream."""
        self._send(b"%x\r\n%b\r\n" % (len(data), data))

    def end_stream(self) -> None:
        """Send the final chunk of a complete stream."""
        self._send(b"0\r\n\r\n")
        self._flush()

    def abort(self) -> None:
        """Close the connection so that an incomplete answer does not look complete."""
        self.keep_open = False

    def hold(self, size: int) -> None:
        """Charge bytes that are kept until the current request ends."""
        self.answer_bytes += size
        self.held.add(size)

    def hold_partial_event(self, size: int) -> None:
        """Charge the event that is not complete yet instead of the former one."""
        if size != self.partial_bytes:
            self.held.add(size - self.partial_bytes)
            self.partial_bytes = size

    def end(self, outcome: str) -> None:
        """End the connection at once; the caller does not get what is unsent.

        A request that is still being read is refused with its next bytes, so that its
        caller learns that it has not run.
        """
        if self._holder_state() is HolderState.READING:
            self.is_turned_away = True
            return
        logger.warning(
            "Ending a caller.",
            outcome=outcome,
            address=self.address,
            held=self.held.size,
            held_s=round(self.http_server.now() - self.held.since, 3),
            unsent=self.unsent_bytes,
            total=self.http_server.account.total,
        )
        self.keep_open = False
        self.greenlet.kill(CallerEnded(outcome), block=False)

    def close(self) -> None:
        """Close the socket and return what is held."""
        if self.unsent:
            # Fails if the caller has left; the socket is still closed below.
            with contextlib.suppress(OSError):
                self.sock.setsockopt(SOL_SOCKET, SO_LINGER, LINGER_RESET)
        if self.writer is not None:
            self.writer.kill(block=False)
        self.sock.close()
        self.reader.close()
        self.unsent.clear()
        self.held.clear()
        self.held.end = do_nothing

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or answered.

        This only sets a flag. The connection's own greenlet checks for data that has
        arrived meanwhile before it closes. Killed from outside, it might just have
        read and forwarded a request.
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
                self._refuse(RequestRefused(408, "timed out reading the request"))
                return None
            if not data:
                return None
            self.read_bytes += len(data)
            self.held.add(len(data))
            try:
                reader.feed(data)
                self._check_room()
            except RequestRefused as refused:
                if reader.ready and not self.is_turned_away:
                    # Complete requests before the invalid data are still answered.
                    self.keep_open = False
                    break
                self._refuse(refused)
                return None
            if reader.wants_continue:
                reader.wants_continue = False
                if reader.in_progress:
                    self._send(b"HTTP/1.1 100 Continue\r\n\r\n")
        return reader.ready.popleft()

    def _check_room(self) -> None:
        """Check that the request that is being read may be held.

        Raises
        ------
        RequestRefused
            If it was chosen to give room to others, or there is none for its body.
        """
        remaining = self.reader.remaining_bytes if self.reader.in_progress else 0
        has_room = remaining < MIN_ENDED_BYTES or self.http_server.account.fits(remaining)
        if self.is_turned_away or not has_room:
            raise RequestRefused(503, "no room for the request")

    def _holder_state(self) -> HolderState:
        if not self.answering and self.reader.in_progress:
            return HolderState.READING
        return HolderState.UNSENT if self.unsent_bytes else HolderState.PASSED_ON

    def _wait_idle(self) -> bool:
        """Wait for the next request; return whether there is data to read."""
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
            "Rejected a request before it was read.",
            status=refused.status,
            reason=refused.reason,
            read=self.read_bytes,
            total=self.http_server.account.total,
        )
        self.http_server.count_refusal(refused.status)
        self.keep_open = False
        self.send_answer(refused.status, REFUSAL_LINES.get(refused.status, ()), b"")
        self._linger()

    def _linger(self) -> None:
        self.sock.shutdown(socket.SHUT_WR)
        with gevent.Timeout(LINGER_S, False):
            while self.sock.recv(READ_BYTES):
                pass

    def _head(self, status: int, lines: Sequence[bytes], framing: bytes) -> bytes:
        if self.http_server.stopping:
            self.keep_open = False
        first = b"HTTP/1.1 %d %b" % (status, REASONS.get(status, b"Status"))
        head = [first, *self.extra_lines, *lines, framing]
        if not self.keep_open:
            head.append(b"Connection: close")
        return b"\r\n".join([*head, b"", b""])

    def _return_request_bytes(self, inbound: InboundRequest) -> None:
        """Return the bytes of a request and its answer, but not those of the next one."""
        self.hold_partial_event(0)
        is_read_on = bool(self.reader.ready) or self.reader.in_progress
        returned = min(self.read_bytes, len(inbound.body)) if is_read_on else self.read_bytes
        self.held.add(-returned)
        self.read_bytes -= returned
        self._return_answer_bytes()
        self.charges_unsent = True

    def _charge_body(self, body: bytes) -> None:
        """Charge a body, which is kept whole until the last of it is sent."""
        self._return_answer_bytes()
        self.hold(len(body))
        self.charges_unsent = False

    def _return_answer_bytes(self) -> None:
        self.held.add(-self.answer_bytes)
        self.answer_bytes = 0

    # Sending to a caller that may read slowly.

    def _send(self, data: bytes) -> None:
        sent = 0
        if not self.unsent:
            try:
                sent = self.sock._sock.send(data)
            except BlockingIOError:
                pass
            except OSError as error:
                # While relaying events, an OSError would be taken for a failure of the
                # target, and the stream would run again although the caller has left.
                raise CallerLeft(str(error)) from error
            if sent == len(data):
                return
        self._keep_unsent(memoryview(data)[sent:])

    def _keep_unsent(self, rest: memoryview) -> None:
        self.unsent.append(rest)
        self._record_unsent(len(rest))
        if self.writer is None or self.writer.ready():
            self.writer = gevent.spawn(self._write_unsent)
        while self.streaming and self.unsent_bytes > MAX_UNSENT_BYTES:
            self.has_room.clear()
            self.has_room.wait()

    def _write_unsent(self) -> None:
        """Send what is unsent; end the request if the caller has left or reads nothing."""
        self.sock.settimeout(min(SEND_TIMEOUT_S, MAX_BEHIND_S / 2))
        progress_at = self.http_server.now()
        try:
            while self.unsent:
                sent = self._write_some()
                now = self.http_server.now()
                if sent:
                    progress_at = now
                if now - progress_at > SEND_TIMEOUT_S or self._is_behind(now):
                    self.end(SLOW_READER)
                    return
        except OSError as error:
            self.keep_open = False
            self.greenlet.kill(CallerLeft(str(error)), block=False)

    def _write_some(self) -> int:
        """Send some unsent data; return how much, 0 if the caller reads nothing."""
        rest = self.unsent[0]
        try:
            sent: int = self.sock.send(rest)
        except TimeoutError:
            return 0
        if sent == len(rest):
            self.unsent.popleft()
        else:
            self.unsent[0] = rest[sent:]
        self._record_unsent(-sent)
        if self.unsent_bytes <= MAX_UNSENT_BYTES:
            self.has_room.set()
        return sent

    def _is_behind(self, now: float) -> bool:
        """Return whether the caller does not keep up with its stream."""
        since = self.behind_since
        return self.streaming and since is not None and now - since > MAX_BEHIND_S

    def _record_unsent(self, size: int) -> None:
        self.unsent_bytes += size
        if self.charges_unsent:
            self.held.add(size)
        if self.unsent_bytes <= BEHIND_BYTES:
            self.behind_since = None
        elif self.behind_since is None:
            self.behind_since = self.http_server.now()

    def _flush(self) -> None:
        """Wait until all data is sent; a failure of the writer ends this greenlet."""
        if self.unsent and self.writer is not None:
            self.writer.join()
            while self.unsent:
                gevent.sleep(SEND_TIMEOUT_S)


class HttpServer:
    """Accepts connections and passes complete requests to a handler.

    Parameters
    ----------
    account
        Account of the bytes held for connections, without limits by default.
    may_read
        Returns whether a new connection is read, given the number of connections with it;
        otherwise it is closed.

    Attributes
    ----------
    stopping
        Whether each answer closes its connection, so that callers go elsewhere.
    """

    def __init__(
        self,
        address: Address,
        handle: Callable[[InboundRequest, CallerConnection], None],
        limits: Callable[[], CallerLimits],
        now: Callable[[], float],
        count_refusal: Callable[[int], None] = lambda _status: None,
        may_read: Callable[[int], bool] = lambda _connections: True,
        account: ByteAccount | None = None,
    ) -> None:
        self.address = address
        self.handle = handle
        self.limits = limits
        self.now = now
        self.count_refusal = count_refusal
        self.may_read = may_read
        self.account = account or ByteAccount(UNLIMITED, now)
        self.stopping = False
        self.connections: set[CallerConnection] = set()
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Inherited by accepted connections. Nagle's algorithm would hold back an event
        # until the caller's delayed acknowledgement, about 40 ms later.
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        listener.bind((address.host, address.port))
        listener.listen(BACKLOG)
        self.server = StreamServer(listener, self._on_connection)

    def start(self) -> None:
        """Start accepting connections."""
        self.server.start()

    def begin_stop(self) -> None:
        """Close each connection after its next answer."""
        self.stopping = True

    def close_idle(self) -> None:
        """Close connections without a request in progress."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def interrupt_answers(self) -> int:
        """Interrupt the requests that are being answered; return how many these are."""
        answering = [item for item in self.connections if item.answering]
        for connection in answering:
            connection.greenlet.kill(AnswerInterrupted(), block=False)
        return len(answering)

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

    def _on_connection(self, sock: Any, address: Any) -> None:
        if not self.may_read(len(self.connections) + 1):
            sock.close()
            return
        connection = CallerConnection(sock, address, self)
        self.connections.add(connection)
        try:
            connection.serve()
        except (OSError, CallerLeft, AnswerInterrupted):
            # The caller left or does not read, so no answer can be sent.
            pass
        finally:
            self.connections.discard(connection)
            connection.close()
