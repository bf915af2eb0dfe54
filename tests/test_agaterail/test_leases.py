from __future__ import annotations

import itertools
import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from agaterail import codec
from agaterail.leases import LeaseAction, LeaseKeeper, LeaseRecord
from agaterail.logstore.memory import MemoryLogStore
from agaterail.records import LEASES_STREAM


class LeaseCandidate:
    """Candidate whose reads and appends are timed by the test."""

    def __init__(self, name, log, numbers):
        self.keeper = LeaseKeeper(name, lambda: f"{name}-{next(numbers)}")
        self.log = log
        self.next_offset = 0
        self.pending = None

    def read(self, now):
        read = self.log.read(LEASES_STREAM, self.next_offset).value_or(None)
        self.keeper.caught_up = read is not None
        if read is None:
            return
        for record in read.records:
            gap = record.offset != self.next_offset
            self.next_offset = record.offset + 1
            decoded = codec.decode(record.data, LeaseRecord).unwrap()
            self.keeper.observe(decoded, record.offset, now, gap)
        if self.next_offset < read.first:
            self.next_offset = read.end
            self.keeper.skip(read.end - 1, now)

    def prepare(self, now, rank=0):
        self.pending = self.keeper.next_record(now, rank)
        if self.pending is not None:
            self.keeper.on_send(self.pending, now)

    def send(self):
        if self.pending is not None:
            self.log.append(LEASES_STREAM, codec.encode(self.pending))
            self.pending = None

    def step(self, now, rank=0):
        self.read(now)
        self.prepare(now, rank)
        self.send()
        self.read(now)


class LeaseKeeperTest(unittest.TestCase):
    def setUp(self):
        self.log = MemoryLogStore()
        numbers = itertools.count()
        self.one = LeaseCandidate("one", self.log, numbers)
        self.other = LeaseCandidate("other", self.log, numbers)

    def test_the_first_offset_wins(self):
        for candidate in (self.one, self.other):
            candidate.read(0.0)
            candidate.prepare(0.0)
        self.other.send()
        self.one.send()
        for candidate in (self.one, self.other):
            candidate.read(0.0)
        self.assertEqual(self.one.keeper.remaining_s(0.0), 0.0)
        self.assertEqual(self.other.keeper.remaining_s(0.0), 10.0)

    def test_the_term_counts_from_before_the_append(self):
        # The append takes 4 s. Another candidate counts the term from its own
        # read of the record, so the holder must not count it from the answer.
        self.one.read(0.0)
        self.one.prepare(0.0)
        self.one.send()
        self.one.read(4.0)
        self.assertEqual(self.one.keeper.remaining_s(4.0), 6.0)

    def test_a_paused_holder_finds_its_lease_expired(self):
        # The holder is paused for 20 s and still has itself as holder in its
        # view. Its own clock tells it that the lease has expired; another
        # candidate has acquired it in the meantime.
        self.one.step(0.0)
        self.other.read(0.1)
        self.other.step(12.0)
        self.assertEqual(self.one.keeper.view.holder, "one")
        self.assertEqual(self.one.keeper.remaining_s(20.0), 0.0)
        self.assertGreater(self.other.keeper.view.fencing, self.one.keeper.view.fencing)

    def test_another_candidate_waits_the_whole_term(self):
        self.one.step(0.0)
        self.other.read(0.0)
        self.other.step(9.9)
        self.assertEqual(self.other.keeper.remaining_s(9.9), 0.0)

    def test_an_unanswered_append_is_found_by_reading(self):
        self.log.lose_answers = 1
        self.one.step(0.0)
        self.assertEqual(self.one.keeper.remaining_s(0.0), 10.0)

    def test_an_earlier_append_accepted_after_a_second_one_grants_no_time(self):
        # The first append seems to be lost and a second one is prepared. Then the
        # first one is accepted. Its send time is no longer known, so it must not
        # grant any time.
        self.one.read(0.0)
        self.one.prepare(0.0)
        first = self.one.pending
        self.one.prepare(9.0)
        self.one.pending = first
        self.one.send()
        self.one.read(9.0)
        self.assertEqual(self.one.keeper.remaining_s(9.0), 0.0)

    def test_expired_records_make_a_reader_wait_one_term(self):
        # All records expired unread, including the one of the current holder. A
        # reader that assumed the lease to be free would send orders at the same
        # time as the holder.
        self.one.step(0.0)
        self.log.expire(LEASES_STREAM, 99)
        self.other.read(1.0)
        self.assertEqual(self.other.keeper.view.last_offset, 0)
        self.other.step(1.0)
        self.assertEqual(self.other.keeper.remaining_s(1.0), 0.0)

    def test_a_paused_holder_does_not_acquire_over_expired_records(self):
        # The holder is paused, another candidate acquires the lease, and its
        # records expire before the first one reads again. The first one must
        # wait instead of renewing a lease that it has lost.
        self.one.step(0.0)
        self.other.read(0.0)
        self.other.step(12.0)
        self.log.expire(LEASES_STREAM, 99)
        self.one.step(13.0)
        self.assertEqual(self.one.keeper.remaining_s(13.0), 0.0)
        self.assertGreater(self.other.keeper.remaining_s(13.0), 0.0)


class LeaseMachine(RuleBasedStateMachine):
    """Three candidates with different clock origins, pauses, restarts and log faults."""

    names = st.sampled_from(["a", "b", "c"])

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.log = MemoryLogStore()
        numbers = itertools.count()
        self.origin = {"a": 0.0, "b": 500.0, "c": -70.0}
        self.candidates = {
            name: LeaseCandidate(name, self.log, numbers) for name in self.origin
        }

    def clock(self, name):
        return self.now + self.origin[name]

    @rule(name=names)
    def read(self, name):
        self.candidates[name].read(self.clock(name))

    @rule(name=names)
    def prepare(self, name):
        self.candidates[name].prepare(self.clock(name))

    @rule(name=names)
    def send(self, name):
        self.candidates[name].send()

    @rule(name=names)
    def step(self, name):
        self.candidates[name].step(self.clock(name))

    @rule(seconds=st.sampled_from([0.5, 3.0, 7.5, 11.0, 40.0]))
    def wait(self, seconds):
        self.now += seconds

    @rule(down=st.sampled_from([True, False, False, False]))
    def log_down(self, down):
        self.log.down = down

    @rule(seconds=st.sampled_from([4.0, 7.5, 9.0]))
    def all_read_then_wait(self, seconds):
        for name in self.candidates:
            self.read(name)
        self.now += seconds

    @rule()
    def lose_answer(self):
        self.log.lose_answers = 1

    @rule(name=names)
    def restart(self, name):
        numbers = itertools.count(int(self.now * 10) * 1000 + 1)
        self.candidates[name] = LeaseCandidate(f"{name}{self.now}", self.log, numbers)

    @rule(retained=st.integers(0, 2))
    def expire(self, retained):
        end = self.log.next_offset.get(LEASES_STREAM, 0)
        self.log.expire(LEASES_STREAM, end - retained)

    @invariant()
    def at_most_one_holds(self):
        holding = [
            name
            for name, candidate in self.candidates.items()
            if candidate.keeper.remaining_s(self.clock(name)) > 0.0
        ]
        assert len(holding) <= 1, holding


LeaseMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=40)
LeaseMachineTest = LeaseMachine.TestCase


class ReleaseTest(unittest.TestCase):
    def test_a_release_lets_another_candidate_acquire_at_once(self):
        log = MemoryLogStore()
        numbers = itertools.count()
        one, other = LeaseCandidate("one", log, numbers), LeaseCandidate("other", log, numbers)
        one.step(0.0)
        other.read(0.0)
        record = one.keeper.release()
        self.assertIs(record.action, LeaseAction.RELEASE)
        log.append(LEASES_STREAM, codec.encode(record))
        self.assertEqual(one.keeper.remaining_s(0.0), 0.0)
        other.step(0.1)
        self.assertEqual(other.keeper.remaining_s(0.1), 10.0)
