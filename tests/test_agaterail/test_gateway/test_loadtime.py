from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from agaterail.gateway.loadtime import ASSUMED_PART, KEPT_LOADS, LoadTime

ALLOWED_S = 8.0


class LoadTimeTest(unittest.TestCase):
    def setUp(self):
        self.load_time = LoadTime(ALLOWED_S)

    def test_before_the_first_load_the_assumed_value_holds(self):
        self.assertIsNone(self.load_time.known_s)
        self.assertEqual(self.load_time.load_s, ALLOWED_S * ASSUMED_PART)

    @given(real=st.floats(0.3, 8.0))
    def test_it_follows_what_is_seen(self, real):
        load_time = LoadTime(ALLOWED_S)
        for _ in range(3):
            load_time.note(real)
        self.assertAlmostEqual(load_time.load_s, real)

    @given(real=st.floats(0.3, 8.0), wrong=st.floats(0.05, 15.0))
    def test_an_outlier_changes_nothing(self, real, wrong):
        # One order is carried out late, or its effect is seen with a heartbeat only.
        load_time = LoadTime(ALLOWED_S)
        for seconds in (real, real, wrong, real):
            load_time.note(seconds)
        self.assertAlmostEqual(load_time.load_s, real)

    def test_engines_that_are_replaced_by_slower_ones_are_learned(self):
        for _ in range(KEPT_LOADS):
            self.load_time.note(0.4)
        for _ in range(KEPT_LOADS // 2 + 1):
            self.load_time.note(3.0)
        self.assertEqual(self.load_time.load_s, 3.0)

    def test_what_cannot_be_a_load_is_left_out(self):
        self.load_time.note(-1.0)
        self.load_time.note(60.0)
        self.load_time.adopt(0.0)
        self.assertIsNone(self.load_time.known_s)

    def test_the_value_of_another_giver_of_orders_replaces_the_own(self):
        self.load_time.note(1.9)
        self.load_time.adopt(0.5)
        self.assertEqual(self.load_time.load_s, 0.5)


if __name__ == "__main__":
    unittest.main()
