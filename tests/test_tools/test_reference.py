from __future__ import annotations

import unittest

from tools import reference


class ReferenceTest(unittest.TestCase):
    def test_the_pages_are_what_the_code_says(self):
        for name, text in reference.pages().items():
            kept = (reference.FOLDER / name).read_text(encoding="utf-8")
            self.assertEqual(kept, text, f"run `make reference` to renew {name}")

    def test_each_field_has_a_meaning(self):
        self.assertNotIn("|  |", reference.settings() + reference.tables())
