"""Figures of the cells and how they are computed."""

from __future__ import annotations

import collections
import math
from collections.abc import Iterable, Mapping, Sequence

import attrs

MILLISECONDS = 1e3


@attrs.frozen(kw_only=True)
class EngineCounts:
    """Counters of one engine since its start.

    Attributes
    ----------
    blocks
        Number of computations of each block, by block key.
    """

    prompt_tokens: int
    cached_tokens: int
    computed_tokens: int
    imported_blocks: int
    blocks: Mapping[str, int]


@attrs.frozen(kw_only=True)
class DaemonCounts:
    """Counters of one daemon process since its start, and its resident memory."""

    pid: int
    cpu_s: float
    rss_mb: float
    sent_bytes: int
    sent_messages: int


@attrs.frozen(kw_only=True)
class Figures:
    """Results of one cell.

    Attributes
    ----------
    wasted_tokens
        Tokens of full blocks that were computed although the same or another
        engine had already computed the block in the run or its warm-up. The
        first computation of a block is not waste.
    first_token_ms
        Sorted times to the first token. A request without a complete answer
        counts with its deadline, so that a policy gains nothing by refusing.
    late_hit_rate
        Hit rate of complete answers to requests of the last quarter of the run,
        which begins a quarter of the run after a fault at half time.
    busiest, mean_busy
        Prefill time of the busiest and of the average engine, as a share of
        the run.
    late_ms
        Lateness of the load generator: 99th percentile and maximum.
    sent_bytes_per_s, cpu_s, rss_mb
        Per daemon: mean bytes per second sent to peers, mean processor time,
        highest resident memory.
    """

    requests: int
    hit_rate: float
    computed_tokens: int
    wasted_tokens: int
    imported_blocks: int
    first_token_ms: tuple[float, ...]
    not_whole: int
    errors: Mapping[str, int]
    reasons: Mapping[str, int]
    late_hit_rate: float
    busiest: float
    mean_busy: float
    late_ms: tuple[float, float]
    sent_bytes_per_s: float
    cpu_s: float
    rss_mb: float

    @property
    def p50(self) -> float:
        """Return the median time to the first token."""
        return percentile(self.first_token_ms, 0.50)

    @property
    def p95(self) -> float:
        """Return the 95th percentile of the time to the first token."""
        return percentile(self.first_token_ms, 0.95)

    @property
    def p99(self) -> float:
        """Return the 99th percentile of the time to the first token."""
        return percentile(self.first_token_ms, 0.99)


def pooled(results: Sequence[Figures]) -> Figures:
    """Return the combined figures of several seeds of one cell.

    Times to the first token are pooled, counts summed and rates averaged. Of
    the busiest engine, the lateness and the resident memory, the maximum is kept.
    """
    count = len(results)
    return Figures(
        requests=sum(item.requests for item in results),
        hit_rate=sum(item.hit_rate for item in results) / count,
        computed_tokens=sum(item.computed_tokens for item in results),
        wasted_tokens=sum(item.wasted_tokens for item in results),
        imported_blocks=sum(item.imported_blocks for item in results),
        first_token_ms=tuple(sorted(ms for item in results for ms in item.first_token_ms)),
        not_whole=sum(item.not_whole for item in results),
        errors=_sum_counts(item.errors for item in results),
        reasons=_sum_counts(item.reasons for item in results),
        late_hit_rate=sum(item.late_hit_rate for item in results) / count,
        busiest=max(item.busiest for item in results),
        mean_busy=sum(item.mean_busy for item in results) / count,
        late_ms=(
            max(item.late_ms[0] for item in results),
            max(item.late_ms[1] for item in results),
        ),
        sent_bytes_per_s=sum(item.sent_bytes_per_s for item in results) / count,
        cpu_s=sum(item.cpu_s for item in results) / count,
        rss_mb=max(item.rss_mb for item in results),
    )


def percentile(ordered: Sequence[float], fraction: float) -> float:
    """Return the nearest-rank percentile of sorted values, or 0 if there are none."""
    if not ordered:
        return 0.0
    return ordered[max(0, math.ceil(len(ordered) * fraction) - 1)]


def hit_rate(before: Sequence[EngineCounts], after: Sequence[EngineCounts]) -> float:
    """Return cached tokens as a share of the prompt tokens between two snapshots."""
    prompt = sum(item.prompt_tokens for item in after) - sum(
        item.prompt_tokens for item in before
    )
    cached = sum(item.cached_tokens for item in after) - sum(
        item.cached_tokens for item in before
    )
    return cached / prompt if prompt else 0.0


def wasted_tokens(
    before: Sequence[EngineCounts], after: Sequence[EngineCounts], block_tokens: int
) -> int:
    """Return the tokens of blocks that were recomputed between two snapshots."""
    computed = _computation_count(after) - _computation_count(before)
    new = _block_keys(after) - _block_keys(before)
    return (computed - len(new)) * block_tokens


def gap_closed(value: float, worst: float, best: float) -> float:
    """Return the share of the gap from worst to best that a value closes."""
    return (value - worst) / (best - worst) if best != worst else 1.0


def _computation_count(counts: Sequence[EngineCounts]) -> int:
    return sum(sum(item.blocks.values()) for item in counts)


def _block_keys(counts: Sequence[EngineCounts]) -> set[str]:
    return {key for item in counts for key in item.blocks}


def _sum_counts(counts: Iterable[Mapping[str, int]]) -> Mapping[str, int]:
    total: collections.Counter[str] = collections.Counter()
    for item in counts:
        total.update(item)
    return total
