from __future__ import annotations

import unittest
from unittest import mock

from agaterail.engineloads import controller
from agaterail.engineloads.controller import account_of
from agaterail.gateway.placement import choose_by_hash
from tests.engine_load_fleet import SERVICE, EngineLoadFleet, State


def outcomes(daemon):
    samples = daemon.metrics.load_reports.collect()[0].samples
    return {
        item.labels["outcome"]: item.value for item in samples if item.name.endswith("_total")
    }


class ExchangeTest(unittest.TestCase):
    def setUp(self):
        self.fleet = EngineLoadFleet()
        self.asker = self.fleet.asker

    def test_figures_are_those_of_the_other_daemons(self):
        for daemon in self.fleet.daemons:
            daemon.begin("e-1")
        self.asker.begin("e-2")
        self.fleet.advance(2.0)
        figures = self.asker.view.figures("e-1")
        self.assertAlmostEqual(figures.streams, 8.0, delta=0.3)
        self.assertAlmostEqual(figures.prefill_tokens, 8_000.0, delta=250.0)
        self.assertAlmostEqual(figures.kv_tokens, 8_800.0, delta=275.0)
        self.assertEqual(self.asker.view.figures("e-2").streams, 0.0)
        self.assertLess(figures.age_s, 1.2)
        self.assertIsNone(self.asker.view.figures("e-77"))

    def test_gatherer_asks_itself_without_a_call(self):
        self.asker.begin("e-1")
        self.fleet.advance(2.0)
        gatherer = self.fleet.gatherer
        self.assertEqual(gatherer.sent_bytes, [])
        self.assertAlmostEqual(gatherer.view.figures("e-1").streams, 1.0, delta=0.1)

    def test_nothing_is_sent_in_a_small_fleet(self):
        self.fleet.size = 7
        self.fleet.advance(3.0)
        self.assertEqual(sum(daemon.received for daemon in self.fleet.daemons), 0)
        self.assertFalse(self.asker.own.active)
        self.assertIsNone(self.asker.view.figures("e-1"))

    def test_figures_end_at_once_when_the_fleet_becomes_small(self):
        self.fleet.advance(2.0)
        self.fleet.size = 7
        self.fleet.advance(0.2)
        self.assertIsNone(self.asker.view.figures("e-1"))

    def test_reports_of_a_daemon_are_half_a_second_apart(self):
        self.fleet.advance(12.0)
        self.assertAlmostEqual(len(self.asker.sent_bytes), 23, delta=2)

    def test_first_reports_are_spread_over_a_period(self):
        self.fleet.advance(0.1)
        due = [daemon.controller.exchanges[SERVICE].due_at for daemon in self.fleet.daemons]
        self.assertGreater(max(due) - min(due), 0.2)

    def test_report_waits_while_another_is_under_way(self):
        self.fleet.advance(2.0)
        self.asker.controller.exchanges[SERVICE].under_way = True
        sent = len(self.asker.sent_bytes)
        self.fleet.advance(2.0)
        self.assertEqual(len(self.asker.sent_bytes), sent)


class FailureTest(unittest.TestCase):
    """Failures of daemons, links and engines between and during reports."""

    def setUp(self):
        self.fleet = EngineLoadFleet()
        self.asker = self.fleet.asker
        for daemon in self.fleet.daemons[2:]:
            daemon.begin("e-1")
        self.fleet.advance(2.0)
        self.first = self.fleet.gatherer
        self.assertAlmostEqual(self.streams(), 6.0, delta=0.3)

    def streams(self, engine="e-1"):
        figures = self.asker.view.figures(engine)
        return None if figures is None else figures.streams

    def test_dead_gatherer_is_replaced_within_the_validity_of_figures(self):
        """Guards against a service without figures after the gathering host lost power."""
        self.first.state = State.DEAD
        for _ in range(30):
            self.fleet.advance(0.1)
            self.assertIsNotNone(self.streams())
            self.assertLess(self.asker.view.figures("e-1").age_s, 1.5)
        other = next(item for item in self.fleet.daemons[:2] if item is not self.first)
        self.assertEqual(self.asker.view.views[SERVICE].source, other.address)
        # The dead daemon, which sent nothing to the engine, still counts as a member.
        self.assertAlmostEqual(self.streams(), 6.0 * 8 / 7, delta=0.4)

    def test_figures_end_when_no_gatherer_answers(self):
        """Guards against decisions by old figures while both gathering hosts are down."""
        for daemon in self.fleet.daemons[:2]:
            daemon.state = State.DEAD
        with mock.patch.object(controller.logger, "info") as info:
            self.fleet.advance(2.7)
        self.assertIsNone(self.streams())
        lost = [call for call in info.call_args_list if call.args == ("Engine loads lost.",)]
        self.assertTrue(any(call.kwargs["reason"] for call in lost))
        self.assertGreater(outcomes(self.asker)["failed"], 0)

    def test_reports_from_before_a_suspension_are_dropped(self):
        """Guards against a gatherer that was frozen and then tells of finished requests."""
        self.first.state = State.FROZEN
        self.fleet.advance(3.0)
        for daemon in self.fleet.daemons[2:]:
            daemon.targets["e-1"].in_flight = 0
        self.first.thaw()
        ledger = self.first.controller.gatherer.services[SERVICE].ledger
        self.assertEqual(ledger.reports, {})
        self.fleet.advance(3.0)
        self.assertEqual(self.streams(), 0.0)

    def test_daemon_that_is_cut_off_reports_to_the_other_gatherer(self):
        """Guards against a daemon without figures behind a broken link to the gatherer."""
        self.fleet.cut = {(self.asker.address, self.first.address)}
        self.fleet.advance(4.0)
        other = next(item for item in self.fleet.daemons[:2] if item is not self.first)
        self.assertIn("d-8", other.controller.gatherer.services[SERVICE].ledger.reports)

    def test_few_reports_give_no_figures(self):
        """Guards against engines that look empty to a gatherer of few daemons."""
        self.fleet.cut = {(self.asker.address, self.first.address)}
        self.fleet.advance(4.0)
        self.assertIsNone(self.streams())

    def test_two_gatherers_at_once_scale_up_what_they_hear(self):
        """Guards against half of the load where daemons know different readers."""
        other = next(item for item in self.fleet.daemons[:2] if item is not self.first)
        for daemon in self.fleet.daemons[2:]:
            daemon.begin("e-3")
        for daemon in self.fleet.daemons[5:]:
            daemon.readers = (other.address,)
        self.fleet.advance(4.0)
        # Four of nine daemons report to the other one, three of them beside the asker.
        self.assertAlmostEqual(self.streams("e-3"), 8.0, delta=0.5)

    def test_replaced_gatherer_knows_all_within_a_second(self):
        """Guards against a long time without figures when the readers change."""
        self.fleet.readers = tuple(daemon.address for daemon in self.fleet.daemons[2:4])
        with mock.patch.object(controller.logger, "info") as info:
            self.fleet.advance(1.2)
        self.assertAlmostEqual(self.streams(), 6.0, delta=0.3)
        texts = [call.args[0] for call in info.call_args_list]
        self.assertIn("Gatherer of engine loads changed.", texts)

    def test_report_of_a_dead_daemon_expires(self):
        """Guards against load that stays counted after the host that sent it has died."""
        for daemon in self.fleet.daemons[4:8]:
            daemon.state = State.DEAD
        self.fleet.advance(2.2)
        self.assertEqual(
            len(self.first.controller.gatherer.services[SERVICE].ledger.reports), 5
        )
        self.assertAlmostEqual(self.streams(), 2.0 * 8 / 4, delta=0.3)

    def test_former_build_is_left_alone_for_some_seconds(self):
        """Guards against calls to a daemon that cannot answer during a roll-out."""
        self.first.state = State.FORMER_BUILD
        self.fleet.advance(0.6)
        received = self.first.received
        self.fleet.advance(4.0)
        self.assertEqual(self.first.received, received)
        self.assertIsNone(self.streams())
        self.first.state = State.UP
        self.fleet.advance(3.0)
        self.assertIsNotNone(self.streams())

    def test_malformed_answer_replaces_the_gatherer(self):
        """Guards against trust in a daemon that answers garbage."""
        self.first.state = State.MALFORMED
        self.fleet.advance(0.9)
        self.assertIsNot(self.fleet.gatherer, self.first)

    def test_malformed_reports_are_refused_and_logged_once_a_period(self):
        """Guards against a log that a faulty daemon fills."""
        with mock.patch.object(controller.logger, "info") as info:
            statuses = {self.first.handle(body)[0] for body in (b"", b"\xc1", b"\x90", b"{}")}
        self.assertEqual(statuses, {400})
        self.assertEqual(info.call_count, 1)

    def test_engine_that_starts_anew_has_no_load_of_its_former_start(self):
        """Guards against the load of a former start under the same id."""
        former = self.asker.view.figures("e-1")
        self.assertGreater(former.streams, 0.0)
        self.fleet.restart("e-1")
        self.assertIsNone(self.asker.view.figures("e-1"))
        self.fleet.advance(2.0)
        self.assertEqual(self.streams(), 0.0)

    def test_daemon_that_hears_nothing_does_not_make_engines_silent(self):
        """Guards against engines blamed for the network of a daemon that is cut off."""
        heard = [item for item in self.fleet.starts if item != "e-1"]
        for daemon in self.fleet.daemons[2:]:
            daemon.begin("e-2")
        for _ in range(20):
            self.fleet.advance(0.1)
            for daemon in self.fleet.daemons[3:]:
                daemon.hear(*heard)
        figures = self.asker.view.figures("e-1")
        # Daemon 2 hears nothing from both engines that it uses, and the asker is left out.
        self.assertEqual((figures.silent_daemons, figures.silent_domains), (5, 3))
        self.assertGreater(figures.heard_s, 1.0)
        figures = self.asker.view.figures("e-2")
        self.assertEqual(figures.silent_daemons, 0)
        self.assertLess(figures.heard_s, 1.0)


class GathererAccountTest(unittest.TestCase):
    def test_gatherer_is_the_coordinator_of_the_service(self):
        fleet = EngineLoadFleet()
        fleet.advance(1.5)
        chosen = choose_by_hash(account_of(SERVICE), fleet.readers)
        self.assertEqual(fleet.gatherer.address, chosen)
