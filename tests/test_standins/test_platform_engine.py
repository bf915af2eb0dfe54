from __future__ import annotations

import unittest

import gevent

from standins.platform_engine import PlatformTargetStandIn


class PlatformTargetStandInTest(unittest.TestCase):
    def test_a_request_that_was_cut_is_not_run(self):
        # A proxy resets a connection in the middle of a head or a body. Taken
        # for whole, a run without an id would be blamed on the gateway; a seed
        # of the soak showed one.
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
