from __future__ import annotations

import contextlib
import socket
import ssl
import unittest

import gevent

from agaterail import errors
from tests.support import LocalDaemon
from tests.test_agaterail.test_gateway.test_httpserver import MALFORMED
from tests.tls import make_tls_files

POST = b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k\r\n"
SOCKET_TIMEOUT_S = 5.0


class RequestLimitsTest(unittest.TestCase):
    def setUp(self):
        self.daemon = LocalDaemon(
            start_controllers=False,
            max_header_bytes=4096,
            max_body_bytes=4096,
            header_timeout_s=0.1,
            body_timeout_s=0.1,
            idle_timeout_s=0.1,
        )

    def tearDown(self):
        self.daemon.stop()

    def connect(self):
        host, _, port = self.daemon.address.partition(":")
        return socket.create_connection((host, int(port)), SOCKET_TIMEOUT_S)

    def answer_to(self, *parts):
        # Sends as much as the server accepts and returns the answer until the
        # connection closes.
        with self.connect() as sock:
            with contextlib.suppress(ConnectionError):
                for part in parts:
                    sock.sendall(part)
            answer = b""
            with contextlib.suppress(ConnectionError):
                while data := sock.recv(65536):
                    answer += data
        return answer

    def assert_serves(self):
        answer = self.answer_to(b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n")
        self.assertIn(b"200 OK", answer)

    def test_ambiguous_request_framing_is_refused(self):
        # Request smuggling: a caller hides a second request in bytes that only some
        # parsers interpret as a body. It must get a single error, and the connection
        # must close.
        smuggled = b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"
        for name, data in MALFORMED.items():
            if name == "no path":
                continue  # absolute form, which this server accepts as a path
            with self.subTest(name):
                answer = self.answer_to(data + smuggled)
                self.assertIn(answer.split(b" ")[1:2], ([b"400"], [b"431"]))
                self.assertEqual(answer.count(b"HTTP/1.1 "), 1)
        self.assert_serves()

    def test_a_chunked_body_is_joined(self):
        head = POST + b"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
        answer = self.answer_to(head + b"2\r\n{}\r\n0\r\n\r\n")
        self.assertNotIn(b" 400 ", answer.partition(b"\r\n")[0])

    def test_too_many_headers_are_refused(self):
        # A caller sends endless headers. The router must not buffer them: it answers
        # when the limit is exceeded, and closes the connection.
        headers = [b"X-%d: y\r\n" % number for number in range(1000)]
        self.assertIn(b" 431 ", self.answer_to(b"GET / HTTP/1.1\r\n", *headers))
        many_headers = [b"A:\r\n"] * 101
        self.assertIn(b" 431 ", self.answer_to(b"GET / HTTP/1.1\r\n", *many_headers, b"\r\n"))
        self.assert_serves()

    def test_an_unterminated_header_line_is_refused(self):
        answer = self.answer_to(b"GET / HTTP/1.1\r\nX: ", b"y" * 100_000)
        self.assertIn(b" 431 ", answer)
        self.assert_serves()

    def test_slow_headers_time_out(self):
        # A caller sends a byte now and then (Slowloris). Each byte arrives in time but
        # the head never completes; the connection must not stay open forever.
        with self.connect() as sock:
            sock.sendall(b"GET / HTTP/1.1\r\nX: ")
            sender = gevent.spawn(self.send_slowly, sock)
            self.assertIn(b" 408 ", sock.recv(4096))
            sender.kill()

    def test_an_idle_connection_is_closed(self):
        self.assertEqual(self.answer_to(), b"")

    def test_a_slow_body_is_refused_as_not_run(self):
        with self.connect() as sock:
            sock.sendall(POST + b"Content-Length: 4000\r\n\r\n")
            sender = gevent.spawn(self.send_slowly, sock)
            answer = sock.recv(4096)
            sender.kill()
        self.assertIn(b" 400 ", answer)
        self.assertIn(b"not_run", answer)

    def test_a_body_that_is_too_large_is_not_read(self):
        status = errors.ANSWERS[errors.ErrorKind.BODY_TOO_LARGE].status
        answer = self.answer_to(POST + b"Content-Length: 1000000000000\r\n\r\n")
        self.assertIn(b" %d " % status, answer)
        chunk = b"1000\r\n" + b"x" * 0x1000 + b"\r\n"
        answer = self.answer_to(POST + b"Transfer-Encoding: chunked\r\n\r\n", chunk, chunk)
        self.assertIn(b" %d " % status, answer)

    def test_a_malformed_head_is_refused(self):
        for head in (b"nonsense\r\n\r\n", b"GET / HTTP/9.9\r\n\r\n", b"\xff\xfe\r\n\r\n"):
            self.assertIn(b" 400 ", self.answer_to(head))
        answer = self.answer_to(b"GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n")
        self.assertIn(b" 400 ", answer)
        self.assert_serves()

    def send_slowly(self, sock):
        with contextlib.suppress(OSError):
            while True:
                sock.sendall(b"y")
                gevent.sleep(0.01)


class TlsTest(unittest.TestCase):
    def test_callers_are_served_over_tls(self):
        files = make_tls_files(self, ["127.0.0.1"])
        daemon = LocalDaemon(
            start_controllers=False, tls_certificate=files.certificate, tls_key=files.key
        )
        self.addCleanup(daemon.stop)
        context = ssl.create_default_context(cafile=files.certificate)
        host, _, port = daemon.address.partition(":")
        with (
            socket.create_connection((host, int(port)), SOCKET_TIMEOUT_S) as plain,
            context.wrap_socket(plain, server_hostname=host) as sock,
        ):
            sock.sendall(b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n")
            self.assertIn(b"200 OK", sock.recv(4096))
