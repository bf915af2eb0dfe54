"""How fast each engine of a service decodes, relative to its other engines.

This answers a load on engines of different speeds: one that takes twice the usual time for a
step needs half the prompts. An engine that is slow for parts of a second, as under a long
prompt, is not such an engine.
"""

from __future__ import annotations

import math
import statistics

import attrs

# Shorter, a pause of half a second would make an engine look slow; longer, an engine whose
# speed has changed would be sent the wrong share of the prompts for many seconds.
HALF_LIFE_S = 5.0
# Weight of the assumption that an engine is as fast as the median, in samples.
PRIOR_SAMPLES = 4.0
# Engines with fewer samples do not shape the median.
MIN_SAMPLES = 4.0
MAX_FACTOR = 4.0
MAX_LOG = math.log(MAX_FACTOR)
# A sample further from the median than this is a pause rather than a step.
MAX_SAMPLE_LOG = math.log(2.0 * MAX_FACTOR)
MEDIAN_REFRESH_S = 0.25
# Engines without samples for this long have left, or nothing is known of them any more.
FORGET_AFTER_S = 6.0 * HALF_LIFE_S


@attrs.define
class _Samples:
    """Decayed samples of one engine.

    Attributes
    ----------
    count
        Decayed number of samples.
    sum_log_s
        Decayed sum of the logarithms of seconds per step.
    at
        Time to which both are decayed.
    heard_at
        Time of the latest sample.
    """

    count: float
    sum_log_s: float
    at: float
    heard_at: float

    def decay(self, now: float) -> None:
        """Decay to the present; a time before the last one changes nothing."""
        if now > self.at:
            factor = 0.5 ** ((now - self.at) / HALF_LIFE_S)
            self.count *= factor
            self.sum_log_s *= factor
            self.at = now


class PaceEstimator:
    """Estimates the time of a decode step at each engine, relative to the median engine.

    Samples are means of logarithms, so single pauses weigh little. Whether all engines have
    become slower or only one can be told only from the samples of many daemons: an estimator
    fed by one daemon takes its few engines for the usual.
    """

    def __init__(self) -> None:
        self.samples: dict[str, _Samples] = {}
        self.median_log: float | None = None
        self.refreshed_at = -math.inf

    def record(self, instance: str, count: float, sum_log_s: float, now: float) -> None:
        """Add samples of one engine.

        Parameters
        ----------
        count
            Number of samples.
        sum_log_s
            Sum of the natural logarithms of the seconds per decode step.
        """
        if not 0.0 < count < math.inf or not math.isfinite(sum_log_s):
            return
        self._refresh(now)
        mean = self._limit(sum_log_s / count)
        held = self.samples.get(instance)
        if held is None:
            self.samples[instance] = _Samples(count, mean * count, now, now)
            return
        held.decay(now)
        held.heard_at = now
        held.count += count
        held.sum_log_s += mean * count

    def pace(self, instance: str, now: float) -> float:
        """Return the time of a step relative to the median engine's; 1 if unknown."""
        self._refresh(now)
        held = self.samples.get(instance)
        if held is None or self.median_log is None:
            return 1.0
        held.decay(now)
        excess = held.sum_log_s - held.count * self.median_log
        log = excess / (held.count + PRIOR_SAMPLES)
        return math.exp(max(-MAX_LOG, min(MAX_LOG, log)))

    def forget(self, instance: str) -> None:
        """Forget an engine that has left or started anew."""
        self.samples.pop(instance, None)

    def _limit(self, log: float) -> float:
        if self.median_log is None:
            return log
        low, high = self.median_log - MAX_SAMPLE_LOG, self.median_log + MAX_SAMPLE_LOG
        return max(low, min(high, log))

    def _refresh(self, now: float) -> None:
        """Compute the median anew if it may have changed, and forget silent engines."""
        if 0.0 <= now - self.refreshed_at < MEDIAN_REFRESH_S:
            return
        self.refreshed_at = now
        for name, held in list(self.samples.items()):
            if now - held.heard_at > FORGET_AFTER_S:
                del self.samples[name]
                continue
            held.decay(now)
        means = [
            held.sum_log_s / held.count
            for held in self.samples.values()
            if held.count >= MIN_SAMPLES
        ]
        self.median_log = statistics.median(means) if means else None
