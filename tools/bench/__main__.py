"""Measure the routing policies: ``python -m tools.bench --help``."""

from __future__ import annotations

from agaterail.util import greenlets

greenlets.patch()

import argparse
import functools
import json
import pathlib
import subprocess
import sys
import time
from collections.abc import Sequence

import attrs
from gevent.pool import Pool as GreenletPool

from tools.bench import cells, report
from tools.bench.cell import Cell, measure
from tools.bench.figures import Figures
from tools.bench.workloads import PROFILES

ONE_CELL_FLAG = "--one-cell"
DEFAULT_SECONDS = 16.0
DEFAULT_SEED = 7


def main() -> None:
    """Run the selected cells, with one fleet per workload at a time."""
    if sys.argv[1:2] == [ONE_CELL_FLAG]:
        _measure_one_cell(sys.argv[2])
        return
    arguments = _parse()
    started = time.monotonic()
    measured = _measure_all(arguments) if not arguments.report else []
    for file in arguments.report:
        measured += _load(file)
    for workload in arguments.workloads:
        _print(workload, [item for item in measured if item[0].workload == workload])
    print(f"took {time.monotonic() - started:.0f} s")


def _parse() -> argparse.Namespace:
    names = list(PROFILES)
    parser = argparse.ArgumentParser(prog="tools.bench", description=__doc__)
    parser.add_argument("--workloads", nargs="+", choices=names, default=names)
    parser.add_argument("--cells", nargs="+", choices=list(cells.GROUPS), default=["policies"])
    parser.add_argument(
        "--only", nargs="+", default=[], help="run only the cells with these names"
    )
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS)
    parser.add_argument("--seeds", type=int, nargs="+", default=[DEFAULT_SEED])
    parser.add_argument(
        "--slot",
        type=int,
        default=0,
        help="offset of the loopback addresses (one per workload), for concurrent runs",
    )
    parser.add_argument("--save", help="append the figures to this file as JSON lines")
    parser.add_argument(
        "--report",
        nargs="+",
        default=[],
        help="print figures from these files and measure nothing",
    )
    return parser.parse_args()


def _measure_all(arguments: argparse.Namespace) -> list[report.CellResult]:
    workers = GreenletPool(len(arguments.workloads))
    measure_workload = functools.partial(_measure_workload, arguments)
    results = workers.map(measure_workload, arguments.workloads)
    return [item for measured in results for item in measured]


def _measure_workload(arguments: argparse.Namespace, workload: str) -> list[report.CellResult]:
    slot = arguments.slot + list(PROFILES).index(workload)
    selected = []
    for seed in arguments.seeds:
        make_cell = functools.partial(
            Cell, workload=workload, seed=seed, seconds=arguments.seconds, slot=slot
        )
        selected += cells.select(make_cell, arguments.cells, arguments.only)
    measured = []
    for cell in selected:
        measured.append((cell, _measure_in_subprocess(cell)))
        if arguments.save:
            _save(arguments.save, *measured[-1])
    return measured


def _measure_in_subprocess(cell: Cell) -> Figures:
    # One process per cell, so that the load generators of parallel workloads do not
    # compete for one interpreter.
    fields = json.dumps(attrs.asdict(cell))
    completed = subprocess.run(
        [sys.executable, "-m", "tools.bench", ONE_CELL_FLAG, fields],
        check=True,
        stdout=subprocess.PIPE,
        text=True,
    )
    return Figures(**json.loads(completed.stdout.splitlines()[-1]))


def _measure_one_cell(fields: str) -> None:
    result = measure(Cell(**json.loads(fields)))
    print(json.dumps(attrs.asdict(result)))


def _save(file: str, cell: Cell, result: Figures) -> None:
    line = {"cell": attrs.asdict(cell), "figures": attrs.asdict(result)}
    with pathlib.Path(file).open("a", encoding="utf-8") as stream:
        stream.write(json.dumps(line) + "\n")


def _load(file: str) -> list[report.CellResult]:
    lines = map(json.loads, pathlib.Path(file).read_text(encoding="utf-8").splitlines())
    return [(Cell(**line["cell"]), Figures(**line["figures"])) for line in lines]


def _print(workload: str, measured: Sequence[report.CellResult]) -> None:
    seeds = sorted({cell.seed for cell, _ in measured})
    seconds = sorted({cell.seconds for cell, _ in measured})
    pooled = report.merge_seeds(measured)
    print(f"\n## {workload}, seeds {seeds}, seconds {seconds}\n")
    print(report.outcome_table(pooled))
    print("\nNot whole, by kind:\n")
    print(report.error_lines(pooled))
    print("\nPer daemon:\n")
    print(report.control_table(pooled))


if __name__ == "__main__":
    main()
