from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from agaterail.gateway.controlstore import LeaseEntry
from agaterail.gateway.orderlease import TERM_S, OrderLease

GAP_S = 3.0


class FakeLog:
    """Log that accepts an append only if it names the current end."""

    def __init__(self):
        self.entries = []

    def read(self):
        newest = self.entries[-1] if self.entries else None
        return newest, len(self.entries)

    def append(self, entry, at):
        if at != len(self.entries):
            return None
        self.entries.append(entry)
        return at


def acquire(lease, log, now, answer_lost=False):
    lease.observe(*log.read(), now)
    if lease.wait_s(now) > 0.0:
        return False
    at = lease.end
    lease.begin_append(at, now)
    offset = log.append(LeaseEntry(lease.host, lease.boot), at)
    if offset is None:
        lease.mark_lost()
        return False
    if not answer_lost:
        lease.complete_append(offset)
    return True


class OrderLeaseTest(unittest.TestCase):
    def setUp(self):
        self.log = FakeLog()
        self.one = OrderLease("one", "b1", GAP_S)
        self.other = OrderLease("other", "b2", GAP_S)

    def test_the_first_of_two_appends_wins(self):
        self.one.observe(*self.log.read(), 0.0)
        self.other.observe(*self.log.read(), 0.0)
        self.one.begin_append(0, 0.0)
        self.other.begin_append(0, 0.0)
        self.assertEqual(self.log.append(LeaseEntry("one", "b1"), 0), 0)
        self.assertIsNone(self.log.append(LeaseEntry("other", "b2"), 0))

    def test_another_host_waits_for_the_term_and_the_gap(self):
        # The holder is suspended right after an order. If another host ordered soon
        # after, engines would see orders of the two alternate.
        self.assertTrue(acquire(self.one, self.log, 0.0))
        self.assertFalse(acquire(self.other, self.log, 1.0))
        self.assertFalse(acquire(self.other, self.log, 1.0 + TERM_S + GAP_S - 0.1))
        self.assertTrue(acquire(self.other, self.log, 1.0 + TERM_S + GAP_S + 0.1))
        self.assertGreater(self.other.fencing, self.one.fencing)

    def test_other_hosts_know_whether_the_lease_is_held(self):
        self.other.observe(*self.log.read(), 0.0)
        self.assertFalse(self.other.is_held(0.0))
        acquire(self.one, self.log, 0.0)
        self.other.observe(*self.log.read(), 0.1)
        self.assertTrue(self.one.is_held(0.1))
        self.assertTrue(self.other.is_held(0.1))
        self.assertFalse(self.one.is_held(TERM_S + 0.1))
        # A term plus the propagation delay has passed without a renewal.
        self.assertFalse(self.other.is_held(0.1 + TERM_S + 0.7))

    def test_a_released_lease_is_not_held(self):
        acquire(self.one, self.log, 0.0)
        released = self.one.release(0.5)
        self.log.append(released, self.one.end)
        self.other.observe(*self.log.read(), 0.6)
        self.assertFalse(self.other.is_held(0.6))

    def test_a_suspended_holder_gives_no_orders(self):
        acquire(self.one, self.log, 0.0)
        self.assertGreater(self.one.remaining_s(1.0), 0.0)
        self.assertEqual(self.one.remaining_s(TERM_S), 0.0)

    def test_a_restarted_host_reacquires_its_own_lease_at_once(self):
        acquire(self.one, self.log, 0.0)
        again = OrderLease("one", "b9", GAP_S)
        self.assertTrue(acquire(again, self.log, 0.5))

    def test_an_append_whose_answer_was_lost_counts_from_when_it_was_sent(self):
        acquire(self.one, self.log, 0.0, answer_lost=True)
        self.assertEqual(self.one.remaining_s(0.1), 0.0)
        self.one.observe(*self.log.read(), 1.0)
        self.assertEqual(self.one.fencing, 0)
        self.assertGreater(self.one.remaining_s(1.0), 0.0)
        self.assertEqual(self.one.remaining_s(1.6), 0.0)

    def test_after_a_release_the_next_host_waits_only_for_the_gap(self):
        # All hosts are restarted in turn during a rollout. If each term had to expire,
        # engines would keep their outdated weights.
        acquire(self.one, self.log, 0.0)
        self.one.ordered_at = 0.5
        at = self.one.end
        released = self.one.release(1.5)
        self.assertEqual(self.one.remaining_s(1.5), 0.0)
        self.log.append(released, at)
        self.assertFalse(acquire(self.other, self.log, 1.6))
        self.assertFalse(acquire(self.other, self.log, 1.6 + GAP_S - 1.0 - 0.1))
        self.assertTrue(acquire(self.other, self.log, 1.6 + GAP_S - 1.0 + 0.1))

    def test_after_a_release_without_orders_the_next_host_need_not_wait(self):
        acquire(self.one, self.log, 0.0)
        at = self.one.end
        self.log.append(self.one.release(0.5), at)
        self.assertTrue(acquire(self.other, self.log, 0.6))

    def test_records_that_expired_unread_are_waited_out(self):
        # The log's history was truncated and contained records of another host. A host
        # that kept naming the old end could never append again.
        acquire(self.one, self.log, 0.0)
        self.one.skip_records(7, 1.0)
        self.assertEqual((self.one.end, self.one.remaining_s(1.0)), (7, 0.0))
        self.assertGreater(self.one.wait_s(1.0 + TERM_S), 0.0)
        self.assertEqual(self.one.wait_s(1.0 + TERM_S + GAP_S), 0.0)

    def test_a_read_older_than_the_own_append_is_ignored(self):
        before = self.log.read()
        acquire(self.one, self.log, 0.0)
        self.one.observe(*before, 0.1)
        self.assertEqual(self.one.end, 1)

    def test_a_lost_lease_permits_no_orders(self):
        acquire(self.one, self.log, 0.0)
        self.one.mark_lost()
        self.assertEqual(self.one.remaining_s(0.1), 0.0)

    @given(
        st.lists(
            st.tuples(st.integers(0, 2), st.floats(0.0, 2.5), st.booleans(), st.booleans()),
            max_size=60,
        )
    )
    def test_orders_of_two_hosts_never_alternate_within_the_gap(self, steps):
        log = FakeLog()
        leases = [OrderLease(f"h{number}", "b", GAP_S) for number in range(3)]
        now, orders, numbers = 0.0, [], {}
        for number, pause, answer_lost, stops in steps:
            now += pause
            lease = leases[number]
            if lease.remaining_s(now) <= 0.0 or lease.needs_renewal(now):
                acquire(lease, log, now, answer_lost)
            if lease.remaining_s(now) > 0.0:
                lease.ordered_at = now
                orders.append((now, number))
                numbers.setdefault(lease.fencing, number)
                self.assertEqual(numbers[lease.fencing], number)
            if stops and (at := lease.end) is not None:
                entry = lease.release(now)
                if entry is not None:
                    log.append(entry, at)
        for (before, first), (after, second) in zip(orders, orders[1:], strict=False):
            if first != second:
                self.assertGreaterEqual(after - before, GAP_S)
