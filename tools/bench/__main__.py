"""Measure the routing policies: ``python -m tools.bench --help``."""

from __future__ import annotations

from agaterail.util import greenlets

greenlets.patch()

import argparse
import json
import subprocess
import sys
import time
from collections.abc import Sequence

import attrs
from gevent.pool import Pool as GreenletPool

from tools.bench import report
from tools.bench.cell import FAULTS, ORACLE, Cell, measure
from tools.bench.figures import Figures
from tools.bench.workloads import PROFILES

POLICIES = (
    "random", "round_robin", "least_in_flight", "pure_hash", "bounded_load", "cost", ORACLE,
)  # fmt: skip
CELL_FLAG = "--one-cell"


def main() -> None:
    """Measure every cell, at most one fleet for each workload at a time."""
    if sys.argv[1:2] == [CELL_FLAG]:
        _measure_here(sys.argv[2])
        return
    arguments = _parse()
    started = time.monotonic()
    rows = GreenletPool(len(arguments.workloads))
    measured = rows.map(lambda name: _row(name, arguments), arguments.workloads)
    for workload, cells in zip(arguments.workloads, measured, strict=True):
        _print(workload, cells, arguments)
    print(f"took {time.monotonic() - started:.0f} s")


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="tools.bench", description=__doc__)
    parser.add_argument(
        "--workloads", nargs="+", choices=list(PROFILES), default=list(PROFILES)
    )
    parser.add_argument("--policies", nargs="+", choices=POLICIES, default=list(POLICIES))
    parser.add_argument("--faults", nargs="+", choices=list(FAULTS), default=["none"])
    parser.add_argument("--seconds", type=float, default=16.0)
    parser.add_argument("--seed", type=int, default=7)
    return parser.parse_args()


def _row(workload: str, arguments: argparse.Namespace) -> list[report.Measured]:
    slot = list(PROFILES).index(workload)
    cells = [
        Cell(
            workload=workload,
            policy=policy,
            fault=fault,
            seed=arguments.seed,
            seconds=arguments.seconds,
            slot=slot,
        )
        for fault in arguments.faults
        for policy in arguments.policies
    ]
    return [(cell, measure_apart(cell)) for cell in cells]


def measure_apart(cell: Cell) -> Figures:
    """Measure a cell in a process of its own, so that generators don't share one."""
    fields = json.dumps(attrs.asdict(cell))
    done = subprocess.run(
        [sys.executable, "-m", "tools.bench", CELL_FLAG, fields],
        check=True,
        stdout=subprocess.PIPE,
        text=True,
    )
    return Figures(**json.loads(done.stdout.splitlines()[-1]))


def _measure_here(fields: str) -> None:
    found = measure(Cell(**json.loads(fields)))
    print(json.dumps(attrs.asdict(found)))


def _print(
    workload: str, cells: Sequence[report.Measured], arguments: argparse.Namespace
) -> None:
    print(f"\n## {workload}, seed {arguments.seed}, {arguments.seconds:.0f} s\n")
    print(report.outcome_table(cells))
    print("\nNot whole, by kind:\n")
    print(report.error_lines(cells))
    print("\nPer daemon:\n")
    print(report.control_table(cells))


if __name__ == "__main__":
    main()
