from __future__ import annotations

import unittest

import gevent

from agaterail.gateway.targetroomcontroller import RoomRequest, decode_query, encode_query
from tests.gateway_fleet import Fleet

# How often engines may fall over while they are brittle.
MAX_FALLS = 2
MAX_FALLS_PER_ENGINE = 0.1


class QueryTest(unittest.TestCase):
    def test_round_trip(self):
        for refused in (False, True):
            demand = RoomRequest(1.5, refused)
            path, _, query = encode_query("host.1&2", "i-1:2&3", demand).partition("?")
            self.assertEqual(path, "/target-room/1")
            self.assertEqual(decode_query(query.encode()), ("host.1&2", "i-1:2&3", demand))

    def test_malformed_queries_are_rejected(self):
        for query in (
            b"",
            b"daemon=a",
            b"daemon=a&asked=:1",
            b"daemon=a&asked=i:-1",
            b"daemon=a&other=i:1",
            b"daemon=a&asked=i:1&asked=j:1",
        ):
            with self.subTest(query), self.assertRaises(ValueError):
                decode_query(query)


class BrittleFleetTest(unittest.TestCase):
    """Engines that fall over if they have to turn away more than a few requests."""

    def setUp(self):
        self.fleet = Fleet(gateways=3)
        self.addCleanup(self.fleet.stop)
        self.engines = [self.fleet.targets[name] for name in ("e-0", "e-1")]
        for engine in self.engines:
            engine.brittle = 2
            engine.event_s = 0.05

    def name_brittle(self):
        """Let each daemon hear of both engines."""
        for gateway, daemon in enumerate(self.fleet.daemons):
            for name in ("e-0", "e-1"):
                others = [t for t in daemon.registry.targets.values() if t.instance != name]
                for other in others:
                    other.leaving = True
                self.fleet.ask("/once/x", gateway, stream=True)
                for other in others:
                    other.leaving = False
            self.assertIsNotNone(daemon.registry.targets["e-0"].brittle)

    def test_no_engine_falls_over_under_more_requests_than_fit(self):
        self.name_brittle()
        for engine in self.engines:
            engine.room = 2
        asking = []
        for number in range(120):
            ask = self.fleet.ask
            asking.append(
                gevent.spawn(ask, "/once/x", number % 3, request_id=f"r{number}", stream=True)
            )
            gevent.sleep(0.025)
        gevent.joinall(asking, timeout=10.0)
        falls = sum(engine.falls for engine in self.engines)
        self.assertLessEqual(falls, MAX_FALLS + MAX_FALLS_PER_ENGINE * len(self.engines))
        served = sum(greenlet.value.whole_stream for greenlet in asking)
        self.assertGreater(served, 12)

    def test_the_state_ends_with_the_answers_that_name_it(self):
        self.name_brittle()
        for engine in self.engines:
            engine.brittle = None
        for number in range(4):
            self.fleet.ask("/once/x", request_id=f"r{number}", stream=True)
        targets = self.fleet.daemons[0].registry.targets
        self.assertTrue(targets["e-0"].brittle is None or targets["e-1"].brittle is None)
