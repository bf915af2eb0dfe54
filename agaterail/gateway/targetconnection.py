"""A keep-alive connection to a target."""

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

from agaterail.bytelimits.answers import (
    AnswerBoundExceeded,
    AnswerMeter,
    AnswerPart,
    check_bound,
)
from agaterail.util.answerheads import MalformedHead, check_head
from agaterail.util.callbacks import do_nothing
from agaterail.util.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from agaterail.gateway.inbound import AnswerHead

READ_BYTES = 16 * 1024
MIN_FINAL_STATUS = 200
NO_CONTENT = 204
NOT_MODIFIED = 304
# The connection fails if sent bytes stay unacknowledged for this long. A host without
# power or behind a partition sends nothing, so a write to it would hang for minutes.
TCP_USER_TIMEOUT_MS = 3000
# SO_LINGER value that makes close send a reset, so the target stops at once. After an
# orderly close it may keep working on an answer that fits into its send buffer.
LINGER_RESET = struct.pack("ii", 1, 0)


class AnswerBroken(ConnectionError):  # noqa: N818
    """The target's data is not a complete, valid answer to the request."""


@attrs.define
class _Message:
    """An answer as parsed so far."""

    status: int = 0
    reason: bytes = b""
    headers: list[tuple[bytes, bytes]] = attrs.field(factory=list)
    head_done: bool = False
    done: bool = False
    delimited: bool = False
    is_skipped: bool = False
    chunks: list[bytes] = attrs.field(factory=list)

    @property
    def is_complete_answer(self) -> bool:
        """Return whether this is a whole answer, also one to a former request."""
        return self.done and self.status >= MIN_FINAL_STATUS


class TargetConnection:
    """Connection to one target, with at most one request in flight.

    An answer with another request's id is a late or duplicate one and is skipped. A
    connection that received any unsolicited data is not reused.

    Attributes
    ----------
    written
        Whether a byte of the current request may have reached the target.
    reusable
        Whether the connection may carry another request.
    on_data
        Called whenever data arrives.
    opened_at
        Time at which the connection was opened.
    waiting_since
        Time since which data is awaited; None if none is. A reader that is busy elsewhere,
        with a slow caller for instance, has not begun to wait.
    waited_s
        Seconds for which the latest data was awaited.
    ended_early
        Whether the target closed the idle connection before it was due.
    had_unnamed_answer
        Whether an answer came without a request id. A late copy of it cannot be told from
        the answer to the request that is under way then.
    has_extra_data
        Whether data after the end of an answer kept the connection from being reused.
    meter
        Checks the bounds of what arrives.
    write_error
        Why the current request could not be written whole; None if it was, or may still be.
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
        self.ended_early = False
        self.had_unnamed_answer = False
        self.opened_at = self.idle_since = now()
        self.waiting_since: float | None = None
        self.waited_s = 0.0
        self.keep_alive_s: float | None = None
        self.writer: gevent.Greenlet | None = None
        self.write_error: OSError | None = None
        self.has_extra_data = False
        self.head_bytes = 0
        self.meter = AnswerMeter()

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
            If the connection is not established within the timeout.
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

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Start an answer."""
        self.current = _Message()
        self.messages.append(self.current)
        self.head_bytes = 0
        self.meter.begin_answer()

    def on_status(self, reason: bytes) -> None:
        """Record the status code, and the next part of the text after it."""
        assert self.current is not None
        self.current.status = self.parser.get_status_code()
        self.current.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header; a trailer is only counted."""
        assert self.current is not None
        self.head_bytes += len(name) + len(value)
        check_bound(AnswerPart.HEAD, self.head_bytes)
        self.meter.add_header()
        if not self.current.head_done:
            self.current.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Record the end of the head and how the body is delimited."""
        message = self.current
        assert message is not None
        message.status = self.parser.get_status_code()
        check_head(message.status, message.reason, message.headers)
        message.head_done = True
        if message.status < MIN_FINAL_STATUS:
            self.meter.add_informational()
        else:
            self.meter.has_head = True
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
        """Buffer a part of the body."""
        assert self.current is not None
        self.current.chunks.append(data)
        self.meter.body_bytes += len(data)

    def on_message_complete(self) -> None:
        """Record the end of the answer."""
        if self.current is not None:
            self.current.done = True
        self.current = None

    # Sending a request and reading its answer.

    def is_stale(self, keep_alive_fraction: float) -> bool:
        """Return whether the target has closed the idle connection or is about to."""
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
            data = b""
        # Readable means that the target closed the connection or sent unsolicited data.
        self.ended_early = not data
        return True

    def send(self, head: bytes, body: bytes, timeout_s: float) -> None:
        """Send a request; what exceeds the send buffer is written in the background.

        A target may answer before it has read a long body, and may not read on until
        its answer is read. Writing everything before reading would then deadlock.

        Raises
        ------
        OSError
            If the connection is broken.
        """
        self.messages.clear()
        self.write_error = None
        self.meter.begin_request()
        self.sock.settimeout(timeout_s)
        self.written = True
        # Not joined: a copy of a large body would take as much memory again.
        sent = self.sock.sendmsg([head, body])
        rest = [memoryview(head)[sent:], memoryview(body)[max(0, sent - len(head)) :]]
        if any(rest):
            self.writer = gevent.spawn(self._write_rest, rest)

    def read_head(self, request_id: str, deadline: float) -> AnswerHead:
        """Return the head of the answer to a request, waiting for it if necessary.

        Raises
        ------
        TimeoutError
            If the head does not arrive by the deadline.
        OSError
            If the connection fails or the data is not a valid answer.
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
                        self.had_unnamed_answer |= not head.request_id
                        self.keep_alive_s = head.keep_alive_s
                        return head
                    # A duplicate answer to an earlier request; ours follows.
                    self.reusable = False
                    self._skip(message)
                    if message.done:
                        self.messages.pop(0)
                        continue
            if not self._receive(deadline):
                raise AnswerBroken("the target closed the connection without an answer")

    def read_body(self, deadline: float) -> bytes:
        """Return the next bytes of the body, or empty bytes at its end.

        Raises
        ------
        TimeoutError
            If no data arrives by the deadline.
        OSError
            If the body is truncated.
        """
        message = self.messages[0]
        while not message.chunks:
            if message.done:
                return b""
            if not self._receive(deadline):
                self._check_end(message)
                message.done = True
        data = b"".join(message.chunks)
        message.chunks.clear()
        return data

    @property
    def ended_by_close(self) -> bool:
        """Return whether only the end of the connection ended the answer."""
        return bool(self.messages) and not self.messages[0].delimited

    def finish(self) -> bool:
        """End a completely answered request; return whether to keep the connection."""
        is_writing = self._is_writing()
        self.has_extra_data = len(self.messages) > 1 or self._has_unread_data()
        complete = bool(self.messages) and self.messages[0].done
        self.messages.clear()
        self.writer = None
        is_dirty = is_writing or self.has_extra_data or not complete
        if is_dirty or not self.reusable or self.closed:
            # Part of the request or answer is outstanding, or unsolicited data arrived.
            # On reuse, the next request or answer would be mixed up with it.
            self.close()
            return False
        self.idle_since = self.now()
        self.waiting_since = None
        self.written = False
        return True

    def close(self) -> None:
        """Close at once, so that the target stops working for this request."""
        if self.closed:
            return
        self.closed = True
        self.reusable = False
        self.messages.clear()
        if self.writer is not None:
            self.writer.kill(block=False)
        # Fails if the peer has already reset the connection; it is still closed below.
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.sock.close()

    def _receive(self, deadline: float) -> bool:
        now = self.now()
        left = deadline - now
        if left <= 0.0:
            raise TimeoutError(errno.ETIMEDOUT, "timed out waiting for the answer")
        if self.waiting_since is None:
            self.waiting_since = now
        self.sock.settimeout(left)
        data = self.sock.recv(READ_BYTES)
        self.waited_s = self.now() - self.waiting_since
        self.waiting_since = None
        if not data:
            self.reusable = False
            return False
        self.on_data()
        try:
            self.parser.feed_data(data)
            self.meter.end_read(len(data), self._part())
        except (
            AnswerBoundExceeded,
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self.reusable = False
            # Garbage after a complete answer makes only the connection unusable.
            if not (self.messages and self.messages[0].is_complete_answer):
                raise _answer_error(error) from error
        pause_s = self.meter.turn_pause_s(len(data))
        if pause_s is not None:
            gevent.sleep(pause_s)
        return True

    def _check_end(self, message: _Message) -> None:
        """Check that an answer may end with its connection.

        The kernel reports a reset once. If the writer has learned of it, the reader sees
        only an end of file. A target that closes the connection before it has read the
        whole request resets it too, and the report may come after the end of file.

        Raises
        ------
        AnswerBroken
            If the answer is truncated, or the connection may have been reset.
        """
        if message.delimited:
            raise AnswerBroken("the body is truncated")
        if self.write_error is not None:
            raise AnswerBroken(f"the connection was reset: {self.write_error}")
        if self._is_writing():
            raise AnswerBroken("the connection ended before the whole request was written")

    def _is_writing(self) -> bool:
        return self.writer is not None and not self.writer.ready()

    def _part(self) -> AnswerPart:
        """Return what bytes belong to that are no body."""
        message = self.current
        return (
            AnswerPart.HEAD if message is None or not message.head_done else AnswerPart.FRAMING
        )

    def _skip(self, message: _Message) -> None:
        """Drop what has arrived of an answer to a former request."""
        if not message.is_skipped:
            message.is_skipped = True
            self.meter.add_skipped()
        self.meter.add_skipped_body(sum(map(len, message.chunks)))
        message.chunks.clear()

    def _has_unread_data(self) -> bool:
        try:
            return bool(self.sock._sock.recv(1, std_socket.MSG_PEEK | std_socket.MSG_DONTWAIT))
        except OSError:
            return False

    def _write_rest(self, rest: Sequence[memoryview]) -> None:
        try:
            for part in rest:
                self.sock.sendall(part)
        except OSError as error:
            self.write_error = error
            self.reusable = False


def _answer_error(error: Exception) -> OSError:
    """Return the error to raise for data that cannot be parsed or exceeds a bound."""
    cause = error.__context__ if isinstance(error, httptools.HttpParserError) else error
    if isinstance(cause, AnswerBoundExceeded | MalformedHead):
        return cause
    return AnswerBroken(f"the answer cannot be parsed: {error}")


def wait_readable(
    connections: Sequence[TargetConnection], timeout_s: float
) -> list[TargetConnection]:
    """Return the connections with data or an end of file; empty on timeout."""
    poll = select.poll()
    by_number = {connection.sock.fileno(): connection for connection in connections}
    for number in by_number:
        poll.register(number, select.POLLIN)
    found = poll.poll(max(0.0, timeout_s) * MS_PER_S)
    return [by_number[number] for number, _ in found]
