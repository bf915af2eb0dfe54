from __future__ import annotations

import json
import os
import subprocess
import sys
import unittest

from tests.support import ROOT, free_port

PEER = """
from agaterail.util import greenlets
greenlets.patch()
import sys
import attrs
from agaterail import logs
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
peers = Peers(own, GrpcTransport(address), DatagramTransport(address), sys.argv[3])
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


class TwoProcessesTest(unittest.TestCase):
    def run_pair(self, secrets, count, timeout_s):
        addresses = [f"127.0.0.{number}:{free_port()}" for number in (71, 72)]
        processes = [
            subprocess.Popen(
                [sys.executable, "-c", PEER, own, other, secret, str(count), str(timeout_s)],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=subprocess.DEVNULL,
                text=True,
                env={**os.environ, "PYTHONPATH": str(ROOT)},
            )
            for own, other, secret in zip(addresses, addresses[::-1], secrets, strict=True)
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

    def test_both_ask_each_other_at_once(self):
        # Each daemon is client and server at the same time, with more calls
        # wanted than gRPC bears under gevent; none may be lost.
        self.assertEqual(self.run_pair(["same", "same"], 40, 5.0), [40, 40])

    def test_another_secret_gets_no_answer(self):
        self.assertEqual(self.run_pair(["one", "other"], 2, 0.3), [0, 0])
