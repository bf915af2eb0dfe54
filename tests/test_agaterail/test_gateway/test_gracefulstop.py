"""Requests that come late in a planned stop, or are still under way at its end."""

from __future__ import annotations

import unittest

import attrs
import gevent

from agaterail.gateway.gracefulstop import GracefulStop, StopWindow
from standins.path_cuts import CutKind, PathCut
from tests.gateway_fleet import BOUNDS, LLM, PLAIN, Answer, Fleet, make_desired, read_all

GRACE_S = 3.0
# Callers may still send for half of the grace; from then on requests are late.
LATE_S = 1.7
BODY = b"b" * 64


class StopWindowTest(unittest.TestCase):
    def test_late_requests_are_begun_only_if_they_surely_end(self):
        window = StopWindow(late_from=10.0, ends_at=14.0)
        self.assertTrue(window.allows(9.9, 60.0))
        self.assertTrue(window.allows(10.1, 14.0))
        self.assertFalse(window.allows(10.1, 14.1))


class StopTest(unittest.TestCase):
    gateways = 1

    def setUp(self):
        self.fleet = Fleet(self.gateways, attrs.evolve(BOUNDS, grace_s=GRACE_S))
        self.addCleanup(self.fleet.stop)
        desired = make_desired(version=2)
        for row in desired["routes"]:
            row["timeout_ms"] = 9000
        desired["limits"]["header_timeout_ms"] = 5000
        self.fleet.publish(desired)
        daemons = self.fleet.daemons
        self.fleet.wait(lambda: all(item.state.desired.version == 2 for item in daemons))

    def stop(self, daemon):
        """Stop a daemon as a process does: when the stop returns, everything ends."""

        def run():
            GracefulStop(daemon).run()
            daemon.close()

        return gevent.spawn(run)

    def set_all(self, **faults):
        for target in self.fleet.targets.values():
            for name, value in faults.items():
                setattr(target, name, value)

    def ask_slowly(self, path, last_byte_s, **fields):
        """Send a request whose last byte comes after a time; return its answer."""
        sock = self.fleet.connect()
        sock.settimeout(8.0)
        data = self.fleet.request(path, body=BODY, **fields)
        sock.sendall(data[:-1])
        gevent.sleep(last_byte_s)
        sock.sendall(data[-1:])
        return Answer(read_all(sock))


class GracefulStopTest(StopTest):
    def test_a_late_request_is_passed_on_and_cut(self):
        """Guards against requests that are taken although the process ends before them."""
        self.set_all(work_s=2.5)
        asking = gevent.spawn(self.ask_slowly, "/unsafe/x", LATE_S, limit_ms=6000)
        gevent.sleep(0.05)
        self.stop(self.fleet.daemons[0]).join()
        answer = asking.get(timeout=5.0)
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after: 0", answer.head)
        self.assertEqual(self.fleet.runs(), [])

    def test_a_late_stream_is_passed_on_and_cut(self):
        self.set_all(event_s=0.6)
        asking = gevent.spawn(self.ask_slowly, "/once/x", LATE_S, stream=True, limit_ms=9000)
        gevent.sleep(0.05)
        self.stop(self.fleet.daemons[0]).join()
        self.assertEqual(asking.get(timeout=5.0).status, 503)
        self.assertEqual(self.fleet.runs(), [])

    def test_a_late_request_that_surely_ends_is_refused(self):
        """Guards against refusals of what can still be served."""
        asking = gevent.spawn(self.ask_slowly, "/unsafe/x", LATE_S, limit_ms=2400)
        gevent.sleep(0.05)
        self.stop(self.fleet.daemons[0]).join()
        self.assertEqual(asking.get(timeout=5.0).status, 200)

    def test_a_late_request_goes_to_a_second_target(self):
        """Guards against a send after a refusal that comes when it is too late."""
        self.set_all(refuse=True)
        for target in self.fleet.targets.values():
            target.on_loaded = lambda: None
        asking = gevent.spawn(self.ask_slowly, "/safe/x", LATE_S, limit_ms=6000)
        gevent.sleep(0.05)
        self.stop(self.fleet.daemons[0]).join()
        self.assertEqual(asking.get(timeout=5.0).status, 503)
        arrivals = sum(len(item.arrivals) for item in self.fleet.targets.values())
        self.assertEqual(arrivals, 0)

    def test_a_request_under_way_at_the_end_gets_no_answer(self):
        """Guards against connections that close without an answer when the process ends."""
        self.set_all(hang=True)
        asking = [
            gevent.spawn(self.fleet.ask, path, request_id=f"r{number}", body=BODY, **fields)
            for number, (path, fields) in enumerate(
                (
                    ("/unsafe/x", {"limit_ms": 9000}),
                    ("/safe/x", {"limit_ms": 9000}),
                    ("/once/x", {"limit_ms": 9000, "stream": True}),
                )
            )
        ]
        gevent.sleep(0.3)
        self.stop(self.fleet.daemons[0]).join()
        self.assertEqual([item.get(timeout=5.0).status for item in asking], [504] * 3)

    def test_a_begun_stream_looks_complete_at_the_end(self):
        """Guards against an error answer within a stream, or an end that looks whole."""
        self.set_all(pause_before=4, pause_s=9.0)
        asking = gevent.spawn(self.fleet.ask, "/once/x", stream=True, limit_ms=9000)
        gevent.sleep(0.3)
        self.stop(self.fleet.daemons[0]).join()
        answer = asking.get(timeout=5.0)
        self.assertFalse(answer.whole_stream)
        self.assertEqual((answer.status, len(answer.events)), (200, 3))
        self.assertEqual(answer.raw.count(b"HTTP/1.1"), 1)


class ForwardingStopTest(StopTest):
    gateways = 2

    def test_a_forwarded_request_under_way_at_the_end_gets_no_answer(self):
        """Guards against a daemon that forwards for another one and just ends."""
        origin, other = self.fleet.daemons
        PathCut(origin).begin(CutKind.RESET)
        for path in ("/safe/x", "/once/x"):
            self.fleet.ask(path, request_id="r0", stream=path == "/once/x")
        self.fleet.wait(lambda: set(origin.paths.lost_services) == {PLAIN, LLM})
        self.set_all(hang=True)
        asking = gevent.spawn(self.fleet.ask, "/unsafe/x", body=BODY, limit_ms=9000)
        gevent.sleep(0.3)
        self.stop(other).join()
        self.assertIn(asking.get(timeout=5.0).status, (502, 504))
