from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from agaterail.gateway.loadtime import ASSUMED_FRACTION, MAX_SAMPLES, LoadTime

ALLOWED_S = 8.0


class LoadTimeTest(unittest.TestCase):
    def setUp(self):
        self.load_time = LoadTime(ALLOWED_S)

    def test_the_assumed_value_is_used_before_the_first_load(self):
        self.assertIsNone(self.load_time.known_s)
        self.assertEqual(self.load_time.load_s, ALLOWED_S * ASSUMED_FRACTION)

    @given(real=st.floats(0.3, 8.0))
    def test_the_estimate_follows_the_observations(self, real):
        load_time = LoadTime(ALLOWED_S)
        for _ in range(3):
            load_time.record(real)
        self.assertAlmostEqual(load_time.load_s, real)

    @given(real=st.floats(0.3, 8.0), wrong=st.floats(0.05, 15.0))
    def test_an_outlier_changes_nothing(self, real, wrong):
        # An order is carried out late, or its effect shows only with a heartbeat.
        load_time = LoadTime(ALLOWED_S)
        for seconds in (real, real, wrong, real):
            load_time.record(seconds)
        self.assertAlmostEqual(load_time.load_s, real)

    def test_the_estimate_adapts_to_slower_engines(self):
        for _ in range(MAX_SAMPLES):
            self.load_time.record(0.4)
        for _ in range(MAX_SAMPLES // 2 + 1):
            self.load_time.record(3.0)
        self.assertEqual(self.load_time.load_s, 3.0)

    def test_implausible_durations_are_ignored(self):
        self.load_time.record(-1.0)
        self.load_time.record(60.0)
        self.load_time.adopt(0.0)
        self.assertIsNone(self.load_time.known_s)

    def test_the_value_of_another_lease_holder_replaces_the_local_one(self):
        self.load_time.record(1.9)
        self.load_time.adopt(0.5)
        self.assertEqual(self.load_time.load_s, 0.5)


if __name__ == "__main__":
    unittest.main()
