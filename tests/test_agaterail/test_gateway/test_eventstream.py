from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from agaterail.gateway.eventstream import EventSplitter


def event(number, text="x"):
    return b"id: %d\ndata: %s\n\n" % (number, text.encode())


class EventSplitterTest(unittest.TestCase):
    def test_only_complete_events_are_relayed(self):
        # The engine fails in the middle of an event. The caller must not get that
        # part, since it would parse the next run's events as the rest of it.
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(event(1) + b"id: 2\nda"), event(1))
        self.assertEqual(splitter.partial, b"id: 2\nda")
        splitter.discard_partial()
        self.assertEqual(splitter.feed(event(2)), event(2))

    def test_events_repeated_by_a_second_run_are_dropped(self):
        splitter = EventSplitter()
        splitter.feed(event(1) + event(2))
        splitter.discard_partial()
        self.assertEqual(splitter.feed(event(1) + event(2) + event(3)), event(3))

    def test_a_resumed_stream_starts_after_the_last_event_id(self):
        splitter = EventSplitter(last_id=12)
        self.assertEqual(splitter.feed(event(12) + event(13)), event(13))

    def test_an_event_without_an_id_is_relayed(self):
        self.assertEqual(EventSplitter().feed(b": comment\n\n"), b": comment\n\n")

    def test_crlf_ends_events_too(self):
        data = b"id: 1\r\ndata: x\r\n\r\nid: 2\r\ndata: y\r\n\r\n"
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(data), data)
        self.assertEqual(splitter.last_id, 2)

    def test_an_event_over_the_size_limit_breaks_the_stream(self):
        splitter = EventSplitter()
        splitter.feed(b"data: " + b"x" * (1024 * 1024 + 1))
        self.assertTrue(splitter.broken)

    @given(st.integers(1, 30), st.lists(st.integers(1, 40), max_size=40), st.integers(0, 30))
    def test_events_are_the_same_for_any_chunk_sizes(self, count, cuts, broken_at):
        whole = b"".join(event(number) for number in range(1, count + 1))
        splitter = EventSplitter()
        seen = b""
        first = whole[: len(whole) * broken_at // 30]
        place = 0
        for length in [*cuts, len(whole)]:
            seen += splitter.feed(first[place : place + length])
            place += length
        splitter.discard_partial()
        seen += splitter.feed(whole)
        self.assertEqual(seen, whole)
