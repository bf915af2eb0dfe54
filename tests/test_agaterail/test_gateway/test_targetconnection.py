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
