from __future__ import annotations

import socket
import time
import unittest

import gevent.socket

from agaterail.gateway.targetconnection import (
    TCP_USER_TIMEOUT_MS,
    AnswerBroken,
    TargetConnection,
)
from agaterail.platform.requests import decode_answer_head


def answer(request_id, body):
    head = b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nContent-Length: %d\r\n\r\n"
    return head % (request_id, len(body)) + body


class SocketOptionsTest(unittest.TestCase):
    def test_lost_connections_are_noticed_by_one_timeout_only(self):
        """Keep-alive probes gave up by TCP_USER_TIMEOUT, whatever their own number."""
        listener = gevent.socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        self.addCleanup(listener.close)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        found = TargetConnection.connect(address, 1.0, decode_answer_head, time.monotonic)
        self.addCleanup(found.close)
        user_timeout = found.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        self.assertEqual(user_timeout, TCP_USER_TIMEOUT_MS)
        self.assertEqual(found.sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE), 0)


class TargetConnectionTest(unittest.TestCase):
    def setUp(self):
        own, self.target = gevent.socket.socketpair()
        self.addCleanup(own.close)
        self.addCleanup(self.target.close)
        self.connection = TargetConnection(own, decode_answer_head, time.monotonic)
        self.connection.send(b"GET / HTTP/1.1\r\n\r\n", b"", 1.0)

    def test_a_late_answer_to_another_request_is_skipped(self):
        # A duplicate answer to an earlier request arrives first. If its id were not
        # checked, the caller would get another caller's answer.
        self.target.sendall(answer(b"old", b"theirs") + answer(b"new", b"ours"))
        head = self.connection.read_head("new", time.monotonic() + 1.0)
        self.assertEqual(head.request_id, "new")
        self.assertEqual(self.connection.read_body(time.monotonic() + 1.0), b"ours")
        self.assertFalse(self.connection.finish())

    def test_a_truncated_answer_raises_an_error(self):
        self.target.recv(100)  # unread data would turn the close into a reset
        self.target.sendall(answer(b"new", b"ours")[:-2])
        self.target.close()
        self.connection.read_head("new", time.monotonic() + 1.0)
        with self.assertRaises(AnswerBroken):
            while self.connection.read_body(time.monotonic() + 1.0):
                pass


class CutAnswerTest(unittest.TestCase):
    """A second answer to a former request breaks off where the next answer begins."""

    OURS = answer(b"new", b"ours")
    FORMER = (
        b"HTTP/1.1 503 Unavailable\r\nNot-Run: 1\r\nRequest-Id: old\r\nRetry-After: 1\r\n"
        b"Content-Length: 0\r\n\r\n",
        b"HTTP/1.1 503 Unavailable\r\nContent-Length: 9\r\nNot-Run: 1\r\nX: y\r\n"
        b"Request-Id: old\r\n\r\n123456789",
        b"HTTP/1.1 421 Misdirected\r\nInstance-Id: i\r\nRequest-Id: old\r\n"
        b"Content-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: old\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n6\r\ntheirs\r\n0\r\n\r\n",
        b"HTTP/1.1 500 Error\r\nServer-Stamp: s\r\nRequest-Id: old\r\n\r\ntheirs",
    )

    def read(self, data):
        """Return status, refusal and body as read, or None if the answer is broken."""
        own, target = gevent.socket.socketpair()
        connection = TargetConnection(own, decode_answer_head, time.monotonic)
        try:
            connection.send(b"GET / HTTP/1.1\r\n\r\n", b"", 1.0)
            target.recv(100)
            target.sendall(data)
            target.close()
            head = connection.read_head("new", time.monotonic() + 1.0)
            body = b""
            while part := connection.read_body(time.monotonic() + 1.0):
                body += part
            return head.status, head.not_run, body
        except OSError:
            return None
        finally:
            connection.close()

    def test_the_beginning_of_a_second_answer_becomes_part_of_the_next(self):
        """Guards against a refusal of a request that runs, and against mixed answers."""
        for former in self.FORMER:
            for length in range(len(former)):
                with self.subTest(former=former[:16], length=length):
                    found = self.read(former[:length] + self.OURS)
                    self.assertIn(found, (None, (200, False, b"ours")))

    def test_the_beginning_of_a_head_is_taken_for_an_answer(self):
        """Guards against an empty or short 200 of an engine that stopped within its head."""
        for lines in (
            b"Content-Length: 0\r\n",
            b"Content-Length: 4\r\nServer-Stamp: s\r\n",
            b"Transfer-Encoding: chunked\r\n",
            b"Connection: close\r\nContent-Type: text/event-stream\r\n",
            b"",
        ):
            head = b"HTTP/1.1 200 OK\r\nRequest-Id: new\r\n" + lines + b"\r\n"
            for early in (b"", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"):
                for length in range(len(early + head)):
                    with self.subTest(lines=lines, early=bool(early), length=length):
                        self.assertIsNone(self.read((early + head)[:length]))

    def test_a_header_that_comes_twice_is_believed(self):
        """Guards against heads of two answers of which the last line wins."""
        for line in (b"Request-Id: old", b"Not-Run: 1\r\nnot-run: 1", b"Server-Stamp: s"):
            lines = b"Server-Stamp: t\r\n" + line
            with self.subTest(line=line):
                data = self.OURS.replace(b"Request-Id", lines + b"\r\nRequest-Id")
                self.assertIsNone(self.read(data))

    def test_an_invalid_status_is_no_answer(self):
        """Guards against callers that get a status 000, and against waiting for more."""
        for status in (b"000", b"001", b"099", b"600", b"999", b"2000", b"-20", b"2x0"):
            with self.subTest(status=status):
                self.assertIsNone(self.read(self.OURS.replace(b"200", status, 1)))

    def test_a_header_with_an_invalid_name_is_no_header(self):
        """Guards against callers that get a line that is no header."""
        for name in (b"A B", b"A ", b" A", b"A\tB", b"A\x01B", b"A\x00", b"\xe9", b"", b"A/B"):
            for status in (b"200 OK", b"103 Early"):
                first = b"HTTP/1.1 %b\r\n%b: 1\r\n" % (status, name)
                rest = b"" if status == b"200 OK" else b"\r\n" + self.OURS
                data = first + (rest or self.OURS.partition(b"\r\n")[2])
                with self.subTest(name=name, status=status):
                    self.assertIsNone(self.read(data))

    def test_a_trailer_is_a_header(self):
        """Guards against a refusal that stands after the answer's body."""
        chunked = (
            b"HTTP/1.1 200 OK\r\nRequest-Id: new\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"4\r\nours\r\n0\r\nNot-Run: 1\r\n\r\n"
        )
        self.assertEqual(self.read(chunked), (200, False, b"ours"))
