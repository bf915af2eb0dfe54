from __future__ import annotations

import unittest

from agaterail.heat import MAX_EXTRA_REPLICAS, HotKeyTracker


def run(tracker, key, start_s, rate, seconds):
    """Send requests at a steady rate and return the extra engines after each."""
    count = int(rate * seconds)
    return [tracker.on_request(key, start_s + number / rate) for number in range(count)]


class HotKeyTrackerTest(unittest.TestCase):
    def test_the_rate_of_a_steady_stream_is_found(self):
        tracker = HotKeyTracker()
        run(tracker, b"k", 0.0, 20.0, 60.0)
        self.assertAlmostEqual(tracker.rate_per_s(b"k", 60.0), 20.0, delta=2.0)

    def test_replicas_of_a_hot_key_grow_and_shrink_with_hysteresis(self):
        # A rate that fluctuates around a threshold must not change the candidates
        # each time: every engine that is added recomputes the whole prefix.
        tracker = HotKeyTracker(replica_rate_per_s=10.0)
        self.assertEqual(run(tracker, b"k", 0.0, 25.0, 60.0)[-1], 2)
        self.assertEqual(set(run(tracker, b"k", 60.0, 18.0, 60.0)), {2})
        self.assertEqual(run(tracker, b"k", 120.0, 4.0, 60.0)[-1], 0)

    def test_rates_are_those_of_all_daemons(self):
        tracker = HotKeyTracker(replica_rate_per_s=10.0)
        tracker.members = 8
        self.assertEqual(run(tracker, b"k", 0.0, 4.0, 60.0)[-1], 3)

    def test_replicas_and_memory_are_bounded(self):
        tracker = HotKeyTracker(max_keys=100)
        self.assertEqual(run(tracker, b"hot", 0.0, 2000.0, 10.0)[-1], MAX_EXTRA_REPLICAS)
        for number in range(1000):
            tracker.on_request(str(number).encode(), 10.0)
        self.assertLessEqual(len(tracker.keys), 100)
        self.assertIn(b"hot", tracker.keys)
