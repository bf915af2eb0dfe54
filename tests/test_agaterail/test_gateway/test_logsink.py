from __future__ import annotations

import os
import unittest

import gevent
import structlog

from agaterail.gateway.logbudget import HostField, LogBudget
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

    def test_a_reader_that_stalls_holds_nobody_up(self):
        # The log collector stops reading and the pipe fills. Callers would wait
        # for a blocking write; instead lines are dropped and counted, and whole
        # lines follow when the reader is back.
        line = "x" * 999 + "\n"
        for _ in range(200):
            self.sink.write(line)
        self.assertGreater(self.sink.dropped_in_all, 0)
        before = self.read_all()
        self.sink.write("back\n")
        self.sink.write("again\n")
        after = self.read_all()
        lines = (before + after).decode().splitlines()
        self.assertEqual(lines[-1], "again")
        notes = [item for item in lines if "Log lines dropped." in item]
        self.assertEqual(len(notes), 1)
        self.assertTrue(all(item in (*notes, "back", "again", "x" * 999) for item in lines))

    def test_a_reader_that_is_gone_holds_nobody_up(self):
        reader, writer = os.pipe()
        sink = LogSink(writer)
        os.close(reader)
        # Under gevent a descriptor is closed with the loop's next turn.
        gevent.sleep(0.01)
        sink.write("line\n")
        self.assertEqual(sink.dropped_in_all, 1)
        os.close(writer)


class LogBudgetTest(unittest.TestCase):
    def setUp(self):
        self.time = 0.0
        self.budget = LogBudget(lambda: self.time, lines_per_s=3)

    def passes(self, sentence):
        try:
            return self.budget(None, "info", {"event": sentence})
        except structlog.DropEvent:
            return None

    def test_routine_lines_never_take_the_place_of_failures(self):
        # Four times the usual callers: successes alone would fill the log.
        routine = [self.passes("Answered.") for _ in range(10)]
        self.assertEqual(sum(item is not None for item in routine), 3)
        self.assertIsNotNone(self.passes("Request failed."))

    def test_what_was_left_out_is_counted_in_the_next_line(self):
        for _ in range(10):
            self.passes("Answered.")
        self.time = 1.0
        self.assertEqual(self.passes("Answered.")["lines_left_out"], 7)
        self.assertNotIn("lines_left_out", self.passes("Answered."))

    def test_lines_name_their_host(self):
        self.assertEqual(HostField("h")(None, "info", {"event": "x"})["host"], "h")
