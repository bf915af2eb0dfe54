from __future__ import annotations

import json
import unittest

from agaterail.gateway.kvstoreindex import CacheChange
from agaterail.platform.cacheevents import decode_cache_changes

ANSWER = {
    "boot_epoch": 77120,
    "next": 120,
    "lost": False,
    "events": [
        [118, "+", "v1", "5c1e07a2", 800, "m"],
        [119, "-", "v1", "91bd3f06", 128, "m"],
    ],
}


class DecodeCacheChangesTest(unittest.TestCase):
    def test_events_become_changes(self):
        batch = decode_cache_changes(json.dumps(ANSWER).encode())
        self.assertEqual((batch.epoch, batch.next_number), (77120, 120))
        held, dropped = batch.changes
        self.assertEqual(held, CacheChange("v1", "5c1e07a2", True))
        # A partially evicted part is useless to a prompt, which needs all of it.
        self.assertEqual(dropped, CacheChange("v1", "91bd3f06", False))

    def test_a_malformed_answer_is_rejected(self):
        for bad in (b"", b"[]", b"{}", b'{"boot_epoch":1,"next":2,"events":[[1,"+"]]}'):
            with self.assertRaises(ValueError):
                decode_cache_changes(bad)


if __name__ == "__main__":
    unittest.main()
