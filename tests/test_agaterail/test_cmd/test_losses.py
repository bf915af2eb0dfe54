from __future__ import annotations

import io
import json
import unittest
from unittest import mock

from tests.test_agaterail.test_cmd.test_main import run_in_process

REFUSED_LINE = json.dumps(
    {
        "event": "Request failed.",
        "request": "r1",
        "route": "answers",
        "kind": "no_target",
        "status": 503,
        "timestamp": "2026-01-01T00:00:00.000000Z",
    }
)


class StandardInputTest(unittest.TestCase):
    def test_logs_are_read_from_standard_input_without_paths(self):
        """The command refused to run without paths, although its help allows it."""
        with mock.patch("sys.stdin", io.StringIO(REFUSED_LINE + "\n")):
            status, out, err = run_in_process("losses")
        self.assertEqual((status, err), (0, ""))
        self.assertIn("r1", out)

    def test_a_command_that_needs_files_still_requires_a_path(self):
        status, out, err = run_in_process("check")
        self.assertEqual((status, out), (2, ""))
        self.assertEqual(len(err.splitlines()), 1, err)
