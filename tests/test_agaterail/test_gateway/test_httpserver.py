from __future__ import annotations

import socket
import unittest

import gevent
import gevent.event

from agaterail.gateway.desired import CallerLimits
from agaterail.gateway.httpserver import HttpServer
from agaterail.timers import GeventTimerService
from agaterail.util.address import Address

LIMITS = CallerLimits(
    max_header_bytes=4096, max_body_bytes=20000, header_timeout_s=0.3, idle_timeout_s=0.6
)
HEAD = b"POST /a/b?q=%2F HTTP/1.1\r\nHost: h\r\n"
# In each, the end of the request or the meaning of a part is ambiguous.
MALFORMED = {
    "length beside chunks": HEAD
    + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "two lengths": HEAD + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
    "two equal lengths": HEAD + b"Content-Length: 4\r\nContent-Length: 4\r\n\r\nabcd",
    "a signed length": HEAD + b"Content-Length: +3\r\n\r\nabc",
    "a list of lengths": HEAD + b"Content-Length: 3, 3\r\n\r\nabc",
    "a length in hexadecimal": HEAD + b"Content-Length: 0x3\r\n\r\nabc",
    "a space before the colon": HEAD + b"Content-Length : 3\r\n\r\nabc",
    "a bare line feed": b"POST /a HTTP/1.1\nHost: h\n\n",
    "a line feed in a chunk extension": HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n3;a\nb\r\nabc\r\n0\r\n\r\n",
    "a bad chunk size": HEAD + b"Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
    "a negative chunk size": HEAD + b"Transfer-Encoding: chunked\r\n\r\n-1\r\n",
    "chunked not last": HEAD + b"Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
    "a folded header": HEAD + b"X: a\r\n b\r\nContent-Length: 0\r\n\r\n",
    "a header without a name": HEAD + b": a\r\n\r\n",
    "no path": b"GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n",
    "a null byte": HEAD + b"X: a\x00b\r\n\r\n",
}


class HttpServerTest(unittest.TestCase):
    def setUp(self):
        self.seen = []
        self.pause_s = 0.0
        self.http_server = HttpServer(
            Address("127.0.0.1", 0), self.handle, lambda: LIMITS, GeventTimerService().now
        )
        self.http_server.start()
        self.port = self.http_server.server.server_port
        self.addCleanup(self.http_server.server.stop, timeout=0)

    def handle(self, inbound, caller):
        self.seen.append(inbound)
        gevent.sleep(self.pause_s)
        caller.send_answer(200, [], inbound.body)

    def connect(self):
        sock = socket.create_connection(("127.0.0.1", self.port))
        sock.settimeout(2.0)
        self.addCleanup(sock.close)
        return sock

    def exchange(self, data):
        sock = self.connect()
        sock.sendall(data)
        return self.read_all(sock)

    def read_all(self, sock):
        answer = b""
        try:
            while part := sock.recv(65536):
                answer += part
        except ConnectionResetError:
            pass
        return answer

    def test_a_malformed_request_is_refused_and_not_handled(self):
        # Request smuggling: a caller hides a second request in what the router parses
        # as a body, or the other way round. It must never reach a target.
        smuggled = b"GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
        for name, data in MALFORMED.items():
            with self.subTest(name):
                self.seen.clear()
                answer = self.exchange(data + smuggled)
                self.assertEqual([item.target for item in self.seen], [])
                self.assertIn(answer.split(b" ")[1:2], ([b"400"], [b"431"]))

    def test_target_headers_and_body_are_kept_byte_by_byte(self):
        data = b"POST /a%2Fb/../c?x=%20 HTTP/1.1\r\nHost: h\r\nX-Y: \xe4 1\r\n"
        self.exchange(data + b"Connection: close\r\nContent-Length: 3\r\n\r\n\r\nz")
        self.assertEqual(self.seen[0].target, b"/a%2Fb/../c?x=%20")
        self.assertIn((b"X-Y", b"\xe4 1"), self.seen[0].headers)
        self.assertEqual(self.seen[0].body, b"\r\nz")

    def test_chunks_are_joined(self):
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
        body = b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        self.assertTrue(self.exchange(head + body).endswith(b"abcde"))

    def test_pipelined_requests_are_answered_in_order(self):
        one = b"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n1"
        two = b"POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nConnection: close\r\n\r\n2"
        answer = self.exchange(one + two)
        self.assertEqual([item.target for item in self.seen], [b"/1", b"/2"])
        self.assertLess(answer.index(b"\r\n\r\n1"), answer.index(b"\r\n\r\n2"))

    def test_too_large_heads_and_bodies_are_refused(self):
        self.assertIn(b" 431 ", self.exchange(HEAD + b"X: " + b"x" * 5000))
        body = HEAD + b"Content-Length: 30000\r\n\r\n" + b"x" * 30000
        self.assertIn(b" 413 ", self.exchange(body))

    def test_a_slow_request_head_times_out(self):
        self.assertIn(b" 408 ", self.exchange(HEAD))

    def test_an_idle_connection_is_closed_without_an_answer(self):
        self.assertEqual(self.exchange(b""), b"")

    def test_a_request_in_the_socket_buffer_is_answered_when_idle_connections_close(self):
        # On a throttled host, a request is still in the socket buffer when the stop
        # closes idle connections. Closing the connection without reading it lost
        # requests that callers had already sent during a rollout.
        sock = self.connect()
        gevent.sleep(0.05)
        sock.sendall(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        self.http_server.begin_stop()
        self.http_server.close_idle()
        self.assertIn(b" 200 ", self.read_all(sock))

    def test_a_stop_closes_idle_connections_at_once(self):
        sock = self.connect()
        gevent.sleep(0.05)
        self.http_server.begin_stop()
        self.http_server.close_idle()
        sock.settimeout(0.3)
        self.assertEqual(self.read_all(sock), b"")

    def test_a_stop_lets_a_request_in_flight_finish(self):
        self.pause_s = 0.2
        sock = self.connect()
        sock.sendall(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        gevent.sleep(0.05)
        self.http_server.begin_stop()
        self.http_server.close_idle()
        answer = self.read_all(sock)
        self.assertIn(b" 200 ", answer)
        self.assertIn(b"Connection: close", answer)

    def test_no_request_follows_a_stream_that_started_before_the_stop(self):
        # A caller reuses the connection of a stream that ended seconds after SIGTERM.
        # The accepted request was cut when the process exited. If the connection is
        # closed without reading the request, the caller retries it elsewhere.
        def handle(inbound, caller):
            self.seen.append(inbound)
            caller.start_stream(200, [], b"id: 1\n\n")
            gevent.sleep(0.2)
            caller.end_stream()

        self.http_server.handle = handle
        sock = self.connect()
        sock.sendall(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        gevent.sleep(0.1)
        self.http_server.begin_stop()
        answer = self.read_all(sock)
        self.assertTrue(answer.endswith(b"0\r\n\r\n"))
        self.assertNotIn(b"Connection: close", answer)

    def test_heads_of_large_answers_go_before_their_bodies(self):
        """Clients gave up on an answer queued on the link and asked another peer."""
        sent, due = [], gevent.event.Event()

        def handle(_inbound, caller):
            due.wait()
            send = caller._send
            caller._send = lambda data: (sent.append(data), send(data))
            caller.send_large_answer(200, [], b"x" * 9000)

        self.http_server.handle = handle
        socks = [self.connect() for _ in range(3)]
        for sock in socks:
            sock.sendall(b"GET /news HTTP/1.1\r\nHost: h\r\n\r\n")
        gevent.sleep(0.1)
        due.set()
        for sock in socks:
            data = b""
            while len(data) < 9000:
                data += sock.recv(65536)
            self.assertTrue(data.endswith(b"\r\n\r\n" + b"x" * 9000))
        self.assertEqual([data[:4] for data in sent], [b"HTTP"] * 3 + [b"xxxx"] * 3)

    def test_a_failed_write_to_the_caller_raises_caller_left(self):
        # The caller's connection fails in the middle of a stream. The write error must
        # not be taken for a failed target, or the stream would run again although the
        # caller has left.
        raised = []

        def handle(_inbound, caller):
            caller.start_stream(200, [], b"id: 1\n\n")
            caller.sock.shutdown(socket.SHUT_WR)
            try:
                caller.send_chunk(b"id: 2\n\n")
            except BaseException as error:
                raised.append(type(error).__name__)
                raise

        self.http_server.handle = handle
        self.exchange(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertEqual(raised, ["CallerLeft"])

    def test_handling_ends_when_the_caller_leaves(self):
        ended = []

        def handle(_inbound, _caller):
            try:
                gevent.sleep(5.0)
            except BaseException as error:
                ended.append(type(error).__name__)
                raise

        self.http_server.handle = handle
        sock = self.connect()
        sock.sendall(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        gevent.sleep(0.05)
        sock.close()
        gevent.sleep(0.1)
        self.assertEqual(ended, ["CallerLeft"])
