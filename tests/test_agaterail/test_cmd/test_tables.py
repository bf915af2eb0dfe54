from __future__ import annotations

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from agaterail import table_files, table_text
from agaterail.cmd import tables as commands
from agaterail.fold import fold
from agaterail.tables import Tables
from standins.log import LogStandIn
from tests.support import chat_route, edit, engine_pool, put, service_pool, service_route

POOL = """
[pools.assistant]
kind = "engine"
model = "atlas"
targets = [{address = "10.0.0.1:80", domain = "a"}]
"""
ROUTE = """
[routes.chat]
workspace = "depot"
callers = ["%s"]
models = ["atlas"]
pool = "assistant"
priority = %d
"""
DIGEST = "0" * 64


class TablesCommandsTest(unittest.TestCase):
    def setUp(self):
        self.log = LogStandIn()
        self.address = self.log.start()
        self.addCleanup(self.log.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.write(5)

    def write(self, priority):
        (self.folder / "pools.toml").write_text(POOL)
        (self.folder / "routes.toml").write_text(ROUTE % (DIGEST, priority))

    def run_command(self, command, *arguments, **named):
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            status = command(*arguments, **named)
        return status, out.getvalue(), err.getvalue()

    def apply(self, author="ada", dry_run=False, **named):
        paths = [str(self.folder)]
        return self.run_command(commands.apply, paths, self.address, author, dry_run, **named)

    def show(self):
        return json.loads(self.run_command(commands.show, self.address, as_json=True)[1])

    def test_a_dry_run_prints_the_plan_and_appends_nothing(self):
        status, out, _ = self.apply(dry_run=True)
        self.assertEqual(status, 0)
        self.assertIn("Plan: 2 to add, 0 to change, 0 to remove.", out)
        self.assertEqual(self.log.appends, 0)

    def test_apply_adds_changes_and_removes_rows(self):
        self.assertEqual(self.apply()[0], 0)
        self.write(7)
        self.assertIn("~ routes.chat: priority 5 -> 7", self.apply()[1])
        (self.folder / "routes.toml").unlink()
        self.assertIn("- routes.chat", self.apply()[1])
        self.assertEqual(set(self.show()["routes"]), set())

    def test_an_empty_directory_deletes_nothing_by_default(self):
        # A wrong path or a failed checkout looks like tables without rows.
        self.apply()
        for file in self.folder.iterdir():
            file.unlink()
        self.assertEqual(self.apply()[0], commands.EXIT_USAGE)
        self.assertEqual(set(self.show()["routes"]), {"chat"})
        self.assertEqual(self.apply(allow_empty=True)[0], 0)
        self.assertEqual(set(self.show()["routes"]), set())

    def test_an_edit_needs_an_author(self):
        status, _, err = self.apply(author="")
        self.assertEqual(status, commands.EXIT_USAGE)
        self.assertIn("--author", err)

    def test_diff_compares_two_directories_without_the_log(self):
        with tempfile.TemporaryDirectory() as other:
            (pathlib.Path(other) / "all.toml").write_text(POOL + ROUTE % (DIGEST, 9))
            _, out, _ = self.run_command(commands.diff, [str(self.folder)], "", other)
        self.assertIn("~ routes.chat: priority 9 -> 5", out)
        self.assertEqual(self.log.reads, 0)

    def test_an_outage_is_reported(self):
        self.log.faults.down = True
        status, _, err = self.apply()
        self.assertEqual(status, commands.EXIT_FAILED)
        self.assertIn("outage", err)

    def test_history_names_authors_verdicts_and_changes(self):
        self.apply(author="ada")
        self.write(6)
        self.apply(author="bo")
        _, out, _ = self.run_command(commands.history, self.address)
        lines = out.splitlines()
        self.assertRegex(lines[0], r"^0 accepted by ada edit \w+: \+pools\.assistant \+routes")
        self.assertRegex(lines[1], r"^1 accepted by bo edit \w+: ~routes\.chat$")
        _, out, _ = self.run_command(commands.history, self.address, as_json=True)
        self.assertEqual(json.loads(out.splitlines()[1])["author"], "bo")

    def test_a_conflict_shows_the_current_row_and_its_author(self):
        first = fold(Tables(), edit("e0", put(engine_pool()), put(chat_route())), 0).tables
        taken = fold(first, edit("e1", put(chat_route(priority=1), 0), author="ada"), 1).tables
        late = edit("e2", put(chat_route(priority=2), 0))
        folded = fold(taken, late, 2)
        text = "\n".join(table_text.conflict_lines(folded.tables, folded.conflicts))
        self.assertIn("expected version 0, but version 1 by ada is in force", text)
        self.assertIn("priority = 1", text)


class ShowRoundTripTest(unittest.TestCase):
    def test_shown_tables_can_be_applied_again(self):
        # Quotes, control characters, DEL and characters of all Unicode planes must
        # survive the round trip.
        workspace = 'a"b\\c\n\x7f\x01ş\U0001f4a1'
        change = edit(
            "e0",
            put(engine_pool(adapters=("x", "y"), import_ms_per_block=0.5, fencing=False)),
            put(service_pool()),
            put(chat_route(workspace=workspace, priority=0, hedge_after_ms=20)),
            put(service_route("booking.v-2")),
            author='o"p',
        )
        tables = fold(Tables(), change, 0).tables
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "shown.toml"
            file.write_text("\n".join(table_text.toml_lines(tables)), encoding="utf-8")
            read = table_files.read([str(file)]).unwrap()
        self.assertEqual(table_files.changes_between(tables, read), ())
