"""One connection to a target, on which requests follow one another."""

from __future__ import annotations

import contextlib
import errno
import socket as std_socket
import struct
from typing import TYPE_CHECKING

import attrs
import gevent
import httptools
from gevent import select, socket

from agaterail.util.callbacks import do_nothing
from agaterail.util.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from agaterail.gateway.inbound import AnswerHead

READ_BYTES = 64 * 1024
# An answer whose head has not ended after so many bytes is no answer.
MAX_HEAD_BYTES = 64 * 1024
MIN_FINAL_STATUS = 200
NO_CONTENT = 204
NOT_MODIFIED = 304
# Bytes that were sent and not acknowledged for so long fail the connection: a
# host without power or behind a partition answers nothing at all, and without
# this a write to it would hang for minutes.
TCP_USER_TIMEOUT_MS = 3000
# Closing with a reset tells the target at once that nobody waits; an orderly
# close may leave it working on an answer that still fits its send buffer.
LINGER_RESET = struct.pack("ii", 1, 0)


class AnswerBroken(ConnectionError):  # noqa: N818
    """The target's bytes are no whole answer to the request."""


@attrs.define
class _Message:
    """One answer as the parser found it."""

    status: int = 0
    headers: list[tuple[bytes, bytes]] = attrs.field(factory=list)
    head_done: bool = False
    done: bool = False
    delimited: bool = False
    chunks: list[bytes] = attrs.field(factory=list)


class TargetConnection:
    """Connection to one target.

    At most one request is under way. The parser takes in whatever arrives; an
    answer that repeats another request's id is a late or doubled one and is
    skipped, and a channel on which anything unasked arrived is not used again.

    Attributes
    ----------
    written
        Whether a byte of the current request may have reached the target.
    reusable
        Whether another request may follow.
    on_data
        Called whenever bytes arrive.
    """

    def __init__(
        self, sock: socket.socket, decode: Callable[..., AnswerHead], now: Callable[[], float]
    ) -> None:
        self.sock = sock
        self.decode = decode
        self.now = now
        self.on_data: Callable[[], None] = do_nothing
        self.parser = httptools.HttpResponseParser(self)
        self.messages: list[_Message] = []
        self.current: _Message | None = None
        self.written = False
        self.reusable = True
        self.closed = False
        self.idle_since = now()
        self.keep_alive_s: float | None = None
        self.writer: gevent.Greenlet | None = None
        self.head_bytes = 0

    @classmethod
    def connect(
        cls,
        address: str,
        timeout_s: float,
        decode: Callable[..., AnswerHead],
        now: Callable[[], float],
    ) -> TargetConnection:
        """Open a connection.

        Raises
        ------
        OSError
            If no connection was made within the time.
        """
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(
                socket.IPPROTO_TCP, std_socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
            )
            sock.settimeout(timeout_s)
            sock.connect((host, int(port)))
        except BaseException:
            sock.close()
            raise
        return cls(sock, decode, now)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a message."""
        self.current = _Message()
        self.messages.append(self.current)
        self.head_bytes = 0

    def on_status(self, _reason: bytes) -> None:
        """Note the status."""
        assert self.current is not None
        self.current.status = self.parser.get_status_code()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note a header."""
        assert self.current is not None
        self.head_bytes += len(name) + len(value)
        if self.head_bytes > MAX_HEAD_BYTES:
            raise AnswerBroken("the head of the answer is too long")
        self.current.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Note that the head has ended and how the body will."""
        message = self.current
        assert message is not None
        message.status = self.parser.get_status_code()
        message.head_done = True
        names = {name.lower(): value.lower() for name, value in message.headers}
        message.delimited = (
            b"content-length" in names
            or b"chunked" in names.get(b"transfer-encoding", b"")
            or message.status in (NO_CONTENT, NOT_MODIFIED)
            or message.status < MIN_FINAL_STATUS
        )
        if b"close" in names.get(b"connection", b"") or not message.delimited:
            self.reusable = False

    def on_body(self, data: bytes) -> None:
        """Keep a piece of the body."""
        assert self.current is not None
        self.current.chunks.append(data)

    def on_message_complete(self) -> None:
        """Note the end of a message."""
        if self.current is not None:
            self.current.done = True
        self.current = None

    # What a request needs.

    def is_stale(self, keep_alive_fraction: float) -> bool:
        """Tell whether the target has closed the idle connection or soon will."""
        if self.closed or not self.reusable:
            return True
        idle_s = self.now() - self.idle_since
        if self.keep_alive_s is not None and idle_s > self.keep_alive_s * keep_alive_fraction:
            return True
        try:
            data = self.sock._sock.recv(1, std_socket.MSG_PEEK | std_socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        # Either the end of the connection or bytes that nobody asked for.
        return len(data) >= 0

    def send(self, head: bytes, body: bytes, timeout_s: float) -> None:
        """Send a request; what does not fit into the buffer follows beside the reading.

        A target may answer before it has read a long body, and may read no
        more of it until its answer was taken. Writing all before reading would
        then wait for ever.

        Raises
        ------
        OSError
            If the connection is broken.
        """
        self.messages.clear()
        self.sock.settimeout(timeout_s)
        data = head + body
        self.written = True
        sent = self.sock.send(data)
        if sent < len(data):
            self.writer = gevent.spawn(self._write_rest, memoryview(data)[sent:])

    def read_head(self, request_id: str, deadline: float) -> AnswerHead:
        """Wait for the head of the answer to a request.

        Raises
        ------
        TimeoutError
            If it has not come by the deadline.
        OSError
            If the connection broke or what came is no answer.
        """
        while True:
            message = self.messages[0] if self.messages else None
            if message is not None and message.head_done:
                if message.status < MIN_FINAL_STATUS:
                    if message.done:
                        self.messages.pop(0)
                        continue
                else:
                    head = self.decode(message.status, message.headers)
                    if head.request_id in ("", request_id):
                        self.keep_alive_s = head.keep_alive_s
                        return head
                    # The doubled answer of an earlier request; ours follows.
                    self.reusable = False
                    if message.done:
                        self.messages.pop(0)
                        continue
                    message.chunks.clear()
            if not self._receive(deadline):
                raise AnswerBroken("the target closed the channel without an answer")

    def read_body(self, deadline: float) -> bytes:
        """Return the next bytes of the body, or nothing at its end.

        Raises
        ------
        TimeoutError
            If nothing has come by the deadline.
        OSError
            If the body was cut short.
        """
        message = self.messages[0]
        while not message.chunks:
            if message.done:
                return b""
            if not self._receive(deadline):
                if message.delimited:
                    raise AnswerBroken("the body was cut short")
                message.done = True
        data = b"".join(message.chunks)
        message.chunks.clear()
        return data

    def finish(self) -> bool:
        """End a request whose answer was read whole; tells whether to keep the channel."""
        writing = self.writer is not None and not self.writer.ready()
        extra = len(self.messages) > 1
        whole = bool(self.messages) and self.messages[0].done
        self.messages.clear()
        self.writer = None
        if writing or extra or not whole or not self.reusable or self.closed:
            # Part of the body is still due, or something unasked arrived: the
            # next request's bytes or answer would be taken for another's.
            self.close()
            return False
        self.idle_since = self.now()
        self.written = False
        return True

    def close(self) -> None:
        """Close at once, so that the target stops working for this request."""
        if self.closed:
            return
        self.closed = True
        self.reusable = False
        if self.writer is not None:
            self.writer.kill(block=False)
        # It fails if the other side has reset it already; closing is left then.
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.sock.close()

    def _receive(self, deadline: float) -> bool:
        left = deadline - self.now()
        if left <= 0.0:
            raise TimeoutError(errno.ETIMEDOUT, "no answer in time")
        self.sock.settimeout(left)
        data = self.sock.recv(READ_BYTES)
        if not data:
            self.reusable = False
            return False
        self.on_data()
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.reusable = False
            # Rubbish after a whole answer spoils the channel, not the answer.
            if not (self.messages and self.messages[0].done):
                raise AnswerBroken(f"the answer cannot be parsed: {error}") from error
        return True

    def _write_rest(self, rest: memoryview) -> None:
        try:
            self.sock.sendall(rest)
        except OSError:
            # The reading side sees the broken connection and reports it.
            self.reusable = False


def wait_readable(
    connections: Sequence[TargetConnection], timeout_s: float
) -> list[TargetConnection]:
    """Return the channels on which bytes or an end came, none if nothing did in time."""
    poll = select.poll()
    by_number = {connection.sock.fileno(): connection for connection in connections}
    for number in by_number:
        poll.register(number, select.POLLIN)
    found = poll.poll(max(0.0, timeout_s) * MS_PER_S)
    return [by_number[number] for number, _ in found]
