from __future__ import annotations

import unittest

import gevent

from agaterail.decisions.allowances import Allowance, CostUnit, SpendingReport, Tolerance
from agaterail.gateway.allowancecontroller import (
    AllowanceController,
    decode_query,
    encode_query,
)
from agaterail.gateway.coordinators import Coordinators
from tests.gateway_fleet import Fleet, make_desired

ALLOWANCE = Allowance(rate_per_s=1.0, burst=10.0)
READERS = ("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")


def make_desired_with(version, **fields):
    desired = make_desired(version)
    desired["tenants"][0] |= fields
    return desired


class QueryTest(unittest.TestCase):
    def test_round_trip(self):
        reports = [SpendingReport("a b&c:d", 9000.0, 100.0, 20.0), SpendingReport("é", 0, 0)]
        path, _, query = encode_query("host.1&2", reports).partition("?")
        self.assertEqual(path, "/allowances/1")
        self.assertEqual(decode_query(query.encode()), ("host.1&2", reports))

    def test_malformed_queries_are_rejected(self):
        for query in (
            b"",
            b"daemon=",
            b"r=a:1:2:3",
            b"daemon=a&r=a:1:2",
            b"daemon=a&r=a:x:2:3",
        ):
            with self.subTest(query), self.assertRaises(ValueError):
                decode_query(query)


class ControllerTest(unittest.TestCase):
    """Decisions of one daemon about its own workspaces."""

    def setUp(self):
        self.time = 100.0
        self.readers = ()
        self.daemons = 1.0
        self.coordinators = Coordinators(
            name="h.1",
            own_address=READERS[0],
            readers=lambda: self.readers,
            daemons=lambda: self.daemons,
            now=lambda: self.time,
        )
        self.controller = AllowanceController(
            self.coordinators,
            tolerance=Tolerance(window_s=8.0),
            allowance_of=lambda _name: ALLOWANCE,
            now=lambda: self.time,
            number=lambda: 0.5,
        )
        self.workspace = next(
            name for name in map(str, range(99)) if self.coordinator(name) == READERS[0]
        )

    def coordinator(self, name):
        self.readers = READERS
        return self.coordinators.of(name)

    def admitted(self, count, cost=1.0):
        answers = [
            self.controller.admit(self.workspace, ALLOWANCE, cost) for _ in range(count)
        ]
        return sum(answer is None for answer in answers)

    def step(self):
        self.coordinators.step()
        self.controller.step()

    def pass_time(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.step()
            self.time += 0.1

    def test_a_coordinator_that_was_suspended_does_not_grant_the_burst(self):
        # Another daemon coordinated meanwhile and has granted it.
        self.pass_time(60.0)
        self.time += 4.0
        self.step()
        self.assertLessEqual(self.admitted(20), 2)

    def test_a_coordinator_that_hears_of_few_daemons_grants_their_part(self):
        # The platform's store counts one daemon only, as the others cannot reach it.
        self.daemons = 10.0
        self.pass_time(60.0)
        self.controller.admit(self.workspace, ALLOWANCE, 1.0)
        self.daemons = 1.0
        self.pass_time(10.0)
        self.assertLessEqual(self.admitted(20), 2)

    def test_burst_is_admitted_and_the_rest_gets_a_hint(self):
        self.pass_time(60.0)
        self.assertEqual(self.admitted(20), 10)
        refused = self.controller.admit(self.workspace, ALLOWANCE, 1.0)
        self.time += refused.retry_after_s
        self.assertEqual(self.admitted(3), 1)
        refused = self.controller.admit(self.workspace, ALLOWANCE, 1.0)
        self.assertAlmostEqual(refused.retry_after_s, 0.9, places=3)

    def test_unused_runs_are_given_back(self):
        self.pass_time(60.0)
        self.admitted(10)
        self.controller.refund(self.workspace, 4.0)
        self.time += 0.9
        # The four, and one that the level may become negative by.
        self.assertEqual(self.admitted(9), 5)

    def test_request_larger_than_the_burst_gets_no_hint(self):
        refused = self.controller.admit(self.workspace, ALLOWANCE, 11.0)
        self.assertIsNone(refused.retry_after_s)
        self.assertIn("more than the burst of 10", refused.detail)

    def test_share_decides_without_readers(self):
        self.readers, self.daemons = (), 4.0
        self.assertEqual(self.admitted(5), 1)
        self.time += 60.0
        self.assertIn(self.admitted(20), range(1, 5))

    def test_caller_comes_back_soon_if_a_share_does_not_cover_its_request(self):
        # All daemons have just started, and none knows a coordinator yet.
        self.readers = ()
        self.admitted(5)
        refused = self.controller.admit(self.workspace, ALLOWANCE, 5.0)
        self.assertLessEqual(refused.retry_after_s, 0.5)

    def test_silent_coordinator_is_replaced(self):
        other = next(
            name for name in map(str, range(99)) if self.coordinator(name) == READERS[1]
        )
        query = encode_query("h.2", [SpendingReport(other, 0.0, 0.0, 1.0)])
        query = query.partition("?")[2].encode()
        self.assertEqual(self.controller.answer(query), b"\x91\xc0")
        self.coordinators.backoff_until[READERS[1]] = self.time + 1.0
        self.assertNotEqual(self.controller.answer(query), b"\x91\xc0")

    def test_lists_that_begin_alike_name_the_same_coordinator(self):
        for name in map(str, range(20)):
            self.readers = READERS
            expected = self.coordinators.of(name)
            self.readers = (*READERS, "10.0.0.9:1")
            self.assertEqual(self.coordinators.of(name), expected)

    def test_former_coordinator_grants_nothing(self):
        query = encode_query("h.2", [SpendingReport(self.workspace, 0.0, 0.0, 1.0)])
        query = query.partition("?")[2].encode()
        self.assertNotIn(b"\xc0", self.controller.answer(query))
        self.readers = READERS[1:]
        self.assertEqual(self.controller.answer(query), b"\x91\xc0")


class FleetTest(unittest.TestCase):
    """Callers of several daemons, end to end."""

    def setUp(self):
        self.fleet = Fleet(gateways=3)
        self.addCleanup(self.fleet.stop)
        self.fleet.wait(lambda: all(daemon.feeds.readers for daemon in self.fleet.daemons))

    def publish(self, version, **fields):
        self.fleet.publish(make_desired_with(version, **fields))
        self.fleet.wait(
            lambda: all(item.state.desired.version == version for item in self.fleet.daemons)
        )

    def ask_all(self, count, path="/safe/x"):
        answers = [
            self.fleet.ask(path, gateway=number % 3, request_id=f"q{number}")
            for number in range(count)
        ]
        return [answer.status for answer in answers], answers

    def test_daemons_keep_one_allowance_together(self):
        self.publish(2, rate_per_s=0.5, burst=10)
        statuses, answers = self.ask_all(15)
        # Burst, and what the rate adds in the time that 15 requests may take.
        self.assertLessEqual(len(self.fleet.runs()), 12)
        self.assertGreaterEqual(statuses.count(200), 1)
        self.assertEqual(set(statuses), {200, 429})
        refused = next(answer for answer in answers if answer.status == 429)
        self.assertIn("retry-after", refused.head)

    def test_refused_requests_are_no_demand(self):
        self.publish(2, rate_per_s=0.01, burst=1, unit="tokens", plain_tokens=50)
        daemon = self.fleet.daemons[0]
        before = daemon.demand.unreported_tokens
        answer = self.fleet.ask("/once/x", stream=True)
        self.assertEqual(answer.status, 429)
        self.assertNotIn("retry-after", answer.head)
        self.assertEqual(daemon.demand.unreported_tokens, before)

    def test_refused_by_targets_is_given_back(self):
        self.publish(2, rate_per_s=100.0, burst=100)
        for target in self.fleet.targets.values():
            target.refuse = True
        self.assertEqual(self.fleet.ask("/unsafe/x", body=b"pay").status, 503)
        self.assertEqual(self.fleet.daemons[0].allowances.credits["w1"].total, 0.0)

    def test_second_run_is_charged(self):
        self.publish(2, rate_per_s=100.0, burst=100)
        for name in ("p-0", "p-1"):
            self.fleet.targets[name].error = True
        self.assertEqual(self.fleet.ask("/safe/x").status, 500)
        self.assertEqual(self.fleet.daemons[0].allowances.credits["w1"].total, 2.0)

    def test_other_daemons_serve_without_the_coordinator(self):
        # The coordinator's peer server is gone; its callers and the others' are served.
        self.publish(2, rate_per_s=300.0, burst=300)
        first = self.fleet.daemons[0]
        coordinator = first.coordinators.of("w1")
        for daemon in self.fleet.daemons:
            if daemon.coordinators.own_address == coordinator:
                daemon.feeds.peer_responder.server.close()
        gevent.sleep(0.1)
        statuses, _ = self.ask_all(9)
        self.assertGreaterEqual(statuses.count(200), 6)

    def test_malformed_allowance_leaves_the_former_in_force(self):
        self.publish(2, rate_per_s=300.0, burst=300)
        self.publish(3, rate_per_s="many", burst=300)
        allowance = self.fleet.daemons[0].state.desired.workspaces[0].allowance
        self.assertEqual(allowance.rate_per_s, 300.0)
        self.assertIs(allowance.unit, CostUnit.REQUESTS)
        self.assertEqual(self.fleet.ask("/safe/x").status, 200)
