from __future__ import annotations

import unittest

from tools import reference


class ReferenceTest(unittest.TestCase):
    def test_pages_match_code(self):
        for name, text in reference.pages().items():
            kept = (reference.FOLDER / name).read_text(encoding="utf-8")
            self.assertEqual(kept, text, f"run `make reference` to renew {name}")

    def test_every_field_has_description(self):
        self.assertNotIn("|  |", reference.settings() + reference.tables())
