from __future__ import annotations

import math
import unittest

import attrs

from agaterail.engineloads import loadspage
from agaterail.engineloads.messages import LoadAnswer
from agaterail.engineloads.scales import HEARD_S, PACE, STREAMS, TOKENS
from agaterail.engineloads.view import FleetEngineLoads

ENGINES = (("e-1", 1), ("e-2", 1))


def make_answer(**fields):
    answer = LoadAnswer(
        tag=b"abcd",
        engines=ENGINES,
        streams=bytes([STREAMS.encode(4), 0]),
        prefill_tokens=bytes([TOKENS.encode(1000), 0]),
        kv_tokens=bytes([TOKENS.encode(9000), 0]),
        heard=bytes([HEARD_S.encode(0.5), HEARD_S.encode(math.inf)]),
        paces=bytes([PACE.encode(2.0), PACE.encode(1.0)]),
        silent=((0, 3, 2),),
        age_s=0.2,
        fraction=1.0,
    )
    return attrs.evolve(answer, **fields)


class ViewTest(unittest.TestCase):
    def setUp(self):
        self.time = 10.0
        self.starts = dict(ENGINES)
        self.view = FleetEngineLoads(self.starts.get, lambda: self.time)

    def record(self, period_s=0.5, **fields):
        return self.view.record("llm", make_answer(**fields), "g:1", self.time, period_s)

    def test_figures_age(self):
        self.assertEqual(self.record(), "")
        self.time += 0.3
        figures = self.view.figures("e-1")
        self.assertAlmostEqual(figures.streams, 4.0, delta=0.2)
        self.assertAlmostEqual(figures.pace, 2.0, delta=0.02)
        self.assertEqual((figures.silent_daemons, figures.silent_domains), (3, 2))
        self.assertAlmostEqual(figures.heard_s, 0.8, delta=0.02)
        self.assertAlmostEqual(figures.age_s, 0.5)
        self.assertEqual(self.view.figures("e-2").heard_s, math.inf)
        self.assertEqual(self.view.figures("e-2").silent_daemons, 0)

    def test_figures_end_after_two_seconds(self):
        self.record()
        self.time += 1.9
        self.assertIsNotNone(self.view.figures("e-1"))
        self.assertEqual(self.view.forget_expired(), [])
        self.time += 0.2
        self.assertIsNone(self.view.figures("e-1"))
        self.assertEqual([item.service for item in self.view.forget_expired()], ["llm"])
        self.assertEqual(self.view.tag_of("llm"), b"")

    def test_figures_last_for_two_long_periods(self):
        self.record(period_s=3.2)
        self.time += 6.0
        self.assertIsNotNone(self.view.figures("e-1"))
        self.time += 1.0
        self.assertIsNone(self.view.figures("e-1"))

    def test_sums_are_scaled_to_the_fleet(self):
        self.record(fraction=0.5)
        self.assertAlmostEqual(self.view.figures("e-1").streams, 8.0, delta=0.4)

    def test_answer_of_a_small_part_of_the_fleet_is_not_used(self):
        self.assertEqual(self.record(fraction=0.2), "few daemons have reported")
        self.assertIsNone(self.view.figures("e-1"))

    def test_list_of_engines_is_kept_while_its_tag_holds(self):
        self.record()
        self.time += 0.5
        self.assertEqual(self.record(engines=None), "")
        self.assertIsNotNone(self.view.figures("e-1"))

    def test_answer_without_a_known_list_is_not_used(self):
        self.assertEqual(self.record(engines=None), "list of engines is missing")
        self.record()
        self.assertNotEqual(self.record(engines=None, tag=b"efgh"), "")

    def test_new_list_replaces_the_former_one(self):
        self.record()
        self.starts["e-3"] = 1
        self.record(tag=b"efgh", engines=(("e-1", 1), ("e-3", 1)))
        self.assertIsNone(self.view.figures("e-2"))
        self.assertIsNotNone(self.view.figures("e-3"))

    def test_figures_of_another_start_are_not_used(self):
        """Guards against figures of an engine's former start under the same id."""
        self.record()
        self.starts["e-1"] = 2
        del self.starts["e-2"]
        self.assertIsNone(self.view.figures("e-1"))
        self.assertIsNone(self.view.figures("e-2"))

    def test_age_of_the_oldest_figures(self):
        self.assertEqual(self.view.age_s(), -1.0)
        self.record()
        self.time += 0.7
        self.assertAlmostEqual(self.view.age_s(), 0.7)

    def test_page_names_engines_and_where_figures_come_from(self):
        self.record()
        header, first, second = loadspage.render(self.view).decode().splitlines()
        columns = dict(zip(header.split(), first.split(), strict=True))
        self.assertEqual((columns["engine"], columns["from"]), ("e-1", "g:1"))
        self.assertAlmostEqual(float(columns["pace"]), 2.0, delta=0.02)
        self.assertEqual(len(second.split()), len(header.split()))
