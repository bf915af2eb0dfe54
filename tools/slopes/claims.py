"""Slopes of the claims of non-idempotent requests."""

from __future__ import annotations

from collections.abc import Iterator

from agaterail import codec
from agaterail.claims import (
    Claim,
    ClaimBatch,
    ClaimOutcome,
    Finish,
    Partition,
    key_hash,
)
from tools.slopes.fit import Point, Slope, cpu_s, fit, retained_bytes

CLAIMER = "10.2.0.17:8081"
CLAIMS_PER_BATCH = 8


def measure() -> Iterator[Slope]:
    """Yield the slopes of this role."""
    counts = (2_000, 8_000, 32_000)
    yield fit("claims.key_memory", "bytes", "claim", [_memory(n) for n in counts])
    yield fit("claims.fold_cpu", "s", "claim", [_fold_cpu(n) for n in counts])
    yield fit(
        "claims.record_bytes", "bytes", "claim", [_record_bytes(n) for n in (8, 32, 128)]
    )


def _records(count: int) -> list[bytes]:
    records: list[bytes] = []
    for start in range(0, count, CLAIMS_PER_BATCH):
        numbers = range(start, min(count, start + CLAIMS_PER_BATCH))
        claims = tuple(Claim(_key(n), CLAIMER, _attempt(n)) for n in numbers)
        finishes = tuple(
            Finish(
                key=_key(n), attempt=_attempt(n), outcome=ClaimOutcome.COMPLETED, status=200
            )
            for n in numbers
        )
        records.append(codec.encode(ClaimBatch(claims=claims)))
        records.append(codec.encode(ClaimBatch(finishes=finishes)))
    return records


def _key(number: int) -> bytes:
    return key_hash("workspace-1", f"swap-{number}")


def _attempt(number: int) -> str:
    return f"{number:024x}.1"


def _fold(records: list[bytes]) -> Partition:
    partition = Partition()
    for offset, data in enumerate(records):
        partition.fold(offset, codec.decode(data, ClaimBatch).unwrap())
    return partition


def _memory(count: int) -> Point:
    records = _records(count)
    return Point(count, retained_bytes(lambda: _fold(records)))


def _fold_cpu(count: int) -> Point:
    records = _records(count)
    return Point(count, cpu_s(lambda: _fold(records), repeat=1))


def _record_bytes(count: int) -> Point:
    return Point(count, sum(len(data) for data in _records(count)))
