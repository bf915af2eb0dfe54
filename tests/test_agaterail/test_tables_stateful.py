"""Stateful test of the tables: concurrent edits, a faulty log, and daemon restarts."""

from __future__ import annotations

import os
import unittest

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from returns.result import Success

from agaterail import codec, editing, tables_reader
from agaterail.logstore.memory import MemoryLogStore
from agaterail.records import (
    SNAPSHOTS_STREAM,
    TABLES_STREAM,
    Action,
    Edit,
    SnapshotMark,
    TablesRecord,
)
from agaterail.tables import MAX_PRIORITY, NO_VERSION, TableName
from agaterail.tables_reader import TablesReader
from tests.cluster import Cluster
from tests.support import chat_route, delete, edit, engine_pool, put

EXAMPLES = int(os.environ.get("AGATERAIL_FUZZ_EXAMPLES", "25"))
STEPS = int(os.environ.get("AGATERAIL_FUZZ_STEPS", "40"))
DAEMONS = 4
numbers = st.integers(0, DAEMONS - 1)


def routes_of(tables):
    return {name: (held.row.priority, held.version) for name, held in tables.routes.items()}


class RecordingLog(MemoryLogStore):
    """Log with an independent oracle for the routes after each record.

    Attributes
    ----------
    expected_routes
        Priority and version of each route, by offset of the last record.
    concurrent_edits
        Records to append while the next snapshot is being written.
    """

    def __init__(self):
        super().__init__()
        self.expected_routes = {NO_VERSION: {}}
        self.seen_ids = set()
        self.concurrent_edits = []

    def append(self, stream, data):
        before = self.next_offset.get(stream, 0)
        result = super().append(stream, data)
        if self.next_offset.get(stream, 0) == before:
            return result
        if stream == TABLES_STREAM:
            self.expected_routes[before] = self.apply_record(
                dict(self.expected_routes[before - 1]), data, before
            )
        elif self.concurrent_edits:
            saved_lose_answers, self.lose_answers = self.lose_answers, 0
            self.append(TABLES_STREAM, self.concurrent_edits.pop())
            self.lose_answers = saved_lose_answers
        return result

    def apply_record(self, routes, data, offset):
        record = codec.decode(data, TablesRecord).value_or(None)
        if not isinstance(record, Edit) or record.edit_id in self.seen_ids:
            return routes
        self.seen_ids.add(record.edit_id)
        changed = dict(routes)
        for change in record.changes:
            if change.table is TableName.POOLS:
                continue
            if changed.get(change.name, (0, NO_VERSION))[1] != change.expected_version:
                return routes
            if change.action is Action.DELETE:
                changed.pop(change.name, None)
            elif change.route.priority > MAX_PRIORITY:
                return routes
            else:
                changed[change.name] = (change.route.priority, offset)
        return changed


class TablesMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.cluster = Cluster(DAEMONS, log=RecordingLog())
        self.log = self.cluster.log
        self.served = {}
        self.sent = []
        self.edits = 0
        self.log.append(
            TABLES_STREAM, codec.encode(edit("e", put(engine_pool())), TablesRecord)
        )
        for number in range(DAEMONS):
            self.cluster.start(number)

    def send(self, change, answered=True):
        if not answered:
            self.log.lose_answers = 1
        data = codec.encode(change, TablesRecord)
        self.sent.append(data)
        self.log.append(TABLES_STREAM, data)
        self.log.lose_answers = 0

    def seen_by_operator(self):
        reader = TablesReader(self.log)
        editing.read_to_end(reader)
        return reader.tables

    def next_edit(self, *changes):
        self.edits += 1
        return edit(f"e{self.edits}", *changes, author=f"operator-{self.edits % 3}")

    @rule(route=st.integers(0, 2), priority=st.integers(0, 11), answered=st.booleans())
    def put_route(self, route, priority, answered):
        name = f"route-{route}"
        version = self.seen_by_operator().version_of(TableName.ROUTES, name)
        change = put(chat_route(name, priority=priority), version)
        self.send(self.next_edit(change), answered)

    @rule(route=st.integers(0, 2))
    def delete_route(self, route):
        name = f"route-{route}"
        version = self.seen_by_operator().version_of(TableName.ROUTES, name)
        self.send(self.next_edit(delete(TableName.ROUTES, name, version)))

    @rule(route=st.integers(0, 2))
    def race(self, route):
        name = f"route-{route}"
        version = self.seen_by_operator().version_of(TableName.ROUTES, name)
        for priority in (1, 2):
            self.send(self.next_edit(put(chat_route(name, priority=priority), version)))

    @precondition(lambda self: self.sent)
    @rule(data=st.data())
    def late_copy(self, data):
        self.log.append(TABLES_STREAM, data.draw(st.sampled_from(self.sent)))

    @rule()
    def malformed_record(self):
        self.log.append(TABLES_STREAM, b"\xc1")

    @rule(route=st.integers(0, 2), priority=st.integers(0, 11))
    def race_with_a_snapshot(self, route, priority):
        name = f"route-{route}"
        version = self.seen_by_operator().version_of(TableName.ROUTES, name)
        change = self.next_edit(put(chat_route(name, priority=priority), version))
        self.log.concurrent_edits = [codec.encode(change, TablesRecord)]

    @rule(down=st.booleans())
    def switch_log(self, down):
        self.log.down = down

    @rule(stale=st.integers(0, 4))
    def serve_from_an_older_point(self, stale):
        self.log.stale_records = stale

    @rule(count=st.integers(0, 1))
    def lose_answers(self, count):
        self.log.lose_answers = count

    @rule(number=numbers)
    def step(self, number):
        self.cluster.step(number)

    @rule(seconds=st.sampled_from([1, 10, 70, 700]))
    def run_all(self, seconds):
        self.cluster.run(seconds, pause_s=seconds / 5)

    @rule(part=st.floats(0, 1))
    def expire(self, part):
        # Records may expire once a live daemon has read them, even if no snapshot
        # covers them, as in a log outage longer than the retention.
        held = [
            app.controllers["tables"].reader.tables.through
            for number, app in self.cluster.apps.items()
            if number in self.cluster.gapless_daemons()
        ]
        limit = max(held, default=NO_VERSION) + 1
        first = self.cluster.log_start()
        if limit > first:
            self.log.expire(TABLES_STREAM, first + round(part * (limit - first)))

    @rule()
    def expire_old_chunks(self):
        if not self.cluster.gapless_daemons():
            return
        end = self.log.next_offset.get(SNAPSHOTS_STREAM, 0)
        self.log.expire(SNAPSHOTS_STREAM, end - 1)

    @rule(number=numbers)
    def kill(self, number):
        # The last daemon that holds tables which the log has lost is not killed,
        # because nothing could restore them.
        others = self.cluster.gapless_daemons() - {number}
        if number in self.cluster.apps and (others or self.cluster.log_is_replayable()):
            self.cluster.kill(number)

    @rule(number=numbers)
    def pause(self, number):
        if number in self.cluster.apps:
            self.cluster.pause(number)

    @rule(number=numbers)
    def resume(self, number):
        if number in self.cluster.paused:
            self.cluster.resume(number)

    @rule(number=numbers)
    def restart(self, number):
        if number in self.cluster.apps:
            self.kill(number)
        if number in self.cluster.apps:
            return
        floor = self.cluster.newest_peer_offset(number)
        app = self.cluster.start(number)
        for _ in range(20):
            self.cluster.timers.advance(0.1)
            self.cluster.step(number)
        if floor != NO_VERSION:
            assert app.ready, "the daemon does not serve although a peer answers"
        assert app.tables.through >= floor, (
            "a restarted daemon serves older tables than its peers"
        )
        self.served[number] = app.tables.through

    @invariant()
    def serves_only_what_was_accepted_and_never_goes_back(self):
        for number, app in self.cluster.apps.items():
            tables = app.tables
            assert routes_of(tables) == self.log.expected_routes[tables.through]
            if app.ready:
                assert tables.through >= self.served.get(number, NO_VERSION)
                self.served[number] = tables.through
        for number in set(self.served) - set(self.cluster.apps):
            del self.served[number]

    def teardown(self):
        self.log.down, self.log.stale_records, self.log.lose_answers = False, 0, 0
        for number in range(DAEMONS):
            if number in self.cluster.paused:
                self.cluster.resume(number)
            elif number not in self.cluster.apps:
                self.cluster.start(number)
        self.cluster.run(200, pause_s=2.0)
        self.serves_only_what_was_accepted_and_never_goes_back()
        last = self.log.expected_routes[self.cluster.log_end() - 1]
        for app in self.cluster.apps.values():
            assert routes_of(app.tables) == last, "a daemon did not converge"
            assert app.tables.through == self.cluster.log_end() - 1


TablesMachine.TestCase.settings = settings(max_examples=EXAMPLES, stateful_step_count=STEPS)
TablesMachineTest = TablesMachine.TestCase


class SimultaneousStartTest(unittest.TestCase):
    def test_starting_daemons_find_the_one_serving_peer_while_the_log_is_down(self):
        # All daemons but one are killed at once and restarted while the log is
        # down. Most peers that they query have no tables either. All must
        # eventually serve the tables of the remaining daemon, and nothing older.
        cluster = Cluster(count=30)
        log = cluster.log
        log.append(TABLES_STREAM, codec.encode(edit("e", put(engine_pool())), TablesRecord))
        cluster.start(0)
        cluster.run(2)
        log.down = True
        for number in range(1, 30):
            cluster.start(number)
        cluster.run(3, pause_s=0.1)
        for app in cluster.apps.values():
            self.assertTrue(app.ready)
            self.assertEqual(app.tables.through, 0)

    def test_daemons_without_tables_query_each_other_at_a_bounded_rate(self):
        # All daemons are killed at once and restarted while the log is down. Each
        # answers at once that it serves nothing. Without a pause between rounds,
        # each daemon would query again in every step, 400 messages per second.
        cluster = Cluster(count=20)
        cluster.log.down = True
        for number in range(20):
            cluster.start(number)
        cluster.run(10, pause_s=0.02)
        self.assertLess(cluster.network.messages / 20 / 10, 15)

    def test_without_log_and_peers_a_daemon_does_not_serve_and_keeps_trying(self):
        cluster = Cluster()
        cluster.log.append(
            TABLES_STREAM, codec.encode(edit("e", put(engine_pool())), TablesRecord)
        )
        cluster.log.down = True
        app = cluster.start(0)
        cluster.run(60)
        self.assertFalse(app.ready)
        cluster.log.down = False
        cluster.run(5)
        self.assertTrue(app.ready)

    def test_a_stale_log_does_not_revert_a_restarted_daemon(self):
        # The log returns stale data, but a peer has read the newest edit, which
        # the daemon served before its restart.
        cluster = Cluster()
        log = cluster.log
        log.append(TABLES_STREAM, codec.encode(edit("e", put(engine_pool())), TablesRecord))
        change = put(engine_pool(["10.0.0.9:1"]), 0)
        log.append(TABLES_STREAM, codec.encode(edit("e1", change), TablesRecord))
        cluster.start(0)
        cluster.run(2)
        log.stale_records = 1
        app = cluster.start(1)
        cluster.run(2, pause_s=0.1)
        self.assertEqual(app.tables.through, 1)

    def test_daemons_restore_the_state_after_an_outage_past_retention(self):
        cluster = Cluster()
        log = cluster.log
        log.append(TABLES_STREAM, codec.encode(edit("e", put(engine_pool())), TablesRecord))
        for number in range(3):
            cluster.start(number)
        cluster.run(2)
        log.down = True
        cluster.run(100, pause_s=5)
        log.expire(TABLES_STREAM, 1)
        log.down = False
        cluster.run(100, pause_s=1)
        marks = [
            codec.decode(record.data, TablesRecord).unwrap()
            for record in log.streams[TABLES_STREAM]
        ]
        self.assertTrue(marks and all(isinstance(mark, SnapshotMark) for mark in marks))
        reader = TablesReader(log)
        editing.read_to_end(reader)
        self.assertEqual(set(reader.tables.pools), {"assistant"})
        self.assertIsInstance(tables_reader.load_snapshot(log, marks[0]), Success)
