"""Targets of a service that fail together, and the check on how often requests repeat."""

from __future__ import annotations

import bisect
import random
import time
from typing import TYPE_CHECKING

import attrs
import gevent

from tools.soak.testbed import (
    LLM_SERVICE,
    PLAIN_SERVICE,
    RETRY_EXTRA,
    RETRY_RATIO,
    RETRY_WINDOW_S,
    SERVICES,
)

if TYPE_CHECKING:
    from tools.soak.callers import CallerRequest
    from tools.soak.testbed import Testbed

FAULTS = ("refuse", "hang", "error", "break_after")
BREAK_AFTER = 3
MIN_FAILING = 0.5


class StrainInjector:
    """Has most targets of a service refuse, hang, fail or break off at the same time."""

    def __init__(self, testbed: Testbed, seed: int) -> None:
        self.testbed = testbed
        self.random = random.Random(f"strain {seed}")

    def run(self, seconds: float) -> None:
        """Inject faults for a duration and wait until the last one has ended."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            gevent.sleep(self.random.uniform(0.5, 2.0))
            self.strain()

    def strain(self) -> None:
        """Have at least half of the targets of a service fail in one way each."""
        service = self.random.choice(SERVICES)
        names = [name for name, found in self.testbed.services.items() if found == service]
        count = round(len(names) * self.random.uniform(MIN_FAILING, 1.0))
        failing = [
            (self.testbed.targets[name], self.random.choice(FAULTS))
            for name in self.random.sample(names, count)
        ]
        for target, fault in failing:
            setattr(target, fault, BREAK_AFTER if fault == "break_after" else True)
        gevent.sleep(self.random.uniform(1.0, 4.0))
        for target, fault in failing:
            setattr(target, fault, None if fault == "break_after" else False)


@attrs.frozen
class RetryWindow:
    """The window in which a service got most repeats, by what was allowed."""

    service: str
    count: int
    allowed: float

    @property
    def problem(self) -> str:
        """Return a description if the window had too many repeats, or an empty text."""
        if self.count <= self.allowed:
            return ""
        return f"{self.service}: {self.count} repeats, {self.allowed:.1f} allowed"


def worst_retry_windows(testbed: Testbed, requests: list[CallerRequest]) -> list[RetryWindow]:
    """Return the worst window of each service."""
    return [_worst_window(testbed, requests, service) for service in SERVICES]


def _worst_window(
    testbed: Testbed, requests: list[CallerRequest], service: str
) -> RetryWindow:
    asked = sorted(item.sent_at for item in requests if _service_of(item) == service)
    worst = RetryWindow(service, 0, RETRY_EXTRA)
    repeats = _repeats(testbed, service)
    for end, at in enumerate(repeats):
        count = end + 1 - bisect.bisect_right(repeats, at - RETRY_WINDOW_S)
        allowed = RETRY_RATIO * _most_asked(asked, at) + RETRY_EXTRA
        if count / allowed > worst.count / worst.allowed:
            worst = RetryWindow(service, count, allowed)
    return worst


def _service_of(request: CallerRequest) -> str:
    return LLM_SERVICE if request.kind in ("resumed", "once") else PLAIN_SERVICE


def _repeats(testbed: Testbed, service: str) -> list[float]:
    """Return the times of the arrivals beyond the first of each request."""
    arrivals = sorted(
        arrival
        for name, found in testbed.services.items()
        if found == service
        for arrival in testbed.targets[name].arrivals
    )
    seen: set[str] = set()
    repeats = []
    for at, request_id in arrivals:
        if request_id in seen:
            repeats.append(at)
        seen.add(request_id)
    return repeats


def _most_asked(asked: list[float], end: float) -> int:
    """Return the requests of a window, or of one that is half or all of its length earlier.

    The window with the most requests counts.
    """

    def count(until: float) -> int:
        start = bisect.bisect_right(asked, until - RETRY_WINDOW_S)
        return bisect.bisect_right(asked, until) - start

    return max(count(end - part * RETRY_WINDOW_S) for part in (0.0, 0.5, 1.0))
