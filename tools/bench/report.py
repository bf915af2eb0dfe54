"""Markdown tables of the figures."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from tools.bench import figures
from tools.bench.cell import ORACLE, Cell
from tools.bench.figures import Figures

CellResult = tuple[Cell, Figures]
OUTCOME_COLUMNS = (
    "cell", "n", "hit rate", "late hit rate", "gap closed", "wasted tokens", "imported blocks",
    "p50 ms", "p95 ms", "p99 ms",
    "not whole", "busiest", "mean busy",
)  # fmt: skip
CONTROL_COLUMNS = ("cell", "peer bytes/s", "CPU s", "RSS MB", "late p99 ms", "late max ms")


def merge_seeds(measured: Sequence[CellResult]) -> list[CellResult]:
    """Return each cell once, with the combined figures of its seeds."""
    groups: dict[tuple[str, str], list[CellResult]] = {}
    for cell, result in measured:
        groups.setdefault((cell.workload, cell.name), []).append((cell, result))
    return [
        (group[0][0], figures.pooled([result for _, result in group]))
        for group in groups.values()
    ]


def outcome_table(measured: Sequence[CellResult]) -> str:
    """Return a table of cache hits, latency and engine load, one row per cell."""
    by_cell_name = {cell.name: result for cell, result in measured}
    rows = [_outcome_row(cell, result, by_cell_name) for cell, result in measured]
    return _markdown_table(OUTCOME_COLUMNS, rows)


def control_table(measured: Sequence[CellResult]) -> str:
    """Return a table of the control overhead per daemon and the generator's lateness."""
    rows = [
        (
            cell.name,
            f"{result.sent_bytes_per_s:.0f}",
            f"{result.cpu_s:.2f}",
            f"{result.rss_mb:.0f}",
            f"{result.late_ms[0]:.1f}",
            f"{result.late_ms[1]:.1f}",
        )
        for cell, result in measured
    ]
    return _markdown_table(CONTROL_COLUMNS, rows)


def error_lines(measured: Sequence[CellResult]) -> str:
    """Return the counts of refusals and failures by kind, one line per cell."""
    lines = []
    for cell, result in measured:
        kinds = ", ".join(f"{kind} {count}" for kind, count in sorted(result.errors.items()))
        lines.append(f"- {cell.name}: {kinds or 'none'}")
    return "\n".join(lines)


def _outcome_row(
    cell: Cell, result: Figures, by_cell_name: Mapping[str, Figures]
) -> Sequence[str]:
    gap = "-"
    if "random" in by_cell_name and ORACLE in by_cell_name:
        worst, best = by_cell_name["random"].hit_rate, by_cell_name[ORACLE].hit_rate
        gap = f"{figures.gap_closed(result.hit_rate, worst, best):.2f}"
    return (
        cell.name,
        str(result.requests),
        f"{result.hit_rate:.3f}",
        f"{result.late_hit_rate:.3f}",
        gap,
        str(result.wasted_tokens),
        str(result.imported_blocks),
        f"{result.p50:.0f}",
        f"{result.p95:.0f}",
        f"{result.p99:.0f}",
        str(result.not_whole),
        f"{result.busiest:.2f}",
        f"{result.mean_busy:.2f}",
    )


def _markdown_table(columns: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    lines = ["| " + " | ".join(columns) + " |", "|" + "---|" * len(columns)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)
