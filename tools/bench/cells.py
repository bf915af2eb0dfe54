"""Groups of cells that can be selected with ``--cells``."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Sequence

from tools.bench.cell import FAULTS, ORACLE, TRANSFER_MS_PER_BLOCK, Cell

POLICIES = (
    "random", "round_robin", "least_in_flight", "pure_hash", "bounded_load", "cost", ORACLE,
)  # fmt: skip
# The baselines use no reports of engines, so only these faults affect them.
BASELINES = ("pure_hash", "bounded_load")
BASELINE_FAULTS = ("crash", "log_down", "rolling_restart", "restart_all")
MISS_WEIGHTS = (1.0, 2.0, 3.0, 5.0, 8.0)
CANDIDATES = (1, 2, 3, 4, 5)
QUERY_TIMEOUTS_MS = (2.0, 5.0, 20.0, 50.0)
STORE_FAULTS = ("store_down", "store_slow")
WITH_TRANSFERS: Mapping[str, object] = {"import_ms_per_block": TRANSFER_MS_PER_BLOCK}
ABLATIONS: Mapping[str, Mapping[str, object]] = {
    "no home query": {"query_timeout_ms": 0},
    "no predicted entries": {"predict": False},
    "no dispatch counts": {"count_dispatches": False},
    "no widening": {"widen": False},
}

CellFactory = Callable[..., Cell]


def policies(make_cell: CellFactory) -> Iterator[Cell]:
    """Yield each policy without a fault."""
    for policy in POLICIES:
        yield make_cell(policy=policy)


def faults(make_cell: CellFactory) -> Iterator[Cell]:
    """Yield ``cost`` with each fault, and the baselines with those that affect them."""
    for fault in STORE_FAULTS:
        label = f"with KV transfers, {fault}"
        yield make_cell(policy="cost", fault=fault, pool=WITH_TRANSFERS, label=label)
    for fault in FAULTS:
        if fault in STORE_FAULTS:
            continue
        yield make_cell(policy="cost", fault=fault)
        if fault in BASELINE_FAULTS:
            for policy in BASELINES:
                yield make_cell(policy=policy, fault=fault)


def sweep(make_cell: CellFactory) -> Iterator[Cell]:
    """Yield ``cost`` with several miss weights, candidate counts and query deadlines."""
    for weight in MISS_WEIGHTS:
        label = f"miss weight {weight:g}"
        yield make_cell(policy="cost", route={"miss_weight": weight}, label=label)
    for count in CANDIDATES:
        yield make_cell(policy="cost", tune={"candidates": count}, label=f"{count} candidates")
    for timeout in QUERY_TIMEOUTS_MS:
        label = f"query deadline {timeout:g} ms"
        yield make_cell(policy="cost", tune={"query_timeout_ms": timeout}, label=label)


def ablations(make_cell: CellFactory) -> Iterator[Cell]:
    """Yield ``cost`` as it is, with KV transfers, and without one mechanism at a time."""
    yield make_cell(policy="cost")
    yield make_cell(policy="cost", pool=WITH_TRANSFERS, label="with KV transfers")
    for label, tuning in ABLATIONS.items():
        yield make_cell(policy="cost", tune=tuning, label=label)


GROUPS: Mapping[str, Callable[[CellFactory], Iterator[Cell]]] = {
    "policies": policies,
    "faults": faults,
    "sweep": sweep,
    "ablations": ablations,
}


def select(make_cell: CellFactory, groups: Sequence[str], names: Sequence[str]) -> list[Cell]:
    """Return the cells of the groups; if there are names, only the named ones."""
    selected = [cell for group in groups for cell in GROUPS[group](make_cell)]
    return [cell for cell in selected if not names or cell.name in names]
