"""What must hold of a run, from what callers and targets have seen."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from tools.soak.world import DRAIN_S, LEASE_S, REVOKE_S

if TYPE_CHECKING:
    from standins.platform_engine import Run
    from tools.soak.callers import Asked
    from tools.soak.world import World

EVENTS = 8
OWNERS = {"k0": "w1", "k1": "w1", "k2": "w2"}
SERVED_AT_END = 0.9


@attrs.frozen
class Disturbance:
    """A fault and when it was in force."""

    name: str
    start: float
    end: float


@attrs.define
class Evidence:
    """All that was seen in one run."""

    world: World
    asked: list[Asked]
    disturbances: list[Disturbance]
    calm_from: float
    problems: list[str] = attrs.field(factory=list)

    def check(self) -> list[str]:
        """Return every promise that was broken."""
        runs: dict[str, list[Run]] = {}
        for target in self.world.targets.values():
            for run in target.runs:
                runs.setdefault(run.request_id, []).append(run)
        known = {asked.request_id for asked in self.asked}
        for request_id in set(runs) - known:
            self.problems.append(f"{request_id}: ran, and nobody asked for it")
        for asked in self.asked:
            self._check_runs(asked, runs.get(asked.request_id, []))
            self._check_answer(asked)
        self._check_versions()
        self._check_orders()
        self._check_drained()
        self._check_cut()
        self._check_recovery()
        return self.problems

    def _check_runs(self, asked: Asked, runs: list[Run]) -> None:
        name = asked.request_id
        if asked.kind in ("unsafe", "once"):
            if len(runs) > 1:
                self.problems.append(f"{name}: ran {len(runs)} times")
            if runs and asked.status in (408, 421, 429, 503):
                self.problems.append(f"{name}: answered {asked.status} and has run")
        for run in runs:
            if asked.kind.startswith("v"):
                continue
            if run.headers.get("tenant") != OWNERS[asked.key]:
                self.problems.append(f"{name}: ran for {run.headers.get('tenant')}")
            scope = run.headers.get("cache-salt", "")
            if asked.kind in ("once", "resumed") and (asked.key == "k2") != ("w2" in scope):
                self.problems.append(f"{name}: ran in the cache scope {scope!r}")
            taken = self.world.revoked_at.get(asked.key)
            if taken is not None and asked.sent_at > taken + REVOKE_S:
                late = asked.sent_at - taken
                self.problems.append(f"{name}: ran {late:.1f} s after its key was taken")

    def _check_answer(self, asked: Asked) -> None:
        if asked.status != 200 or not asked.whole:
            return
        name = asked.request_id.encode()
        if asked.kind in ("resumed", "once"):
            found = [x for x in asked.raw.split(b"\n") if x.startswith(b"data: ")]
            if found != [b"data: %b-%d" % (name, n) for n in range(1, EVENTS + 1)]:
                self.problems.append(f"{asked.request_id}: a stream looks whole and is not")
        elif asked.raw.partition(b"\r\n\r\n")[2].count(b" " + name) != 20:
            self.problems.append(f"{asked.request_id}: got another answer")

    def _check_versions(self) -> None:
        newest: dict[tuple[str, int], int] = {}
        for asked in sorted(self.asked, key=lambda item: item.sent_at):
            if not asked.kind.startswith("v") or asked.status not in (200, 404):
                continue
            place, version = (asked.gateway, asked.start), int(asked.kind[1:])
            if asked.status == 200:
                newest[place] = max(newest.get(place, 0), version)
            elif newest.get(place, 0) == version:
                self.problems.append(f"{asked.request_id}: version {version} was taken back")

    def _check_orders(self) -> None:
        orders = sorted(
            order for target in self.world.targets.values() for order in target.order_log
        )
        holders: dict[int, str] = {}
        for at, holder, fence, _ in orders:
            if holders.setdefault(fence, holder) != holder:
                self.problems.append(f"two hosts ordered with the number {fence} at {at:.2f}")
        for before, after in zip(orders, orders[1:], strict=False):
            if before[1] == after[1] or after[0] - before[0] >= LEASE_S - 0.05:
                continue
            # One that was frozen or cut may send an order late; engines refuse it.
            if not self._disturbed(before[0] - 3.0, after[0], ("freeze", "store", "target")):
                gap = after[0] - before[0]
                self.problems.append(f"{before[1]} and {after[1]} ordered {gap:.2f} s apart")

    def _check_drained(self) -> None:
        for name, left_at in self.world.left_at.items():
            for run in self.world.targets[name].runs:
                late = run.at - left_at
                if late > DRAIN_S and not self._disturbed(left_at - 3.0, run.at):
                    self.problems.append(f"{run.request_id}: at {name} {late:.1f} s too late")

    def _check_cut(self) -> None:
        for asked in self.asked:
            # One that is under way when the run ends has no end of its own.
            cut = not asked.whole and asked.raw and asked.ended_at
            if cut and not self._disturbed(asked.sent_at - 3.0, asked.ended_at, skip="stop"):
                self.problems.append(f"{asked.request_id}: cut by {asked.gateway}")

    def _check_recovery(self) -> None:
        late = [
            asked
            for asked in self.asked
            if asked.sent_at > self.calm_from
            and asked.key in self.world.keys
            and not asked.kind.startswith("v")
        ]
        served = sum(asked.status == 200 and asked.whole for asked in late)
        if not late or served < SERVED_AT_END * len(late):
            self.problems.append(f"after the faults {served} of {len(late)} were served")

    def _disturbed(
        self, start: float, end: float, names: tuple[str, ...] = (), skip: str = ""
    ) -> bool:
        return any(
            item.start <= end
            and item.end >= start
            and (not names or item.name.startswith(names))
            and not (skip and item.name.startswith(skip))
            for item in self.disturbances
        )
