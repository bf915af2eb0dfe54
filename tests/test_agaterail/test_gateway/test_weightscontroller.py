from __future__ import annotations

import unittest
from types import SimpleNamespace

from agaterail.gateway.controlstore import LeaseEntry
from agaterail.gateway.placement import NamedVersion, NamedWeights
from agaterail.gateway.weightscontroller import WeightsController
from tests.test_agaterail.test_gateway.test_targets import make_target

SERVICE = "s"
VERSION_S = 8.0


def make_daemon(engines):
    """Return what the controller takes of a daemon, on a clock that is set by hand."""
    daemon = SimpleNamespace(
        clock=0.0,
        settings=SimpleNamespace(
            host="here", bounds=SimpleNamespace(lease_s=3.0, version_s=VERSION_S)
        ),
        boot="b1",
        stopping=False,
        membership=SimpleNamespace(leads=False),
        demand=SimpleNamespace(engines=lambda _now: 0.0),
        rules=SimpleNamespace(daemons=1.0),
        state=SimpleNamespace(
            desired=SimpleNamespace(
                services={SERVICE: SimpleNamespace(name=SERVICE, engine=object())}
            ),
            weights={"m": NamedWeights((NamedVersion(2, 0.0),))},
        ),
        book=SimpleNamespace(of_service=lambda _service: engines),
    )
    daemon.now = lambda: daemon.clock
    return daemon


def marked(engines):
    return sum(target.cordoned_at is not None for target in engines)


class SetAsideTest(unittest.TestCase):
    """Callers meet fewer engines than there are.

    The giver of orders leaves while new weights are named; the next one may order
    only when the lease has run out. Engines that every daemon sets aside meanwhile
    neither load nor serve, and the prompts of five engines go to three.
    """

    def setUp(self):
        self.engines = [make_target(f"i-{number}", weights={"m": 1}) for number in range(5)]
        self.daemon = make_daemon(self.engines)
        self.controller = WeightsController(self.daemon)

    def test_no_engine_is_set_aside_while_nobody_may_order(self):
        self.controller.step()
        self.assertEqual(marked(self.engines), 0)

    def test_engines_are_set_aside_while_another_host_orders(self):
        self.controller.on_lease(LeaseEntry("there", "b7"), 1, 0.0)
        self.controller.step()
        self.assertEqual(marked(self.engines), 2)
        self.daemon.clock = 3.0
        self.controller.step()
        self.assertEqual(marked(self.engines), 0)


if __name__ == "__main__":
    unittest.main()
