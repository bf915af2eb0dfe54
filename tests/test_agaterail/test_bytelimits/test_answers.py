from __future__ import annotations

import unittest

from agaterail.bytelimits import answers
from agaterail.bytelimits.answers import (
    BOUNDS,
    FLOOD_PAUSE_S,
    TURN_BYTES,
    AnswerBoundExceeded,
    AnswerMeter,
    AnswerPart,
    BoundCounts,
)
from agaterail.util.units import BYTES_PER_MB

FRAMING = AnswerPart.FRAMING
LIMIT = BOUNDS[FRAMING].limit


class BoundsTest(unittest.TestCase):
    def test_each_part_has_a_bound(self):
        self.assertEqual(set(BOUNDS), set(AnswerPart))
        self.assertTrue(all(bound.unit and bound.reason for bound in BOUNDS.values()))

    def test_a_small_host_reads_smaller_answers_whole(self):
        self.assertEqual(answers.max_body_bytes(128), 8 * BYTES_PER_MB)
        self.assertEqual(answers.max_body_bytes(64_000), BOUNDS[AnswerPart.BODY].limit)

    def test_errors_are_counted_by_part(self):
        counts = BoundCounts()
        self.assertEqual(counts.record(AnswerBoundExceeded(FRAMING)), "framing")
        self.assertIsNone(counts.record(ConnectionResetError()))
        self.assertEqual(dict(counts.counts), {FRAMING: 1})


class AnswerMeterTest(unittest.TestCase):
    def setUp(self):
        self.meter = AnswerMeter()

    def read(self, size, body_bytes=0, has_head=False):
        self.meter.body_bytes, self.meter.has_head = body_bytes, has_head
        self.meter.end_read(size, FRAMING)

    def test_bytes_without_a_body_are_bounded(self):
        self.read(LIMIT)
        with self.assertRaises(AnswerBoundExceeded) as raised:
            self.read(1)
        self.assertIs(raised.exception.part, FRAMING)

    def test_an_endless_stream_of_small_chunks_is_within_the_bound(self):
        for _ in range(100_000):
            self.read(len(b"1\r\nx\r\n"), body_bytes=1)

    def test_a_byte_now_and_then_does_not_justify_endless_extensions(self):
        with self.assertRaises(AnswerBoundExceeded):
            for _ in range(1000):
                self.read(1024, body_bytes=1)

    def test_a_head_starts_the_count_anew(self):
        for _ in range(3):
            self.read(LIMIT)
            self.read(100, has_head=True)

    def test_a_request_starts_the_counts_anew(self):
        for _ in range(3):
            self.meter.begin_request()
            for _ in range(BOUNDS[AnswerPart.INFORMATIONAL].limit):
                self.meter.add_informational()
            for _ in range(BOUNDS[AnswerPart.SKIPPED].limit):
                self.meter.add_skipped()
            self.meter.add_skipped_body(BOUNDS[AnswerPart.SKIPPED_BODY].limit)
        for add in (self.meter.add_informational, self.meter.add_skipped):
            with self.assertRaises(AnswerBoundExceeded):
                add()
        with self.assertRaises(AnswerBoundExceeded):
            self.meter.add_skipped_body(1)

    def test_large_and_many_small_reads_end_a_turn(self):
        for size, most in ((16 * 1024, 1), (1, 16)):
            reads = 1
            while self.meter.turn_pause_s(size) is None:
                reads += 1
            self.assertLessEqual(reads, most)
            self.assertLess(self.meter.turn_bytes, TURN_BYTES)

    def test_a_flood_of_tiny_chunks_leaves_others_more_time(self):
        """Beside several of them, the events of other streams were late."""
        self.read(TURN_BYTES, body_bytes=TURN_BYTES - 100)
        self.assertEqual(self.meter.turn_pause_s(TURN_BYTES), 0.0)
        self.read(TURN_BYTES, body_bytes=TURN_BYTES // 2)
        self.assertEqual(self.meter.turn_pause_s(TURN_BYTES), FLOOD_PAUSE_S)
