"""How long an engine takes to load new weights, as the lease's holder observes it."""

from __future__ import annotations

import statistics
from collections import deque

# Until a load was seen it is taken for this part of the time that operators allow
# for new weights to be everywhere: they allow for several loads one after the other.
ASSUMED_FRACTION = 0.125
# A load is seen to be done with the next report, registration or answer, so a
# single observation may be late by a heartbeat, and an order that was carried out
# late by seconds. The median of five bears two of these.
MAX_SAMPLES = 5
# Shorter and longer ones are faults of the observation.
MIN_LOAD_S = 0.05
MAX_LOAD_S = 15.0


class LoadTime:
    """Median of the latest loads; the assumed value before the first.

    Deployments differ in it by a multiple: a figure too long leaves loaded engines
    idle, one too short sends requests to engines that load.

    The lease's holder measures; the others learn its value from the record of the
    lease, so no daemon needs to see a load itself, and a new holder begins with what
    the former one knew.

    Parameters
    ----------
    allowed_s
        Seconds after which older weights must not begin a request.
    """

    def __init__(self, allowed_s: float) -> None:
        self.assumed_s = allowed_s * ASSUMED_FRACTION
        self.samples: deque[float] = deque(maxlen=MAX_SAMPLES)

    @property
    def known_s(self) -> float | None:
        """Return the load time in seconds; None if no load was seen."""
        return statistics.median(self.samples) if self.samples else None

    @property
    def load_s(self) -> float:
        """Return the load time to reckon with, in seconds."""
        known = self.known_s
        return self.assumed_s if known is None else known

    def note(self, seconds: float) -> None:
        """Take in the time from an order to the first sight of the new weights."""
        if MIN_LOAD_S <= seconds <= MAX_LOAD_S:
            self.samples.append(seconds)

    def adopt(self, seconds: float) -> None:
        """Take over what another holder of the lease has measured."""
        if MIN_LOAD_S <= seconds <= MAX_LOAD_S:
            self.samples.clear()
            self.samples.append(seconds)
