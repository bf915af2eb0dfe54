from __future__ import annotations

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from agaterail.engines import CacheContents, CacheEvent, CacheEventKind, CacheEvents
from agaterail.index import (
    MAX_GENERATION,
    PREDICTED_CONFIDENCE,
    EngineIndex,
    KeyTable,
    short_key,
)
from agaterail.prefix import Scope, block_keys

STORED, EVICTED, CLEARED = (
    CacheEventKind.STORED,
    CacheEventKind.EVICTED,
    CacheEventKind.CLEARED,
)


def key_of(number):
    return number.to_bytes(16, "little")


def stored(sequence, *numbers):
    return CacheEvent(sequence, STORED, tuple(map(key_of, numbers)))


def evicted(sequence, *numbers):
    return CacheEvent(sequence, EVICTED, tuple(map(key_of, numbers)))


def batch(*events, incarnation="a", last=None):
    return CacheEvents(incarnation, events, last or max(event.sequence for event in events))


class KeyTableTest(unittest.TestCase):
    def test_equals_a_dict_through_random_changes(self):
        # A small table with few distinct keys has long probe runs that wrap
        # around its end. A wrong deletion there would leave a hole that hides
        # later keys of the run.
        for seed in range(20):
            choose = random.Random(seed)
            table, oracle = KeyTable(), {}
            pool = [choose.randrange(1, 1 << 64) // 16 * 16 for _ in range(300)]
            for _ in range(2000):
                key = choose.choice(pool)
                if choose.random() < 0.55:
                    stamp = choose.randrange(1 << 32)
                    table.put(key, stamp)
                    oracle[key] = stamp
                else:
                    self.assertEqual(table.remove(key), oracle.pop(key, None))
            held = {key: table.stamps[table.slot_of(key)] for key in table}
            self.assertEqual(held, oracle)
            self.assertEqual(len(table), len(oracle))
            self.assertTrue(all((table.slot_of(key) >= 0) == (key in oracle) for key in pool))


class EngineIndexTest(unittest.TestCase):
    def setUp(self):
        self.index = EngineIndex(0.0)
        self.index.on_contents(CacheContents("a", 0, ()), 0.0, 0.0)

    def depth(self, *numbers, now=1.0):
        return self.index.lookup(numbers, range(1, len(numbers) + 1), now)

    def test_only_leading_blocks_count(self):
        self.index.on_events(batch(stored(1, 1, 2, 4)), 1.0, 1.0)
        self.assertEqual(self.depth(1, 2, 3, 4).depth, 2)
        self.assertEqual(self.depth(3, 4).depth, 0)

    def test_a_gap_lowers_confidence_until_the_contents_are_read(self):
        # The event that evicts block 2 is lost. Its entry stays, because most
        # blocks are still cached, but with a lower confidence. Reading the
        # contents removes it and restores the confidence of the others.
        self.index.on_events(batch(stored(1, 1, 2)), 1.0, 1.0)
        self.index.on_events(batch(stored(3, 9)), 1.0, 1.0)
        self.assertEqual(self.depth(1, 2).depth, 2)
        self.assertLess(self.depth(1, 2).confidence, 1.0)
        self.assertEqual(self.depth(9).confidence, 1.0)
        self.assertTrue(self.index.needs_contents)
        self.index.on_contents(CacheContents("a", 3, (key_of(1), key_of(9))), 1.0, 1.0)
        self.assertEqual(self.depth(1, 2), self.depth(1))
        self.assertEqual(self.depth(1).confidence, 1.0)

    def test_lost_last_events_are_a_gap_too(self):
        self.index.on_events(batch(stored(1, 1)), 1.0, 1.0)
        self.index.on_events(CacheEvents("a", (), 4), 1.0, 1.0)
        self.assertLess(self.depth(1).confidence, 1.0)
        self.assertEqual(self.index.lost_events, 3)

    def test_entries_stay_suspect_when_the_generation_wraps(self):
        # The generation counter wraps after 255 gaps. An entry from before the
        # first gap would then count as trusted, although its eviction may have
        # been lost in any of them.
        self.index.on_events(batch(stored(1, 1)), 1.0, 1.0)
        for number in range(2, 2 * MAX_GENERATION + 4):
            self.index.on_events(CacheEvents("a", (), number), 1.0, 1.0)
            self.assertLess(self.depth(1).confidence, 1.0, number)

    def test_a_late_answer_of_a_past_incarnation_is_ignored(self):
        # The engine crashes and restarts with an empty cache. The answer to a
        # long poll from before the crash is processed after the first answer of
        # the new incarnation.
        self.index.on_events(batch(stored(1, 1)), 1.0, 1.0)
        self.index.on_events(batch(stored(1, 5), incarnation="b"), 1.0, 1.0)
        self.assertEqual(self.depth(1).depth, 0)
        self.index.on_events(batch(stored(2, 1)), 1.0, 1.0)
        self.assertFalse(self.index.on_contents(CacheContents("a", 9, (key_of(1),)), 1.0, 1.0))
        self.assertEqual(self.depth(1).depth, 0)
        self.assertEqual(self.index.incarnation, "b")

    def test_a_late_first_answer_of_a_past_incarnation_does_not_replace_the_live_one(self):
        # A query is sent and the engine crashes before its answer arrives. The
        # next query is answered by the new incarnation, and only then does the
        # first answer arrive. Its incarnation was never seen before; if it were
        # accepted as newer, answers of the live engine would be ignored.
        index = EngineIndex(0.0)
        index.on_events(batch(stored(1, 5), incarnation="b"), 1.0, 2.0)
        index.on_events(batch(stored(1, 5), incarnation="a"), 0.5, 3.0)
        self.assertEqual(index.incarnation, "b")

    def test_sequence_numbers_of_the_old_incarnation_do_not_hide_events_of_the_new(self):
        # A query for the events after 500 reaches the engine just after its
        # restart, and the engine answers that the last one is 500. Adopting that
        # number would skip events 1 to 500 of the new incarnation, and evictions
        # among them would leave stale entries.
        self.index.on_events(CacheEvents("a", (), 500), 1.0, 1.0)
        self.index.on_events(CacheEvents("b", (), 500), 1.0, 1.0)
        self.assertEqual(self.index.sequence, 0)
        self.index.on_events(batch(stored(1, 7), incarnation="b"), 1.0, 1.0)
        self.assertEqual(self.depth(7).confidence, 1.0)

    def test_other_weights_drop_everything(self):
        self.index.on_weights("v1")
        self.index.on_events(batch(stored(1, 1)), 1.0, 1.0)
        self.index.on_weights("v2")
        self.assertEqual(self.depth(1).depth, 0)
        self.assertTrue(self.index.needs_contents)

    def test_a_prediction_counts_until_confirmed_contradicted_or_too_old(self):
        self.index.predict("d1", (1, 2, 3), now=0.0, until=5.0)
        self.assertEqual(self.depth(1, 2, 3).confidence, PREDICTED_CONFIDENCE)
        self.index.on_events(batch(stored(1, 1), evicted(2, 2)), 1.0, 1.0)
        self.assertEqual(self.depth(1).confidence, 1.0)
        self.assertEqual(self.depth(2).depth, 0)
        self.assertEqual(self.depth(3).depth, 1)
        self.assertEqual(self.depth(3, now=5.0).depth, 0)
        self.index.expire(6.0)
        self.assertEqual((self.index.predicted, self.index.dispatches), ({}, {}))

    def test_a_dispatch_that_did_not_run_withdraws_only_its_own(self):
        self.index.predict("d1", (1, 2), now=0.0, until=5.0)
        self.index.predict("d2", (1,), now=0.0, until=5.0)
        self.index.withdraw("d1")
        self.assertEqual(self.depth(1).depth, 1)
        self.assertEqual(self.depth(2).depth, 0)

    def test_suspect_entries_age_by_the_evictions_that_were_seen(self):
        # Blocks are evicted after about 10 s here. After a gap, an entry that was
        # used 1 s ago is probably still cached, one from 18 s ago probably not.
        self.index.on_events(batch(stored(1, 1, 2)), 0.0, 0.0)
        self.index.on_events(batch(evicted(2, 1), stored(3, 8)), 10.0, 10.0)
        self.index.on_events(batch(stored(4, 9)), 17.0, 17.0)
        self.index.on_events(CacheEvents("a", (), 6), 18.0, 18.0)
        old, new = self.depth(2, now=18.0).confidence, self.depth(9, now=18.0).confidence
        self.assertLess(old, 0.2)
        self.assertGreater(new, 0.8)

    def test_lost_evictions_do_not_grow_the_table_forever(self):
        # Every eviction event is lost and the contents cannot be read. Suspect
        # entries older than twice the lifetime of a block must still be removed.
        self.index.set_capacity(10)
        self.index.lifetime_s = 5.0
        for number in range(1, 400):
            self.index.on_events(batch(stored(2 * number, number)), number * 1.0, number * 1.0)
            self.index.expire(number * 1.0)
        self.assertLess(len(self.index.table), 20)


class ReferenceIndex:
    """Reference model of the index with plain sets."""

    def __init__(self):
        self.trusted, self.suspect = set(), set()
        self.incarnation, self.incarnation_known_at, self.sequence = "", 0.0, 0

    def accepts(self, answer, requested_at):
        return (
            answer.incarnation == self.incarnation or requested_at >= self.incarnation_known_at
        )

    def reset(self, incarnation, now):
        if incarnation != self.incarnation:
            self.incarnation, self.sequence, self.incarnation_known_at = incarnation, 0, now
            self.trusted, self.suspect = set(), set()
            return True
        return False

    def gap(self):
        self.suspect |= self.trusted
        self.trusted = set()

    def events(self, answer, requested_at, now):
        if not self.accepts(answer, requested_at) or self.reset(answer.incarnation, now):
            return
        for event in sorted(answer.events, key=lambda item: item.sequence):
            if event.sequence <= self.sequence:
                continue
            if event.sequence > self.sequence + 1:
                self.gap()
            self.sequence = event.sequence
            self.suspect -= set(event.keys)
            if event.kind is STORED:
                self.trusted |= set(event.keys)
            elif event.kind is EVICTED:
                self.trusted -= set(event.keys)
            else:
                self.trusted, self.suspect = set(), set()
        if answer.last_sequence > self.sequence:
            self.gap()
            self.sequence = answer.last_sequence

    def contents(self, answer, requested_at, now):
        if not self.accepts(answer, requested_at):
            return
        self.reset(answer.incarnation, now)
        if answer.sequence >= self.sequence:
            self.sequence = answer.sequence
            self.trusted, self.suspect = set(answer.keys), set()


class EngineCache:
    """Model of an engine's cache with the complete log of its events."""

    def __init__(self, incarnation):
        self.incarnation, self.version = incarnation, 1
        self.keys, self.log = [], []

    def publish(self, kind, keys):
        self.log.append(CacheEvent(len(self.log) + 1, kind, tuple(keys)))

    def store(self, keys):
        new = [key for key in keys if key not in self.keys]
        self.keys = [key for key in self.keys if key not in keys] + list(reversed(keys))
        if new:
            self.publish(STORED, new)
        if gone := self.keys[:-8]:
            self.publish(EVICTED, gone)
            self.keys = self.keys[-8:]


class IndexMachine(RuleBasedStateMachine):
    """Late, lost, repeated and reordered events, crashes, new weights and resyncs."""

    def __init__(self):
        super().__init__()
        self.index, self.reference = EngineIndex(0.0), ReferenceIndex()
        self.answers, self.now = [], 0.0
        self.used = set()

    @initialize()
    def start(self):
        self.engine = EngineCache("i1")
        self.incarnations = 1

    def prompt(self, workspace, version, blocks):
        salt = Scope(f"w{workspace}", "m", "", f"v{version}").salt
        return block_keys(salt, bytes(blocks), 1)

    @rule(workspace=st.integers(0, 1), blocks=st.integers(1, 5))
    def prefill(self, workspace, blocks):
        keys = self.prompt(workspace, self.engine.version, blocks)
        self.used |= set(keys)
        self.engine.store(keys)

    @rule()
    def crash(self):
        self.incarnations += 1
        version = self.engine.version
        self.engine = EngineCache(f"i{self.incarnations}")
        self.engine.version = version

    @rule()
    def load_weights(self):
        self.engine.version += 1
        self.engine.keys = []
        self.engine.publish(CLEARED, ())

    @rule(lost=st.sets(st.integers(1, 30)), shuffle=st.randoms(use_true_random=False))
    def poll(self, lost, shuffle):
        after = self.index.sequence
        events = [e for e in self.engine.log[after:] if e.sequence not in lost]
        shuffle.shuffle(events)
        last = max(after, len(self.engine.log))
        answer = CacheEvents(self.engine.incarnation, tuple(events), last)
        self.answers.append((answer, self.now))

    @rule()
    def read_contents(self):
        engine = self.engine
        answer = CacheContents(engine.incarnation, len(engine.log), tuple(engine.keys))
        self.answers.append((answer, self.now))

    @precondition(lambda self: self.answers)
    @rule(data=st.data(), again=st.booleans())
    def deliver(self, data, again):
        position = data.draw(st.integers(0, len(self.answers) - 1))
        answer, requested_at = self.answers[position] if again else self.answers.pop(position)
        self.now += 0.1
        if isinstance(answer, CacheEvents):
            self.index.on_events(answer, requested_at, self.now)
            self.reference.events(answer, requested_at, self.now)
        else:
            self.index.on_contents(answer, requested_at, self.now)
            self.reference.contents(answer, requested_at, self.now)

    @invariant()
    def agrees_with_the_reference_index(self):
        for key in self.used:
            confidence = self.index.confidence(short_key(key), self.now)
            expected = key in self.reference.trusted, key in self.reference.suspect
            self.check((confidence == 1.0, 0.0 < confidence < 1.0) == expected)

    @invariant()
    def trusted_entries_are_cached_once_all_events_were_seen(self):
        # Trusted entries may lag behind the engine. Once the index has processed
        # the engine's last event, all of them must be in its cache.
        engine = self.engine
        if (self.index.incarnation, self.index.sequence) != (
            engine.incarnation,
            len(engine.log),
        ):
            return
        for key in self.used:
            if self.index.confidence(short_key(key), self.now) == 1.0:
                self.check(key in engine.keys)

    @invariant()
    def the_live_incarnation_is_never_a_past_one(self):
        self.check(self.engine.incarnation not in self.index.past_incarnations)

    def check(self, condition):
        assert condition, (self.index.incarnation, self.index.sequence)


class IndexMachineTest(IndexMachine.TestCase):
    settings = settings(max_examples=60, stateful_step_count=30)


class ScopeTest(unittest.TestCase):
    @given(st.tuples(*[st.text(max_size=3)] * 4), st.tuples(*[st.text(max_size=3)] * 4))
    def test_blocks_of_one_scope_answer_for_no_other(self, one, other):
        index = EngineIndex(0.0)
        index.on_contents(CacheContents("a", 0, ()), 0.0, 0.0)
        keys = {scope: block_keys(Scope(*scope).salt, bytes(40), 10) for scope in (one, other)}
        index.on_events(CacheEvents("a", (CacheEvent(1, STORED, keys[one]),), 1), 0.0, 0.0)
        asked = [short_key(key) for key in keys[other]]
        depth = index.lookup(asked, range(1, 5), 0.0).depth
        self.assertEqual(depth, 4 if one == other else 0)
