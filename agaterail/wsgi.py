"""WSGI server with limits on the size and duration of requests."""

from __future__ import annotations

import http.client
import socket
import ssl
from typing import TYPE_CHECKING, Any

import gevent
from gevent.pywsgi import Input, WSGIHandler, WSGIServer
from gevent.server import _tcp_listener

from agaterail import logs
from agaterail.framing import CheckedFile, FramingCheck

if TYPE_CHECKING:
    from agaterail.settings import Settings
    from agaterail.util.address import Address

logger = logs.get_logger("server")

BACKLOG = 1024
SOCKET_KEY = "agaterail.socket"
TIMEOUT_RESPONSE = ("408", b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n")
HEAD_TOO_LARGE_RESPONSE = (
    "431",
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\n\r\n",
)


class HeadTooLargeError(ValueError):
    """Request line and headers together exceed the limit."""


class BoundedHandler(WSGIHandler):
    """Handler that limits the size and time of request heads and the idle time.

    Without these limits, a caller that sends endless headers exhausts the memory, and
    one that sends a byte now and then holds a connection forever; a few thousand such
    connections exhaust the file descriptors of the process.
    """

    rfile: Any
    head_bytes = 0
    head_timer: gevent.Timeout | None = None

    def handle_one_request(self) -> Any:
        """Handle the next request of the connection."""
        try:
            return super().handle_one_request()
        except gevent.Timeout as timeout:
            if timeout is not self.head_timer:
                raise
            return TIMEOUT_RESPONSE
        finally:
            self._stop_head_timer()

    def read_requestline(self) -> str:
        """Wait for the next request line; empty if none arrives in time."""
        self.head_timer = None
        with gevent.Timeout(self.server.settings.idle_timeout_s, False):
            if self.rfile.peek(1):
                timeout_s = self.server.settings.header_timeout_s
                self.head_timer = gevent.Timeout.start_new(timeout_s)
        if self.head_timer is None:
            return ""
        line = super().read_requestline()
        self.head_bytes = len(line)
        return line

    def read_request(self, raw_requestline: str) -> bool:
        """Parse the request line and the headers."""
        self.framing = FramingCheck()
        try:
            self.framing.feed(raw_requestline.encode("latin-1"))
            return super().read_request(raw_requestline)
        except http.client.HTTPException as error:  # more headers than the library accepts
            raise HeadTooLargeError(str(error)) from error
        finally:
            self._stop_head_timer()

    def MessageClass(self, file: Any, *arguments: Any) -> Any:  # noqa: N802
        """Parse the headers with a limit on their total size."""
        limit = self.server.settings.max_header_bytes - self.head_bytes
        return super().MessageClass(_BoundedLines(file, limit, self.framing), *arguments)

    def run_application(self) -> None:
        """Answer the request, without reading the rest of a rejected body."""
        try:
            super().run_application()
        finally:
            if self.close_connection:
                self.wsgi_input = Input(self.rfile, 0)

    def _sendall(self, data: bytes) -> None:
        # An event nearly always fits into the socket's buffer, so that one system call
        # suffices; the library's sendall first makes another one for the buffer's size.
        sent = self.socket.send(data)
        if sent < len(data):
            super()._sendall(memoryview(data)[sent:])
        self.response_length += sent

    def _write_with_headers(self, data: bytes) -> None:
        # Sends the head together with the first part of the body. The library uses two
        # calls, which result in two TCP segments.
        self.headers_sent = True
        self.finalize_headers()
        head = [b"HTTP/1.1 " + self.status]
        head += [name + b": " + value for name, value in self.response_headers]
        start = b"\r\n".join(head) + b"\r\n\r\n"
        if data and self.response_use_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._sendall(start + data)

    def log_request(self) -> None:
        """Do nothing, since the filters log requests."""

    def log_error(self, msg: str, *args: object) -> None:
        """Log without the library's excerpt of the request, which may contain API keys."""
        logger.info("Refused a malformed request.", caller=str(self.client_address))

    def get_environ(self) -> dict[str, Any]:
        """Add the caller's socket, so that a disconnect can be detected."""
        file = self.rfile
        if "chunked" in self.headers.get("transfer-encoding", "").lower():
            self.rfile = CheckedFile(file, self.framing)
        try:
            environ = super().get_environ()
        finally:
            self.rfile = file
        environ[SOCKET_KEY] = self.socket
        return environ

    def handle_error(self, kind: Any, error: Any, trace: Any) -> None:
        """Close the connection silently if the caller left or reads too slowly."""
        if issubclass(kind, (gevent.GreenletExit, TimeoutError)):
            self.close_connection = True
            return
        super().handle_error(kind, error, trace)

    def _handle_client_error(self, ex: Exception) -> Any:
        if isinstance(ex, HeadTooLargeError):
            logger.info("Refused a request head.", reason="too large")
            return HEAD_TOO_LARGE_RESPONSE
        if isinstance(ex, OSError):  # the caller disconnected within a request head
            return TIMEOUT_RESPONSE
        return super()._handle_client_error(ex)

    def _stop_head_timer(self) -> None:
        if self.head_timer is not None:
            self.head_timer.close()


class BoundedServer(WSGIServer):
    """Server that gives its handlers access to the settings."""

    handler_class = BoundedHandler

    def __init__(self, address: Address, application: Any, settings: Settings) -> None:
        listener = _tcp_listener(
            (address.host, address.port), backlog=BACKLOG, reuse_addr=True
        )
        # Accepted connections inherit this option. With Nagle's algorithm, an event
        # would wait about 40 ms for the caller's delayed acknowledgment.
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        tls: dict[str, Any] = {}
        if settings.tls_certificate and settings.tls_key:
            tls["ssl_context"] = _tls_context(settings.tls_certificate, settings.tls_key)
        super().__init__(listener, application, log=None, error_log=None, **tls)
        self.settings = settings


class _BoundedLines:
    """File wrapper that validates header lines and limits their total size."""

    def __init__(self, file: Any, limit: int, framing: FramingCheck) -> None:
        self.file = file
        self.remaining_bytes = limit
        self.framing = framing

    def readline(self, limit: int) -> bytes:
        """Return the next line."""
        line = self.file.readline(max(1, min(limit, self.remaining_bytes + 1)))
        self.remaining_bytes -= len(line)
        if self.remaining_bytes < 0:
            raise HeadTooLargeError("request head exceeds max_header_bytes")
        self.framing.feed(line)
        return line


def _tls_context(certificate: str, key: str) -> ssl.SSLContext:
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(certificate, key)
    return context
