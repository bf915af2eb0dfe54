from __future__ import annotations

import unittest

import gevent.socket

from standins.platform_engine import PlatformTargetStandIn
from tools.soak.connecting import CONNECT_TIMEOUT_S
from tools.soak.proxy import Proxy


class ProxyTest(unittest.TestCase):
    def test_connection_survives_pause_beyond_connect_timeout(self):
        """The proxy cut answers that paused longer than its connect timeout.

        The soak then reported these cuts as faults of the gateways.
        """
        target = PlatformTargetStandIn("e-0", "m1")
        target.pause_before, target.pause_s = 4, CONNECT_TIMEOUT_S + 0.3
        proxy = Proxy(target.start())
        self.addCleanup(target.stop)
        self.addCleanup(proxy.server.stop, 0)
        host, _, port = proxy.address.rpartition(":")
        sock = gevent.socket.create_connection((host, int(port)), timeout=5.0)
        self.addCleanup(sock.close)
        sock.sendall(b"GET / HTTP/1.1\r\nRequest-Id: r1\r\nConnection: close\r\n\r\n")
        data = b""
        while not data.endswith(b"0\r\n\r\n"):
            part = sock.recv(65536)
            self.assertTrue(part, "the answer was cut")
            data += part
        self.assertIn(b"data: r1-8", data)
