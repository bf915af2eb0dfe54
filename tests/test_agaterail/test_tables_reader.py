from __future__ import annotations

import random
import unittest
import zlib

import attrs
import msgpack
from returns.result import Success

from agaterail import codec, snapshots, tables_reader
from agaterail.logstore import LogSlice
from agaterail.logstore.memory import MemoryLogStore
from agaterail.records import SNAPSHOTS_STREAM, TABLES_STREAM, TablesRecord
from agaterail.snapshots import SnapshotSchedule, StreamView
from agaterail.tables_reader import TablesReader
from tests.support import chat_route, edit, engine_pool, put


def append(log, record):
    return log.append(TABLES_STREAM, codec.encode(record, TablesRecord)).unwrap()


def not_superseded():
    return False


def read_all(reader):
    for _ in range(100):
        step = reader.step().unwrap()
        if step.at_end or (step.gap and not step.adopted):
            return step
    raise AssertionError("the reader does not reach the end of the stream")


class TablesReaderTest(unittest.TestCase):
    def setUp(self):
        self.log = MemoryLogStore()
        append(self.log, edit("e0", put(engine_pool()), put(chat_route())))
        self.reader = TablesReader(self.log)
        read_all(self.reader)

    def write(self, tables):
        return tables_reader.write_snapshot(self.log, snapshots.encode(tables), not_superseded)

    def change(self, edit_id, priority, version):
        return append(self.log, edit(edit_id, put(chat_route(priority=priority), version)))

    def priority_of(self, reader):
        return reader.tables.routes["chat"].row.priority

    def test_an_edit_accepted_while_a_snapshot_was_written_is_kept(self):
        # A daemon encodes the tables through offset 0, an edit is accepted at
        # offset 1, the snapshot's mark follows at offset 2, and older records
        # expire. A reader that continued after the mark would lose the edit.
        old = self.reader.tables
        self.change("e1", 1, 0)
        self.write(old)
        self.log.expire(TABLES_STREAM, 1)
        reader = TablesReader(self.log)
        read_all(reader)
        self.assertEqual(self.priority_of(reader), 1)
        self.assertEqual(reader.tables.through, 2)

    def test_a_late_snapshot_does_not_revert_newer_edits(self):
        # A daemon that was paused writes a snapshot of old tables after newer
        # edits.
        old = self.reader.tables
        self.change("e1", 1, 0)
        read_all(self.reader)
        self.write(old)
        read_all(self.reader)
        self.assertEqual(self.priority_of(self.reader), 1)

    def test_a_gap_is_not_folded_over(self):
        # Records 1 and 2 expire unread, and record 3 changes the row that record 2
        # wrote. Folded without 1 and 2, it would be a conflict here but accepted
        # everywhere else, and this daemon would diverge permanently.
        first = self.change("e1", 1, 0)
        second = self.change("e2", 2, first)
        self.change("e3", 3, second)
        self.log.expire(TABLES_STREAM, 3)
        step = read_all(self.reader)
        self.assertTrue(step.gap)
        self.assertEqual(self.reader.tables.through, 0)
        self.assertEqual(self.priority_of(self.reader), 5)

    def test_a_snapshot_closes_the_gap_of_a_reader_that_fell_behind(self):
        other = TablesReader(self.log)
        version = 0
        for number in range(1, 5):
            version = self.change(f"e{number}", number, version)
        read_all(other)
        self.write(other.tables)
        self.change("e5", 5, version)
        self.log.expire(TABLES_STREAM, 5)
        read_all(self.reader)
        read_all(other)
        self.assertEqual(self.reader.tables, other.tables)

    def test_an_older_complete_snapshot_replaces_one_with_an_expired_chunk(self):
        # The first chunk of the newest snapshot expires between the write and the
        # read. The older snapshot and the edits after it still give the current
        # tables.
        old = self.reader.tables
        self.write(old)
        self.change("e1", 1, 0)
        read_all(self.reader)
        self.write(self.reader.tables)
        del self.log.streams[SNAPSHOTS_STREAM][1]
        self.log.expire(TABLES_STREAM, 1)
        reader = TablesReader(self.log)
        self.assertFalse(read_all(reader).gap)
        self.assertEqual(self.priority_of(reader), 1)

    def test_chunks_without_a_mark_are_ignored(self):
        # The writer stops between the last chunk and the mark.
        calls = iter([False, True])
        snapshot = snapshots.encode(self.reader.tables)
        written = tables_reader.write_snapshot(self.log, snapshot, lambda: next(calls))
        self.assertNotIsInstance(written, Success)
        self.log.expire(TABLES_STREAM, 1)
        reader = TablesReader(self.log)
        self.assertTrue(read_all(reader).gap)
        self.assertEqual(reader.tables.through, -1)

    def test_damaged_chunks_are_rejected(self):
        snapshot = snapshots.encode(self.reader.tables)
        damaged = (snapshot.chunks[0][:-1] + b"x",)
        decoded = snapshots.decode(snapshot.through, snapshot.digest, damaged)
        self.assertNotIsInstance(decoded, Success)
        decoded = snapshots.decode(snapshot.through + 1, snapshot.digest, snapshot.chunks)
        self.assertNotIsInstance(decoded, Success)

    def test_a_mark_that_covers_later_records_is_ignored(self):
        # Adopting it would put a reader beyond the end of the log, where it would
        # see no further edits.
        ahead = snapshots.encode(attrs.evolve(self.reader.tables, through=50))
        tables_reader.write_snapshot(self.log, ahead, not_superseded)
        self.log.expire(TABLES_STREAM, 1)
        reader = TablesReader(self.log)
        self.assertTrue(read_all(reader).gap)
        self.assertEqual(reader.tables.through, -1)

    def test_a_malformed_record_does_not_block_later_edits(self):
        # If the offset did not advance past the record, the reader would read it
        # again 50 times a second for as long as it is the last record.
        self.log.append(TABLES_STREAM, b"\xc1 no record")
        self.change("e1", 1, 0)
        read_all(self.reader)
        self.assertEqual(self.priority_of(self.reader), 1)

    def test_an_empty_read_counts_as_the_end_of_the_log(self):
        # Otherwise the commands would read in a loop without a pause.
        class EmptyLog(MemoryLogStore):
            def read(self, *arguments, **named):
                return Success(LogSlice([], 0, 9))

        self.assertTrue(TablesReader(EmptyLog()).step().unwrap().at_end)

    def test_a_long_poll_does_not_revert_tables_adopted_meanwhile(self):
        # A peer's newer tables are adopted while a long poll for older records is
        # in flight. Folding its records into the newer tables would be wrong.
        ahead = attrs.evolve(self.reader.tables, through=7)
        reader = self.reader

        class WaitingLog(MemoryLogStore):
            def read(self, *arguments, **named):
                reader.adopt(ahead)
                return super().read(*arguments, **named)

        waiting = WaitingLog()
        waiting.streams, waiting.next_offset = self.log.streams, self.log.next_offset
        self.change("e1", 1, 0)
        reader.log = waiting
        self.assertEqual(reader.step().unwrap().records, ())
        self.assertEqual(reader.tables.through, 7)

    def test_equal_tables_have_equal_digests_regardless_of_source(self):
        self.change("e1", 1, 0)
        append(self.log, edit("e2", put(chat_route("another"))))
        read_all(self.reader)
        snapshot = snapshots.encode(self.reader.tables)
        loaded = snapshots.decode(snapshot.through, snapshot.digest, snapshot.chunks).unwrap()
        self.assertEqual(loaded, self.reader.tables)
        self.assertEqual(snapshots.encode(loaded).digest, snapshot.digest)

    def test_a_route_with_a_field_of_a_later_release_is_read(self):
        # Two releases run side by side, and the later one has added a field. The
        # earlier one must still be able to start from a snapshot.
        row = {"later": 1, "name": "chat", "workspace": "w"}
        row |= {"callers": ["0" * 64], "pool": "assistant"}
        fields = {"row": row, "version": 3}
        chunk = zlib.compress(msgpack.packb([snapshots.ROUTE_TAG, fields]))
        digest = snapshots.digest_of(5, [chunk])
        tables = snapshots.decode(5, digest, [chunk]).unwrap()
        self.assertEqual(tables.routes["chat"].row.callers, ("0" * 64,))
        self.assertEqual(tables.routes["chat"].version, 3)

    def test_every_chunk_fits_a_record(self):
        routes = [put(chat_route(f"route-{number}")) for number in range(4000)]
        append(self.log, edit("e1", *routes))
        read_all(self.reader)
        self.write(self.reader.tables)
        records = self.log.streams[SNAPSHOTS_STREAM]
        self.assertGreater(len(records), 1)
        for record in records:
            self.assertLess(len(record.data), snapshots.MAX_RECORD_BYTES)


class SnapshotScheduleTest(unittest.TestCase):
    def schedule(self, seed=1, interval_s=3600.0):
        return SnapshotSchedule(interval_s, random.Random(seed))

    def test_a_fresh_snapshot_of_another_daemon_suppresses_a_write(self):
        schedule = self.schedule()
        view = StreamView(through=400, first=0, end=401)
        self.assertFalse(schedule.due(view, 0.0))
        schedule.on_mark(399, 10.0)
        self.assertFalse(schedule.due(view, 3000.0))

    def test_simultaneous_starts_write_few_snapshots(self):
        # 410 daemons start at once on a log whose records have begun to expire.
        daemons = [self.schedule(seed) for seed in range(410)]
        written = 0
        seen_after_s = 1.0
        marks = []
        for half in range(200):
            now = half / 2
            for at, through in [mark for mark in marks if mark[0] + seen_after_s <= now]:
                for daemon in daemons:
                    daemon.on_mark(through, now)
                marks.remove((at, through))
            for daemon in daemons:
                if daemon.due(StreamView(through=900, first=600, end=901), now):
                    daemon.on_mark(900, now)
                    marks.append((now, 900))
                    written += 1
        self.assertGreaterEqual(written, 1)
        self.assertLess(written, 20)

    def test_the_last_snapshot_never_expires_before_the_next(self):
        # With one daemon, a log without edits and a retention of 4 intervals, the
        # age alone must trigger the next snapshot in time.
        schedule = self.schedule()
        schedule.on_mark(5, 0.0)
        view = StreamView(through=6, first=0, end=7)
        at = next(now for now in range(0, 4 * 3600, 10) if schedule.due(view, now))
        self.assertLess(at, 2 * 3600)

    def test_records_close_to_expiry_trigger_an_early_snapshot(self):
        schedule = self.schedule()
        schedule.on_mark(100, 0.0)
        view = StreamView(through=200, first=95, end=201)
        schedule.due(view, 0.0)
        self.assertTrue(schedule.due(view, 61.0))

    def test_a_mark_alone_does_not_trigger_the_next_snapshot(self):
        schedule = self.schedule()
        schedule.on_mark(5, 0.0)
        self.assertFalse(schedule.due(StreamView(through=6, first=0, end=7), 3000.0))
