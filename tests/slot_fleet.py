"""Engines with slots that many daemons fill without knowing each other's requests."""

from __future__ import annotations

import heapq
import random
from collections import deque

SLOTS = 12
# Mean seconds for which a request holds its slot: short answers and long ones.
SHORT_S, LONG_S, SHORT_PART = 0.4, 1.75, 0.55
UNLOADED_S = 0.18
MEAN_S = SHORT_PART * SHORT_S + (1.0 - SHORT_PART) * LONG_S


class SlotFleet:
    """Requests go to engines as a hash would place them, and wait there for a slot."""

    def __init__(self, engines: int, seed: int = 3) -> None:
        self.engines = engines
        self.random = random.Random(seed)
        self.running = [0] * engines
        self.waiting: list[deque[float]] = [deque() for _ in range(engines)]
        self.events: list[tuple[float, int]] = []
        self.waits: list[float] = []

    def run(self, requests_per_s: float, seconds: float) -> list[float]:
        """Return the waits for first tokens."""
        now = 0.0
        while now < seconds:
            now += self.random.expovariate(requests_per_s)
            while self.events and self.events[0][0] <= now:
                self._end(*heapq.heappop(self.events))
            engine = self.random.randrange(self.engines)
            if self.running[engine] < SLOTS:
                self._start(engine, now, now)
            else:
                self.waiting[engine].append(now)
        return self.waits

    def _start(self, engine: int, arrived_at: float, now: float) -> None:
        self.running[engine] += 1
        self.waits.append(now - arrived_at + UNLOADED_S * self.random.uniform(0.7, 1.5))
        mean_s = SHORT_S if self.random.random() < SHORT_PART else LONG_S
        held_s = UNLOADED_S + self.random.expovariate(1.0 / (mean_s - UNLOADED_S))
        heapq.heappush(self.events, (now + held_s, engine))

    def _end(self, now: float, engine: int) -> None:
        self.running[engine] -= 1
        if self.waiting[engine]:
            self._start(engine, self.waiting[engine].popleft(), now)


def late_part(engines: int, occupied: float, objective_s: float = 0.5) -> float:
    """Return the part of first tokens that come late when that many engines serve."""
    waits = SlotFleet(engines).run(occupied * SLOTS / MEAN_S, 20.0)
    return sum(wait > objective_s for wait in waits) / len(waits)
