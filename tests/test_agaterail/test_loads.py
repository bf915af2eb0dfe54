from __future__ import annotations

import unittest

from agaterail.loads import EngineLoad
from tests.support import load_report


class EngineLoadTest(unittest.TestCase):
    def setUp(self):
        self.load = EngineLoad(1.0)

    def test_dispatches_since_a_lagging_report_are_added_and_drained(self):
        # The report is 5 s old and says that the engine is idle. Since then three
        # requests of 100 ms were sent, two of them just before the report came.
        # A daemon that relied on the report alone would send the next one there.
        self.load.on_dispatch("old", 100, 6.0)
        self.load.on_dispatch("one", 100, 9.9)
        self.load.on_dispatch("two", 100, 9.9)
        self.load.on_report(load_report(age_ms=5000.0), requested_at=10.0)
        self.assertAlmostEqual(self.load.queue_ms(10.0), 100.0)
        self.assertAlmostEqual(self.load.queue_ms(10.05), 50.0)
        self.assertEqual(self.load.queue_ms(11.0), 0.0)

    def test_a_report_covers_what_was_sent_before_the_moment_it_describes(self):
        self.load.on_dispatch("one", 400, 9.0)
        self.load.on_report(load_report(waiting_prefill_tokens=300), requested_at=9.1)
        self.assertAlmostEqual(self.load.queue_ms(9.1), 300.0)

    def test_an_older_report_changes_nothing(self):
        self.load.on_report(load_report(waiting_prefill_tokens=300), requested_at=9.0)
        late = load_report(age_ms=1000.0)
        self.assertFalse(self.load.on_report(late, requested_at=9.0))
        self.assertAlmostEqual(self.load.queue_ms(9.0), 300.0)

    def test_dispatches_correct_a_report_that_never_changes(self):
        for second in range(10):
            self.load.on_report(load_report(age_ms=second * 1e3), requested_at=100.0 + second)
            self.load.on_dispatch(str(second), 1100, 100.0 + second)
        self.assertAlmostEqual(self.load.queue_ms(110.0), 1000.0)

    def test_a_request_that_did_not_run_leaves_the_queue(self):
        self.load.on_dispatch("one", 400, 9.0)
        self.load.on_finish("one", ran=False)
        self.assertEqual((self.load.queue_ms(9.0), self.load.running), (0.0, {}))

    def test_a_restart_empties_the_queue(self):
        self.load.on_report(load_report(), requested_at=8.0)
        self.load.on_dispatch("one", 4000, 9.0)
        self.load.on_report(load_report(incarnation="b"), requested_at=9.5)
        self.assertEqual(self.load.queue_ms(9.5), 0.0)

    def test_requests_whose_finish_was_lost_expire(self):
        self.load.on_dispatch("one", 400, 9.0)
        self.load.expire(1000.0)
        self.assertEqual((list(self.load.sent), self.load.running), ([], {}))
