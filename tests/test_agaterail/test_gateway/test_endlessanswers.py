from __future__ import annotations

import time
import unittest

import attrs
import gevent

from agaterail.bytelimits.answers import BOUNDS, AnswerPart, exceeded_bounds
from agaterail.gateway.placement import Choice
from agaterail.gateway.targetconnection import READ_BYTES, TargetConnection
from agaterail.gateway.targets import Target
from agaterail.platform.requests import decode_answer_head
from agaterail.util.units import BYTES_PER_MB
from tests.endless_answers import ENDLESS, EndlessServers, resident_bytes
from tests.gateway_fleet import Fleet

# Several answers of a few megabytes at once, and fragments that the allocator keeps.
MAX_GROWTH_BYTES = 64 * BYTES_PER_MB
CLOSE_S = 0.1
EVENTS = 8
# The objectives of the route for the first event and for each next one.
ON_TIME_S = 0.3


class CountingParser:
    """Parser that counts what it gets."""

    def __init__(self, parser):
        self.parser = parser
        self.size = 0
        self.times = []

    def feed_data(self, data):
        self.size += len(data)
        self.times.append(time.monotonic())
        self.parser.feed_data(data)

    def get_status_code(self):
        return self.parser.get_status_code()


class EndlessHeadsTest(unittest.TestCase):
    """What is read of an answer that never gets to its body or to its request."""

    @classmethod
    def setUpClass(cls):
        cls.servers = EndlessServers()
        cls.addClassCleanup(cls.servers.stop)

    def test_reading_ends_at_the_bound(self):
        """An endless header value was read for 6 s, and 47 MB of it were kept."""
        for name, answer in ENDLESS.items():
            if answer.part in (AnswerPart.BODY, AnswerPart.EVENT, AnswerPart.NO_EVENT):
                continue
            with self.subTest(name):
                connection = TargetConnection.connect(
                    self.servers.address(name), 1.0, decode_answer_head, time.monotonic
                )
                self.addCleanup(connection.close)
                parser = connection.parser = CountingParser(connection.parser)
                connection.send(b"GET / HTTP/1.1\r\n\r\n", b"", 1.0)
                before = resident_bytes()
                with self.assertRaises(ConnectionError) as raised:
                    connection.read_head("r1", time.monotonic() + 5.0)
                    while connection.read_body(time.monotonic() + 5.0):
                        pass
                self.assertIs(raised.exception.part, answer.part)
                bound = BOUNDS[answer.part]
                most = max(bound.limit, BOUNDS[AnswerPart.HEAD].limit) + 2 * READ_BYTES
                self.assertLessEqual(parser.size, most)
                self.assertLess(time.monotonic() - parser.times[-1], CLOSE_S)
                self.assertLess(resident_bytes() - before, 4 * BYTES_PER_MB)


class EndlessAnswersTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.stop)
        self.servers = EndlessServers()
        self.addCleanup(self.servers.stop)
        self.daemon = self.fleet.daemons[0]
        exceeded_bounds.counts.clear()

    def target(self, name):
        """Return a registered target that answers without end."""
        answer = ENDLESS[name]
        like = self.daemon.registry.targets["e-0" if answer.is_stream else "p-0"]
        registration = attrs.evolve(like.registration, address=self.servers.address(name))
        return Target(registration=attrs.evolve(registration, instance=name))

    def send_first(self, name):
        """Send the first request of each path that ends with a name to its target."""
        choose = self.daemon.choose

        def choose_endless(context, now):
            named = context.inbound.path.decode().rpartition("/")[2]
            if named != name.replace(" ", "-") or context.retry_state.tried:
                return choose(context, now)
            return Choice(target=self.target(name), cost_ms=0.0)

        self.daemon.choose = choose_endless

    def ask(self, name, prefix, **fields):
        """Ask for an endless answer; return the answer and how long it took."""
        start = time.monotonic()
        path = f"/{prefix}/{name.replace(' ', '-')}"
        answer = self.fleet.ask(path, stream=ENDLESS[name].is_stream, **fields)
        return answer, time.monotonic() - start

    def test_a_request_that_may_not_run_again_fails_at_once(self):
        """An endless answer held its request to the deadline, and its body in memory."""
        for name, answer in ENDLESS.items():
            with self.subTest(name):
                self.send_first(name)
                exceeded_bounds.counts.clear()
                prefix = "once" if answer.is_stream else "unsafe"
                got, took_s = self.ask(name, prefix)
                self.assertEqual(exceeded_bounds.counts[answer.part], 1)
                self.assertEqual(self.fleet.runs(), [])
                self.assertFalse(got.whole_stream)
                if not answer.is_stream:
                    self.assertEqual(got.status, 502)
                    self.assertEqual(got.body, b"")
                self.assertLess(took_s, 1.0)

    def test_a_request_that_may_run_again_is_answered_by_another_target(self):
        for name, answer in ENDLESS.items():
            with self.subTest(name):
                self.send_first(name)
                got, _ = self.ask(name, "resumed" if answer.is_stream else "safe")
                self.assertEqual(got.status, 200)
                if answer.is_stream:
                    self.assertTrue(got.whole_stream)
                    self.assertEqual(len(set(got.events)), EVENTS)

    def test_all_at_once_leave_the_others_on_time_and_the_memory_bounded(self):
        """One endless body ended a host with 128 MB, and its other callers with it."""
        for name in ENDLESS:
            self.send_first(name)
        before, most = resident_bytes(), 0
        asked = [
            gevent.spawn(self.ask, name, "once" if answer.is_stream else "unsafe")
            for name, answer in ENDLESS.items()
        ]
        times = []
        while not all(greenlet.ready() for greenlet in asked):
            times.append(self.longest_pause())
            most = max(most, resident_bytes())
        self.assertEqual(set(exceeded_bounds.counts), {item.part for item in ENDLESS.values()})
        self.assertLess(most - before, MAX_GROWTH_BYTES)
        self.assertLess(max(times), ON_TIME_S)

    def longest_pause(self):
        """Return the longest time to the first or next event of another stream."""
        pause_s, data, last = 0.0, b"", time.monotonic()
        with self.fleet.connect() as sock:
            headers = ["Connection: close"]
            request = self.fleet.request("/resumed/x", "other", headers=headers, stream=True)
            sock.sendall(request)
            while part := sock.recv(65536):
                data, now = data + part, time.monotonic()
                pause_s, last = max(pause_s, now - last), now
        self.assertTrue(data.endswith(b"0\r\n\r\n"))
        return pause_s

    def test_data_after_an_answer_closes_its_connection(self):
        target = self.fleet.targets["p-0"]
        for other in self.fleet.targets.values():
            other.doubled = True
        self.assertEqual(self.fleet.ask("/safe/x").status, 200)
        self.assertEqual(exceeded_bounds.counts[AnswerPart.AFTER_END], 1)
        self.assertEqual(self.daemon.connection_pool.idle.get(target.instance, []), [])

    def test_proper_answers_are_within_the_bounds(self):
        """Long streams of small events, and bodies of megabytes, must not be cut."""
        for target in self.fleet.targets.values():
            target.events, target.event_s = 3000, 0.0
            target.answer_repeats = 500_000
        answer = self.fleet.ask("/resumed/x", stream=True)
        self.assertTrue(answer.whole_stream)
        self.assertEqual(len(answer.events), 3000)
        answer = self.fleet.ask("/unsafe/x", body=b"x" * (3 * BYTES_PER_MB))
        self.assertEqual(len(answer.body), len("p-0 r1") * 500_000)
