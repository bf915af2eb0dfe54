from __future__ import annotations

import os
import unittest

import gevent
import structlog

from agaterail.gateway.logratelimiter import HostField, LogRateLimiter
from agaterail.gateway.logsink import LogSink


class LogSinkTest(unittest.TestCase):
    def setUp(self):
        self.reader, writer = os.pipe()
        self.sink = LogSink(writer)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)

    def read_all(self):
        os.set_blocking(self.reader, False)
        data = b""
        while True:
            try:
                data += os.read(self.reader, 1 << 20)
            except BlockingIOError:
                return data

    def test_a_stalled_reader_does_not_block_writes(self):
        # The log collector stops reading and the pipe fills up. A blocking write would
        # stall all requests. Lines must be dropped and counted instead, and only
        # complete lines may follow once the collector reads again.
        line = "x" * 999 + "\n"
        for _ in range(200):
            self.sink.write(line)
        self.assertGreater(self.sink.dropped_total, 0)
        before = self.read_all()
        self.sink.write("back\n")
        self.sink.write("again\n")
        after = self.read_all()
        lines = (before + after).decode().splitlines()
        self.assertEqual(lines[-1], "again")
        notices = [item for item in lines if "Log lines dropped." in item]
        self.assertEqual(len(notices), 1)
        self.assertTrue(all(item in (*notices, "back", "again", "x" * 999) for item in lines))

    def test_a_closed_reader_does_not_block_writes(self):
        reader, writer = os.pipe()
        sink = LogSink(writer)
        os.close(reader)
        # With gevent, a file descriptor is closed in the next loop iteration.
        gevent.sleep(0.01)
        sink.write("line\n")
        self.assertEqual(sink.dropped_total, 1)
        os.close(writer)


class LogRateLimiterTest(unittest.TestCase):
    def setUp(self):
        self.time = 0.0
        self.limiter = LogRateLimiter(lambda: self.time, lines_per_s=3)

    def passes(self, event):
        try:
            return self.limiter(None, "info", {"event": event})
        except structlog.DropEvent:
            return None

    def test_routine_lines_do_not_displace_failures(self):
        # At four times the normal load, successes alone would use up the limit.
        routine = [self.passes("Answered.") for _ in range(10)]
        self.assertEqual(sum(item is not None for item in routine), 3)
        self.assertIsNotNone(self.passes("Request failed."))

    def test_the_next_line_counts_suppressed_lines(self):
        for _ in range(10):
            self.passes("Answered.")
        self.time = 1.0
        self.assertEqual(self.passes("Answered.")["lines_left_out"], 7)
        self.assertNotIn("lines_left_out", self.passes("Answered."))

    def test_lines_name_their_host(self):
        self.assertEqual(HostField("h")(None, "info", {"event": "x"})["host"], "h")
