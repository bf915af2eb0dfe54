"""Tables of the figures, in Markdown."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from tools.bench import figures
from tools.bench.cell import ORACLE, Cell
from tools.bench.figures import Figures

Measured = tuple[Cell, Figures]
HEADS = (
    "cell", "n", "hit rate", "late hit rate", "gap closed", "wasted tokens", "imported blocks",
    "p50 ms", "p95 ms", "p99 ms",
    "not whole", "busiest", "mean busy",
)  # fmt: skip
CONTROL_HEADS = ("cell", "peer bytes/s", "CPU s", "RSS MB", "late p99 ms", "late max ms")


def by_cell(measured: Sequence[Measured]) -> list[Measured]:
    """Return each cell once, with the figures of all its seeds."""
    groups: dict[tuple[str, str], list[Measured]] = {}
    for cell, found in measured:
        groups.setdefault((cell.workload, cell.name), []).append((cell, found))
    return [
        (group[0][0], figures.pooled([found for _, found in group]))
        for group in groups.values()
    ]


def outcome_table(measured: Sequence[Measured]) -> str:
    """Return what callers and engines saw, one cell a line."""
    by_policy = {cell.name: found for cell, found in measured}
    rows = [_outcome_row(cell, found, by_policy) for cell, found in measured]
    return _table(HEADS, rows)


def control_table(measured: Sequence[Measured]) -> str:
    """Return what control cost per daemon, and the generator's lateness."""
    rows = [
        (
            cell.name,
            f"{found.sent_bytes_per_s:.0f}",
            f"{found.cpu_s:.2f}",
            f"{found.rss_mb:.0f}",
            f"{found.late_ms[0]:.1f}",
            f"{found.late_ms[1]:.1f}",
        )
        for cell, found in measured
    ]
    return _table(CONTROL_HEADS, rows)


def error_lines(measured: Sequence[Measured]) -> str:
    """Return the refusals and failures by kind, one cell a line."""
    lines = []
    for cell, found in measured:
        kinds = ", ".join(f"{kind} {count}" for kind, count in sorted(found.errors.items()))
        lines.append(f"- {cell.name}: {kinds or 'none'}")
    return "\n".join(lines)


def _outcome_row(
    cell: Cell, found: Figures, by_policy: Mapping[str, Figures]
) -> Sequence[str]:
    closed = "-"
    if "random" in by_policy and ORACLE in by_policy:
        worst, best = by_policy["random"].hit_rate, by_policy[ORACLE].hit_rate
        closed = f"{figures.gap_closed(found.hit_rate, worst, best):.2f}"
    return (
        cell.name,
        str(found.requests),
        f"{found.hit_rate:.3f}",
        f"{found.late_hit_rate:.3f}",
        closed,
        str(found.wasted_tokens),
        str(found.imported_blocks),
        f"{found.p50:.0f}",
        f"{found.p95:.0f}",
        f"{found.p99:.0f}",
        str(found.not_whole),
        f"{found.busiest:.2f}",
        f"{found.mean_busy:.2f}",
    )


def _table(heads: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    lines = ["| " + " | ".join(heads) + " |", "|" + "---|" * len(heads)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)
