from __future__ import annotations

import unittest

from agaterail.decisions.ratelimits import updated_limit


class UpdatedLimitTest(unittest.TestCase):
    def test_first_naming_changes_and_end(self):
        limit = updated_limit(None, 2.0, sent_at=9.0, now=10.0)
        self.assertEqual((limit.rate_per_s, limit.since, limit.heard_at), (2.0, 10.0, 10.0))
        limit = updated_limit(limit, 1.5, sent_at=10.5, now=11.0)
        self.assertEqual((limit.rate_per_s, limit.since, limit.heard_at), (1.5, 10.0, 11.0))
        self.assertIsNone(updated_limit(limit, None, sent_at=11.5, now=12.0))

    def test_answer_that_was_overtaken_ends_no_limit(self):
        limit = updated_limit(None, 2.0, sent_at=9.0, now=10.0)
        self.assertIs(updated_limit(limit, None, sent_at=9.5, now=10.1), limit)
