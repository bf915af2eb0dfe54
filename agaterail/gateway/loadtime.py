"""Estimate of how long an engine takes to load new weights."""

from __future__ import annotations

import statistics
from collections import deque

# Before the first load, a load is assumed to take this fraction of the time allowed for
# a rollout, which is sized for several consecutive loads.
ASSUMED_FRACTION = 0.125
# The end of a load shows in the next report, registration or answer, so a sample may be
# too long by a heartbeat, or by seconds if the order was carried out late. A median of
# five tolerates two such outliers.
MAX_SAMPLES = 5
# Samples outside of this range are measurement errors.
MIN_LOAD_S = 0.05
MAX_LOAD_S = 15.0


class LoadTime:
    """Median of the latest load times, or an assumed value before the first.

    Load times vary several-fold between deployments. An estimate that is too long leaves
    loaded engines idle; one that is too short sends requests to loading engines.

    The lease holder measures the loads and publishes the estimate in the lease record. The
    other daemons use it without observing a load, and a new holder starts with it.

    Parameters
    ----------
    allowed_s
        Seconds after which outdated weights must not start a request.
    """

    def __init__(self, allowed_s: float) -> None:
        self.assumed_s = allowed_s * ASSUMED_FRACTION
        self.samples: deque[float] = deque(maxlen=MAX_SAMPLES)

    @property
    def known_s(self) -> float | None:
        """Return the measured load time in seconds; None before the first load."""
        return statistics.median(self.samples) if self.samples else None

    @property
    def load_s(self) -> float:
        """Return the measured or else the assumed load time, in seconds."""
        known = self.known_s
        return self.assumed_s if known is None else known

    def record(self, seconds: float) -> None:
        """Record the time from an order until the new weights were first observed."""
        if MIN_LOAD_S <= seconds <= MAX_LOAD_S:
            self.samples.append(seconds)

    def adopt(self, seconds: float) -> None:
        """Replace the samples with the estimate of another lease holder."""
        if MIN_LOAD_S <= seconds <= MAX_LOAD_S:
            self.samples.clear()
            self.samples.append(seconds)
