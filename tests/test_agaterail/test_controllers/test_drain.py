from __future__ import annotations

import json
import signal
import tempfile
import unittest

import gevent

from agaterail.application import Application
from agaterail.controllers.drain import DrainState
from agaterail.events import MembersChanged, TargetLeaving
from agaterail.logstore.memory import MemoryLogStore
from agaterail.peers import Peers
from agaterail.peers.memory import MemoryNetwork, MemoryTransport
from agaterail.settings import Settings
from agaterail.targets import TargetStateTable
from agaterail.timers import ManualTimerService
from standins.load import StreamClient, Workload
from tests.support import engine_pool
from tools.fleet import MODEL, Fleet, api_key_of, apply_tables, tables_toml

MEMBERS = ("10.0.0.1:1", "10.0.0.2:1")


def make_app(address=MEMBERS[0], network=None, **settings):
    network = network or MemoryNetwork()
    transports = [MemoryTransport(network, address) for _ in range(2)]
    app = Application(
        Settings(**settings),
        timers=ManualTimerService(),
        log_store=MemoryLogStore(),
        peers=Peers(address, *transports, "secret"),
    )
    app.peers.start()
    app.events.publish(MembersChanged(MEMBERS))
    return app


class DrainStepsTest(unittest.TestCase):
    def setUp(self):
        self.app = make_app(drain_lag_s=5.0, drain_limit_s=60.0)
        self.drain = self.app.controllers["drain"]
        self.closed = []
        self.drain.close_callbacks.append(lambda: self.closed.append(True))

    def advance(self, seconds):
        self.app.timers.advance(seconds)
        self.drain.reconcile()

    def send_request(self):
        headers = {"authorization": "Bearer x"}
        exchange, result = self.app.handle("POST", "/x", "", headers, b"")
        exchange.finish(result.failure().outcome)
        return exchange, result.failure().kind.value

    def test_new_requests_are_served_until_the_lag_is_over(self):
        self.assertNotIn("connection", self.send_request()[0].answer_headers)
        self.drain.begin()
        self.assertFalse(self.app.ready)
        self.advance(4.9)
        exchange, kind = self.send_request()
        self.assertEqual(kind, "tables_unavailable")
        self.assertEqual(exchange.answer_headers["connection"], "close")
        self.assertFalse(self.closed)
        self.advance(0.2)
        self.assertTrue(self.closed)
        self.assertEqual(self.send_request()[1], "shutting_down")

    def test_draining_waits_for_requests_and_their_records(self):
        # A request ends after the lag while the log is down, so its outcome is
        # not recorded yet. The process must wait for the record, but only for a
        # limited time.
        self.app.in_flight = 1
        self.drain.begin()
        self.advance(20.0)
        self.assertIs(self.drain.state, DrainState.FINISHING)
        self.app.in_flight = 0
        worker = self.app.controllers["claims"].worker_of(b"k" * 16)
        worker.queue.releases.append(None)
        self.advance(0.1)
        self.assertFalse(self.drain.done.is_set())
        self.advance(6.0)
        self.assertTrue(self.drain.done.is_set())

    def test_draining_ends_at_its_limit(self):
        self.app.in_flight = 1
        self.drain.begin()
        self.advance(64.9)
        self.assertFalse(self.drain.done.is_set())
        self.advance(0.2)
        self.assertTrue(self.drain.done.is_set())


class LeavingTargetTest(unittest.TestCase):
    def test_a_refusal_pauses_a_target_here_and_at_the_peers(self):
        network = MemoryNetwork()
        apps = [make_app(address, network) for address in MEMBERS]
        pool = engine_pool(["127.0.0.1:1"])
        for app in apps:
            self.assertEqual(len(app.targets.usable(pool, app.timers.now())), 1)
        apps[0].events.publish(TargetLeaving("127.0.0.1:1", "refusal"))
        for app in apps:
            self.assertEqual(app.targets.usable(pool, app.timers.now()), [])
            app.timers.advance(1.1)
            self.assertEqual(len(app.targets.usable(pool, app.timers.now())), 1)

    def test_the_host_list_does_not_clear_a_refusal(self):
        targets, pool = TargetStateTable(), engine_pool(["127.0.0.1:1"])
        targets.usable(pool, 0.0)
        targets.mark_refusing("127.0.0.1:1", 0.0)
        targets.set_leaving(set())
        self.assertEqual(targets.usable(pool, 0.5), [])
        targets.set_leaving({"127.0.0.1:1"})
        self.assertEqual(targets.usable(pool, 99.0), [])

    def test_each_refusal_in_a_row_doubles_the_pause(self):
        targets, pool, now = TargetStateTable(), engine_pool(["127.0.0.1:1"]), 0.0
        targets.usable(pool, now)
        pauses = []
        for _ in range(6):
            targets.mark_refusing("127.0.0.1:1", now)
            pauses.append(targets.states["127.0.0.1:1"].refusing_until - now)
            now = targets.states["127.0.0.1:1"].refusing_until
        self.assertEqual(pauses, [1.0, 2.0, 4.0, 8.0, 8.0, 8.0])
        targets.mark_serving("127.0.0.1:1")
        targets.mark_refusing("127.0.0.1:1", now)
        self.assertEqual(targets.states["127.0.0.1:1"].refusing_until, now + 1.0)


class ProcessDrainTest(unittest.TestCase):
    def test_draining_completes_streams_and_serves_requests_within_the_lag(self):
        # SIGTERM arrives while streams are in flight, and the load balancer keeps
        # sending requests during the drain lag. Every stream must complete,
        # including those that start after the signal, and the process must exit
        # by itself.
        with Fleet("error") as fleet, tempfile.TemporaryDirectory() as folder:
            fleet.start_platform()
            fleet.start_engines(1, {"decode_ms": 30.0})
            text = tables_toml(fleet.engines, 1, {"weights_version": "v1"}, {})
            apply_tables(fleet, text, folder)
            fleet.start_daemons(1, ["--drain-lag-s", "0.6"])
            daemon = fleet.daemons[0]
            workload = Workload(1, workspaces=1, history_tokens=100)

            def ask(number):
                client = StreamClient(daemon.address, api_key_of(0), MODEL)
                return client.ask(workload.prompt(0, number), max_tokens=30)

            jobs = []
            for number in range(16):
                jobs.append(gevent.spawn(ask, number))
                gevent.sleep(0.05)
                if number == 5:
                    daemon.process.send_signal(signal.SIGTERM)
            gevent.joinall(jobs)
            wrong = [job.get() for job in jobs if not job.get().complete]
            self.assertEqual(wrong, [], json.dumps([item.error for item in wrong]))
            self.assertEqual(daemon.process.wait(5), 0)
