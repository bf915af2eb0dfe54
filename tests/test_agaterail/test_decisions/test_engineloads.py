from __future__ import annotations

import math
import unittest

from agaterail.decisions.engineloads import (
    MAX_DAEMONS,
    DaemonReport,
    EngineLoadLedger,
    EngineRow,
    EngineTotals,
    report_period_s,
)
from agaterail.decisions.enginepaces import PaceEstimator

STEP_S = 0.02


def report(daemon, *rows, domain="z1", period_s=0.5):
    return DaemonReport(daemon=daemon, domain=domain, period_s=period_s, rows=rows)


def row(instance="e-1", **fields):
    return EngineRow(instance=instance, **{"start": 1, "heard_s": 0.1, **fields})


class LedgerTest(unittest.TestCase):
    def setUp(self):
        self.ledger = EngineLoadLedger(PaceEstimator())
        self.ledger.set_engines((f"e-{number}", 1) for number in range(6))

    def test_sums_leave_out_the_asker(self):
        for daemon, streams in (("a", 3), ("b", 2), ("c", 1)):
            item = row(streams=streams, prefill_tokens=100 * streams, kv_tokens=9)
            self.ledger.record(report(daemon, item), 10.0)
        totals = self.ledger.totals("e-1", "a")
        found = (totals.streams, totals.prefill_tokens, totals.kv_tokens)
        self.assertEqual(found, (3, 300, 18))
        self.assertEqual(self.ledger.totals("e-1").streams, 6)

    def test_later_report_replaces_the_former(self):
        self.ledger.record(report("a", row(streams=3), row("e-2", streams=1)), 10.0)
        self.ledger.record(report("a", row(streams=1)), 10.5)
        self.assertEqual(self.ledger.totals("e-1").streams, 1)
        # That it was heard stays true.
        self.assertEqual(self.ledger.totals("e-2"), EngineTotals(heard_at=9.9))

    def test_report_expires_after_three_periods(self):
        self.ledger.record(report("a", row(streams=3)), 10.0)
        self.ledger.record(report("b", row(streams=1), period_s=2.0), 10.0)
        self.ledger.expire(11.4)
        self.assertEqual(self.ledger.totals("e-1").streams, 4)
        self.ledger.expire(11.6)
        self.assertEqual(self.ledger.totals("e-1").streams, 1)

    def test_row_of_another_start_does_not_count(self):
        self.ledger.record(report("a", row(streams=3), row("e-2", start=5, streams=1)), 10.0)
        self.assertEqual(self.ledger.totals("e-2").streams, 0)
        self.ledger.set_engines([("e-1", 2)])
        self.assertEqual(self.ledger.totals("e-1"), EngineTotals())

    def test_bytes_at_any_daemon_are_the_latest_with_the_age_of_the_report(self):
        self.ledger.record(report("a", row(heard_s=0.3)), 10.0)
        self.ledger.record(report("b", row(heard_s=0.2)), 9.8)
        self.ledger.record(report("c", row(heard_s=math.inf)), 10.0)
        self.assertAlmostEqual(self.ledger.totals("e-1").heard_at, 9.7)
        self.assertAlmostEqual(self.ledger.totals("e-1", "a").heard_at, 9.6)

    def test_silence_counts_daemons_and_their_domains(self):
        heard = [row(f"e-{number}") for number in (2, 3, 4)]
        for daemon, domain in (("a", "z1"), ("b", "z1"), ("c", "z2")):
            self.ledger.record(report(daemon, row(waiting_s=0.5), *heard, domain=domain), 1.0)
        self.ledger.record(report("d", row(waiting_s=0.3), *heard, domain="z3"), 1.0)
        totals = self.ledger.totals("e-1")
        self.assertEqual((totals.silent_daemons, totals.silent_domains), (3, 2))

    def test_silence_at_most_engines_in_use_is_that_of_the_daemon(self):
        """Guards against engines blamed for the network of a daemon that is cut off."""
        silent = [row(f"e-{number}", waiting_s=0.5, heard_s=0.5) for number in (1, 2, 3)]
        self.ledger.record(report("a", *silent, row("e-4"), row("e-5")), 1.0)
        self.assertEqual(self.ledger.totals("e-1").silent_daemons, 0)

    def test_quarter_of_the_engines_silent_is_told_by_daemons_that_hear_others(self):
        silent = [row(f"e-{number}", waiting_s=0.9, heard_s=0.9) for number in (1, 2)]
        # Streams at the others have ended meanwhile.
        heard = [row(f"e-{number}", streams=0, heard_s=0.8) for number in (3, 4, 5)]
        self.ledger.record(report("a", *silent, *heard), 1.0)
        self.assertEqual(self.ledger.totals("e-1").silent_daemons, 1)

    def test_reports_that_waited_during_a_suspension_are_refused(self):
        """Guards against reports of unknown age that a frozen host reads when it goes on."""
        self.ledger.record(report("a", row(streams=3)), 10.0)
        self.ledger.drop(20.0)
        self.assertFalse(self.ledger.record(report("b", row(streams=3)), 20.05))
        self.assertEqual(self.ledger.totals("e-1"), EngineTotals())
        self.assertTrue(self.ledger.record(report("b", row(streams=3)), 20.2))

    def test_number_of_daemons_is_bounded(self):
        for number in range(MAX_DAEMONS):
            self.assertTrue(self.ledger.record(report(f"d-{number}"), 1.0))
        self.assertFalse(self.ledger.record(report("other"), 1.0))
        self.assertTrue(self.ledger.record(report("d-0"), 1.0))

    def test_fraction_is_that_of_the_others(self):
        for daemon in ("a", "b", "c"):
            self.ledger.record(report(daemon), 1.0)
        self.assertAlmostEqual(self.ledger.fraction("a", 9.0), 2 / 8)
        self.assertAlmostEqual(self.ledger.fraction("z", 9.0), 3 / 8)
        self.assertEqual(self.ledger.fraction("z", 2.0), 1.0)

    def test_steps_become_the_pace_of_an_engine_since_its_start(self):
        for turn in range(40):
            for number in range(5):
                step_s = STEP_S * (2.0 if number == 0 else 1.0)
                item = row(f"e-{number}", steps=2, sum_log_s=2.0 * math.log(step_s))
                self.ledger.record(report("a", item), 0.5 * turn)
        self.assertGreater(self.ledger.pace("e-0", 20.0), 1.6)
        self.ledger.set_engines((f"e-{number}", 2) for number in range(5))
        self.assertEqual(self.ledger.pace("e-0", 20.0), 1.0)

    def test_mean_age_of_the_reports(self):
        self.assertEqual(self.ledger.age_s(10.0), 0.0)
        self.ledger.record(report("a"), 9.0)
        self.ledger.record(report("b"), 9.5)
        self.assertAlmostEqual(self.ledger.age_s(10.0), 0.75)


class PeriodTest(unittest.TestCase):
    def test_period_follows_the_number_of_reports_and_the_size_of_answers(self):
        for daemons, services, size, expected in (
            (8, 1, 0, 0.5),
            (81, 1, 400, 0.5),
            (410, 1, 400, 2.05),
            (81, 2, 800, 0.81),
            (410, 1, 3200, 3.2),
            (3000, 1, 3200, 5.0),
        ):
            with self.subTest(daemons=daemons, size=size):
                period_s = report_period_s(daemons, services, size)
                self.assertAlmostEqual(period_s, expected)
