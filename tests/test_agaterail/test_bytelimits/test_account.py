from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from agaterail.bytelimits.account import ByteAccount, HeldBytes, Marks
from agaterail.util.units import BYTES_PER_MB

MARKS = Marks(low=100, high=200)


class MarksTest(unittest.TestCase):
    def test_what_is_held_and_its_copies_fit_beside_the_process(self):
        """The smallest hosts have 128 MB, of which an idle process takes up to 60."""
        for memory_mb in (128, 150, 256, 1024):
            marks = Marks.of_memory(memory_mb)
            self.assertLess(marks.low, marks.high)
            self.assertLessEqual(60 * BYTES_PER_MB + 2 * marks.high, memory_mb * BYTES_PER_MB)
            self.assertGreater(marks.low, memory_mb * BYTES_PER_MB / 16)


class ByteAccountTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.account = ByteAccount(MARKS, lambda: self.now)
        self.ended = []

    def hold(self, size, name=""):
        held = HeldBytes(self.account)
        held.end = lambda: self.ended.append(name)
        held.add(size)
        return held

    def test_above_the_low_mark_it_is_full_until_well_below(self):
        held = self.hold(100)
        self.assertFalse(self.account.is_full())
        held.add(1)
        self.assertTrue(self.account.is_full())
        held.add(-30)
        self.assertTrue(self.account.is_full())
        held.add(-10)
        self.assertFalse(self.account.is_full())

    def test_above_the_high_mark_the_one_that_holds_most_for_longest_is_ended(self):
        """A large request that has just come must not pay for a slow reader."""
        self.hold(60, "slow")
        self.hold(20, "small")
        self.now = 10.0
        self.hold(120, "new")
        self.assertEqual(self.ended, [])
        self.hold(1)
        self.assertEqual(self.ended, ["slow"])

    def test_one_end_is_waited_for_before_the_next(self):
        slow = self.hold(150, "slow")
        self.now = 1.0
        for _ in range(3):
            self.hold(20, "other")
        self.assertEqual(self.ended, ["slow"])
        slow.clear()
        self.assertEqual(self.account.total, 60)
        self.now = 2.0
        self.hold(141, "new")
        self.assertEqual(self.ended, ["slow", "other"])

    def test_several_are_ended_if_one_is_not_enough(self):
        for number in range(10):
            self.hold(20, number)
        self.now = 1.0
        self.hold(45, "new")
        self.assertEqual(len(self.ended), 3)

    @given(st.lists(st.tuples(st.integers(0, 4), st.integers(-30, 30)), max_size=60))
    def test_the_total_is_the_sum_over_the_connections(self, changes):
        account = ByteAccount(MARKS, lambda: 0.0)
        helds = [HeldBytes(account) for _ in range(5)]
        for index, size in changes:
            helds[index].add(max(size, -helds[index].size))
            self.assertEqual(account.total, sum(held.size for held in helds))
            self.assertEqual(account.holders, {held for held in helds if held.size})
        for held in helds:
            held.clear()
        self.assertEqual(account.total, 0)
