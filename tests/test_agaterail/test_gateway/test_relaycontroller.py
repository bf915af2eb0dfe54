from __future__ import annotations

import time
import unittest
from socket import SHUT_RDWR
from unittest import mock

import attrs
import gevent

from agaterail.gateway import relayprotocol, relayresponder
from agaterail.gateway.desired import ServiceShare
from agaterail.gateway.gracefulstop import GracefulStop
from agaterail.gateway.pathcontroller import PROBE_PERIOD_S
from standins.path_cuts import CutKind, PathCut
from tests.gateway_fleet import LLM, PLAIN, Fleet, make_desired

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


class RelayTest(unittest.TestCase):
    """One host without paths and the hosts that forward for it."""

    gateways = 3

    def setUp(self):
        self.fleet = Fleet(gateways=self.gateways)
        self.addCleanup(self.fleet.stop)
        self.origin, *self.others = self.fleet.daemons
        self.cut, *self.other_cuts = map(PathCut, self.fleet.daemons)
        self.cut.begin(CutKind.RESET)
        self.lose_paths()

    def lose_paths(self):
        for path, fields in (("/safe/x", {}), ("/once/x", {"stream": True})):
            self.fleet.ask(path, request_id="r0", **fields)
        self.fleet.wait(lambda: set(self.origin.paths.lost_services) == {PLAIN, LLM})
        services = self.origin.relays.services.values()
        self.fleet.wait(
            lambda: all(len(item.candidates.reaches) == len(self.others) for item in services)
        )
        for target in self.fleet.targets.values():
            target.runs.clear()
            target.arrivals.clear()

    def forwarded(self):
        """Return how many requests each of the other hosts has taken over."""
        return [item.metrics.forwarded.labels("taken")._value.get() for item in self.others]

    def ask_in_background(self, path, **fields):
        asking = gevent.spawn(self.fleet.ask, path, **fields)
        self.addCleanup(asking.kill)
        return asking

    def forwarder(self):
        """Return the host that is forwarding a request."""
        self.fleet.wait(lambda: any(item.relay_responder.in_flight for item in self.others))
        return next(item for item in self.others if item.relay_responder.in_flight)

    def break_off(self, daemon):
        """End a host like the kill of its process."""
        for connection in daemon.feeds.peer_responder.server.connections:
            connection.sock.shutdown(SHUT_RDWR)
        daemon.close()

    def set_events(self, **fields):
        for name in ("e-0", "e-1"):
            for field, value in fields.items():
                setattr(self.fleet.targets[name], field, value)


class ForwardedOnceTest(RelayTest):
    def test_a_request_that_left_is_not_sent_again(self):
        """A booking ran twice after the forwarding host had failed in the middle of it."""
        for name in ("p-0", "p-1"):
            self.fleet.targets[name].hang = True
        asking = self.ask_in_background("/unsafe/x", body=b"b")
        self.break_off(self.forwarder())
        answer = asking.get(timeout=5.0)
        self.assertEqual(answer.status, 502)
        self.assertEqual(len(self.fleet.runs("p-0", "p-1")), 1)

    def test_a_resumable_stream_goes_on_by_another_host(self):
        self.set_events(event_s=0.1)
        asking = self.ask_in_background("/resumed/x", stream=True)
        forwarder = self.forwarder()
        gevent.sleep(0.35)
        self.break_off(forwarder)
        answer = asking.get(timeout=5.0)
        self.assertEqual(len(answer.events), 8)
        self.assertTrue(answer.whole_stream)
        self.assertEqual(len(self.fleet.runs()), 2)

    def test_a_stream_that_runs_once_ends_as_incomplete(self):
        self.set_events(event_s=0.1)
        asking = self.ask_in_background("/once/x", stream=True)
        forwarder = self.forwarder()
        gevent.sleep(0.35)
        self.break_off(forwarder)
        answer = asking.get(timeout=5.0)
        self.assertFalse(answer.whole_stream)
        self.assertEqual(len(self.fleet.runs()), 1)

    def test_runs_of_origin_and_forwarding_hosts_count_together(self):
        for name in ("p-0", "p-1"):
            self.fleet.targets[name].error = True
        answer = self.fleet.ask("/safe/x")
        self.assertEqual(answer.status, 500)
        self.assertEqual([len(self.fleet.runs(name)) for name in ("p-0", "p-1")], [1, 1])

    def test_a_forwarded_request_is_never_passed_on(self):
        """Two hosts without paths passed a request to and fro until its deadline."""
        for cut in self.other_cuts:
            cut.begin(CutKind.RESET)
        started_at = time.monotonic()
        self.assertEqual(self.fleet.ask("/safe/x").status, 503)
        self.assertLess(time.monotonic() - started_at, 0.5)
        taken = sum(self.forwarded())
        self.assertLessEqual(taken, len(self.others) + 2)

    def test_requests_are_refused_at_once_if_nobody_reaches_the_targets(self):
        for cut in self.other_cuts:
            cut.begin(CutKind.RESET)
        for _ in range(4):
            self.fleet.ask("/safe/x")
        started_at = time.monotonic()
        answer = self.fleet.ask("/safe/x")
        self.assertEqual(answer.status, 503)
        self.assertLess(time.monotonic() - started_at, 0.2)
        self.assertIn("connection: close", answer.head)


class ForwardedAccountTest(RelayTest):
    def test_retry_budget_is_not_charged_for_hosts_that_do_not_forward(self):
        for other in self.others:
            other.stopping = True
        with mock.patch.object(self.origin.budget, "try_consume") as consume:
            self.assertEqual(self.fleet.ask("/safe/x").status, 503)
        consume.assert_not_called()

    def test_a_caller_request_is_counted_by_one_host(self):
        before = [len(item.budget.requests.get(PLAIN, ())) for item in self.others]
        self.assertEqual(self.fleet.ask("/safe/x").status, 200)
        after = [len(item.budget.requests.get(PLAIN, ())) for item in self.others]
        self.assertEqual(before, after)

    def test_an_allowance_is_charged_once(self):
        desired = make_desired(version=2)
        desired["tenants"][0] |= {"rate_per_s": 5.0, "burst": 20.0}
        self.fleet.publish(desired)
        self.fleet.wait(lambda: all(d.state.desired.version == 2 for d in self.fleet.daemons))
        spent = []
        for daemon in self.fleet.daemons:
            self.record_spending(daemon.allowances, spent)
        self.assertEqual(self.fleet.ask("/safe/x").status, 200)
        self.assertEqual(sum(spent), 1.0)
        self.assertEqual(len(spent), 3)

    def record_spending(self, allowances, spent):
        admit, refund = allowances.admit, allowances.refund

        def record_admit(workspace, allowance, cost):
            spent.append(cost)
            return admit(workspace, allowance, cost)

        def record_refund(workspace, cost):
            spent.append(-cost)
            refund(workspace, cost)

        allowances.admit, allowances.refund = record_admit, record_refund

    def test_a_key_that_the_forwarding_host_knows_as_revoked_is_refused(self):
        for other in self.others:
            desired = other.state.desired
            renewed = [attrs.evolve(item, api_keys=("k2",)) for item in desired.workspaces]
            other.state.desired = attrs.evolve(desired, workspaces=tuple(renewed))
        self.assertEqual(self.fleet.ask("/safe/x").status, 503)
        self.assertEqual(self.fleet.runs(), [])

    def test_a_route_that_the_forwarding_host_does_not_know_yet_is_not_denied(self):
        """Callers got 404 for a route that the host they asked had in force."""
        for other in self.others:
            desired = other.state.desired
            other.state.desired = attrs.evolve(desired, routes=desired.routes[1:])
        self.assertEqual(self.fleet.ask("/safe/x").status, 503)

    def test_the_peer_port_serves_no_request_without_a_key(self):
        address = self.others[0].relays.own_address
        target = relayprotocol.REQUEST_PREFIX.decode() + "/safe/x"
        with gevent.socket.create_connection(address.split(":")) as sock:
            sock.settimeout(2.0)
            sock.sendall(self.fleet.request(target, key=""))
            self.assertIn(b"401", sock.recv(4096).splitlines()[0])


class SplitRouteTest(RelayTest):
    def test_the_forwarding_host_uses_the_service_that_the_origin_chose(self):
        """A stream began at one service of a route and was resumed at another one."""
        for daemon in self.others:
            state = daemon.state.desired
            split = (ServiceShare(PLAIN, 0.001), ServiceShare("other", 1.0))
            routes = [attrs.evolve(route, shares=split) for route in state.routes]
            daemon.state.desired = attrs.evolve(state, routes=tuple(routes))
        for number in range(8):
            answer = self.fleet.ask("/safe/x", request_id=f"r{number}")
            self.assertEqual(answer.status, 200)


class ForwardingHostTest(RelayTest):
    def test_a_host_of_the_former_build_does_not_fail_requests(self):
        former = self.others[0].feeds.peer_responder
        former.handlers.pop(relayprotocol.STATUS_PATH)
        former.prefix_handlers.clear()
        self.origin.relays.services.clear()
        for number in range(6):
            answer = self.fleet.ask("/unsafe/x", request_id=f"r{number}", body=b"b")
            self.assertEqual(answer.status, 200)

    def test_a_full_host_says_so_and_another_one_forwards(self):
        with mock.patch.object(relayresponder, "MAX_FORWARDED", 1):
            self.set_events(event_s=0.1)
            asking = self.ask_in_background("/once/x", stream=True)
            self.forwarder()
            self.assertEqual(self.fleet.ask("/safe/x").status, 200)
            self.assertEqual(self.fleet.ask("/safe/x").status, 200)
            self.assertTrue(asking.get(timeout=5.0).whole_stream)

    def test_a_stopping_host_finishes_what_it_forwards(self):
        self.set_events(event_s=0.2)
        asking = self.ask_in_background("/once/x", stream=True)
        stopping = self.forwarder()
        stop = gevent.spawn(GracefulStop(stopping).run)
        gevent.sleep(0.1)
        self.assertEqual(self.fleet.ask("/unsafe/x", body=b"b").status, 200)
        self.assertTrue(asking.get(timeout=5.0).whole_stream)
        stop.join(timeout=8.0)
        self.assertTrue(stop.successful())

    def test_the_target_stops_when_the_caller_leaves(self):
        self.set_events(pause_before=3, pause_s=5.0)
        sock = self.fleet.connect()
        sock.sendall(self.fleet.request("/once/x", stream=True))
        self.forwarder()
        gevent.sleep(0.2)
        sock.close()
        gevent.sleep(0.5)
        self.assertEqual([run.outcome for run in self.fleet.runs()], ["left"])


class DirectPathTest(RelayTest):
    def test_the_direct_path_is_used_as_soon_as_it_works(self):
        """A host stayed away from its targets for seconds after its paths were back."""
        gevent.sleep(2.0)
        self.cut.end()
        ended_at = time.monotonic()
        self.fleet.wait(lambda: not self.origin.paths.outages)
        self.assertLess(time.monotonic() - ended_at, 1.0)
        before = self.forwarded()
        for number in range(6):
            answer = self.fleet.ask("/safe/x", request_id=f"r{number}")
            self.assertEqual(answer.status, 200)
        self.assertEqual(self.forwarded(), before)

    def test_probes_are_few_and_requests_open_no_connections(self):
        before, seconds = self.cut.connects, 2.0
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.fleet.ask("/safe/x")
            self.fleet.ask("/once/x", stream=True)
        probes = 2 * (seconds / PROBE_PERIOD_S + 1)
        self.assertLessEqual(self.cut.connects - before, probes)

    def test_targets_that_are_reached_are_used(self):
        self.cut.end()
        self.fleet.wait(lambda: not self.origin.paths.outages)
        self.cut.begin(CutKind.RESET, spared=[self.origin.registry.targets["p-0"].address])
        before = self.forwarded()
        for number in range(6):
            answer = self.fleet.ask("/safe/x", request_id=f"r{number}")
            self.assertEqual(answer.status, 200)
        self.assertEqual(self.forwarded(), before)


class SoundFleetTest(unittest.TestCase):
    def test_no_host_is_asked_while_targets_are_reached(self):
        fleet = Fleet(gateways=2)
        self.addCleanup(fleet.stop)
        for number in range(6):
            fleet.ask("/safe/x", request_id=f"r{number}")
            fleet.ask("/once/x", request_id=f"s{number}", stream=True)
        self.assertEqual(fleet.daemons[0].relays.services, {})
        self.assertEqual(fleet.daemons[0].relays.connections.connections, {})


class LastForwarderTest(RelayTest):
    gateways = 2

    def test_an_engine_that_breaks_off_does_not_cost_the_last_forwarder(self):
        """A daemon was left alone for a second since an engine behind it broke off."""
        self.set_events(break_after=3)
        self.assertFalse(self.fleet.ask("/once/x", request_id="r1", stream=True).whole_stream)
        self.set_events(break_after=None)
        for number in range(4):
            answer = self.fleet.ask("/once/x", request_id=f"s{number}", stream=True)
            self.assertTrue(answer.whole_stream)
