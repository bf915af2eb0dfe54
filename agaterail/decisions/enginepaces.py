"""How fast engines decode, compared with the others of their service."""

from __future__ import annotations

import math
import statistics

import attrs

# Slowdowns of parts of a second average out, and lasting ones show after some seconds.
HALF_LIFE_S = 5.0
# Weight, in samples, of the assumption that an engine is as fast as the median one.
PRIOR_SAMPLES = 4.0
MAX_PACE = 4.0
MIN_SAMPLES = 0.1


@attrs.define
class _DecayedSamples:
    """Samples of one engine, weighted by their age."""

    count: float
    sum_log_s: float
    at: float

    def decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self.at) / HALF_LIFE_S)
        self.count *= factor
        self.sum_log_s *= factor
        self.at = now


class PaceEstimator:
    """Estimates the pace of each engine of a service from times of decode steps.

    Answers engines of unequal speed: an engine at half the usual pace should get fewer
    prompts.
    """

    def __init__(self) -> None:
        self.samples: dict[str, _DecayedSamples] = {}
        self.median_log_s = 0.0
        self.median_at = float("-inf")

    def record(self, instance: str, count: int, sum_log_s: float, now: float) -> None:
        """Record samples of an engine.

        Parameters
        ----------
        sum_log_s
            Sum of the logarithms of the times of a step in seconds.
        """
        known = self.samples.get(instance)
        if known is None:
            self.samples[instance] = _DecayedSamples(count, sum_log_s, now)
            return
        known.decay(now)
        known.count += count
        known.sum_log_s += sum_log_s

    def pace(self, instance: str, now: float) -> float:
        """Return the time of a step relative to the median engine; 1 if unknown."""
        if now != self.median_at:
            self._update_median(now)
        known = self.samples.get(instance)
        if known is None:
            return 1.0
        excess = known.sum_log_s - known.count * self.median_log_s
        bound = math.log(MAX_PACE)
        return math.exp(max(-bound, min(bound, excess / (known.count + PRIOR_SAMPLES))))

    def _update_median(self, now: float) -> None:
        self.median_at = now
        for instance, item in list(self.samples.items()):
            item.decay(now)
            if item.count < MIN_SAMPLES:
                del self.samples[instance]
        means = [item.sum_log_s / item.count for item in self.samples.values()]
        self.median_log_s = statistics.median(means) if means else 0.0
