from __future__ import annotations

import socket
import unittest

import gevent

from agaterail.util.readguard import TICKS_PER_TIMEOUT, ReadGuard

LONG_TIMEOUT_S = 1000.0


class ReadGuardTest(unittest.TestCase):
    def setUp(self):
        self.near, self.far = socket.socketpair()
        self.addCleanup(self.near.close)
        self.addCleanup(self.far.close)
        self.guard = ReadGuard(self.near, LONG_TIMEOUT_S)
        self.addCleanup(self.guard.stop)

    def start_read(self):
        reader = gevent.spawn(self.guard.read, 100)
        gevent.sleep(0)
        return reader

    def test_a_read_without_data_times_out(self):
        # An engine goes silent in the middle of a stream. The caller must not wait
        # forever: the read ends after one full timeout.
        reader = self.start_read()
        for _ in range(TICKS_PER_TIMEOUT):
            self.guard.tick()
        self.assertFalse(reader.ready())
        self.guard.tick()
        with self.assertRaises(TimeoutError):
            reader.get(timeout=5)

    def test_each_read_has_the_whole_timeout(self):
        for _ in range(3):
            reader = self.start_read()
            for _ in range(TICKS_PER_TIMEOUT):
                self.guard.tick()
            self.far.sendall(b"event")
            self.assertEqual(reader.get(timeout=5), b"event")

    def test_time_between_reads_does_not_count(self):
        for _ in range(3 * TICKS_PER_TIMEOUT):
            self.guard.tick()
        self.far.sendall(b"event")
        self.assertEqual(self.start_read().get(timeout=5), b"event")

    def test_the_end_of_the_connection_is_not_a_timeout(self):
        reader = self.start_read()
        self.far.close()
        self.assertEqual(reader.get(timeout=5), b"")
