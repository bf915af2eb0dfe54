"""Prompts and requests that end targets, and the checks on who sends them there."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

import attrs
import gevent

from tools.soak.checks import FaultInterval
from tools.soak.faults import SETTLE_S

if TYPE_CHECKING:
    from tools.soak.callers import CallerRequest
    from tools.soak.testbed import Testbed

FATAL_PART = "fa"
SHARES = (0.02, 0.05, 0.1)
# Events of an answer before the engine ends; before its head if negative.
CRASH_POINTS = (-1, 0, 1)
CONTACT_S = 3.0
FREE_CRASHES = 5
FREE_REPEATS = 3
MAX_ARRIVALS = 3
REPEATED_KINDS = ("safe", "unsafe", "resumed", "once")


@attrs.define
class Crash:
    """The end of an engine."""

    instance: str
    at: float


class CrashInjector:
    """From some time on, engines end at a part that a share of the callers' prompts have.

    This goes on until the end of the run, so that it also tells whether the other prompts
    are served meanwhile.
    """

    def __init__(self, testbed: Testbed, seed: int) -> None:
        self.testbed = testbed
        self.random = random.Random(f"crashes {seed}")
        self.crashes: list[Crash] = []

    @property
    def intervals(self) -> list[FaultInterval]:
        """Return the times in which the crashes have effects on other prompts."""
        return [
            FaultInterval(f"crash {item.instance}", item.at, item.at + SETTLE_S)
            for item in self.crashes
        ]

    def run(self, seconds: float) -> None:
        """Begin at some time within a duration."""
        gevent.sleep(seconds * self.random.uniform(0.1, 0.5))
        if not seconds:
            return
        testbed, crash_after = self.testbed, self.random.choice(CRASH_POINTS)
        testbed.on_crashed = self._handle_crash
        testbed.set_fatal(FATAL_PART, crash_after)
        testbed.fatal_share = self.random.choice(SHARES)

    def run_repeats(self, seconds: float) -> None:
        """Begin with a request that its caller repeats at some time within a duration."""
        gevent.sleep(seconds * self.random.uniform(0.1, 0.5))
        if seconds:
            self.testbed.on_crashed = self._handle_crash
            self.testbed.set_repeated(
                self.random.choice(REPEATED_KINDS), self.random.choice(CRASH_POINTS)
            )

    def _handle_crash(self, instance: str) -> None:
        self.crashes.append(Crash(instance, time.monotonic()))
        self.testbed.proxies[instance].close()
        gevent.spawn_later(self.random.uniform(1.5, 4.0), self.testbed.restart, instance)


def check_crashes(
    testbed: Testbed,
    crashes: list[Crash],
    requests: list[CallerRequest],
    fault_intervals: list[FaultInterval],
) -> list[str]:
    """Return a problem if engines got the part after it had ended five of them."""
    if len(crashes) < FREE_CRASHES:
        return []
    from_s = crashes[FREE_CRASHES - 1].at + CONTACT_S
    prompts = [item for item in requests if item.is_fatal and not item.is_repeat]
    late = _late_arrivals(testbed, from_s, prompts, fault_intervals)
    if len(late) <= MAX_ARRIVALS:
        return []
    return [
        f"{len(late)} prompts that end engines reached them {CONTACT_S:.0f} s and more after"
        f" the fifth crash, {MAX_ARRIVALS} allowed; the latest {max(late)}"
    ]


def check_repeats(
    testbed: Testbed, requests: list[CallerRequest], fault_intervals: list[FaultInterval]
) -> list[str]:
    """Return a problem if targets got a request after it had ended three of them."""
    repeats = [item for item in requests if item.is_repeat]
    ids = {item.request_id for item in repeats}
    ends = sorted(
        at
        for target in testbed.targets.values()
        for at, request_id in target.ends
        if request_id in ids
    )
    if len(ends) < FREE_REPEATS:
        return []
    from_s = ends[FREE_REPEATS - 1] + CONTACT_S
    late = _late_arrivals(testbed, from_s, repeats, fault_intervals)
    if len(late) <= MAX_ARRIVALS:
        return []
    return [
        f"{len(late)} repeats of a request that ends targets reached them {CONTACT_S:.0f} s"
        f" and more after the third end, {MAX_ARRIVALS} allowed; {len(ends)} ends; the"
        f" latest {max(late)}"
    ]


def _late_arrivals(
    testbed: Testbed,
    from_s: float,
    requests: list[CallerRequest],
    fault_intervals: list[FaultInterval],
) -> list[tuple[float, str]]:
    """Return when requests that end targets reached them by gateways in touch."""
    gateways = {item.request_id: item.gateway for item in requests}
    return [
        (arrived_at - from_s, request_id)
        for target in testbed.targets.values()
        for arrived_at, request_id in target.arrivals
        if request_id in gateways
        and arrived_at > from_s
        and not _is_excused(gateways[request_id], arrived_at, fault_intervals)
    ]


def _is_excused(gateway: str, at: float, fault_intervals: list[FaultInterval]) -> bool:
    """Return whether a gateway, or one that forwards for it, was out of touch lately."""
    return any(
        item.start <= at
        and item.end >= at - CONTACT_S
        and (item.name.startswith(("store", "path")) or item.name.endswith(f" {gateway}"))
        for item in fault_intervals
    )
