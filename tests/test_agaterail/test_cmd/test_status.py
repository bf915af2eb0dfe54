from __future__ import annotations

import contextlib
import io
import json
import unittest

from agaterail.cmd import status
from agaterail.peers import Peers
from agaterail.peers.memory import MemoryNetwork, MemoryTransport
from agaterail.status import StatusQuery
from agaterail.tables import NO_VERSION
from tests.support import LocalDaemon, free_port, run_command


class StatusTest(unittest.TestCase):
    def test_a_daemon_answers_over_its_peer_port(self):
        daemon = LocalDaemon(start_controllers=False)
        self.addCleanup(daemon.stop)
        network = MemoryNetwork()
        own = daemon.app.peers.own_address
        transport = MemoryTransport(network, own)
        transport.receive = daemon.app.peers.receive
        transport.start()
        client = MemoryTransport(network, "status")
        peers = Peers("status", client, client, "")
        report = json.loads(peers.call(own, StatusQuery()).unwrap().report)
        self.assertFalse(report["ready"])
        self.assertEqual(report["tables"]["through"], NO_VERSION)
        self.assertEqual(report["engine_homes"], {})

    def test_lines_are_nested_and_complete(self):
        report = {"ready": True, "hosts": {"members": ["a", "b"]}, "share": 0.5, "left": {}}
        lines = status.format_report(report)
        self.assertEqual(
            lines,
            ["ready: yes", "hosts:", "  members: 2", "    a", "    b", "share: 0.500"]
            + ["left: none"],
        )

    def test_no_answer_is_one_line(self):
        peer = f"127.0.0.1:{free_port()}"
        ended = run_command("status", "--peer", peer)
        self.assertEqual(ended.returncode, 1)
        self.assertEqual(len(ended.stderr.splitlines()), 1, ended.stderr)
        self.assertIn(peer, ended.stderr)

    def test_querying_another_host_requires_the_secret(self):
        err = io.StringIO()
        with contextlib.redirect_stderr(err):
            self.assertEqual(status.status("10.0.0.1:8081", False, {}), 2)
        self.assertIn("AGATERAIL_PEER_SECRET", err.getvalue())
