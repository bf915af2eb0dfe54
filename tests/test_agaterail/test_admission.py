from __future__ import annotations

import random
import unittest

from agaterail import admission
from agaterail.admission import AdmissionRequest, FairGate


class FairGateTest(unittest.TestCase):
    def fill(self, gate, workspace, cost=10.0, weight=1.0):
        count = 0
        while gate.admit(workspace, cost, 1000.0, weight):
            count += 1
        return count

    def test_a_flood_leaves_half_of_the_queue_open(self):
        gate = FairGate()
        self.assertEqual(self.fill(gate, "large"), 50)
        self.assertTrue(gate.is_light("small", 10.0, 1000.0))
        self.assertFalse(gate.is_light("large", 10.0, 1000.0))
        self.assertTrue(gate.admit("small", 10.0, 1000.0, 1.0))

    def test_small_workspaces_together_do_not_starve_a_larger_one(self):
        # At four times the capacity (tools.overload), seven small workspaces were
        # all served before the large one and kept the engines busy, so admitted
        # requests of the large one exceeded their deadlines.
        gate = FairGate()
        self.fill(gate, "large")
        for number in range(7):
            self.fill(gate, f"small-{number}")
        self.assertFalse(gate.is_light("small-0", 10.0, 1000.0))
        self.assertFalse(gate.is_light("another", 10.0, 1000.0))

    def test_many_floods_share_evenly_and_a_newcomer_is_still_admitted(self):
        gate = FairGate()
        for number in range(20):
            self.fill(gate, f"large-{number}")
        self.assertTrue(gate.admit("small", 10.0, 1000.0, 1.0))

    def test_the_lowest_priority_is_refused_first(self):
        counts = []
        for priority in (0, 5, 9):
            gate = FairGate()
            gate.admit("others", 400.0, 1000.0, 1.0)
            counts.append(self.fill(gate, "w", weight=admission.priority_weight(priority)))
        self.assertEqual(counts, sorted(counts))
        self.assertGreater(counts[2], counts[0])

    def test_released_requests_leave_no_residue(self):
        gate, rng, admitted = FairGate(), random.Random(3), []
        for _ in range(2000):
            if admitted and rng.random() < 0.5:
                gate.release(*admitted.pop(rng.randrange(len(admitted))))
            else:
                item = (f"w{rng.randrange(5)}", rng.uniform(0.1, 99.0))
                if gate.admit(*item, 1000.0, 1.0):
                    admitted.append(item)
        for item in admitted:
            gate.release(*item)
        self.assertAlmostEqual(gate.total_ms, 0.0, places=6)
        self.assertEqual(dict(gate.outstanding_ms), {})


class MissRatioTest(unittest.TestCase):
    def test_silent_homes_do_not_make_every_prompt_count_as_cold(self):
        # 90% of each prompt is cached, then the homes stop answering and hits
        # are unknown. If requests then counted as cold, each would be charged
        # ten times its cost and most would be refused.
        ratio = admission.MissRatio()
        self.assertEqual(ratio.value, admission.INITIAL_MISS_RATIO)
        for _ in range(100):
            ratio.update(100, 1000)
        self.assertAlmostEqual(ratio.value, 0.1, delta=0.01)


class CanMeetDeadlineTest(unittest.TestCase):
    def test_requests_that_miss_their_deadline_are_refused_lowest_priority_first(self):
        def request(priority, expected_ms):
            return AdmissionRequest("w", priority, 1.0, expected_ms, 1000.0)

        self.assertFalse(admission.can_meet_deadline(request(9, 1001.0)))
        self.assertTrue(admission.can_meet_deadline(request(9, 990.0)))
        self.assertFalse(admission.can_meet_deadline(request(0, 600.0)))
        self.assertTrue(admission.can_meet_deadline(request(0, None)))


class CapacityTest(unittest.TestCase):
    def test_a_cold_burst_far_from_its_deadline_is_admitted(self):
        # As in `make demo`, 24 callers send cold prompts of 103 ms through three
        # daemons to five engines at the same time, with a deadline of 30 s. Five of
        # them were refused with "cannot answer before the deadline", although all
        # could get their first token within 1 s.
        gate = FairGate()
        capacity_ms = admission.queue_capacity_ms(targets=5, members=3, deadline_ms=30_000)
        for _ in range(8):
            self.assertTrue(
                gate.admit("one", 103.0, capacity_ms, admission.priority_weight(5))
            )

    def test_a_short_deadline_keeps_the_queue_short(self):
        self.assertEqual(admission.queue_capacity_ms(4, 1, 3_000), 4 * admission.MIN_QUEUE_MS)
        self.assertEqual(admission.queue_capacity_ms(4, 1, 100), 4 * admission.MIN_QUEUE_MS)
