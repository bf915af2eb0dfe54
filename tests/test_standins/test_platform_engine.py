from __future__ import annotations

import unittest

import gevent

from standins.platform_engine import PlatformTargetStandIn


class PlatformTargetStandInTest(unittest.TestCase):
    def test_truncated_request_is_not_run(self):
        # A proxy may reset a connection within the head or the body of a request.
        # If the stand-in executed such a request, the soak would report a run
        # without an ID as a fault of the gateway (soak seed 136).
        target = PlatformTargetStandIn("t")
        host, _, port = target.start().rpartition(":")
        self.addCleanup(target.stop)
        head = b"POST /a HTTP/1.1\r\nHost: h\r\n"
        for data in (head, head + b"Content-Length: 5\r\n\r\nab"):
            sock = gevent.socket.create_connection((host, int(port)))
            sock.sendall(data)
            sock.close()
            gevent.sleep(0.05)
        self.assertEqual(target.runs, [])

    def test_repeated_header_values_are_joined(self):
        # A target that reads only the last value would not notice a gateway that
        # forwards a caller's header in addition to the one it sets itself.
        target = PlatformTargetStandIn("t")
        host, _, port = target.start().rpartition(":")
        self.addCleanup(target.stop)
        sock = gevent.socket.create_connection((host, int(port)))
        self.addCleanup(sock.close)
        sock.sendall(
            b"GET /a HTTP/1.1\r\nRequest-Id: r1\r\nTenant: forged\r\nTenant: w1\r\n\r\n"
        )
        sock.recv(4096)
        self.assertEqual(target.runs[0].headers["tenant"], "forged, w1")
