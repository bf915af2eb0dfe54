"""Long outages of the store, in which registrations lapse and come back."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

import gevent

from tools.soak.checks import FaultInterval
from tools.soak.faults import SETTLE_S

if TYPE_CHECKING:
    from tools.soak.testbed import Testbed

MIN_OUTAGE_S, MAX_OUTAGE_S = 8.0, 13.0
LAPSED_FRACTION = 0.5
MAX_RENEWAL_S = 1.5


class OutageInjector:
    """Silences the store for longer than its readings are valid."""

    def __init__(self, testbed: Testbed, seed: int) -> None:
        self.testbed = testbed
        self.random = random.Random(f"outages {seed}")
        self.intervals: list[FaultInterval] = []

    def run(self, seconds: float) -> None:
        """Inject outages for a duration and wait until the last one has ended."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            gevent.sleep(self.random.uniform(0.5, 3.0))
            self.outage()

    def outage(self) -> None:
        """Silence the store; some registrations lapse and are renewed after its return."""
        testbed, start = self.testbed, time.monotonic()
        seconds = self.random.uniform(MIN_OUTAGE_S, MAX_OUTAGE_S)
        testbed.store.silent = True
        gevent.sleep(seconds / 2.0)
        serving = [name for name in testbed.targets if name not in testbed.drained_at]
        lapsed = self.random.sample(serving, round(len(serving) * LAPSED_FRACTION))
        for name in lapsed:
            testbed.lapse(name)
        gevent.sleep(seconds / 2.0)
        testbed.store.silent = False
        gevent.sleep(self.random.uniform(0.1, MAX_RENEWAL_S))
        for name in lapsed:
            testbed.register(name)
        self.intervals.append(
            FaultInterval("store outage", start, time.monotonic() + SETTLE_S)
        )
