from __future__ import annotations

import unittest

import attrs

from agaterail.fold import Verdict, fold
from agaterail.records import SnapshotMark
from agaterail.tables import TableName, Tables
from tests.support import chat_route, delete, edit, engine_pool, put


def first_tables():
    return fold(Tables(), edit("e0", put(engine_pool()), put(chat_route())), 0).tables


class FoldTest(unittest.TestCase):
    def test_a_valid_edit_is_accepted_and_versions_its_rows_by_offset(self):
        folded = fold(Tables(), edit("e0", put(engine_pool()), put(chat_route())), 7)
        self.assertIs(folded.verdict, Verdict.ACCEPTED)
        self.assertEqual(folded.tables.routes["chat"].version, 7)
        self.assertEqual(folded.tables.through, 7)

    def test_a_route_to_a_missing_pool_is_rejected(self):
        folded = fold(Tables(), edit("e0", put(chat_route())), 0)
        self.assertIs(folded.verdict, Verdict.INVALID)
        self.assertEqual(folded.problems[0].field, "pool")

    def test_deleting_a_pool_in_use_is_rejected(self):
        tables = first_tables()
        folded = fold(tables, edit("e1", delete(TableName.POOLS, "assistant", 0)), 1)
        self.assertIs(folded.verdict, Verdict.INVALID)
        self.assertEqual(folded.tables.pools, tables.pools)

    def test_the_second_of_two_racing_edits_is_a_conflict(self):
        # Two operators edit version 0 of the same route at the same time. The edit
        # with the lower offset wins; the other would silently overwrite it.
        tables = first_tables()
        first = fold(tables, edit("e1", put(chat_route(priority=1), 0)), 1)
        second = fold(first.tables, edit("e2", put(chat_route(priority=2), 0)), 2)
        self.assertIs(second.verdict, Verdict.CONFLICT)
        self.assertEqual(second.tables.routes["chat"].row.priority, 1)

    def test_a_repeated_edit_changes_nothing(self):
        # The answer to an append is lost and the operator's tool sends the edit
        # again. The second copy must not count as another edit.
        tables = first_tables()
        change = edit("e1", put(chat_route(priority=1), 0))
        once = fold(tables, change, 1).tables
        twice = fold(once, change, 2)
        self.assertIs(twice.verdict, Verdict.REPEATED)
        self.assertEqual(twice.tables.routes, once.routes)

    def test_one_invalid_row_rejects_the_whole_edit(self):
        tables = first_tables()
        change = edit(
            "e1", put(chat_route(priority=1), 0), put(chat_route("bad", priority=99))
        )
        folded = fold(tables, change, 1)
        self.assertIs(folded.verdict, Verdict.INVALID)
        self.assertEqual(folded.tables.routes, tables.routes)

    def test_a_late_copy_of_a_rejected_edit_stays_rejected(self):
        # An edit is rejected with a conflict because the row already exists. The
        # row is deleted, and then a late copy of the rejected edit arrives, which
        # would now be valid. It must not come into force, because its operator was
        # told that it was rejected.
        tables = first_tables()
        refused = edit("e1", put(chat_route(priority=1)))
        folded = fold(tables, refused, 1)
        self.assertIs(folded.verdict, Verdict.CONFLICT)
        gone = fold(folded.tables, edit("e2", delete(TableName.ROUTES, "chat", 0)), 2).tables
        late = fold(gone, refused, 3)
        self.assertIs(late.verdict, Verdict.REPEATED)
        self.assertEqual(late.tables.routes, {})

    def test_a_late_copy_of_an_invalid_edit_stays_rejected(self):
        refused = edit("e0", put(chat_route()))
        tables = fold(Tables(), refused, 0).tables
        tables = fold(tables, edit("e1", put(engine_pool())), 1).tables
        self.assertIs(fold(tables, refused, 2).verdict, Verdict.REPEATED)

    def test_a_snapshot_mark_changes_nothing_but_the_offset(self):
        tables = first_tables()
        mark = SnapshotMark(through=0, digest="", chunks=(0,))
        folded = fold(tables, mark, 1)
        self.assertEqual(folded.tables, attrs.evolve(tables, through=1))

    def test_a_record_of_an_unknown_rules_version_is_rejected(self):
        record = attrs.evolve(edit("e0", put(engine_pool())), rules=99)
        self.assertIs(fold(Tables(), record, 0).verdict, Verdict.UNKNOWN_RULES)
