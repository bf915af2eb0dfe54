from __future__ import annotations

import json
import os
import subprocess
import sys
import unittest

from tests.support import ROOT, free_port
from tests.tls import make_tls_files

PEER = """
from agaterail.util import greenlets
greenlets.patch()
import os, sys
import attrs
from agaterail import logs, settings
logs.configure("error")
import gevent
from agaterail.peers import Peers, peer_message
from agaterail.peers.datagram import DatagramTransport
from agaterail.peers.grpc import GrpcTransport
from agaterail.util.address import Address

@peer_message
@attrs.frozen
class Ping:
    number: int

own, other = sys.argv[1], sys.argv[2]
address = Address.parse(own)
chosen = settings.load({}, os.environ).unwrap()
peers = Peers(own, GrpcTransport(address, chosen), DatagramTransport(address), sys.argv[3])
peers.handle(Ping, lambda sender, ping: Ping(ping.number + 1))
peers.start()
print("up", flush=True)
gevent.get_hub().threadpool.apply(sys.stdin.readline)
def ask(number):
    called = peers.call(other, Ping(number), float(sys.argv[5])).value_or(Ping(0)).number
    queried = peers.query(other, Ping(number), float(sys.argv[5])).value_or(Ping(0)).number
    return called == queried == number + 1
jobs = [gevent.spawn(ask, number) for number in range(1, int(sys.argv[4]) + 1)]
gevent.joinall(jobs)
print(sum(job.get() for job in jobs), flush=True)
gevent.get_hub().threadpool.apply(sys.stdin.readline)
peers.stop()
"""


HOSTS = ("127.0.0.71", "127.0.0.72")


class TwoProcessesTest(unittest.TestCase):
    def run_pair(self, secrets, count, timeout_s, environments=({}, {})):
        addresses = [f"{host}:{free_port()}" for host in HOSTS]
        processes = [
            subprocess.Popen(
                [sys.executable, "-c", PEER, own, other, secret, str(count), str(timeout_s)],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=subprocess.DEVNULL,
                text=True,
                env={**os.environ, "PYTHONPATH": str(ROOT), **environment},
            )
            for own, other, secret, environment in zip(
                addresses, addresses[::-1], secrets, environments, strict=True
            )
        ]
        for process in processes:
            self.assertEqual(process.stdout.readline(), "up\n")
        for process in processes:
            process.stdin.write("\n")
            process.stdin.flush()
        counts = [json.loads(process.stdout.readline()) for process in processes]
        for process in processes:
            process.communicate("\n", timeout=20)
        return counts

    def test_concurrent_calls_in_both_directions_are_answered(self):
        # Each daemon is client and server at the same time and starts more calls than
        # gRPC can handle concurrently under gevent. No call may be lost.
        self.assertEqual(self.run_pair(["same", "same"], 40, 5.0), [40, 40])

    def test_a_peer_with_another_secret_gets_no_answer(self):
        self.assertEqual(self.run_pair(["one", "other"], 2, 0.3), [0, 0])

    def test_peers_authenticate_each_other_by_certificates(self):
        files = [make_tls_files(self, HOSTS)] * 2
        environments = [files_for_peers(item) for item in files]
        self.assertEqual(self.run_pair(["same", "same"], 5, 5.0, environments), [5, 5])

    def test_a_peer_with_a_certificate_of_another_authority_gets_no_answer(self):
        # A process knows the secret, but the daemons' authority did not sign its
        # certificate. The handshake fails on both sides, so neither call is answered.
        environments = [files_for_peers(make_tls_files(self, HOSTS)) for _ in range(2)]
        self.assertEqual(self.run_pair(["same", "same"], 2, 0.5, environments), [0, 0])


def files_for_peers(files):
    return {
        "AGATERAIL_PEER_TLS_CERTIFICATE": files.certificate,
        "AGATERAIL_PEER_TLS_KEY": files.key,
        "AGATERAIL_PEER_TLS_AUTHORITY": files.certificate,
    }
