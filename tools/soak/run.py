"""One seeded run of the soak test."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs
import gevent

from tools.soak.builds import BuildInjector, check_builds
from tools.soak.callers import REPEATING_KEYS, Caller, RepeatingCaller
from tools.soak.checks import RunChecker
from tools.soak.crashes import CrashInjector, check_crashes, check_repeats
from tools.soak.cuts import CutInjector, check_cuts
from tools.soak.faults import FaultInjector
from tools.soak.foreign import ForeignInjector
from tools.soak.isolation import WORKSPACES, IsolationInjector, check_isolation
from tools.soak.notices import NoticeChecker, NoticeInjector
from tools.soak.outages import OutageInjector
from tools.soak.retries import RetryWindow, StrainInjector, worst_retry_windows
from tools.soak.testbed import LIMITED_KEY, Testbed

if TYPE_CHECKING:
    import pathlib

# Starting a gateway takes 0.5 s of CPU time, and up to a few hundred start at once.
START_TIMEOUT_S = 15.0
START_TIMEOUT_S_PER_GATEWAY = 0.4
RECOVERY_S = 7.0
POST_RECOVERY_S = 2.0
LIMITED_CALLERS = 2
CALLERS_PER_ISOLATED_WORKSPACE = 2


@attrs.frozen
class SoakResult:
    """Counts and violated guarantees of one run."""

    seed: int
    requests: int
    served: int
    faults: int
    problems: list[str]
    retry_windows: list[RetryWindow] = attrs.field(factory=list)

    @property
    def summary(self) -> str:
        """Return the result in one line."""
        state = "BROKEN" if self.problems else "held"
        return (
            f"seed {self.seed}: {state}; {self.faults} faults, {self.served} of "
            f"{self.requests} requests served, repeats "
            + " and ".join(f"{i.count} of {i.allowed:.0f}" for i in self.retry_windows)
        )


@attrs.frozen(kw_only=True)
class SoakOptions:
    """Size and faults of a run.

    Attributes
    ----------
    seconds
        Duration of the faults.
    in_rounds
        Whether each kind of fault is injected once before any repeats.
    with_cuts
        Whether gateways also lose their paths to all targets.
    with_builds
        Whether engines of several builds serve and are replaced.
    with_outages
        Whether the store is silent for long, so that registrations lapse.
    with_strain
        Whether most targets of a service fail together.
    with_crashes
        Whether some prompts end the engines that begin to answer them.
    with_repeats
        Whether a caller repeats a request that ends its targets.
    with_foreign
        Whether another writer adds records that nobody can decode.
    with_isolation
        Whether workspaces become isolated, share again, are removed and added.
    """

    seconds: float = 15.0
    gateways: int = 4
    callers: int = 16
    in_rounds: bool = False
    with_cuts: bool = False
    with_builds: bool = False
    with_outages: bool = False
    with_strain: bool = False
    with_crashes: bool = False
    with_repeats: bool = False
    with_foreign: bool = False
    with_isolation: bool = False


def soak(seed: int, folder: pathlib.Path, options: SoakOptions) -> SoakResult:
    """Run gateways under faults and check the guarantees."""
    seconds = options.seconds
    # Gateways forward for each other when paths are cut, and when most engines refuse.
    forwards = options.with_cuts or options.with_crashes or options.with_repeats
    testbed = Testbed(folder, options.gateways, records_forwarded=forwards)
    try:
        start_problems = _wait_until_ready(testbed)
        if start_problems:
            return SoakResult(seed, 0, 0, 0, start_problems)
        all_callers = [Caller(testbed, number, seed) for number in range(options.callers)]
        all_callers += [
            Caller(testbed, options.callers + number, seed, (LIMITED_KEY,))
            for number in range(LIMITED_CALLERS)
        ]
        all_callers.append(RepeatingCaller(testbed, len(all_callers), seed, REPEATING_KEYS))
        isolation = IsolationInjector(testbed, seed)
        if options.with_isolation:
            isolation.begin()
            all_callers += [
                Caller(testbed, len(all_callers) + number, seed, (key,))
                for number, key in enumerate([*WORKSPACES] * CALLERS_PER_ISOLATED_WORKSPACE)
            ]
        caller_greenlets = [gevent.spawn(caller.run) for caller in all_callers]
        injector = FaultInjector(testbed, seed, options.in_rounds)
        cuts = CutInjector(testbed, seed)
        builds = BuildInjector(testbed, seed)
        outages = OutageInjector(testbed, seed)
        crashes = CrashInjector(testbed, seed)
        others = [
            gevent.spawn(crashes.run, seconds if options.with_crashes else 0.0),
            gevent.spawn(crashes.run_repeats, seconds if options.with_repeats else 0.0),
            gevent.spawn(
                ForeignInjector(testbed, seed).run, seconds if options.with_foreign else 0.0
            ),
            gevent.spawn(NoticeInjector(testbed, seed).run, seconds),
            gevent.spawn(isolation.run, seconds if options.with_isolation else 0.0),
            gevent.spawn(cuts.run, seconds if options.with_cuts else 0.0),
            gevent.spawn(builds.run, seconds if options.with_builds else 0.0),
            gevent.spawn(outages.run, seconds if options.with_outages else 0.0),
            gevent.spawn(
                StrainInjector(testbed, seed).run, seconds if options.with_strain else 0.0
            ),
        ]
        injector.run(seconds)
        gevent.joinall(others)
        injector.intervals.extend(cut.interval for cut in cuts.cuts)
        injector.intervals.extend(builds.intervals)
        injector.intervals.extend(outages.intervals)
        injector.intervals.extend(crashes.intervals)
        for gateway in testbed.gateways:
            testbed.start(gateway)
        gevent.sleep(RECOVERY_S)
        recovery_deadline = time.monotonic()
        gevent.sleep(POST_RECOVERY_S)
        gevent.killall(caller_greenlets)
        finished = [
            item for caller in all_callers for item in caller.requests if item.ended_at
        ]
        checker = RunChecker(
            testbed,
            [i for c in all_callers for i in c.requests],
            injector.intervals,
            recovery_deadline,
        )
        problems = checker.check()
        problems += NoticeChecker(testbed, checker.requests, injector.intervals).check()
        problems += check_cuts(testbed, cuts.cuts, checker.requests, injector.intervals)
        problems += check_builds(testbed, checker.requests, injector.intervals)
        problems += check_crashes(
            testbed, crashes.crashes, checker.requests, injector.intervals
        )
        problems += check_isolation(testbed, isolation.changes, checker.requests)
        if options.with_repeats:
            problems += check_repeats(testbed, checker.requests, injector.intervals)
        retry_windows = worst_retry_windows(testbed, checker.requests)
        problems += [item.problem for item in retry_windows if item.problem]
    finally:
        testbed.stop()
    served = sum(item.status == 200 and item.complete for item in finished)
    return SoakResult(
        seed, len(finished), served, len(injector.intervals), problems, retry_windows
    )


def _wait_until_ready(testbed: Testbed) -> list[str]:
    """Wait until all gateways are ready; return a problem for each that is not.

    The problem includes the last line of the gateway's log, which shows how far its
    start came.
    """
    timeout_s = START_TIMEOUT_S + len(testbed.gateways) * START_TIMEOUT_S_PER_GATEWAY
    deadline = time.monotonic() + timeout_s
    while any(not gateway.ready for gateway in testbed.gateways):
        if time.monotonic() >= deadline:
            late = [gateway for gateway in testbed.gateways if not gateway.ready]
            return [
                f"{gateway.name}: not ready after {timeout_s:.1f} s: {gateway.last_line}"
                for gateway in late
            ]
        gevent.sleep(0.05)
    return []
