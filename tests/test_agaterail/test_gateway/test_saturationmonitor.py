from __future__ import annotations

import unittest

from agaterail.decisions.saturation import LATE_CALLS, RECOVERY_S
from agaterail.gateway.saturationmonitor import SaturationMonitor
from tests.gateway_fleet import Fleet, read_all


class SaturationMonitorTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.monitor = SaturationMonitor(10, lambda: self.now)

    def step(self, late_s, count=1):
        for _ in range(count):
            self.now += self.monitor.period_s + late_s
            self.monitor.step()

    def test_a_process_that_is_late_reads_no_new_connections(self):
        """A host that got most new connections read them all and answered too late."""
        self.step(0.0)
        self.assertTrue(self.monitor.may_read(1))
        self.step(0.3, LATE_CALLS)
        self.assertFalse(self.monitor.may_read(1))
        self.step(0.0, round(RECOVERY_S / self.monitor.period_s) + 1)
        self.assertTrue(self.monitor.may_read(1))
        self.assertEqual(self.monitor.closed_unread, 1)

    def test_connections_leave_descriptors_for_targets(self):
        self.assertTrue(self.monitor.may_read(10))
        self.assertFalse(self.monitor.may_read(11))


class SaturatedDaemonTest(unittest.TestCase):
    def test_open_connections_are_served_while_new_ones_are_closed_unread(self):
        fleet = Fleet()
        self.addCleanup(fleet.stop)
        daemon = fleet.daemons[0]
        kept = fleet.connect()
        self.addCleanup(kept.close)
        kept.sendall(fleet.request("/safe/x", headers=["Connection: keep-alive"]))
        self.assertIn(b"200 OK", kept.recv(65536))
        saturation = daemon.saturation.saturation
        for subscription in daemon.subscriptions:
            subscription.cancel()
        saturation.is_saturated = True
        self.assertFalse(daemon.ready)
        runs = len(fleet.runs())
        new = fleet.connect()
        new.sendall(fleet.request("/safe/y", request_id="r2"))
        self.assertEqual(read_all(new), b"")
        new.close()
        self.assertEqual(len(fleet.runs()), runs)
        kept.sendall(fleet.request("/safe/z", request_id="r3", headers=["Connection: close"]))
        self.assertIn(b"200 OK", read_all(kept))
        saturation.is_saturated = False
        self.assertEqual(fleet.ask("/safe/x", request_id="r4").status, 200)
