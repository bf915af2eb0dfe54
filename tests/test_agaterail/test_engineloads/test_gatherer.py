from __future__ import annotations

import unittest

from agaterail.decisions.engineloads import DaemonReport, EngineRow
from agaterail.engineloads.gatherer import LIST_VALID_S, Gatherer
from agaterail.engineloads.messages import LoadQuestion
from agaterail.engineloads.scales import STREAMS


class GathererTest(unittest.TestCase):
    def setUp(self):
        self.time = 10.0
        self.engines = (("e-1", 1), ("e-2", 1))
        self.gatherer = Gatherer(self.engines_of, lambda: 4.0, lambda: self.time)

    def engines_of(self, service):
        return self.engines if service == "llm" else ()

    def ask(self, daemon, tag=b"", **streams):
        rows = tuple(
            EngineRow(instance=name.replace("_", "-"), start=1, streams=count, heard_s=0.1)
            for name, count in streams.items()
        )
        report = DaemonReport(daemon=daemon, domain="z1", period_s=0.5, rows=rows)
        return self.gatherer.answer(LoadQuestion("llm", tag, report))

    def streams(self, answer):
        return [round(STREAMS.values[code]) for code in answer.streams]

    def test_sums_kept_for_a_moment_leave_out_the_asker(self):
        self.ask("a", e_1=2)
        self.assertEqual(self.streams(self.ask("b", e_1=1, e_2=5)), [2, 0])
        self.assertEqual(self.streams(self.ask("a", e_1=2)), [1, 0])
        self.time += 2.0 * LIST_VALID_S
        self.assertEqual(self.streams(self.ask("a", e_1=2)), [1, 5])

    def test_list_of_engines_is_sent_if_its_tag_is_new(self):
        answer = self.ask("a")
        self.assertEqual(answer.engines, self.engines)
        self.assertIsNone(self.ask("a", tag=answer.tag).engines)
        self.engines = (*self.engines, ("e-3", 1))
        self.time += 2.0 * LIST_VALID_S
        later = self.ask("a", tag=answer.tag)
        self.assertEqual(later.engines, self.engines)
        self.assertEqual(later.count, 3)

    def test_start_of_an_engine_changes_the_tag(self):
        answer = self.ask("a", e_1=2)
        self.engines = (("e-1", 2), ("e-2", 1))
        self.time += 2.0 * LIST_VALID_S
        self.assertNotEqual(self.ask("a").tag, answer.tag)
        self.assertEqual(self.streams(self.ask("b")), [0, 0])

    def test_service_without_engines_is_not_answered(self):
        report = DaemonReport(daemon="a", domain="z1", period_s=0.5)
        self.assertIsNone(self.gatherer.answer(LoadQuestion("other", b"", report)))
        self.assertEqual(self.gatherer.services, {})
        self.ask("a")
        self.engines = ()
        self.time += 2.0 * LIST_VALID_S
        self.assertIsNone(self.ask("a"))
        self.assertEqual(self.gatherer.services, {})

    def test_nothing_is_left_after_a_suspension(self):
        """Guards against sums that a suspended host had computed before."""
        self.ask("a", e_1=2)
        self.ask("b")
        self.gatherer.drop(self.time)
        self.assertIsNone(self.ask("b"))
        self.time += 0.2
        self.assertEqual(self.streams(self.ask("b")), [0, 0])
