"""Slopes of the receiving daemon: choosing a target among many engines."""

from __future__ import annotations

from collections.abc import Iterator

from agaterail.policies import Placement
from agaterail.policies.cost import CostPolicy
from agaterail.prefix import Prefix
from agaterail.tables import Pool, PoolKind, Route, TargetEntry
from agaterail.targets import TargetStateTable
from tools.slopes.fit import Point, Slope, cpu_s, fit
from tools.slopes.home import block_key, candidate_state

ENGINES = 600
DECISIONS = 1000


def measure() -> Iterator[Slope]:
    """Yield the slopes of this role."""
    counts = (500, 1000, 2000)
    yield fit(
        "receiver.decision_cpu", "s", "decision", [_decision_cpu(n, ENGINES) for n in counts]
    )
    engines = [
        Point(n, _decision_cpu(DECISIONS, n).value / DECISIONS) for n in (5, 40, 200, 600)
    ]
    yield fit("receiver.decision_by_pool", "s", "engine", engines)


def _decision_cpu(decisions: int, engines: int) -> Point:
    pool = engine_pool(engines)
    target_states = TargetStateTable()
    policy = CostPolicy("a", seed=1)
    route = Route(name="r", workspace="w", callers=(), pool="p", models=("atlas",))
    keys = [block_key(number) for number in range(decisions)]

    def run() -> None:
        for number, key in enumerate(keys):
            prefix = Prefix(tuple(keys[:8]), (2, 6), 16_000, key)
            placement = Placement(
                pool=pool, route=route, prefix=prefix, deadline_ms=1400.0, now=number * 1e-3
            )
            entries = policy.candidates(placement, ()) or ()
            states = [target_states.state_of(entry) for entry in entries]
            views = {state.address: candidate_state(state.address) for state in states}
            policy.choose(
                Placement(
                    pool=pool,
                    route=route,
                    prefix=prefix,
                    deadline_ms=1400.0,
                    now=number * 1e-3,
                    views=views,
                ),
                states,
            )

    return Point(decisions, cpu_s(run))


def engine_pool(engines: int) -> Pool:
    """Return a pool of engines in five failure domains."""
    targets = tuple(
        TargetEntry(address=f"10.1.{n // 250}.{n % 250 + 1}:8000", domain="abcde"[n % 5])
        for n in range(engines)
    )
    return Pool(name="p", kind=PoolKind.ENGINE, targets=targets, model="atlas")
