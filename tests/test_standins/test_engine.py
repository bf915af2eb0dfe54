from __future__ import annotations

import unittest

import gevent
from hypothesis import given
from hypothesis import strategies as st

from standins.engine import BlockCache, EngineConfig, EngineStandIn, Job

CAPACITY = 6
KEYS = [bytes([number]) for number in range(5)]


class NaiveCache:
    """Reference implementation: a list of keys, least recently used first."""

    def __init__(self):
        self.keys = []

    def match_prefix(self, keys):
        count = next(
            (index for index, key in enumerate(keys) if key not in self.keys), len(keys)
        )
        self._touch(keys[:count])
        return count

    def store(self, keys):
        self._touch(keys)
        self.keys = self.keys[-CAPACITY:]

    def _touch(self, keys):
        self.keys = [key for key in self.keys if key not in keys] + list(reversed(keys))


def chain(branch, length):
    return tuple(branch + bytes([number]) for number in range(length))


class BlockCacheTest(unittest.TestCase):
    @given(st.lists(st.tuples(st.booleans(), st.sampled_from(KEYS), st.integers(1, 5))))
    def test_against_naive_cache(self, steps):
        cache, naive = BlockCache(CAPACITY), NaiveCache()
        for store, branch, length in steps:
            keys = chain(branch, length)
            if store:
                cache.store(keys)
                naive.store(keys)
            else:
                self.assertEqual(cache.match_prefix(keys), naive.match_prefix(keys))
            self.assertEqual(list(cache.keys), naive.keys)

    @given(st.lists(st.tuples(st.sampled_from(KEYS), st.integers(1, 5))))
    def test_events_reproduce_cache_contents(self, steps):
        cache, reported = BlockCache(CAPACITY), set()
        for branch, length in steps:
            cache.store(chain(branch, length))
        for _, _, kind, keys in cache.events:
            reported = reported | set(keys) if kind == "stored" else reported - set(keys)
        self.assertEqual(reported, {key.hex() for key in cache.keys})


def job(keys):
    return Job((-5, 0), "id", keys, prompt_tokens=100, max_tokens=1, answer_id="a")


class EngineTest(unittest.TestCase):
    def test_predicted_queue_counts_blocks_of_waiting_jobs(self):
        engine = EngineStandIn(EngineConfig(block_tokens=50, prefill_ms_per_token=1.0))
        engine.waiting = [job((b"a", b"b")), job((b"a", b"c"))]
        held, queue_ms = engine._predict_cache_and_queue()
        self.assertEqual(queue_ms, 100 + 50)
        self.assertIn(b"c", held)

    def test_prefill_interrupted_by_crash_is_not_cached(self):
        # The engine crashes during a prefill and restarts with an empty cache. If
        # the old prefill still filled the new cache, the stand-in would report hits
        # that are impossible for a real engine. The caller's stream is cut.
        engine = EngineStandIn(EngineConfig(block_tokens=50, prefill_ms_per_token=0.1))
        crashed = job((b"a", b"b"))
        engine.jobs["id"] = crashed
        prefill = gevent.spawn(engine._prefill, crashed)
        gevent.sleep(0)
        engine._crash(None)
        prefill.join()
        self.assertEqual(list(engine.cache.keys), [])
        self.assertEqual(engine.running, [])
        self.assertTrue(crashed.cancelled)
