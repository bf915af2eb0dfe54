"""Guarantees of a run, checked against what callers and targets recorded."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from tools.soak import isolation
from tools.soak.testbed import (
    ALLOWANCE_OVERAGE,
    ALLOWANCE_SLACK,
    ALLOWANCE_WINDOW_S,
    DRAIN_S,
    LEASE_S,
    LIMITED_BURST,
    LIMITED_KEY,
    LIMITED_RATE_PER_S,
    LIMITED_WORKSPACE,
    REVOKE_S,
)

if TYPE_CHECKING:
    from standins.platform_engine import Run
    from tools.soak.callers import CallerRequest
    from tools.soak.testbed import Testbed

STREAM_EVENTS = 8
WORKSPACE_BY_KEY = {
    "k0": "w1",
    "k1": "w1",
    "k2": "w2",
    LIMITED_KEY: LIMITED_WORKSPACE,
    **isolation.WORKSPACES,
}
# Runs of the limited workspace in any window.
MAX_LIMITED_RUNS = (LIMITED_RATE_PER_S * ALLOWANCE_WINDOW_S + LIMITED_BURST) * (
    1.0 + ALLOWANCE_OVERAGE
) + ALLOWANCE_SLACK
MIN_SERVED_RATIO = 0.9


@attrs.frozen
class FaultInterval:
    """A fault and the interval in which it can have effects."""

    name: str
    start: float
    end: float


@attrs.define
class RunChecker:
    """Records of one run and the checks on them."""

    testbed: Testbed
    requests: list[CallerRequest]
    fault_intervals: list[FaultInterval]
    recovery_deadline: float
    problems: list[str] = attrs.field(factory=list)

    def check(self) -> list[str]:
        """Return a description of every violated guarantee."""
        runs: dict[str, list[Run]] = {}
        for target in self.testbed.targets.values():
            for run in target.runs:
                runs.setdefault(run.request_id, []).append(run)
        known = {request.request_id for request in self.requests}
        for request_id in set(runs) - known:
            run = runs[request_id][0]
            self.problems.append(
                f"{request_id}: executed, but no caller sent it"
                f" ({run.method} {run.path}, {run.headers})"
            )
        for request in self.requests:
            self._check_executions(request, runs.get(request.request_id, []))
            self._check_answer(request)
        self._check_allowance(runs)
        self._check_versions()
        self._check_orders()
        self._check_drained()
        self._check_aborted()
        self._check_recovery()
        return self.problems

    def _check_executions(self, request: CallerRequest, runs: list[Run]) -> None:
        name = request.request_id
        if request.kind in ("unsafe", "once"):
            if len(runs) > 1:
                self.problems.append(f"{name}: executed {len(runs)} times")
            if runs and request.status in (408, 421, 429, 503):
                self.problems.append(f"{name}: answered {request.status} but was executed")
        for run in runs:
            if request.kind.startswith("v"):
                continue
            if run.headers.get("tenant") != WORKSPACE_BY_KEY[request.key]:
                self.problems.append(
                    f"{name}: executed for workspace {run.headers.get('tenant')}"
                )
            scope = run.headers.get("cache-salt", "")
            if request.kind in ("once", "resumed") and (request.key == "k2") != (
                "w2" in scope
            ):
                self.problems.append(f"{name}: executed in cache scope {scope!r}")
            revoked_at = self.testbed.revoked_at.get(request.key)
            if revoked_at is not None and request.sent_at > revoked_at + REVOKE_S:
                late = request.sent_at - revoked_at
                self.problems.append(
                    f"{name}: executed {late:.1f} s after its key was revoked"
                )

    def _check_answer(self, request: CallerRequest) -> None:
        if request.status != 200 or not request.complete:
            return
        name = request.request_id.encode()
        if request.kind in ("resumed", "once"):
            found = [x for x in request.raw_answer.split(b"\n") if x.startswith(b"data: ")]
            first = request.after + 1
            if found != [b"data: %b-%d" % (name, n) for n in range(first, STREAM_EVENTS + 1)]:
                self.problems.append(
                    f"{request.request_id}: the stream ended cleanly but its events are wrong"
                )
        elif request.raw_answer.partition(b"\r\n\r\n")[2].count(b" " + name) != 20:
            self.problems.append(f"{request.request_id}: received an unexpected answer")

    def _check_allowance(self, runs: dict[str, list[Run]]) -> None:
        """Check the runs of a workspace that were sent and arrived within a window."""
        times = [
            (request.sent_at, run.started_at)
            for request in self.requests
            if request.key == LIMITED_KEY and not request.kind.startswith("v")
            for run in runs.get(request.request_id, ())
        ]
        count = most_within(times, ALLOWANCE_WINDOW_S)
        if count > MAX_LIMITED_RUNS:
            self.problems.append(
                f"{count} runs of {LIMITED_WORKSPACE} within {ALLOWANCE_WINDOW_S:.0f} s,"
                f" {MAX_LIMITED_RUNS:.0f} allowed"
            )

    def _check_versions(self) -> None:
        newest: dict[tuple[str, int], int] = {}
        for request in sorted(self.requests, key=lambda item: item.sent_at):
            if not request.kind.startswith("v") or request.status not in (200, 404):
                continue
            process, version = (request.gateway, request.gateway_start), int(request.kind[1:])
            if request.status == 200:
                newest[process] = max(newest.get(process, 0), version)
            elif newest.get(process, 0) == version:
                self.problems.append(
                    f"{request.request_id}: a route of version {version} disappeared again"
                )

    def _check_orders(self) -> None:
        orders = sorted(
            order for target in self.testbed.targets.values() for order in target.order_log
        )
        holders: dict[int, str] = {}
        for at, holder, fence, _ in orders:
            if holders.setdefault(fence, holder) != holder:
                self.problems.append(
                    f"two hosts sent orders with fencing number {fence} at {at:.2f}"
                )
        for before, after in zip(orders, orders[1:], strict=False):
            if before[1] == after[1] or after[0] - before[0] >= LEASE_S - 0.05:
                continue
            # A frozen or disconnected host may send an order late; engines reject it
            # by its fencing number.
            if not self._overlaps_fault(
                before[0] - 3.0, after[0], ("freeze", "store", "target")
            ):
                gap = after[0] - before[0]
                self.problems.append(
                    f"{before[1]} and {after[1]} sent orders {gap:.2f} s apart"
                )

    def _check_drained(self) -> None:
        for name, drained_at in self.testbed.drained_at.items():
            for run in self.testbed.targets[name].runs:
                late = run.started_at - drained_at
                if late > DRAIN_S and not self._overlaps_fault(
                    drained_at - 3.0, run.started_at, skip="path"
                ):
                    self.problems.append(
                        f"{run.request_id}: reached {name} {late:.1f} s after its drain began"
                    )

    def _check_aborted(self) -> None:
        for request in self.requests:
            # A request still in flight when the run ends has ``ended_at`` 0 and is
            # not checked.
            aborted = not request.complete and request.raw_answer and request.ended_at
            if aborted and not self._overlaps_fault(
                request.sent_at - 3.0, request.ended_at, skip="stop"
            ):
                self.problems.append(f"{request.request_id}: cut by {request.gateway}")

    def _check_recovery(self) -> None:
        late = [
            request
            for request in self.requests
            if request.sent_at > self.recovery_deadline
            and request.key in self.testbed.keys
            and not request.kind.startswith("v")
            and not request.is_fatal
        ]
        served = sum(request.status == 200 and request.complete for request in late)
        if not late or served < MIN_SERVED_RATIO * len(late):
            self.problems.append(f"after the faults {served} of {len(late)} were served")

    def _overlaps_fault(
        self, start: float, end: float, names: tuple[str, ...] = (), skip: str = ""
    ) -> bool:
        return any(
            item.start <= end
            and item.end >= start
            and (not names or item.name.startswith(names))
            and not (skip and item.name.startswith(skip))
            for item in self.fault_intervals
        )


def most_within(times: list[tuple[float, float]], window_s: float) -> int:
    """Return the most runs that were sent and arrived in a window.

    Parameters
    ----------
    times
        Times at which each run's request was sent by its caller and arrived at a target.
    """
    return max(
        (
            sum(
                start <= sent_at and arrived_at < start + window_s
                for sent_at, arrived_at in times
            )
            for start, _ in times
        ),
        default=0,
    )
