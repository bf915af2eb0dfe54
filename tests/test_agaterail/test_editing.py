from __future__ import annotations

import unittest

from agaterail import codec, editing
from agaterail.editing import SubmitError
from agaterail.fold import Verdict
from agaterail.logstore.memory import MemoryLogStore
from agaterail.records import TABLES_STREAM, Action, TablesRecord
from agaterail.tables import TableName
from agaterail.tables_reader import TablesReader
from tests.support import chat_route, delete, edit, engine_pool, put


class SubmitTest(unittest.TestCase):
    def setUp(self):
        self.log = MemoryLogStore()
        self.first = edit("e0", put(engine_pool()), put(chat_route()))
        self.append(self.first)
        self.reader = TablesReader(self.log)
        editing.read_to_end(self.reader)
        self.pauses = 0

    def append(self, record):
        self.log.append(TABLES_STREAM, codec.encode(record, TablesRecord))

    def submit(self, change, on_pause=lambda number: None):
        def sleep(_seconds):
            self.pauses += 1
            on_pause(self.pauses)

        return editing.submit(self.log, self.reader, change, sleep)

    def test_an_edit_whose_answer_was_lost_is_reported_as_accepted(self):
        # The append takes effect but its answer is lost. The operator must not be
        # told that nothing happened, and the edit must not be appended twice.
        self.log.lose_answers = 1
        result = self.submit(edit("e1", put(chat_route(priority=1), 0)))
        self.assertIs(result.unwrap().verdict, Verdict.ACCEPTED)
        self.assertEqual(self.log.appends, 2)

    def test_resending_an_edit_after_stale_reads_changes_nothing(self):
        # The answer is lost and reads are stale for a while, so the tool sends the
        # same edit again. Only the first copy counts.
        self.log.lose_answers = 1
        self.log.stale_records = 1

        def see_all(number):
            if number == editing.READS_BEFORE_RESEND + 1:
                self.log.stale_records = 0

        result = self.submit(edit("e1", put(chat_route(priority=1), 0)), see_all)
        self.assertIs(result.unwrap().verdict, Verdict.ACCEPTED)
        self.assertEqual(result.unwrap().tables.routes["chat"].version, 1)
        self.assertEqual(self.log.appends, 3)
        editing.read_to_end(self.reader)
        self.assertEqual(self.reader.tables.routes["chat"].version, 1)

    def test_a_short_outage_is_waited_out(self):
        self.log.down = True

        def back(number):
            self.log.down = number < 10

        result = self.submit(edit("e1", put(chat_route(priority=1), 0)), back)
        self.assertIs(result.unwrap().verdict, Verdict.ACCEPTED)

    def test_an_edit_that_was_never_appended_is_reported_as_not_sent(self):
        self.log.down = True
        failure = self.submit(edit("e1", put(chat_route(priority=1), 0))).failure()
        self.assertIs(failure.kind, SubmitError.NOT_SENT)

    def test_an_edit_that_cannot_be_read_back_has_an_unknown_outcome(self):
        self.log.lose_answers = 1
        self.log.stale_records = 50
        failure = self.submit(edit("e1", put(chat_route(priority=1), 0))).failure()
        self.assertIs(failure.kind, SubmitError.UNKNOWN)

    def test_the_losing_edit_of_a_race_reports_a_conflict(self):
        self.append(edit("other", put(chat_route(priority=1), 0), author="ada"))
        folded = self.submit(edit("e1", put(chat_route(priority=2), 0))).unwrap()
        self.assertIs(folded.verdict, Verdict.CONFLICT)
        self.assertEqual(folded.tables.routes["chat"].author, "ada")

    def test_an_edit_larger_than_a_record_is_not_sent(self):
        routes = [put(chat_route(f"route-{number}")) for number in range(6000)]
        failure = self.submit(edit("e1", *routes)).failure()
        self.assertIs(failure.kind, SubmitError.TOO_LARGE)
        self.assertEqual(self.log.appends, 1)

    def test_each_part_fits_a_record_and_leaves_valid_tables(self):
        changes = [
            delete(TableName.POOLS, "assistant", 0),
            delete(TableName.ROUTES, "chat", 0),
            *(put(chat_route(f"route-{number}", "new")) for number in range(6000)),
            put(engine_pool(name="new")),
        ]
        parts = editing.split_changes(changes)
        self.assertGreater(len(parts), 1)
        self.assertEqual(sum(len(part) for part in parts), len(changes))
        self.assertIs(parts[-1][-1].action, Action.DELETE)
        for number, part in enumerate(parts):
            result = self.submit(edit(f"p{number}", *part))
            self.assertIs(result.unwrap().verdict, Verdict.ACCEPTED)
        self.assertEqual(set(self.reader.tables.pools), {"new"})
