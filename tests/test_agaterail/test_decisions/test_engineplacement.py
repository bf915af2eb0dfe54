from __future__ import annotations

import unittest

import attrs

from agaterail.decisions.engineplacement import (
    CHOICES,
    CROWDED_CHOICES,
    MAX_CANDIDATES,
    Candidate,
    PlacementCost,
    PromptLoad,
    choose_candidate,
    expected_cost,
    is_crowded,
)
from agaterail.engineloads.figures import EngineFigures

SHORT = PromptLoad(
    shared_tokens=200, own_tokens=600, output_tokens=50, gap_objective_s=0.6, objective_s=1.2
)
LONG = attrs.evolve(SHORT, shared_tokens=6300, own_tokens=30_000, output_tokens=10)
USUAL = EngineFigures(streams=3.0, prefill_tokens=2000.0, kv_tokens=20_000.0)


def make_candidate(rank=0, own_tokens=0, own_streams=0, **figures):
    return Candidate(
        rank=rank,
        prefill_tokens=own_tokens,
        streams=own_streams,
        figures=attrs.evolve(USUAL, **figures),
        slots=12,
        kv_capacity=86_000,
    )


def choose(prompt, *candidates, usual=USUAL):
    return choose_candidate(prompt, candidates, usual)[0]


class EnginePlacementTest(unittest.TestCase):
    def test_a_prompt_goes_to_its_home(self):
        self.assertEqual(choose(SHORT, make_candidate(), make_candidate(1)), 0)
        self.assertEqual(choose(LONG, make_candidate(), make_candidate(1)), 0)

    def test_prompts_of_other_daemons_move_a_prompt(self):
        """A daemon with no request of its own at an engine took it for idle."""
        busy = make_candidate(prefill_tokens=40_000)
        self.assertEqual(choose(SHORT, busy, make_candidate(1)), 1)

    def test_a_prompt_with_new_shared_parts_is_not_held_at_its_home(self):
        """Prompts waited at homes that had cached nothing of them."""
        home = make_candidate(prefill_tokens=12_000)
        known = attrs.evolve(LONG, own_tokens=2000)
        self.assertEqual(choose(known, home, make_candidate(1)), 0)
        new = attrs.evolve(known, new_fraction=1.0)
        self.assertEqual(choose(new, home, make_candidate(1)), 1)

    def test_own_requests_count_once(self):
        own = make_candidate(own_tokens=10_000)
        others = make_candidate(prefill_tokens=12_000)
        costs = [expected_cost(SHORT, item, USUAL) for item in (own, others)]
        self.assertAlmostEqual(costs[0].total_ms, costs[1].total_ms)

    def test_a_long_prompt_goes_to_the_quicker_engine(self):
        slow, quick = make_candidate(pace=1.1), make_candidate(1, pace=0.5)
        self.assertEqual(choose(LONG, slow, quick), 1)
        self.assertEqual(expected_cost(SHORT, slow, USUAL).stall_ms, 0.0)

    def test_a_long_prompt_avoids_engines_with_many_streams(self):
        """Streams paused for longer than their objective while a long prompt was read."""
        many, few = make_candidate(streams=11.0), make_candidate(1, streams=1.0)
        self.assertEqual(choose(LONG, many, few), 1)
        self.assertEqual(choose(SHORT, many, few), 0)

    def test_a_long_answer_avoids_engines_that_read_long_prompts(self):
        reading = make_candidate(prefill_tokens=30_000)
        costs = [
            expected_cost(attrs.evolve(SHORT, output_tokens=tokens), reading, USUAL)
            for tokens in (1, 50)
        ]
        self.assertGreater(costs[1].stall_ms, costs[0].stall_ms + 100.0)

    def test_a_stream_without_a_gap_objective_is_not_stalled(self):
        prompt = attrs.evolve(LONG, gap_objective_s=0.0)
        self.assertEqual(expected_cost(prompt, make_candidate(), USUAL).stall_ms, 0.0)

    def test_a_prompt_avoids_an_engine_without_memory(self):
        """Requests that did not fit together preempted each other again and again."""
        full = make_candidate(kv_tokens=76_000.0, streams=8.0)
        self.assertEqual(
            choose(attrs.evolve(LONG, own_tokens=3000), full, make_candidate(1)), 1
        )
        self.assertEqual(expected_cost(SHORT, make_candidate(), USUAL).memory_ms, 0.0)

    def test_a_prompt_avoids_an_engine_without_slots(self):
        full = make_candidate(streams=14.0)
        self.assertEqual(choose(SHORT, full, make_candidate(1)), 1)
        self.assertEqual(expected_cost(SHORT, make_candidate(), USUAL).slots_ms, 0.0)

    def test_an_open_connection_breaks_a_tie_but_no_prefix(self):
        plain = attrs.evolve(SHORT, shared_tokens=0)
        connected = attrs.evolve(make_candidate(1), is_connected=True)
        self.assertEqual(choose(plain, make_candidate(), connected), 1)
        self.assertEqual(choose(SHORT, make_candidate(), connected), 0)

    def test_a_failure_domain_breaks_a_tie_but_no_prefix(self):
        far = attrs.evolve(make_candidate(), domain_ms=2.0)
        plain = attrs.evolve(SHORT, shared_tokens=0)
        self.assertEqual(choose(plain, far, make_candidate(1)), 1)
        self.assertEqual(choose(SHORT, far, make_candidate(1)), 0)

    def test_an_idle_engine_far_down_the_order_is_not_chosen(self):
        """All daemons turned to the engine that their figures showed as idle."""
        usual = [make_candidate(rank) for rank in range(CHOICES)]
        idle = make_candidate(CHOICES, streams=0.0, prefill_tokens=0.0)
        self.assertLess(choose(LONG, *usual, idle), CHOICES)

    def test_engines_further_down_take_what_would_be_late_at_the_first(self):
        late = [make_candidate(rank, prefill_tokens=80_000) for rank in range(CHOICES)]
        self.assertEqual(choose(SHORT, *late, make_candidate(CHOICES)), CHOICES)

    def test_a_prompt_stays_near_its_home_while_all_engines_are_crowded(self):
        """Daemons left crowded homes for engines that old figures showed as less busy."""
        crowded = attrs.evolve(USUAL, prefill_tokens=40_000.0)
        engines = [
            make_candidate(rank, prefill_tokens=40_000 - 2_000 * rank) for rank in range(12)
        ]
        self.assertTrue(is_crowded(LONG, crowded))
        index, _cost = choose_candidate(LONG, engines, crowded)
        self.assertLess(index, CROWDED_CHOICES)

    def test_engines_are_crowded_by_the_usual_queue_and_the_objective(self):
        busy = attrs.evolve(USUAL, prefill_tokens=20_000.0)
        patient = attrs.evolve(LONG, objective_s=30.0)
        self.assertFalse(is_crowded(LONG, USUAL))
        self.assertTrue(is_crowded(LONG, busy))
        self.assertFalse(is_crowded(patient, busy))
        self.assertFalse(is_crowded(attrs.evolve(LONG, objective_s=0.0), busy))

    def test_a_choice_under_overload_looks_at_a_bounded_number_of_engines(self):
        """Choices took most of a host's processor time while all engines were overloaded."""
        looked_at = []

        def candidates():
            for rank in range(600):
                looked_at.append(rank)
                yield make_candidate(rank, prefill_tokens=80_000)

        choose_candidate(SHORT, candidates(), USUAL)
        self.assertLessEqual(len(looked_at), MAX_CANDIDATES)

    def test_missing_figures_are_taken_for_the_usual_ones(self):
        """An engine without figures looked idle."""
        unknown = attrs.evolve(make_candidate(), figures=None)
        expected = expected_cost(SHORT, make_candidate(), USUAL)
        self.assertEqual(expected_cost(SHORT, unknown, USUAL), expected)

    def test_old_figures_weigh_less(self):
        costs = [
            expected_cost(SHORT, make_candidate(prefill_tokens=40_000, age_s=age_s), USUAL)
            for age_s in (0.0, 0.5, 2.0, 20.0)
        ]
        waits = [cost.wait_ms for cost in costs]
        self.assertEqual(waits, sorted(waits, reverse=True))
        usual = expected_cost(SHORT, make_candidate(), USUAL)
        self.assertAlmostEqual(waits[-1], usual.wait_ms, delta=1.0)

    def test_a_cost_tells_its_parts(self):
        cost = PlacementCost(wait_ms=12.4, stall_ms=0.3, distance_ms=2.0)
        self.assertEqual(cost.summary(), {"wait_ms": 12, "distance_ms": 2})
        self.assertAlmostEqual(cost.total_ms, 14.7)
