from __future__ import annotations

import math
import unittest

import gevent
from returns.result import Failure

from agaterail.gateway.metrics import LOADS_PAGE, start_metrics
from agaterail.util.address import Address
from agaterail.util.httpconn import HttpConnections
from tests.gateway_fleet import LLM, Fleet, free_port


class ExchangeTest(unittest.TestCase):
    """Daemons that exchange loads over their peer ports while streams run."""

    def setUp(self):
        self.fleet = Fleet(gateways=3)
        self.addCleanup(self.fleet.stop)

    def enlarge(self):
        """Let the daemons believe that they are an eighth of the fleet."""
        for daemon in self.fleet.daemons:
            daemon.coordinators.daemons = lambda: 8.0

    def figures(self, daemon):
        return [daemon.engine_loads.figures(name) for name in ("e-0", "e-1")]

    def knows(self, daemon):
        return None not in self.figures(daemon)

    def wait_known(self):
        self.fleet.wait(lambda: all(map(self.knows, self.fleet.daemons)))

    def test_daemons_know_of_the_streams_of_others(self):
        self.enlarge()
        self.wait_known()
        for name in ("e-0", "e-1"):
            self.fleet.targets[name].event_s = 0.1
        asking = [
            gevent.spawn(self.fleet.ask, "/once/x", 0, request_id=f"r{number}", stream=True)
            for number in range(4)
        ]
        other = self.fleet.daemons[1]
        self.fleet.wait(lambda: sum(item.streams for item in self.figures(other)) > 3.5)
        self.assertGreater(sum(item.kv_tokens for item in self.figures(other)), 400.0)
        gevent.joinall(asking, timeout=10.0)
        self.fleet.wait(lambda: sum(item.streams for item in self.figures(other)) < 0.5)
        for target in self.fleet.daemons[0].registry.of_service(LLM):
            left = (target.in_flight, target.prefill_tokens, target.kv_tokens, target.sending)
            self.assertEqual(left, (0, 0, 0, 0))

    def test_times_between_events_reach_the_gatherer(self):
        self.enlarge()
        self.wait_known()
        for name in ("e-0", "e-1"):
            self.fleet.targets[name].event_s = 0.05
        self.fleet.ask("/once/x", 0, stream=True)

        def samples():
            gatherers = [daemon.load_reports.gatherer for daemon in self.fleet.daemons]
            ledgers = [item.services[LLM].ledger for item in gatherers if item.services]
            return [item for ledger in ledgers for item in ledger.paces.samples.values()]

        self.fleet.wait(samples)
        (found,) = samples()
        self.assertAlmostEqual(math.exp(found.sum_log_s / found.count), 0.05, delta=0.02)

    def test_daemon_suspects_an_engine_that_is_silent_to_others(self):
        """Guards against a daemon that finds out by a time-out of its own request."""
        self.enlarge()
        self.wait_known()
        for daemon in self.fleet.daemons:
            daemon.silence.report = lambda _target: Failure("no answer")
        self.fleet.ask("/resumed/x", 2, request_id="r0", stream=True)
        engines = [self.fleet.targets[name] for name in ("e-0", "e-1")]
        silent, other = sorted(engines, key=lambda item: -len(item.runs))
        silent.hang, other.event_s = True, 0.2
        asking = [
            gevent.spawn(
                self.fleet.ask, "/resumed/x", number, request_id=f"s{number}", stream=True
            )
            for number in range(2)
        ]
        uninvolved = self.fleet.daemons[2]
        self.fleet.wait(lambda: uninvolved.silence.suspected(LLM))
        self.assertEqual(set(uninvolved.silence.suspected(LLM)), {silent.instance})
        self.fleet.ask("/resumed/x", 2, request_id="r1", stream=True)
        self.assertNotIn("r1", [run.request_id for run in silent.runs])
        silent.hang = False
        for daemon in self.fleet.daemons:
            daemon.silence.report = daemon.engine_control.report
        self.fleet.wait(lambda: not any(d.silence.suspected(LLM) for d in self.fleet.daemons))
        gevent.joinall(asking, timeout=10.0)

    def test_report_after_its_connection_was_closed_is_answered(self):
        """Guards against a gatherer taken for dead because it closed an idle connection."""
        self.enlarge()
        self.wait_known()
        for daemon in self.fleet.daemons:
            for connection in list(daemon.feeds.peer_responder.server.connections):
                connection.close_if_idle()
        gevent.sleep(1.5)
        self.assertTrue(all(map(self.knows, self.fleet.daemons)))
        for daemon in self.fleet.daemons:
            self.assertEqual(daemon.coordinators.backoff_until, {})

    def test_small_fleet_sends_nothing(self):
        before = [daemon.load_reports.exchanges for daemon in self.fleet.daemons]
        gevent.sleep(1.0)
        self.assertEqual(before, [{}, {}, {}])
        self.assertEqual(self.figures(self.fleet.daemons[0]), [None, None])

    def test_page_and_metrics_for_operators(self):
        self.enlarge()
        self.wait_known()
        daemon = self.fleet.daemons[1]
        address = Address("127.0.0.1", free_port())
        server = start_metrics(daemon, address, b"/metrics")
        self.addCleanup(server.close)
        connections = HttpConnections(address)
        self.addCleanup(connections.close)
        status, page = connections.call("GET", "/metrics" + LOADS_PAGE.decode()).unwrap()
        self.assertEqual(status, 200)
        rows = [line.split() for line in page.decode().splitlines()[1:]]
        self.assertEqual([row[:2] for row in rows], [[LLM, "e-0"], [LLM, "e-1"]])
        _, metrics = connections.call("GET", "/metrics").unwrap()
        self.assertIn(b"agaterail_engine_loads_known 2.0", metrics)
        self.assertIn(b'agaterail_engine_load_reports_total{outcome="answered"}', metrics)
        self.assertEqual(connections.call("GET", "/other").unwrap()[0], 404)
