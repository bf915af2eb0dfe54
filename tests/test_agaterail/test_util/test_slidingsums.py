from __future__ import annotations

import unittest

from agaterail.util.slidingsums import SlidingSums


class SlidingSumsTest(unittest.TestCase):
    def test_entries_leave_with_the_window(self):
        sums = SlidingSums(2.0)
        sums.add(0.5, 3, now=0.0)
        sums.add(0.25, 4, now=1.0)
        self.assertEqual((sums.seconds, sums.count), (0.75, 7))
        sums.expire(2.0)
        self.assertEqual((sums.seconds, sums.count), (0.75, 7))
        sums.expire(2.5)
        self.assertEqual((sums.seconds, sums.count), (0.25, 4))
        sums.expire(9.0)
        self.assertEqual((sums.seconds, sums.count), (0.0, 0))

    def test_no_rounding_error_remains_in_an_empty_window(self):
        sums = SlidingSums(0.5)
        for step in range(100):
            sums.add(0.1, 1, now=0.1 * step)
        sums.expire(99.0)
        self.assertEqual(sums.seconds, 0.0)
