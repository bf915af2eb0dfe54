from __future__ import annotations

import math
import unittest

from agaterail.engineloads.scales import HEARD_S, MAX_CODE, PACE, STREAMS, TOKENS


class ScaleTest(unittest.TestCase):
    def test_few_streams_are_told_exactly(self):
        for streams in range(28):
            self.assertEqual(round(STREAMS.values[STREAMS.encode(streams)]), streams)

    def test_amounts_are_within_a_few_hundredths(self):
        for tokens in (100, 826, 9_190, 92_470, 1_000_000):
            decoded = TOKENS.values[TOKENS.encode(tokens)]
            self.assertAlmostEqual(decoded / tokens, 1.0, delta=0.045)

    def test_silence_is_told_within_tens_of_milliseconds(self):
        for seconds in (0.0, 0.1, 0.4, 1.0):
            decoded = HEARD_S.values[HEARD_S.encode(seconds)]
            self.assertAlmostEqual(decoded, seconds, delta=0.02)

    def test_never_heard_is_infinity(self):
        self.assertEqual(HEARD_S.values[HEARD_S.encode(math.inf)], math.inf)

    def test_values_beyond_the_scale_are_its_ends(self):
        for scale in (STREAMS, TOKENS, HEARD_S):
            self.assertEqual(scale.encode(1e12), MAX_CODE)
            self.assertEqual(scale.encode(-1.0), 0)

    def test_paces(self):
        for pace in (0.25, 0.5, 1.0, 1.5, 4.0):
            self.assertAlmostEqual(PACE.values[PACE.encode(pace)], pace, delta=0.006 * pace)
        self.assertEqual(PACE.values[PACE.encode(1.0)], 1.0)
        self.assertEqual(PACE.encode(100.0), PACE.encode(4.0))
