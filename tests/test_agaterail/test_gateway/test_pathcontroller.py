from __future__ import annotations

import random
import unittest
from unittest import mock

import gevent

from agaterail.gateway import pathcontroller
from agaterail.gateway.connectionpool import ConnectionPool
from agaterail.gateway.pathcontroller import PathController
from agaterail.gateway.targets import Registration, TargetRegistry

SERVICE = "s"


def make_registry(count=3, service=SERVICE):
    registry = TargetRegistry(lapse_grace_s=0.0)
    for number in range(count):
        registry.put(
            Registration(
                instance=f"{service}-{number}",
                service=service,
                address=f"10.0.0.{number + 1}:1",
                domain="z1",
                ready=True,
            )
        )
    return registry


class BeliefTest(unittest.TestCase):
    def setUp(self):
        self.time = 100.0
        self.registry = make_registry()
        self.targets = self.registry.of_service(SERVICE)
        self.pool = ConnectionPool(None, lambda: self.time)
        self.paths = PathController(
            self.registry, self.pool, lambda: self.time, random.Random(1)
        )

    def fail_all(self):
        for target in self.targets:
            self.paths.record_failure(target, ConnectionRefusedError())

    def test_a_service_is_lost_while_no_connect_succeeds(self):
        self.fail_all()
        self.assertEqual(self.paths.lost_services, [SERVICE])
        self.assertTrue(self.paths.is_lost(SERVICE))
        self.paths.record_success(self.targets[0])
        self.assertFalse(self.paths.is_lost(SERVICE))

    def test_a_failed_connect_is_checked_with_other_targets(self):
        """Each request of a silent path found out by a timeout of its own."""
        probed = []
        self.pool.open = lambda target, _timeout_s: probed.append(target) or self.fail_open()
        self.paths.record_failure(self.targets[0], TimeoutError())
        gevent.sleep(0.0)
        self.assertEqual(len(probed), 2)
        self.assertNotIn(self.targets[0], probed)

    def test_targets_that_are_gone_are_forgotten(self):
        """The failures of replaced targets stayed in memory and in the log."""
        self.fail_all()
        self.registry.remove("s-0", self.time)
        self.paths.record_failure(self.targets[1], ConnectionRefusedError())
        self.assertNotIn("s-0", self.paths.evidence[SERVICE].failed_at)

    def test_no_check_while_other_targets_send_data(self):
        self.targets[1].heard_at = self.time
        self.pool.open = lambda *_: self.fail("probed")
        self.paths.record_failure(self.targets[0], TimeoutError())
        gevent.sleep(0.0)

    def fail_open(self):
        raise TimeoutError

    def test_other_services_are_not_concerned(self):
        self.fail_all()
        self.assertFalse(self.paths.is_lost("other"))

    def test_loss_and_return_are_logged_once(self):
        with mock.patch.object(pathcontroller, "logger") as logger:
            self.fail_all()
            self.fail_all()
            self.time += 4.0
            self.paths.record_success(self.targets[0])
            self.paths.record_success(self.targets[1])
        lines = [(call.args[0], call.kwargs.get("lost_s")) for call in logger.info.mock_calls]
        self.assertEqual(
            lines,
            [
                ("Path to a service impaired.", None),
                ("Path to a service lost.", None),
                ("Path to a service regained.", 4.0),
            ],
        )
