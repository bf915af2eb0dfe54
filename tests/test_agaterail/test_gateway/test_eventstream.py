from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from agaterail.gateway.eventstream import EventCutter


def event(number, text="x"):
    return b"id: %d\ndata: %s\n\n" % (number, text.encode())


class EventCutterTest(unittest.TestCase):
    def test_only_whole_events_are_passed_on(self):
        # The engine dies in the middle of an event. The caller must not get
        # its half, since the next run's events would be read as its rest.
        cutter = EventCutter()
        self.assertEqual(cutter.feed(event(1) + b"id: 2\nda"), event(1))
        self.assertEqual(cutter.rest, b"id: 2\nda")
        cutter.restart()
        self.assertEqual(cutter.feed(event(2)), event(2))

    def test_events_that_a_second_run_repeats_are_dropped(self):
        cutter = EventCutter()
        cutter.feed(event(1) + event(2))
        cutter.restart()
        self.assertEqual(cutter.feed(event(1) + event(2) + event(3)), event(3))

    def test_a_caller_that_continues_gets_what_follows_its_last_event(self):
        cutter = EventCutter(last_id=12)
        self.assertEqual(cutter.feed(event(12) + event(13)), event(13))

    def test_an_event_without_an_id_is_passed_on(self):
        self.assertEqual(EventCutter().feed(b": comment\n\n"), b": comment\n\n")

    def test_carriage_returns_end_events_too(self):
        data = b"id: 1\r\ndata: x\r\n\r\nid: 2\r\ndata: y\r\n\r\n"
        cutter = EventCutter()
        self.assertEqual(cutter.feed(data), data)
        self.assertEqual(cutter.last_id, 2)

    def test_an_event_without_end_is_given_up(self):
        cutter = EventCutter()
        cutter.feed(b"data: " + b"x" * (1024 * 1024 + 1))
        self.assertTrue(cutter.broken)

    @given(st.integers(1, 30), st.lists(st.integers(1, 40), max_size=40), st.integers(0, 30))
    def test_any_cut_gives_the_same_events_once(self, count, cuts, broken_at):
        whole = b"".join(event(number) for number in range(1, count + 1))
        cutter = EventCutter()
        seen = b""
        first = whole[: len(whole) * broken_at // 30]
        place = 0
        for length in [*cuts, len(whole)]:
            seen += cutter.feed(first[place : place + length])
            place += length
        cutter.restart()
        seen += cutter.feed(whole)
        self.assertEqual(seen, whole)
