from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from agaterail.chat import Message
from agaterail.prefix import ByteTokenizer, Scope, compute_prefix

parts = st.text(max_size=6)
scopes = st.builds(Scope, parts, parts, parts, parts)


class ScopeTest(unittest.TestCase):
    @given(scopes, scopes)
    def test_different_scopes_share_no_key(self, one, other):
        messages = [Message("user", "x" * 100)]
        keys = [
            compute_prefix(scope, messages, ByteTokenizer(1), 10).keys
            for scope in (one, other)
        ]
        self.assertEqual(one == other, not set(keys[0]).isdisjoint(keys[1]))


class ComputePrefixTest(unittest.TestCase):
    def compute(self, *contents):
        messages = [Message("user", content) for content in contents]
        return compute_prefix(Scope("w", "m", "", "v"), messages, ByteTokenizer(1), 10)

    def test_equal_beginnings_share_their_leading_keys(self):
        # With its role and two newlines, the first message takes 106 bytes: 10
        # full blocks and 6 bytes. The 11th block is shared too, because its other
        # 4 bytes are the role of the second message.
        one, other = self.compute("a" * 100, "b" * 50), self.compute("a" * 100, "c" * 50)
        shared = [x == y for x, y in zip(one.keys, other.keys, strict=True)]
        self.assertEqual(shared, [True] * 11 + [False] * 5)
        self.assertEqual(one.level_blocks, (10,))

    def test_the_question_does_not_change_the_placement(self):
        one = self.compute("instructions", "history", "one question")
        other = self.compute("instructions", "history", "another")
        self.assertEqual(one.placement_key, other.placement_key)

    def test_another_history_changes_the_placement(self):
        one = self.compute("instructions", "history", "question")
        other = self.compute("instructions", "other history", "question")
        self.assertNotEqual(one.placement_key, other.placement_key)
