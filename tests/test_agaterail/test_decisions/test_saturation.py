from __future__ import annotations

import unittest

from agaterail.decisions.saturation import LATE_CALLS, RECOVERY_S, Saturation


class SaturationTest(unittest.TestCase):
    def setUp(self):
        self.saturation = Saturation()
        self.now = 0.0

    def record(self, late_s, count=1):
        for _ in range(count):
            self.now += 0.1
            self.saturation.record(late_s, self.now)
        return self.saturation.is_saturated

    def test_a_single_pause_is_no_saturation(self):
        """A daemon that woke after a freeze turned its callers away."""
        self.assertFalse(self.record(5.0))
        self.assertFalse(self.record(0.0))

    def test_several_late_calls_in_a_row_are(self):
        self.assertFalse(self.record(0.2, LATE_CALLS - 1))
        self.assertTrue(self.record(0.2))

    def test_it_ends_after_a_time_without_late_calls(self):
        """It ended and began again with every pass of the loop."""
        self.record(0.2, LATE_CALLS)
        self.assertTrue(self.record(0.0, round(RECOVERY_S / 0.1) - 1))
        self.assertTrue(self.record(0.05))
        self.assertTrue(self.record(0.0, round(RECOVERY_S / 0.1)))
        self.assertFalse(self.record(0.0))
