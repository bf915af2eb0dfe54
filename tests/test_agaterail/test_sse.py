from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from agaterail.sse import FrameValidator


def frames(count):
    made = [f"id: {number}\ndata: {number}\n\n".encode() for number in range(count)]
    return [*made, f"id: {count}\ndata: [DONE]\n\n".encode()]


class FrameValidatorTest(unittest.TestCase):
    @given(st.integers(0, 20), st.lists(st.integers(1, 30), max_size=30))
    def test_a_stream_split_at_any_points_is_reassembled(self, count, chunk_sizes):
        data = b"".join(frames(count))
        validator = FrameValidator()
        out = b""
        for size in [*chunk_sizes, len(data)]:
            out += validator.accept(data[:size])
            data = data[size:]
        self.assertEqual(out, b"".join(frames(count)))
        self.assertTrue(validator.finished)

    def test_a_repeated_frame_is_dropped(self):
        sent = frames(3)
        validator = FrameValidator()
        out = validator.accept(b"".join([*sent[:2], sent[1], *sent[2:]]))
        self.assertEqual(out, b"".join(sent))

    def test_nothing_follows_a_missing_frame(self):
        # The engine loses frame 1. The caller gets frame 0 and then the error event of
        # the relay, never a text with a gap.
        sent = frames(3)
        validator = FrameValidator()
        out = validator.accept(b"".join([sent[0], *sent[2:]]))
        self.assertEqual(out, sent[0])
        self.assertTrue(validator.broken)
        self.assertFalse(validator.finished)

    def test_a_frame_without_a_position_is_an_error(self):
        validator = FrameValidator()
        self.assertEqual(validator.accept(b"data: x\n\n"), b"")
        self.assertTrue(validator.broken)
