"""Gateways that lose their paths to all targets, and what their callers may expect."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

import attrs
import gevent

from standins.path_cuts import CutKind
from tools.soak.checks import FaultInterval
from tools.soak.cutgateway import BEGUN, FORWARDED_SUFFIX, STARTED
from tools.soak.faults import SETTLE_S

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tools.soak.callers import CallerRequest
    from tools.soak.testbed import Gateway, Testbed

# Time from the start of a cut in which a gateway may learn of it.
LEARN_S = 3.0
MIN_CUT_S, MAX_CUT_S = 4.5, 7.0
# What callers of a cut gateway may get: a fraction of what the others get, with few
# failures in any case.
SERVED_FRACTION = 2 / 3
MAX_FAILED = 10
MAX_FAILED_FRACTION = 1 / 50
# Before and after a fault of a gateway, its callers and those it forwards for may fail.
DISTURBED_S = 1.0
# A reading of the store is older than this only in an outage of the store.
STATE_VALID_S = 3.0


@attrs.frozen
class Cut:
    """Gateways without a path to any target, and the time in which callers are counted."""

    gateways: frozenset[str]
    kind: CutKind
    began: float
    start: float
    end: float

    @property
    def interval(self) -> FaultInterval:
        """Return the cut as a fault, which breaks streams that run once."""
        return FaultInterval("path cut", self.began, self.end + SETTLE_S)


class CutInjector:
    """Cuts some of the gateways off from all targets, again and again."""

    def __init__(self, testbed: Testbed, seed: int) -> None:
        self.testbed = testbed
        self.random = random.Random(f"cuts {seed}")
        self.cuts: list[Cut] = []

    def run(self, seconds: float) -> None:
        """Inject cuts for a duration."""
        until = time.monotonic() + seconds
        while time.monotonic() + MIN_CUT_S < until:
            gevent.sleep(self.random.uniform(0.2, 1.0))
            most = max(1, len(self.testbed.gateways) - 1)
            count = self.random.randint(1, most)
            self._cut(self.random.sample(self.testbed.gateways, count))

    def _cut(self, gateways: list[Gateway]) -> None:
        kind = self.random.choice(list(CutKind))
        start = time.monotonic()
        for gateway in gateways:
            gateway.cut_file.write_text(kind.name, encoding="utf-8")
        gevent.sleep(self.random.uniform(MIN_CUT_S, MAX_CUT_S))
        self.cuts.append(
            Cut(
                gateways=frozenset(gateway.name for gateway in gateways),
                kind=kind,
                began=start,
                start=start + LEARN_S,
                end=time.monotonic(),
            )
        )
        for gateway in gateways:
            gateway.cut_file.unlink()


def check_cuts(
    testbed: Testbed,
    cuts: list[Cut],
    requests: list[CallerRequest],
    intervals: list[FaultInterval],
) -> Iterator[str]:
    """Yield a description of each cut whose callers were served too seldom."""
    names = {gateway.name for gateway in testbed.gateways}
    for cut in cuts:
        sent = [
            item
            for item in requests
            if cut.start <= item.sent_at <= cut.end - 1.0
            and not item.kind.startswith("v")
            and not item.is_fatal
            and item.key in testbed.keys
            and not _is_state_outdated(item.sent_at, intervals)
            and not _is_disturbed(item.gateway, item.sent_at, intervals)
            and any(
                not _is_disturbed(name, item.sent_at, intervals)
                for name in names - cut.gateways
            )
        ]
        inside = [_is_served(item) for item in sent if item.gateway in cut.gateways]
        outside = [_is_served(item) for item in sent if item.gateway not in cut.gateways]
        failed = len(inside) - sum(inside)
        if failed <= MAX_FAILED + MAX_FAILED_FRACTION * len(sent) or not outside:
            continue
        if sum(inside) / len(inside) < SERVED_FRACTION * sum(outside) / len(outside):
            yield (
                f"{', '.join(sorted(cut.gateways))} without paths ({cut.kind.name}): "
                f"{sum(inside)} of {len(inside)} served, the others {sum(outside)} of "
                f"{len(outside)}"
            )


@attrs.define(order=True)
class Forwarding:
    """A gateway, in one of its starts, forwards a request.

    Attributes
    ----------
    until
        Time at which it had answered; infinity if it did not.
    """

    at: float
    gateway: str
    start: int
    until: float = float("inf")

    def covers(self, at: float) -> bool:
        """Return whether the gateway was forwarding the request at a time."""
        return self.at <= at <= self.until


def read_forwarded(testbed: Testbed) -> dict[str, list[Forwarding]]:
    """Return who forwarded each request, in the order of time."""
    forwarded: dict[str, list[Forwarding]] = {}
    for gateway in testbed.gateways:
        path = gateway.cut_file.with_suffix(FORWARDED_SUFFIX)
        starts = 0
        for line in path.read_text(encoding="utf-8").splitlines() if path.exists() else ():
            if line == STARTED:
                starts += 1
                continue
            what, at, request_id = line.split(" ", 2)
            items = forwarded.setdefault(request_id, [])
            if what == BEGUN:
                items.append(Forwarding(float(at), gateway.name, starts))
            else:
                own = (item for item in items if item.gateway == gateway.name)
                next(item for item in own if item.until == float("inf")).until = float(at)
    for items in forwarded.values():
        items.sort()
    return forwarded


def _is_served(request: CallerRequest) -> bool:
    return request.status == 200 and request.complete


def _is_state_outdated(at: float, intervals: list[FaultInterval]) -> bool:
    """Return whether all gateways may have to refuse keys, as the store is away."""
    return any(
        item.name.startswith("store") and item.start + STATE_VALID_S <= at <= item.end
        for item in intervals
    )


def _is_disturbed(gateway: str, at: float, intervals: list[FaultInterval]) -> bool:
    """Return whether a gateway was killed, frozen or stopped at a time."""
    return any(
        item.name.endswith(f" {gateway}")
        and item.start - DISTURBED_S <= at <= item.end + DISTURBED_S
        for item in intervals
    )
