from __future__ import annotations

import re
import unittest

from tests.support import ROOT

LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")


class LinksTest(unittest.TestCase):
    def test_every_relative_link_resolves(self):
        missing = []
        for page in [ROOT / "README.md", *(ROOT / "docs").rglob("*.md")]:
            for target in LINK.findall(page.read_text(encoding="utf-8")):
                if not (page.parent / target).exists():
                    missing.append(f"{page.relative_to(ROOT)}: {target}")
        self.assertEqual(missing, [])
