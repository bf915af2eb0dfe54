from __future__ import annotations

import unittest

from agaterail.transfers import (
    MAX_EXPORT_AGE_S,
    REEXPORT_INTERVAL_S,
    SOURCE_BACKOFF_S,
    ExportQueue,
    ImportLimits,
    Source,
    plan_import,
)

KEYS = tuple(bytes([number]) for number in range(6))


class PlanImportTest(unittest.TestCase):
    def plan(self, depth, cached_blocks, import_ms=10.0, prefill_ms=50.0):
        return plan_import(Source("store", depth), cached_blocks, import_ms, prefill_ms)

    def test_only_missing_blocks_are_copied(self):
        transfer = self.plan(depth=8, cached_blocks=3)
        self.assertEqual((transfer.start, transfer.end), (3, 8))
        self.assertEqual((transfer.transfer_ms, transfer.saved_ms), (50.0, 250.0))

    def test_a_copy_that_saves_little_or_nothing_is_not_planned(self):
        self.assertIsNone(self.plan(depth=3, cached_blocks=3))
        self.assertIsNone(self.plan(depth=2, cached_blocks=5))
        self.assertIsNone(self.plan(depth=8, cached_blocks=3, import_ms=50.0))
        self.assertIsNone(self.plan(depth=8, cached_blocks=3, import_ms=0.0))
        self.assertIsNone(self.plan(depth=1, cached_blocks=0, import_ms=45.0))


class ImportLimitsTest(unittest.TestCase):
    def test_imports_of_one_engine_are_bounded(self):
        limits = ImportLimits(limit=1)
        self.assertTrue(limits.begin("a", "store", 0.0))
        self.assertFalse(limits.begin("a", "store", 0.0))
        self.assertTrue(limits.begin("b", "store", 0.0))
        limits.end("a", "store", True, 1.0)
        self.assertTrue(limits.begin("a", "store", 1.0))

    def test_a_failed_store_is_not_used_during_its_backoff(self):
        # The store is down, so each request that waits for an import is delayed.
        # Only the first one per backoff may be.
        limits = ImportLimits()
        limits.begin("a", "store", 0.0)
        limits.end("a", "store", False, 1.0)
        self.assertFalse(limits.begin("a", "store", 1.0 + SOURCE_BACKOFF_S / 2))
        self.assertTrue(limits.begin("a", "store", 1.0 + SOURCE_BACKOFF_S))


class ExportQueueTest(unittest.TestCase):
    def setUp(self):
        self.queue = ExportQueue(limit=2)

    def use(self, keys, now, engine="a"):
        self.queue.record_use(engine, keys, now)

    def due(self, now):
        return [(use.engine, use.keys) for use in self.queue.due(now)]

    def test_the_least_recently_used_prefix_is_exported_first(self):
        for now, last in ((0.0, 3), (0.1, 4), (0.2, 3), (0.3, 4)):
            self.use(KEYS[:last], now)
        self.assertEqual(self.due(1.0), [("a", KEYS[:3])])

    def test_a_prefix_used_once_or_long_ago_is_not_exported(self):
        self.use(KEYS[:3], 0.0)
        self.assertEqual(self.due(1.0), [])
        self.use(KEYS[:3], 1.0)
        self.assertEqual(self.due(2.0), [("a", KEYS[:3])])
        self.assertEqual(self.due(2.0 + MAX_EXPORT_AGE_S), [])

    def test_an_exported_prefix_is_not_exported_again_soon(self):
        self.use(KEYS[:3], 0.0)
        self.use(KEYS[:3], 0.0)
        self.queue.mark_exported(self.queue.due(1.0)[0], 1.0)
        self.use(KEYS[:3], 2.0)
        self.assertEqual(self.due(3.0), [])
        self.use(KEYS[:3], REEXPORT_INTERVAL_S)
        self.assertEqual(self.due(REEXPORT_INTERVAL_S + 1.0), [("a", KEYS[:3])])

    def test_the_engine_that_used_it_last_exports(self):
        self.use(KEYS[:3], 0.0, "a")
        self.use(KEYS[:3], 0.1, "b")
        self.assertEqual(self.due(1.0), [("b", KEYS[:3])])

    def test_memory_is_bounded(self):
        for start in range(4):
            self.use(KEYS[start : start + 2], 0.0)
        self.assertEqual(len(self.queue.uses), 2)
