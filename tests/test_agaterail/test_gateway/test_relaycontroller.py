from __future__ import annotations

import unittest

import gevent

from tests.gateway_fleet import Fleet
from tests.path_cuts import CutKind, PathCut

# The time in which a host may learn that its paths are gone.
LEARN_S = 3.0
ASKED = 12


class CutHostTest(unittest.TestCase):
    """A host that reaches no target, in a fleet whose other hosts reach all."""

    def setUp(self):
        self.fleet = Fleet(gateways=3)
        self.addCleanup(self.fleet.stop)
        self.cut = PathCut(self.fleet.daemons[0])
        self.fleet.ask("/safe/warm")
        self.fleet.ask("/once/warm", stream=True)

    def ask_all(self, name):
        """Ask requests of each kind at the cut host; return those served by kind."""
        asked = [
            ("/safe/x", {}),
            ("/unsafe/x", {"body": b"b", "limit_ms": 600}),
            ("/resumed/x", {"stream": True}),
            ("/once/x", {"stream": True}),
        ]
        return {
            path: sum(
                self.fleet.ask(path, request_id=f"{name}{path}{n}", **fields).status == 200
                for n in range(ASKED)
            )
            for path, fields in asked
        }

    def learn(self):
        with gevent.Timeout(LEARN_S, False):
            while True:
                self.fleet.ask("/safe/x")
                self.fleet.ask("/once/x", stream=True)
                gevent.sleep(0.1)

    def test_callers_of_a_host_without_paths_are_served(self):
        """A host that had lost its paths to all targets answered 503 to its callers."""
        for kind in CutKind:
            with self.subTest(kind.value):
                self.cut.begin(kind)
                self.learn()
                served = self.ask_all(kind.name)
                self.cut.end()
                self.assertEqual(set(served.values()), {ASKED}, served)
                self.fleet.wait(lambda: not self.fleet.daemons[0].paths.lost_services)
