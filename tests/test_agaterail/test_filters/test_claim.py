from __future__ import annotations

import json
import unittest

import gevent

from agaterail import claims, codec
from agaterail.claims import Claim, ClaimBatch
from agaterail.errors import ErrorKind
from agaterail.events import MembersChanged
from agaterail.logstore.memory import MemoryLogStore
from agaterail.peers import Peers
from agaterail.peers.memory import MemoryNetwork, MemoryTransport
from agaterail.records import TABLES_STREAM, TablesRecord
from standins.service import ServiceStandIn
from tests.support import LocalDaemon, edit, put, service_pool, service_route, wait_until

ADDRESSES = ("10.0.0.1:1", "10.0.0.2:1")


class ClaimCase(unittest.TestCase):
    members = ADDRESSES

    def setUp(self):
        self.service = ServiceStandIn()
        self.log = MemoryLogStore()
        change = edit(
            "e0",
            put(service_pool([self.service.start()])),
            put(service_route(deadline_ms=1500)),
        )
        self.log.append(TABLES_STREAM, codec.encode(change, TablesRecord))
        self.network = MemoryNetwork()
        self.daemons = [self.start_daemon(address) for address in ADDRESSES]

    def start_daemon(self, address):
        transports = [MemoryTransport(self.network, address) for _ in range(2)]
        daemon = LocalDaemon(self.log, peers=Peers(address, *transports, "secret"))
        daemon.app.events.publish(MembersChanged(self.members))
        wait_until(lambda: daemon.app.ready)
        self.addCleanup(daemon.stop)
        return daemon

    def tearDown(self):
        self.service.stop()

    def swap(self, number=0, key="k1"):
        headers = {"idempotency-key": key} if key else {}
        return self.daemons[number].post("/booking/swap", b"two bottles", headers)

    def refusal(self, number=0, key="k1"):
        response, body = self.swap(number, key)
        self.assertGreaterEqual(response.status_code, 400)
        error = json.loads(body)["error"]
        return error["code"], error["outcome"]

    def crash(self, number):
        """Replace a daemon with a new one that has no state."""
        self.kill(number)
        self.daemons[number] = self.start_daemon(ADDRESSES[number])

    def kill(self, number):
        """Stop a daemon and drop everything that it had queued."""
        self.daemons[number].stop()
        controller = self.daemons[number].app.controllers["claims"]
        for forwarder in controller.forwarders.values():
            forwarder.finishes, forwarder.releases, forwarder.pending_claims = [], [], []
        for worker in controller.workers.values():
            worker.queue = claims.PartitionQueue()

    def batches(self):
        return [
            codec.decode(record.data, ClaimBatch).unwrap()
            for name, records in self.log.streams.items()
            if name.startswith("claims-")
            for record in records
        ]

    def put_claim(self, attempt="gone", claimer=ADDRESSES[0]):
        key = claims.key_hash("ws", "k1")
        asked = claims.request_hash(b"POST", b"/booking/swap", b"", b"two bottles")
        batch = ClaimBatch(claims=(Claim(key, claimer, attempt, asked),))
        stream = claims.stream_of(claims.partition_of(key))
        self.log.append(stream, codec.encode(batch))


class IdempotencyKeyTest(ClaimCase):
    def test_a_repeat_gets_the_recorded_answer(self):
        first, body = self.swap(0)
        self.assertEqual(first.status_code, 200)
        self.assertEqual(first["x-agaterail-at-most-once"], "key")
        wait_until(lambda: any(batch.finishes for batch in self.batches()))
        for number in (0, 1):
            again, same = self.swap(number)
            self.assertEqual((again.status_code, same), (200, body))
            self.assertEqual(again["x-agaterail-replayed"], "true")
        self.assertEqual(self.service.journal, ["k1"])

    def test_a_repeat_of_a_large_answer_gets_its_digest(self):
        key = {"idempotency-key": "k1"}
        for _ in range(2):
            response, body = self.daemons[0].post("/booking/swap", b"x" * 4000, key)
            wait_until(lambda: any(batch.finishes for batch in self.batches()))
        error = json.loads(body)["error"]
        self.assertEqual(response.status_code, 409)
        self.assertEqual(
            (error["code"], error["outcome"]), ("duplicate_completed", "completed")
        )

    def test_the_same_key_through_two_daemons_at_once_runs_once(self):
        # The load balancer sends one request through two daemons at the same time. Both
        # claim its key; the first offset wins, and the other is told that the request
        # is in progress.
        self.service.faults.slow_ms = 200
        jobs = [gevent.spawn(self.swap, number % 2) for number in range(6)]
        gevent.joinall(jobs)
        self.assertEqual(self.service.journal, ["k1"])
        statuses = sorted(job.get()[0].status_code for job in jobs)
        self.assertEqual(statuses, [200, 409, 409, 409, 409, 409])

    def test_a_failed_call_is_not_run_again(self):
        self.service.faults.fail = 1
        first, _ = self.swap(0)
        self.assertEqual(first.status_code, 500)
        wait_until(lambda: any(batch.finishes for batch in self.batches()))
        again, _ = self.swap(1)
        self.assertEqual(again.status_code, 500)
        self.assertEqual(self.service.journal, ["k1"])

    def test_a_connection_lost_after_the_call_leaves_the_outcome_unknown(self):
        # The service books the swap, but the connection breaks before its answer. The
        # outcome is unknown, so a retry must not book again.
        self.service.faults.cut_after = 1
        self.assertEqual(self.refusal(0), ("target_lost", "unknown"))
        wait_until(lambda: any(batch.finishes for batch in self.batches()))
        self.assertEqual(self.refusal(1), ("claim_unresolved", "unknown"))
        self.assertEqual(self.service.journal, ["k1"])

    def test_a_refused_call_frees_its_key(self):
        self.service.faults.refuse = True
        self.assertEqual(self.refusal(0), ("target_refused", "not_run"))
        self.service.faults.refuse = False
        wait_until(lambda: any(batch.releases for batch in self.batches()))
        for daemon in self.daemons:
            daemon.app.targets.states.clear()
        response, _ = self.swap(1)
        self.assertEqual(response.status_code, 200)

    def test_without_a_key_the_answer_reports_the_host_scope(self):
        response, _ = self.swap(key="")
        self.assertEqual(response["x-agaterail-at-most-once"], "host")
        self.assertEqual(self.batches(), [])

    def test_a_key_used_for_another_request_does_not_get_its_answer(self):
        # A faulty caller uses one key for two swaps. The recorded answer to the first
        # must not be returned for the second, which was not run.
        self.swap(0)
        wait_until(lambda: any(batch.finishes for batch in self.batches()))
        response, body = self.daemons[1].post(
            "/booking/swap", b"three bottles", {"idempotency-key": "k1"}
        )
        self.assertEqual(response.status_code, 400)
        self.assertEqual(json.loads(body)["error"]["outcome"], "not_run")
        self.assertEqual(self.service.journal, ["k1"])

    def test_a_key_that_is_too_long_is_refused(self):
        self.assertEqual(self.refusal(key="k" * 256), ("bad_request", "not_run"))


class LogFaultTest(ClaimCase):
    def test_with_the_log_down_the_call_is_refused_as_not_run(self):
        self.log.down = True
        self.assertEqual(self.refusal(), (ErrorKind.CLAIMS_UNAVAILABLE.value, "not_run"))
        self.assertEqual(self.service.journal, [])
        self.log.down = False
        wait_until(lambda: self.swap()[0].status_code == 200)
        self.assertEqual(len(self.service.journal), 1)

    def test_an_append_whose_answer_is_lost_is_found_by_reading(self):
        self.log.lose_answers = 1
        response, _ = self.swap()
        self.assertEqual(response.status_code, 200)
        self.assertEqual(self.service.journal, ["k1"])

    def test_an_unreachable_owner_is_bypassed(self):
        # The daemons cannot reach each other, so each appends to the same partition
        # itself. The offset decides, so the request still runs only once.
        self.network.blocked_links = {ADDRESSES, ADDRESSES[::-1]}
        self.service.faults.slow_ms = 50
        jobs = [gevent.spawn(self.swap, number) for number in (0, 1)]
        gevent.joinall(jobs)
        self.assertEqual(self.service.journal, ["k1"])

    def test_a_lost_answer_of_the_owner_causes_no_second_claim(self):
        for pair in (ADDRESSES, ADDRESSES[::-1]):
            self.network.blocked_links = {pair}
            response, _ = self.swap(0, key=f"k-{pair[0]}")
            self.assertEqual(response.status_code, 200)
        self.assertEqual(len(self.service.journal), 2)


class CrashTest(ClaimCase):
    def test_a_claim_of_a_crashed_daemon_is_never_run_again(self):
        # The first daemon claimed the key and crashed before or during the run; the log
        # does not show which. A retry is answered "unknown" and does not run.
        self.put_claim()
        self.crash(0)
        for number in (0, 1):
            self.assertEqual(self.refusal(number), ("claim_unresolved", "unknown"))
        self.assertEqual(self.service.journal, [])

    def test_a_crash_before_the_append_leaves_the_key_free(self):
        self.log.down = True
        self.refusal(0)
        self.kill(0)
        self.kill(1)
        self.log.down = False
        self.daemons = [self.start_daemon(address) for address in ADDRESSES]
        response, _ = self.swap(1)
        self.assertEqual(response.status_code, 200)

    def test_a_crash_during_the_run_leaves_the_outcome_unknown(self):
        self.service.faults.slow_ms = 300
        job = gevent.spawn(self.swap, 0)
        wait_until(lambda: self.service.journal)
        self.crash(0)
        self.assertEqual(self.refusal(1), ("claim_unresolved", "unknown"))
        job.kill()
        self.assertEqual(self.service.journal, ["k1"])

    def test_a_crash_before_the_outcome_is_recorded_leaves_it_unknown(self):
        # The swap was booked and answered, but the daemon crashes before the outcome is
        # in the log. A retry must not book it again.
        self.service.faults.slow_ms = 100
        job = gevent.spawn(self.swap, 0)
        wait_until(lambda: self.service.journal)
        self.log.down = True
        self.assertEqual(job.get()[0].status_code, 200)
        self.kill(0)
        self.kill(1)
        self.log.down = False
        self.daemons = [self.start_daemon(address) for address in ADDRESSES]
        self.assertEqual(self.refusal(1), ("claim_unresolved", "unknown"))
        self.assertEqual(self.service.journal, ["k1"])

    def test_a_key_whose_record_expired_runs_again(self):
        # A daemon that starts after a record expired from the log does not know its
        # key; docs/operators/errors.md states how long a key is remembered.
        self.swap(0)
        wait_until(lambda: any(batch.finishes for batch in self.batches()))
        for stream in list(self.log.streams):
            if stream.startswith("claims-"):
                self.log.expire(stream, 100)
        self.crash(0)
        self.crash(1)
        self.assertEqual(self.swap(1)[0].status_code, 200)
        self.assertEqual(self.service.journal, ["k1", "k1"])
