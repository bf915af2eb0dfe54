from __future__ import annotations

import time
import unittest

import gevent
from gevent.server import StreamServer
from returns.result import Failure, Success

from agaterail.bytelimits.answers import BOUNDS, AnswerPart, exceeded_bounds
from agaterail.util.address import Address
from agaterail.util.httpconn import READ_BYTES, HttpConnections, Response
from agaterail.util.units import BYTES_PER_MB
from tests.endless_answers import ENDLESS, EndlessServers

# Parts that only answers of targets have.
TARGET_PARTS = (AnswerPart.SKIPPED, AnswerPart.EVENT, AnswerPart.NO_EVENT)
BODY_PARTS = (AnswerPart.BODY, AnswerPart.SKIPPED_BODY)
MAX_BODY_BYTES = 2 * BYTES_PER_MB


class EndlessAnswersTest(unittest.TestCase):
    """Answers of the store, of peers and of engines to control calls."""

    @classmethod
    def setUpClass(cls):
        cls.servers = EndlessServers()
        cls.addClassCleanup(cls.servers.stop)

    def setUp(self):
        self.sizes, self.feed, self.port = [], Response.feed, 0
        exceeded_bounds.counts.clear()

        def feed(response, data):
            # Other connections of this process do not count.
            if response._sock.getpeername()[1] == self.port:
                self.sizes.append(len(data))
            self.feed(response, data)

        Response.feed = feed
        self.addCleanup(setattr, Response, "feed", self.feed)

    def test_a_call_ends_at_the_bound(self):
        """A store's endless answer was read for as long as it kept coming."""
        for name, answer in ENDLESS.items():
            if answer.part in TARGET_PARTS:
                continue
            with self.subTest(name):
                self.sizes.clear()
                exceeded_bounds.counts.clear()
                address = Address.parse(self.servers.address(name))
                self.port = address.port
                connections = HttpConnections(address, max_body_bytes=MAX_BODY_BYTES)
                start = time.monotonic()
                called = connections.call("GET", "/", timeout_s=5.0)
                self.assertIsInstance(called, Failure)
                self.assertFalse(called.failure().timed_out)
                self.assertLess(time.monotonic() - start, 1.0)
                bound = MAX_BODY_BYTES
                if answer.part not in BODY_PARTS:
                    bound = BOUNDS[AnswerPart.HEAD].limit
                self.assertGreater(sum(self.sizes), 0)
                self.assertLessEqual(sum(self.sizes), bound * 1.1 + 2 * READ_BYTES)
                self.assertEqual(sum(exceeded_bounds.counts.values()), 1)
                self.assertEqual(
                    connections.pool.size - connections.pool._semaphore.counter, 0
                )


class ProperAnswersTest(unittest.TestCase):
    def test_a_body_of_megabytes_in_chunks_is_read_whole(self):
        def serve(sock, _address):
            sock.recv(65536)
            sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
            sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for _ in range(3000):
                sock.sendall(b"400\r\n" + b"x" * 1024 + b"\r\n")
            sock.sendall(b"0\r\n\r\n")

        server = StreamServer(("127.0.0.1", 0), serve)
        server.start()
        self.addCleanup(server.stop)
        connections = HttpConnections(Address("127.0.0.1", server.server_port))
        called = connections.call("GET", "/")
        self.assertIsInstance(called, Success)
        self.assertEqual(len(called.unwrap()[1]), 3000 * 1024)

    def test_others_run_while_a_fast_sender_is_read(self):
        """A sender that is always ahead of the reader kept all others from running."""
        servers = EndlessServers()
        self.addCleanup(servers.stop)
        address = Address.parse(servers.address("body with length"))
        reader = gevent.spawn(HttpConnections(address).call, "GET", "/")
        turns = 0
        while not reader.ready():
            gevent.sleep(0.0)
            turns += 1
        self.assertGreater(turns, 100)
