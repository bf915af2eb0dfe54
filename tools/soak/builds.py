"""Engines of several builds, callers that take streams up, and the checks on them."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

import gevent

from tools.soak.checks import FaultInterval
from tools.soak.proxy import Mode
from tools.soak.testbed import LLM_SERVICE, MODEL

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tools.soak.callers import CallerRequest
    from tools.soak.testbed import Testbed

BUILDS = ("v1", "v2", "v3")
MAX_ENGINES = 6
# A gateway that was disturbed lately, or a store, excuses a stream that is not taken up.
CONTACT_S = 3.0
MIN_TAKEN_UP = 12
MIN_SHARE = 0.5
# An engine counts as serving once all gateways have read its registration.
REGISTERED_S = 1.0


class BuildInjector:
    """Replaces engines one by one, restarts them under their ids and breaks their streams."""

    def __init__(self, testbed: Testbed, seed: int) -> None:
        self.testbed = testbed
        self.random = random.Random(f"builds {seed}")
        self.replacements = 0
        self.intervals: list[FaultInterval] = []

    def run(self, seconds: float) -> None:
        """Inject faults for a duration and wait until the last one has ended."""
        if not seconds:
            return
        until = time.monotonic() + seconds
        self.testbed.add_target("e-b0", LLM_SERVICE, MODEL, BUILDS[1])
        self.testbed.add_target("e-b1", LLM_SERVICE, MODEL, BUILDS[1])
        while time.monotonic() < until:
            gevent.sleep(self.random.uniform(0.2, 0.8))
            kinds = [self.replace, self.restart, self.break_streams, self.break_streams]
            self.random.choice(kinds)()

    def _engines(self) -> list[str]:
        testbed = self.testbed
        return [
            name
            for name, service in testbed.services.items()
            if service == LLM_SERVICE and name not in testbed.drained_at
        ]

    def replace(self) -> None:
        """Start an engine of some build, then drain one if there are many."""
        self.replacements += 1
        build = self.random.choice(BUILDS)
        self.testbed.add_target(f"e-b-{self.replacements}", LLM_SERVICE, MODEL, build)
        gevent.sleep(0.3)
        engines = self._engines()
        if len(engines) > MAX_ENGINES:
            self.testbed.drain(self.random.choice(engines))

    def restart(self) -> None:
        """Crash an engine; it starts again under its id, often with another build."""
        testbed = self.testbed
        staying = [name for name in self._engines() if not testbed.targets[name].leaving]
        name = self.random.choice(staying)
        target, proxy = self.testbed.targets[name], self.testbed.proxies[name]
        start = time.monotonic()
        proxy.set_mode(Mode.REFUSE)
        gevent.sleep(self.random.uniform(0.2, 1.0))
        if not target.leaving:  # one that said so meanwhile is only cut off
            target.build, target.born = self.random.choice(BUILDS), target.born + 1
            target.orders, target.fence = 0, -1
            target.built_at = time.monotonic()
        # Another fault may have let connections through meanwhile.
        proxy.reset_all()
        proxy.set_mode(Mode.PASS)
        gevent.sleep(self.random.uniform(0.0, 0.05))
        self.testbed.register(name)
        self.intervals.append(
            FaultInterval(f"target restart {name}", start, time.monotonic() + 0.4)
        )

    def break_streams(self) -> None:
        """Have half of the engines break off in the middle of streams that they began."""
        engines = self._engines()
        names = self.random.sample(engines, len(engines) // 2)
        targets, start = [self.testbed.targets[name] for name in names], time.monotonic()
        for target in targets:
            target.break_begun_only, target.break_after = True, self.random.randint(2, 7)
        gevent.sleep(self.random.uniform(0.3, 1.0))
        for target in targets:
            target.break_begun_only, target.break_after = False, None
        self.intervals.append(FaultInterval("target breaks", start, time.monotonic() + 0.4))


def serving(testbed: Testbed, build: str) -> int:
    """Return the number of engines of a build that surely serve."""
    now = time.monotonic()
    return sum(
        target.build == build
        and now - target.built_at > REGISTERED_S
        and testbed.proxies[name].mode is Mode.PASS
        and not (target.refuse or target.hang or target.error or target.leaving)
        for name, target in testbed.targets.items()
        if testbed.services[name] == LLM_SERVICE and name not in testbed.drained_at
    )


def check_builds(
    testbed: Testbed,
    requests: Sequence[CallerRequest],
    intervals: Sequence[FaultInterval],
) -> list[str]:
    """Return a description of every stream of two builds, and of too few taken up."""
    problems = []
    chains: dict[str, set[str]] = {}
    for request in requests:
        if request.kind != "resumed":
            continue
        chain = chains.setdefault(request.resumes or request.request_id, set())
        chain |= request.builds
        if len(request.builds) > 1 or len(chain) > 1:
            engines = [
                name
                for name, target in testbed.targets.items()
                if any(run.request_id == request.request_id for run in target.runs)
            ]
            problems.append(
                f"{request.request_id}: events of builds {sorted(chain)},"
                f" resumes {request.resumes or 'none'}, by {request.gateway} at {engines}"
            )
    sound = [item for item in requests if not item.is_fatal]
    new = [item for item in sound if item.kind == "resumed" and not item.resumes]
    begun = sum(bool(item.builds) for item in new)
    taken_up = [
        item
        for item in sound
        if item.resumes and item.engines_of_build >= 2 and not _is_excused(item, intervals)
    ]
    gone_on = sum(bool(item.builds) for item in taken_up)
    if len(taken_up) >= MIN_TAKEN_UP and gone_on * len(new) < (
        MIN_SHARE * begun * len(taken_up)
    ):
        problems.append(
            f"{gone_on} of {len(taken_up)} streams were taken up, {begun} of {len(new)} began"
        )
    return problems


def _is_excused(request: CallerRequest, intervals: Sequence[FaultInterval]) -> bool:
    """Return whether the gateway or the store was disturbed in or shortly before a try."""
    return any(
        item.start <= request.ended_at and item.end >= request.sent_at - CONTACT_S
        for item in intervals
        if item.name.endswith(request.gateway) or item.name.startswith(("store", "path"))
    )
