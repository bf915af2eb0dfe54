"""Targets that name limits, ask for rest or leave, and the checks on what they get.

These faults have a schedule of their own beside that of the other faults.
"""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

import gevent

from tools.soak.cuts import read_forwarded
from tools.soak.testbed import DRAIN_S, SERVICES

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from standins.platform_engine import Notice, PlatformTargetStandIn
    from tools.soak.callers import CallerRequest
    from tools.soak.checks import FaultInterval
    from tools.soak.testbed import Testbed

LIMITS_PER_S = (0.5, 1.6, 4.0, 8.0)
# A limit binds from this time after the engine first named it.
LIMIT_CONTACT_S = 3.0
LIMIT_WINDOW_S = 4.0
LIMIT_OVERAGE = 0.5
LIMIT_SLACK = 5
# A gateway is bound from this time after it was told.
TOLD_S = 0.5
MAX_IN_REST = 2
LEAVING_TARGETS = 2
# Effects of a fault on a gateway are excused for this long after its end.
FAULT_EFFECT_S = 3.0


class NoticeInjector:
    """Has targets name limits, ask for rest and leave, one after the other."""

    def __init__(self, testbed: Testbed, seed: int) -> None:
        self.testbed = testbed
        self.random = random.Random(f"notices {seed}")
        self.replacements = 0

    def run(self, seconds: float) -> None:
        """Inject notices for a duration and wait until the last ones have ended."""
        until = time.monotonic() + seconds
        running = [gevent.spawn(self._repeat, self.limit, until)]
        running += [gevent.spawn(self._repeat, self.rest, until)]
        running += [
            gevent.spawn_later(seconds * self.random.random(), self.leave)
            for _ in range(LEAVING_TARGETS)
        ]
        gevent.joinall(running)

    def _repeat(self, inject: Callable[[], None], until: float) -> None:
        while time.monotonic() < until:
            gevent.sleep(self.random.uniform(0.2, 1.0))
            inject()

    def _targets(self) -> list[PlatformTargetStandIn]:
        """Return the targets of some service that are in service."""
        testbed = self.testbed
        service = self.random.choice(SERVICES)
        return [
            target
            for name, target in testbed.targets.items()
            if testbed.services[name] == service
            and name not in testbed.drained_at
            and not target.leaving
        ]

    def limit(self) -> None:
        """Have one or two targets name a limit, which may change meanwhile."""
        targets = self._targets()
        limited = self.random.sample(targets, min(len(targets), self.random.randint(1, 2)))
        for target in limited:
            target.rate_limit = self.random.choice(LIMITS_PER_S)
        gevent.sleep(LIMIT_CONTACT_S + LIMIT_WINDOW_S + self.random.uniform(0.0, 3.0))
        for target in limited:
            target.rate_limit = None

    def rest(self) -> None:
        """Have a target turn requests away and ask for rest."""
        target = self.random.choice(self._targets())
        target.rest_s = self.random.uniform(0.8, 3.0)
        target.refuse = True
        gevent.sleep(self.random.uniform(0.5, 2.0))
        target.refuse, target.rest_s = False, None

    def leave(self) -> None:
        """Have a target leave that is registered as ready until it is gone."""
        target = self.random.choice(self._targets())
        self.replacements += 1
        service = self.testbed.services[target.instance]
        name = f"{target.instance[0]}-next-{self.replacements}"
        self.testbed.add_target(name, service, target.model)
        target.leaving = True
        gevent.sleep(self.random.uniform(1.0, 5.0))
        self.testbed.drain(target.instance)


class NoticeChecker:
    """Checks what engines got after they had said something of themselves.

    Per engine and guarantee, only the first violation is reported.
    """

    def __init__(
        self,
        testbed: Testbed,
        requests: list[CallerRequest],
        fault_intervals: list[FaultInterval],
    ) -> None:
        self.testbed = testbed
        self.fault_intervals = fault_intervals
        self.by_id = {request.request_id: request for request in requests}
        self.forwarded = read_forwarded(testbed)
        self._end_killed_forwardings()

    def check(self) -> Iterator[str]:
        """Yield a description of every violated guarantee."""
        for target in self.testbed.targets.values():
            yield from self._check_limit(target)
            yield from self._check_rest(target)
            yield from self._check_leaving(target)
            yield from self._check_passed_on(target)

    def _check_limit(self, target: PlatformTargetStandIn) -> Iterator[str]:
        for named in _limit_intervals(target.notices):
            limit = named[0].value
            told: dict[tuple[str, int], float] = {}
            for notice in named:
                told.setdefault(self._process(notice.request_id, notice.at), notice.at)
            start, end = named[0].at + LIMIT_CONTACT_S, named[-1].at
            times = [
                at
                for at, request_id in target.arrivals
                if start <= at <= end
                and at >= told.get(self._process(request_id, at), end) + TOLD_S
                and not self._is_excused(target, request_id, named[0].at, at)
            ]
            allowed = (1.0 + LIMIT_OVERAGE) * LIMIT_WINDOW_S * limit + LIMIT_SLACK
            for first in times:
                count = sum(first <= at < first + LIMIT_WINDOW_S for at in times)
                if count > allowed:
                    yield (
                        f"{target.instance}: {count} requests in {LIMIT_WINDOW_S:.0f} s at a"
                        f" limit of {limit} per second, {allowed:.1f} allowed"
                    )
                    break

    def _check_rest(self, target: PlatformTargetStandIn) -> Iterator[str]:
        for notice in target.notices:
            if notice.kind != "Retry-After":
                continue
            process = self._process(notice.request_id, notice.at)
            until = notice.at + notice.value
            count = sum(
                notice.at + TOLD_S < at < until
                and self._process(request_id, at) == process
                and not self._is_excused(target, request_id, notice.at, at)
                for at, request_id in target.arrivals
            )
            if count > MAX_IN_REST:
                yield (
                    f"{target.instance}: {count} requests from {process[0]} in a rest of"
                    f" {notice.value:.1f} s"
                )
                return

    def _check_leaving(self, target: PlatformTargetStandIn) -> Iterator[str]:
        told: dict[tuple[str, int], float] = {}
        for notice in target.notices:
            if notice.kind == "Server-Leaving":
                told.setdefault(self._process(notice.request_id, notice.at), notice.at)
        for at, request_id in target.arrivals:
            request = self.by_id.get(request_id)
            since = told.get(self._process(request_id, at))
            if request is None or since is None or request.sent_at <= since + DRAIN_S:
                continue
            if not self._is_excused(target, request_id, since, at):
                yield (
                    f"{request_id}: reached {target.instance} {at - since:.1f} s after it had"
                    f" told {self._process(request_id, at)[0]} that it leaves"
                )
                return

    def _check_passed_on(self, target: PlatformTargetStandIn) -> Iterator[str]:
        """Check the gateways that had passed on an answer that the target leaves.

        No cut excuses these, and a freeze only those requests that were under way in it.
        """
        told: dict[tuple[str, int], float] = {}
        for answer in self.by_id.values():
            if answer.target == target.instance and answer.says_leaving:
                for process in self._processes_of(target, answer):
                    told[process] = min(told.get(process, answer.head_at), answer.head_at)
        for at, request_id in target.arrivals:
            request = self.by_id.get(request_id)
            process = self._process(request_id, at)
            if request is None or request.sent_at <= told.get(process, at) + DRAIN_S:
                continue
            if not self._is_frozen(process[0], request.sent_at, at):
                yield (
                    f"{request_id}: reached {target.instance}, sent"
                    f" {request.sent_at - told[process]:.1f} s after {process[0]} had passed"
                    " on that it leaves"
                )
                return

    def _end_killed_forwardings(self) -> None:
        """End what a gateway was forwarding when it was killed."""
        for item in (item for items in self.forwarded.values() for item in items):
            kills = (
                fault.start
                for fault in self.fault_intervals
                if fault.name == f"kill {item.gateway}" and fault.start >= item.at
            )
            item.until = min(item.until, min(kills, default=item.until))

    def _processes_of(
        self, target: PlatformTargetStandIn, answer: CallerRequest
    ) -> set[tuple[str, int]]:
        """Return the gateways that have passed on an answer that its caller has."""
        arrived_at = max(
            at
            for at, request_id in target.arrivals
            if request_id == answer.request_id and at <= answer.head_at
        )
        forwarding = self._process(answer.request_id, arrived_at)
        return {forwarding, (answer.gateway, answer.gateway_start)}

    def _is_frozen(self, gateway: str, start: float, end: float) -> bool:
        return any(
            item.name == f"freeze {gateway}" and item.start <= end and item.end >= start
            for item in self.fault_intervals
        )

    def _process(self, request_id: str, at: float) -> tuple[str, int]:
        """Return the gateway and its start that sent a request to a target by a time."""
        items = self.forwarded.get(request_id, ())
        forwarded = [item for item in items if item.covers(at)]
        if forwarded:
            return forwarded[-1].gateway, forwarded[-1].start
        request = self.by_id.get(request_id)
        return ("", 0) if request is None else (request.gateway, request.gateway_start)

    def _is_excused(
        self, target: PlatformTargetStandIn, request_id: str, since: float, until: float
    ) -> bool:
        """Return whether a fault hit the gateway, or its way to the engine."""
        gateway = self._process(request_id, until)[0]
        names = [f"{kind} {gateway}" for kind in ("kill", "freeze", "stop")]
        names.append(f"target cut {target.instance}")
        return any(
            item.name in names and item.start <= until and item.end + FAULT_EFFECT_S >= since
            for item in self.fault_intervals
        )


def _limit_intervals(notices: list[Notice]) -> Iterator[list[Notice]]:
    """Yield the notices of each limit, without pauses and changes."""
    named: list[Notice] = []
    for notice in (item for item in notices if item.kind == "Server-Limit"):
        changed = named and notice.value != named[-1].value
        if named and (changed or notice.at - named[-1].at > LIMIT_CONTACT_S):
            yield named
            named = []
        named.append(notice)
    if named:
        yield named
