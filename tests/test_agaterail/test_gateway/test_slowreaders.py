from __future__ import annotations

import contextlib
import gc
import time
import unittest
import weakref
from unittest import mock

import attrs
import gevent
from gevent import socket

from agaterail.bytelimits.account import Marks
from agaterail.gateway import httpserver
from agaterail.gateway.placement import Choice
from agaterail.gateway.retrystate import AttemptOutcome
from agaterail.gateway.targets import Target
from agaterail.util.units import BYTES_PER_MB
from tests.endless_answers import resident_bytes
from tests.gateway_fleet import Fleet, make_desired

# Small buffers of the kernel, so that a caller that does not read is soon behind.
BUFFER_BYTES = 4096
EVENT_TEXT_BYTES = 20_000
MAX_BEHIND_S = 0.4
# The objectives of the route for the first event and for each next one.
ON_TIME_S = 0.3


class ReadersTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.stop)
        self.daemon = self.fleet.daemons[0]
        listener = self.daemon.caller_server.server.socket
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
        for target in self.fleet.targets.values():
            target.event_padding = EVENT_TEXT_BYTES
            target.events = 60
            target.answer_repeats = 500_000
        self.set_limit("MAX_BEHIND_S", MAX_BEHIND_S)

    def set_limit(self, name, value):
        patch = mock.patch.object(httpserver, name, value)
        patch.start()
        self.addCleanup(patch.stop)

    def open(self, path="/resumed/x", request_id="slow", **fields):
        """Send a request over a connection with a small receive buffer."""
        listen = self.daemon.settings.caller_listen
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        sock.connect((listen.host, listen.port))
        fields.setdefault("headers", ["Connection: close"])
        sock.sendall(self.fleet.request(path, request_id, **fields))
        return sock

    def read_rest(self, sock):
        data = b""
        with contextlib.suppress(OSError):
            while part := sock.recv(65536):
                data += part
        return data

    def outcomes(self, name):
        samples = self.daemon.metrics.requests.collect()[0].samples
        return sum(
            sample.value
            for sample in samples
            if sample.labels["outcome"] == name and sample.name.endswith("_total")
        )

    def attempts(self, outcome):
        return self.daemon.metrics.attempts.labels(outcome.value)._value.get()


class SlowReadersTest(ReadersTest):
    def test_a_slow_reader_is_no_failure_of_its_engine(self):
        """The engine was read at the caller's pace, cut the stream off and was blamed."""
        sock = self.open(stream=True, limit_ms=2000)
        self.fleet.wait(lambda: self.outcomes(httpserver.SLOW_READER) == 1)
        self.assertEqual(len(self.fleet.runs()), 1)
        for outcome in AttemptOutcome:
            self.assertEqual(self.attempts(outcome), 0)
        self.assertFalse(self.read_rest(sock).endswith(b"0\r\n\r\n"))
        for target in self.daemon.registry.targets.values():
            self.assertEqual((target.failures, target.in_flight), (0, 0))
        self.assertEqual(self.daemon.account.total, 0)

    def test_the_engine_is_read_at_its_own_pace(self):
        """An engine cuts off a stream that is not read for some seconds."""
        self.set_limit("MAX_BEHIND_S", 5.0)
        self.open(stream=True)
        self.fleet.wait(lambda: self.fleet.runs() and self.fleet.runs()[0].outcome != "open")
        self.assertEqual(self.fleet.runs()[0].outcome, "whole")

    def test_the_engine_of_a_slow_reader_is_cancelled_at_once(self):
        for target in self.fleet.targets.values():
            target.events = 10_000
        self.set_limit("MAX_UNSENT_BYTES", 500_000)
        self.open(stream=True, limit_ms=5000)
        self.fleet.wait(lambda: self.outcomes(httpserver.SLOW_READER) == 1)
        ended_at = time.monotonic()
        engines = [target for target in self.fleet.targets.values() if target.runs]
        self.assertEqual(len(engines), 1)
        self.fleet.wait(lambda: not engines[0].sockets)
        self.assertLess(time.monotonic() - ended_at, 0.4)

    def test_a_caller_that_reads_late_gets_its_stream_whole(self):
        sock = self.open(stream=True)
        gevent.sleep(0.2)
        data = self.read_rest(sock)
        self.assertTrue(data.endswith(b"0\r\n\r\n"))
        self.assertEqual(data.count(b"\ndata: "), 60)

    def test_a_caller_that_reads_late_gets_its_answer_whole(self):
        for close in (True, False):
            with self.subTest(close=close):
                headers = ["Connection: close"] if close else []
                sock = self.open("/safe/x", "r1", headers=headers)
                gevent.sleep(0.3)
                data = b""
                while len(data.partition(b"\r\n\r\n")[2]) < 500_000 * len("p-0 r1"):
                    data += sock.recv(65536)
                self.assertEqual(close, sock.recv(1) == b"" if close else False)
                self.fleet.wait(lambda: self.daemon.account.total == 0)

    def test_a_caller_that_reads_nothing_is_ended(self):
        self.set_limit("SEND_TIMEOUT_S", 0.3)
        self.open("/safe/x")
        self.fleet.wait(lambda: self.outcomes(httpserver.SLOW_READER) == 1)
        self.assertEqual(self.daemon.account.total, 0)

    def test_a_caller_that_leaves_behind_unsent_data_is_noticed(self):
        sock = self.open("/safe/x")
        self.fleet.wait(lambda: self.daemon.account.total > 0)
        sock.close()
        self.fleet.wait(lambda: self.outcomes("caller_left") == 1)
        self.assertEqual(self.daemon.account.total, 0)

    def test_a_stop_waits_for_unsent_data(self):
        sock = self.open("/safe/x", "r1")
        self.fleet.wait(lambda: self.daemon.account.total > 0)
        self.daemon.caller_server.begin_stop()
        self.daemon.caller_server.close_idle()
        self.assertEqual(self.daemon.caller_server.active_requests, 1)
        data = self.read_rest(sock)
        self.assertEqual(len(data.partition(b"\r\n\r\n")[2]), 500_000 * len("p-0 r1"))

    def test_slow_readers_delay_no_others(self):
        """Beside fifty callers that read nothing, the events of others were late."""
        self.set_limit("MAX_BEHIND_S", 2.0)
        self.allow_long_streams()
        for target in self.fleet.targets.values():
            # The targets run in this process, too, and must not be what delays events.
            target.events, target.event_s = 30, 0.05
        for number in range(50):
            self.open(stream=True, request_id=f"s{number}")
        with self.fleet.connect() as sock:
            last, pause_s = time.monotonic(), 0.0
            request = self.fleet.request("/resumed/x", "r", stream=True, limit_ms=9000)
            sock.sendall(request)
            data = b""
            while not data.endswith(b"0\r\n\r\n"):
                part = sock.recv(65536)
                self.assertTrue(part, f"the stream was cut after {data[-200:]!r}")
                data += part
                now = time.monotonic()
                last, pause_s = now, max(pause_s, now - last)
        self.assertLess(pause_s, ON_TIME_S)

    def allow_long_streams(self):
        """Set time limits that streams reach on no machine, however busy it is."""
        desired = make_desired(version=2)
        for row in desired["routes"]:
            row["timeout_ms"] = 9000
        self.fleet.publish(desired)
        self.fleet.wait(lambda: self.daemon.state.desired.version == 2)


class HeldBytesTest(ReadersTest):
    def test_above_the_low_mark_new_connections_are_closed_unread(self):
        self.daemon.account.marks = Marks(low=200_000, high=100_000_000)
        sock = self.open("/safe/x", "r1")
        self.fleet.wait(lambda: not self.daemon.ready)
        self.assertEqual(self.fleet.ask("/safe/x").raw, b"")
        self.assertGreater(self.daemon.saturation.closed_unread, 0)
        self.assertEqual(self.read_rest(sock)[:12], b"HTTP/1.1 200")
        self.fleet.wait(lambda: self.daemon.ready)

    def test_above_the_high_mark_the_caller_that_holds_most_for_longest_is_ended(self):
        self.daemon.account.marks = Marks(low=10_000_000, high=4_000_000)
        slow = self.open("/safe/x", "r1")
        gevent.sleep(0.3)
        answer = self.fleet.ask("/safe/x", request_id="r2")
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.outcomes(httpserver.HELD_BYTES), 1)
        self.assertEqual(self.daemon.account.ended, 1)
        self.assertLess(len(self.read_rest(slow)), 3_000_000)
        self.fleet.wait(lambda: self.daemon.account.total == 0)

    def test_requests_that_are_being_read_are_charged(self):
        with self.fleet.connect() as sock:
            request = self.fleet.request("/safe/x", body=b"x" * 50_000)
            sock.sendall(request[:-1])
            self.fleet.wait(lambda: self.daemon.account.total == len(request) - 1)
        self.fleet.wait(lambda: self.daemon.account.total == 0)

    def test_what_was_read_is_freed_when_its_connection_ends(self):
        """Parsers and their readers refer to each other, so the garbage collector had to."""
        gc.disable()
        self.addCleanup(gc.enable)
        before = resident_bytes()
        for _ in range(30):
            with self.fleet.connect() as sock:
                request = self.fleet.request("/safe/x", body=b"x" * (3 * BYTES_PER_MB))
                sock.sendall(request[:-1])
                self.fleet.wait(lambda: self.daemon.account.total >= 3 * BYTES_PER_MB)
            self.fleet.wait(lambda: self.daemon.account.total == 0)
        self.assertLess(resident_bytes() - before, 30 * BYTES_PER_MB)

    def test_an_idle_connection_keeps_the_body_of_its_last_request(self):
        """Guards against memory that is in no account, of as many bodies as connections."""
        gc.disable()
        self.addCleanup(gc.enable)
        for name in ("p-0", "p-1"):
            self.fleet.targets[name].answer_repeats = 1
        handled, server = [], self.daemon.caller_server
        handle = server.handle

        def remember(inbound, caller):
            handled.append(weakref.ref(inbound))
            handle(inbound, caller)

        server.handle = remember
        with self.fleet.connect() as sock:
            sock.sendall(self.fleet.request("/unsafe/x", body=b"x" * 50_000))
            self.assertIn(b" 200 ", sock.recv(100))
            self.fleet.wait(lambda: self.daemon.account.total == 0)
            self.fleet.wait(lambda: handled[0]() is None, 1.0)


class SlowTargetTest(ReadersTest):
    def test_a_target_that_does_not_read_its_request(self):
        """Its request may have run, and must neither wait longer nor harm others."""
        for other in self.fleet.targets.values():
            other.answer_repeats = 1
        listener = socket.socket()
        self.addCleanup(listener.close)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        registration = self.daemon.registry.targets["p-0"].registration
        registration = attrs.evolve(registration, instance="slow", address=address)
        target, choose = Target(registration=registration), self.daemon.choose
        self.daemon.choose = lambda context, now: (
            Choice(target=target, cost_ms=0.0)
            if context.inbound.body and "slow" not in context.retry_state.tried
            else choose(context, now)
        )
        body = b"x" * 4_000_000
        asked = gevent.spawn(self.fleet.ask, "/unsafe/x", body=body, limit_ms=1000)
        self.fleet.wait(lambda: self.daemon.account.total >= len(body) and target.in_flight)
        start = time.monotonic()
        self.assertEqual(self.fleet.ask("/safe/x", request_id="r2").status, 200)
        self.assertLess(time.monotonic() - start, ON_TIME_S)
        self.assertEqual(asked.get().status, 504)
        self.assertEqual(self.fleet.runs("p-0", "p-1")[1:], [])
        self.assertEqual(self.attempts(AttemptOutcome.SILENT), 1)
        self.assertEqual(self.daemon.account.total, 0)
        self.assertEqual(target.in_flight, 0)


class ReadingTest(ReadersTest):
    """Requests whose bodies find no room while they are read."""

    BODY = b"b" * 1_000_000

    def begin(self, number, size=500_000):
        """Begin to send a request; return its connection and what is left to send."""
        sock = self.fleet.connect()
        self.addCleanup(sock.close)
        data = self.fleet.request("/unsafe/x", f"r{number}", body=self.BODY, limit_ms=5000)
        sock.sendall(data[:size])
        return sock, data[size:]

    def answer(self, sock, rest):
        with contextlib.suppress(OSError):
            sock.sendall(rest)
        return sock.recv(65536)

    def test_a_request_that_was_passed_on_is_ended_for_one_that_is_being_read(self):
        """Guards against a request that runs and whose caller gets no answer."""
        for name in ("p-0", "p-1"):
            self.fleet.targets[name].work_s = 0.5
            self.fleet.targets[name].answer_repeats = 1
        self.daemon.account.marks = Marks(low=10_000_000, high=2_600_000)
        passed_on = [self.begin(number) for number in range(2)]
        for sock, rest in passed_on:
            sock.sendall(rest)
        self.fleet.wait(lambda: len(self.fleet.runs()) == 2)
        sock, rest = self.begin(2, 800)
        self.assertIn(b" 503 ", self.answer(sock, rest).splitlines()[0])
        for sock, _ in passed_on:
            self.assertIn(b" 200 ", sock.recv(65536).splitlines()[0])
        self.assertEqual(len(self.fleet.runs()), 2)
        self.fleet.wait(lambda: self.daemon.account.total == 0)

    def test_bodies_that_are_read_at_once_end_without_an_answer(self):
        """Guards against connections that close while their bodies find no room."""
        for name in ("p-0", "p-1"):
            self.fleet.targets[name].answer_repeats = 1
        self.daemon.account.marks = Marks(low=10_000_000, high=2_600_000)
        begun = [self.begin(number) for number in range(5)]
        self.fleet.wait(lambda: self.daemon.account.total >= 1_000_000)
        answers = [gevent.spawn(self.answer, *item) for item in begun]
        gevent.joinall(answers, timeout=5.0)
        statuses = sorted(item.value.split(b" ")[1] for item in answers)
        self.assertEqual(set(statuses), {b"200", b"503"})
        self.assertEqual(len(self.fleet.runs()), statuses.count(b"200"))
        refused = next(item.value for item in answers if b" 503 " in item.value[:20])
        self.assertIn(b"Retry-After: 0.5", refused)
        self.fleet.wait(lambda: self.daemon.account.total == 0)
