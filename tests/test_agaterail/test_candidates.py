from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from agaterail.candidates import MAX_EXACT_DEPTH, sample_prefix, split_keys
from agaterail.engines import CacheContents
from agaterail.index import EngineIndex
from agaterail.prefix import Prefix


def prefix_of(blocks, *levels):
    keys = tuple((number + 1).to_bytes(8, "little") + bytes(8) for number in range(blocks))
    return Prefix(keys, levels, blocks * 10, b"placement")


class SamplePrefixTest(unittest.TestCase):
    def test_short_prompts_send_every_key(self):
        sample = sample_prefix(prefix_of(30, 4))
        self.assertTrue(sample.exact)
        self.assertEqual(split_keys(sample.keys), list(range(1, 31)))

    def test_long_prompts_fit_a_datagram(self):
        self.assertLess(len(sample_prefix(prefix_of(20_000, 4, 9000)).keys), 3000)

    @given(st.integers(0, 600), st.integers(0, 600))
    def test_the_depth_found_is_close_to_the_true_one(self, blocks, cached):
        prefix = prefix_of(blocks, blocks // 3)
        index = EngineIndex(0.0)
        index.on_contents(CacheContents("a", 0, prefix.keys[:cached]), 0.0, 0.0)
        sample = sample_prefix(prefix)
        depth = index.lookup(split_keys(sample.keys), sample.depths, 0.0).depth
        true = min(blocks, cached)
        self.assertLessEqual(depth, true)
        self.assertGreaterEqual(depth, true - true * 2 // MAX_EXACT_DEPTH - 1)
