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
HANG_SECONDS = 5.0


class BoundsTest(unittest.TestCase):
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
        return socket.create_connection((host, int(port)), HANG_SECONDS)

    def answer_to(self, *parts):
        # Sends what the server takes and returns the answer up to the close.
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

    def test_a_request_whose_end_is_unclear_is_refused(self):
        # A caller hides a second request in what one parser takes for a body and
        # another does not. It gets one refusal, and the connection ends.
        smuggled = b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"
        for name, data in MALFORMED.items():
            if name == "no path":
                continue  # a proxy's form, which this server reads as its path
            with self.subTest(name):
                answer = self.answer_to(data + smuggled)
                self.assertIn(answer.split(b" ")[1:2], ([b"400"], [b"431"]))
                self.assertEqual(answer.count(b"HTTP/1.1 "), 1)
        self.assert_serves()

    def test_chunks_are_joined(self):
        head = POST + b"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
        answer = self.answer_to(head + b"2\r\n{}\r\n0\r\n\r\n")
        self.assertNotIn(b" 400 ", answer.partition(b"\r\n")[0])

    def test_a_flood_of_headers_is_cut_off(self):
        # A caller sends headers without an end. The router must not collect
        # them: it answers once the bound is passed and closes.
        flood = [b"X-%d: y\r\n" % number for number in range(1000)]
        self.assertIn(b" 431 ", self.answer_to(b"GET / HTTP/1.1\r\n", *flood))
        small = [b"A:\r\n"] * 101
        self.assertIn(b" 431 ", self.answer_to(b"GET / HTTP/1.1\r\n", *small, b"\r\n"))
        self.assert_serves()

    def test_a_header_line_without_end_is_cut_off(self):
        answer = self.answer_to(b"GET / HTTP/1.1\r\nX: ", b"y" * 100_000)
        self.assertIn(b" 431 ", answer)
        self.assert_serves()

    def test_headers_that_trickle_in_are_given_up(self):
        # A caller sends a byte now and then. Each one arrives in time, the
        # whole head never does; the connection must not be held for good.
        with self.connect() as sock:
            sock.sendall(b"GET / HTTP/1.1\r\nX: ")
            sender = gevent.spawn(self.trickle, sock)
            self.assertIn(b" 408 ", sock.recv(4096))
            sender.kill()

    def test_an_idle_connection_is_closed(self):
        self.assertEqual(self.answer_to(), b"")

    def test_a_body_that_trickles_in_is_refused_as_not_run(self):
        with self.connect() as sock:
            sock.sendall(POST + b"Content-Length: 4000\r\n\r\n")
            sender = gevent.spawn(self.trickle, sock)
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

    def trickle(self, sock):
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
            socket.create_connection((host, int(port)), HANG_SECONDS) as plain,
            context.wrap_socket(plain, server_hostname=host) as sock,
        ):
            sock.sendall(b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n")
            self.assertIn(b"200 OK", sock.recv(4096))
