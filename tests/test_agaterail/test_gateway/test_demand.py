from __future__ import annotations

import random
import statistics
import unittest

from agaterail.gateway.demand import (
    FLEET_WINDOW_S,
    MAX_ESTIMATE_AGE_S,
    MAX_REPORT_S,
    MIN_REPORTED_S,
    WINDOW_S,
    Demand,
    DemandReport,
    FleetDemand,
    is_plausible_rate,
)
from agaterail.gateway.placement import PREFILL_MS_PER_TOKEN

POLL_S = 0.6


class DemandTest(unittest.TestCase):
    def setUp(self):
        self.demand = Demand()

    def test_own_prompts_count_within_the_window(self):
        self.demand.record(1000, 0.0)
        needed = 1000 * PREFILL_MS_PER_TOKEN / (WINDOW_S * 1e3)
        self.assertAlmostEqual(self.demand.engines_needed(WINDOW_S), needed)
        self.assertEqual(self.demand.engines_needed(WINDOW_S + 1.0), 0.0)

    def test_the_time_before_the_first_prompt_does_not_count(self):
        """After a restart under full load, all engines seemed spare and were loaded."""
        for step in range(20):
            self.demand.record(1000, 100.0 + 0.1 * step)
        needed = 10000.0 * PREFILL_MS_PER_TOKEN * 1e-3
        self.assertAlmostEqual(self.demand.engines_needed(102.0), needed)

    def test_a_fresh_estimate_of_the_peers_goes_before_own_prompts(self):
        self.demand.record(1000, 0.0)
        self.demand.record_estimate(5000.0, 0.0)
        needed = 5000.0 * PREFILL_MS_PER_TOKEN * 1e-3
        self.assertAlmostEqual(self.demand.engines_needed(1.0), needed)
        self.assertLess(self.demand.engines_needed(MAX_ESTIMATE_AGE_S + 0.1), needed)

    def test_a_report_that_was_lost_is_made_up_for(self):
        self.assertIsNone(self.demand.next_report(0.0))
        self.demand.record(100, 0.5)
        self.assertEqual(self.demand.next_report(1.0), DemandReport(100, 1.0))
        self.demand.record(50, 1.5)
        report = self.demand.next_report(2.0)
        self.assertEqual(report, DemandReport(150, 2.0))
        self.demand.record(7, 2.1)
        self.demand.record_reported(2.0, report)
        self.assertEqual(self.demand.next_report(2.5), DemandReport(7, 0.5))

    def test_a_long_gap_is_not_reported(self):
        self.demand.next_report(0.0)
        self.demand.record(100, 1.0)
        self.assertIsNone(self.demand.next_report(MAX_REPORT_S + 1.0))
        self.assertEqual(self.demand.next_report(MAX_REPORT_S + 2.0), DemandReport(0, 1.0))

    def test_implausible_reports_and_estimates_are_recognized(self):
        for report in (DemandReport(-1, 1.0), DemandReport(1, 0.0), DemandReport(1, 1e9)):
            self.assertFalse(report.is_valid)
        for rate in (float("nan"), float("inf"), -1.0):
            self.assertFalse(is_plausible_rate(rate))


class FleetDemandTest(unittest.TestCase):
    """The lease holder took half of the engines out under full load.

    It estimated the demand of 195 daemons from its own eight prompts.
    """

    DAEMONS = 195
    READERS = 8
    PROMPTS_PER_S = 1.6
    SECONDS = 12.0

    def estimates(self):
        """Play the polls of all daemons; return the true demand and all estimates."""
        numbers = random.Random(3)
        readers = [FleetDemand() for _ in range(self.READERS)]
        demands = [Demand() for _ in range(self.DAEMONS)]
        polls = []
        for daemon in range(self.DAEMONS):
            first = numbers.random() * POLL_S
            count = int((self.SECONDS - first) / POLL_S)
            polls += [(first + n * POLL_S, daemon, n) for n in range(count)]
        tokens = 0
        arrivals = []
        for daemon in range(self.DAEMONS):
            now = numbers.expovariate(self.PROMPTS_PER_S)
            while now < self.SECONDS:
                arrivals.append((now, daemon, round(numbers.lognormvariate(8.5, 1.0))))
                now += numbers.expovariate(self.PROMPTS_PER_S)
        arrivals.sort()
        for now, daemon, poll in sorted(polls):
            while arrivals and arrivals[0][0] <= now:
                at, offered_to, size = arrivals.pop(0)
                demands[offered_to].record(size, at)
                tokens += size
            demand, reader = demands[daemon], readers[(daemon + poll) % self.READERS]
            report = demand.next_report(now)
            if report is not None:
                reader.add(report, now)
                demand.record_reported(now, report)
            rate = reader.tokens_per_s(now)
            if rate is not None:
                demand.record_estimate(rate, now)
        true = tokens / self.SECONDS / self.DAEMONS * PREFILL_MS_PER_TOKEN * 1e-3
        by_peers = [demand.engines_needed(self.SECONDS) for demand in demands]
        return true, by_peers

    def test_all_daemons_know_the_demand_of_the_fleet(self):
        true, by_peers = self.estimates()
        for estimate in by_peers:
            self.assertAlmostEqual(estimate / true, 1.0, delta=0.25)
        self.assertLess(statistics.pstdev(by_peers) / true, 0.1)

    def test_few_reports_give_no_estimate(self):
        fleet = FleetDemand()
        fleet.add(DemandReport(100, MIN_REPORTED_S / 2), 0.0)
        self.assertIsNone(fleet.tokens_per_s(0.0))
        fleet.add(DemandReport(100, MIN_REPORTED_S / 2), 0.0)
        self.assertEqual(fleet.tokens_per_s(0.0), 200 / MIN_REPORTED_S)
        self.assertIsNone(fleet.tokens_per_s(FLEET_WINDOW_S + 0.1))
