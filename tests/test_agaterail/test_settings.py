from __future__ import annotations

import unittest

from agaterail import settings
from agaterail.application import Application
from agaterail.settings import Settings
from tools.bench.probe import ProbeFilter


class ExtensionsTest(unittest.TestCase):
    def test_a_missing_module_is_reported(self):
        for text in ("no_such_module", "tools.no_such_module", "tools..probe"):
            (problem,) = settings.load({"extensions": text}, {}).failure()
            self.assertIn("--extensions", str(problem))

    def test_extensions_are_set_up_after_the_built_in_modules(self):
        chosen = settings.load({"extensions": "tools.bench.probe, tools.oracle"}, {}).unwrap()
        app = Application(chosen)
        self.assertTrue(any(isinstance(item, ProbeFilter) for item in app.filters))
        self.assertEqual(type(app.policies["cost"]).__name__, "OraclePolicy")

    def test_no_extensions_are_loaded_by_default(self):
        self.assertEqual(Settings().extensions, ())
