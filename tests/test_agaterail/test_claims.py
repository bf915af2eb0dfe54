from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from agaterail import claims
from agaterail.claims import (
    Claim,
    ClaimBatch,
    ClaimOutcome,
    Finish,
    Partition,
    PartitionQueue,
    PendingClaim,
    Release,
    Verdict,
    VerdictKind,
)
from agaterail.logstore import LogErrorKind

KEYS = [bytes([number]) * claims.KEY_BYTES for number in range(2)]
DAEMONS = 3
RARELY = st.integers(0, 9).map(lambda number: number == 7)
MOSTLY = st.integers(0, 4).map(lambda number: number < 4)
APPEND_RESULTS = ["ok", "ok", "ok", "lost_after", "lost_before", "late", "down", "slow"]
WON, IN_PROGRESS = VerdictKind.WON, VerdictKind.IN_PROGRESS
FINISHED, UNAVAILABLE = VerdictKind.FINISHED, VerdictKind.UNAVAILABLE


def claim(attempt, key=KEYS[0], claimer="a"):
    return Claim(key, claimer, attempt)


def make_finish(attempt, outcome=ClaimOutcome.COMPLETED, key=KEYS[0], **fields):
    return Finish(key=key, attempt=attempt, outcome=outcome, **fields)


class Log:
    """Records of one stream; those before offset ``first`` have expired."""

    def __init__(self):
        self.records = []
        self.first = 0

    def read(self, offset, limit):
        start = max(offset, self.first)
        return [
            (number, self.records[number])
            for number in range(start, min(len(self.records), start + limit))
        ]


class Call:
    """One attempt of a request, with its claim and what its caller was told."""

    def __init__(self, key, daemon, incarnation, attempt):
        self.pending = PendingClaim(Claim(key, f"d{daemon}", attempt))
        self.daemon = daemon
        self.incarnation = incarnation
        self.ran = False
        self.answer = ""


class ClaimMachine(RuleBasedStateMachine):
    """Model of several daemons, a faulty log and a target with a journal.

    Messages between daemons may be lost. Appends may fail, stay unanswered or
    reach the log after the claimer gave up. Records may expire.
    """

    calls = Bundle("calls")

    def __init__(self):
        super().__init__()
        self.log = Log()
        self.delayed = []
        self.queues = [PartitionQueue() for _ in range(DAEMONS)]
        self.incarnations = [0] * DAEMONS
        self.all_calls = []
        self.by_attempt = {}
        self.journal = []
        self.expired_keys = set()

    @rule(
        target=calls,
        key=st.sampled_from(KEYS),
        daemon=st.integers(0, DAEMONS - 1),
        owner=st.integers(0, DAEMONS - 1),
        both=st.booleans(),
        at_once=st.booleans(),
    )
    def submit_claim(self, key, daemon, owner, both, at_once):
        call = Call(key, daemon, self.incarnations[daemon], f"x{len(self.all_calls)}")
        self.all_calls.append(call)
        self.by_attempt[call.pending.claim.attempt] = call
        for number in {owner, daemon} if both else {owner}:
            self.queues[number].submit(call.pending.claim)
        if at_once:
            self.append_and_read(owner, "ok")
        return call

    @rule(
        daemon=st.integers(0, DAEMONS - 1),
        result=st.sampled_from(
            ["ok", "ok", "lost_after", "lost_before", "late", "down", "slow"]
        ),
        delivered=st.booleans(),
    )
    def append(self, daemon, result, delivered):
        queue = self.queues[daemon]
        batch = queue.next_batch()
        if batch is None:
            return
        if result in ("ok", "lost_after"):
            self.log.records.append(batch)
        if result == "late":
            self.delayed.append(batch)
        if result == "ok":
            queue.on_appended()
            return
        kinds = {"down": LogErrorKind.DOWN, "slow": LogErrorKind.THROTTLED}
        kind = kinds.get(result, LogErrorKind.UNANSWERED)
        self.deliver(queue.on_append_failed(kind), delivered)

    @rule(index=st.integers(0, 5))
    def late_append_lands(self, index):
        if self.delayed:
            self.log.records.append(self.delayed.pop(index % len(self.delayed)))

    @rule(daemon=st.integers(0, DAEMONS - 1), limit=st.integers(1, 4), delivered=MOSTLY)
    def read(self, daemon, limit, delivered):
        queue = self.queues[daemon]
        found = self.log.read(queue.partition.through + 1, limit)
        self.deliver(queue.on_records(found), delivered)

    def deliver(self, verdicts, delivered):
        for verdict in verdicts:
            call = self.by_attempt[verdict.attempt]
            if not delivered or call.incarnation != self.incarnations[call.daemon]:
                continue
            if call.pending.settle(verdict) and verdict.kind is UNAVAILABLE:
                self.release_claim(call)

    def release_claim(self, call):
        call.answer = "not_run"
        item = call.pending.claim
        self.queues[call.daemon].abandon(item.attempt)
        self.queues[call.daemon].release(Release(item.key, item.attempt))

    @rule(call=calls)
    def give_up(self, call):
        if self.alive(call) and call.pending.abandon():
            self.release_claim(call)

    @rule(call=calls, reaches_target=st.booleans())
    def run(self, call, reaches_target):
        verdict = call.pending.verdict
        if not self.alive(call) or verdict is None or verdict.kind is not WON or call.answer:
            return
        if call.ran:
            return
        if not reaches_target:
            self.release_claim(call)
            return
        call.ran = True
        self.journal.append(call.pending.claim)

    @rule(call=calls, outcome=st.sampled_from(list(ClaimOutcome)))
    def end(self, call, outcome):
        if self.alive(call) and call.ran and not call.answer:
            call.answer = outcome.value
            item = call.pending.claim
            self.queues[call.daemon].finish(make_finish(item.attempt, outcome, item.key))

    @rule(daemon=st.integers(0, DAEMONS - 1), result=st.sampled_from(APPEND_RESULTS))
    def append_and_read(self, daemon, result):
        self.append(daemon, result, True)
        self.read(daemon, 1000, True)
        for call in self.all_calls:
            self.run(call, True)

    @rule(daemon=st.integers(0, DAEMONS - 1), rarely=RARELY)
    def crash(self, daemon, rarely):
        if not rarely:
            return
        self.queues[daemon] = PartitionQueue()
        self.incarnations[daemon] += 1

    @rule(count=st.integers(1, 3), rarely=RARELY)
    def expire(self, count, rarely):
        if not rarely:
            return
        before = min(len(self.log.records), self.log.first + count)
        for number in range(self.log.first, before):
            batch = self.log.records[number]
            for part in (batch.claims, batch.releases, batch.finishes):
                self.expired_keys.update(item.key for item in part)
        self.log.first = before

    def teardown(self):
        """Drain all queues and check that no abandoned attempt still holds a key."""
        self.log.records.extend(self.delayed)
        for queue in self.queues:
            queue.on_appended()
            while queue.has_work:
                self.log.records.append(queue.next_batch())
                queue.on_appended()
        last = Partition()
        for offset, batch in self.log.read(0, len(self.log.records)):
            last.fold(offset, batch)
        gave_up = {
            call.pending.claim.attempt
            for call in self.all_calls
            if call.answer == "not_run" and self.alive(call)
        }
        held = {
            entry.attempt
            for key, entry in last.entries.items()
            if key not in self.expired_keys
        }
        assert not held & gave_up

    def alive(self, call):
        return call.incarnation == self.incarnations[call.daemon]

    @invariant()
    def no_key_runs_twice(self):
        keys = [item.key for item in self.journal if item.key not in self.expired_keys]
        assert len(keys) == len(set(keys)), self.journal

    @invariant()
    def not_run_means_never_run(self):
        ran = {item.attempt for item in self.journal}
        for call in self.all_calls:
            assert call.answer != "not_run" or call.pending.claim.attempt not in ran

    @invariant()
    def readers_agree(self):
        for queue in self.queues:
            partition = queue.partition
            if partition.through < self.log.first or self.log.first > 0:
                continue
            fresh = Partition()
            for offset, batch in self.log.read(0, partition.through + 1):
                fresh.fold(offset, batch)
            assert list(fresh.entries.items()) == list(partition.entries.items())


class ClaimMachineTest(ClaimMachine.TestCase):
    settings = hypothesis.settings(max_examples=60, stateful_step_count=40)


class ReferenceClaims:
    """Reference model: one daemon with a log that never fails."""

    def __init__(self):
        self.held = {}
        self.finished = {}

    def submit_claim(self, key, attempt):
        if key not in self.held:
            self.held[key] = attempt
            return WON
        return FINISHED if key in self.finished else IN_PROGRESS

    def end(self, key, attempt, released):
        if self.held.get(key) == attempt:
            if released:
                del self.held[key]
            else:
                self.finished[key] = attempt


class DifferentialTest(unittest.TestCase):
    @hypothesis.given(
        st.lists(
            st.tuples(
                st.sampled_from(KEYS),
                st.integers(0, DAEMONS - 1),
                st.sampled_from(["run", "release", "leave"]),
            ),
            max_size=25,
        )
    )
    def test_three_daemons_answer_like_one_with_a_perfect_log(self, steps):
        log, queues, reference = (
            Log(),
            [PartitionQueue() for _ in range(DAEMONS)],
            ReferenceClaims(),
        )
        for number, (key, daemon, end) in enumerate(steps):
            attempt, queue = f"x{number}", queues[daemon]
            queue.submit(claim(attempt, key))
            verdicts = self.append_and_read(log, queue)
            expected = reference.submit_claim(key, attempt)
            self.assertEqual([item.kind for item in verdicts], [expected])
            if expected is not WON or end == "leave":
                continue
            reference.end(key, attempt, end == "release")
            if end == "release":
                queue.release(Release(key, attempt))
            else:
                queue.finish(make_finish(attempt, key=key))
            self.append_and_read(log, queue)

    def append_and_read(self, log, queue):
        log.records.append(queue.next_batch())
        queue.on_appended()
        return queue.on_records(log.read(queue.partition.through + 1, 1000))


class PartitionTest(unittest.TestCase):
    def fold(self, *batches):
        partition = Partition()
        return partition, [partition.fold(at, batch) for at, batch in enumerate(batches)]

    def test_the_first_offset_wins(self):
        _, verdicts = self.fold(ClaimBatch(claims=(claim("x"), claim("y"))))
        self.assertEqual([item.kind for item in verdicts[0]], [WON, IN_PROGRESS])
        self.assertEqual(verdicts[0][1].holding, "x")

    def test_a_claim_appended_after_its_release_does_not_block_the_key(self):
        # An append hangs, the claimer gives up and releases the claim, and then
        # the append reaches the log. If the claim won, no daemon would run the
        # request, and every retry would be answered with "in progress".
        partition, verdicts = self.fold(
            ClaimBatch(releases=(Release(KEYS[0], "x"),)),
            ClaimBatch(claims=(claim("x"),)),
            ClaimBatch(claims=(claim("y"),)),
        )
        self.assertEqual(verdicts[1][0].kind, UNAVAILABLE)
        self.assertEqual(verdicts[2][0].kind, WON)
        self.assertEqual(partition.entries[KEYS[0]].attempt, "y")

    def test_an_attempt_that_lost_cannot_win_with_its_second_copy(self):
        # The owner and the receiving daemon both append y. The first copy loses
        # to x, and the caller is told so. Then x is released. The second copy
        # must lose as well, because no caller waits for it any longer.
        _, verdicts = self.fold(
            ClaimBatch(claims=(claim("x"), claim("y"))),
            ClaimBatch(releases=(Release(KEYS[0], "x"),), claims=(claim("y"),)),
        )
        self.assertEqual(verdicts[1][0].kind, UNAVAILABLE)

    def test_a_release_frees_only_its_own_unfinished_attempt(self):
        partition, _ = self.fold(
            ClaimBatch(claims=(claim("x"),)),
            ClaimBatch(releases=(Release(KEYS[0], "y"),)),
            ClaimBatch(finishes=(make_finish("x"),)),
            ClaimBatch(releases=(Release(KEYS[0], "x"),)),
        )
        self.assertEqual(partition.entries[KEYS[0]].finish, make_finish("x"))

    def test_keys_and_bodies_are_bounded(self):
        partition = Partition(max_keys=10)
        body = b"b" * claims.MAX_BODY_BYTES
        for number in range(30):
            key = bytes([number]) * claims.KEY_BYTES
            item = make_finish(f"x{number}", key=key, body=body)
            partition.fold(2 * number, ClaimBatch(claims=(Claim(key, "a", f"x{number}"),)))
            partition.fold(2 * number + 1, ClaimBatch(finishes=(item,)))
        self.assertEqual(len(partition.entries), 10)
        self.assertLessEqual(partition.body_bytes, claims.MAX_TOTAL_BODY_BYTES)

    def test_a_reader_that_missed_records_resets(self):
        # Records expired before this daemon read them. It cannot know which
        # claims they released, so it must reach the same verdicts as a daemon
        # that starts now.
        queue = PartitionQueue()
        queue.on_records([(0, ClaimBatch(claims=(claim("x"),)))])
        queue.submit(claim("y"))
        found = queue.on_records([(5, ClaimBatch(claims=(claim("y"),)))])
        self.assertEqual(found, [Verdict(attempt="y", kind=WON)])

    def test_a_late_verdict_does_not_start_an_abandoned_attempt(self):
        pending = PendingClaim(claim("x"))
        self.assertTrue(pending.abandon())
        self.assertFalse(pending.settle(Verdict(attempt="x", kind=WON)))
        self.assertIsNone(pending.verdict)

    def test_workspaces_do_not_share_keys(self):
        self.assertNotEqual(claims.key_hash("a", "k"), claims.key_hash("b", "k"))
        self.assertNotEqual(claims.key_hash("ab", "c"), claims.key_hash("a", "bc"))
