"""Cheap, stable weights for rendezvous hashing over many members.

A cryptographic hash per pair would take 600 microseconds for 600 engines. The
members are hashed once; a pair then costs one multiplication.
"""

from __future__ import annotations

import heapq
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

MASK = (1 << 64) - 1
MULTIPLIER = 0x9E3779B97F4A7C15
HALF_BITS = 32
NUMBER_BYTES = 8
# A threshold that leaves about this many members per wanted one makes a full
# ranking needless; when it leaves too few, all are ranked.
SPARE_FACTOR = 4
SPARE_COUNT = 12


def number_of(data: bytes) -> int:
    """Return a well-mixed 64-bit number of some bytes."""
    return int.from_bytes(blake2b(data, digest_size=NUMBER_BYTES).digest(), "little")


def pair_weight(key: int, member: int) -> int:
    """Return the weight of a member for a key; both are well-mixed numbers."""
    mixed = ((key ^ member) * MULTIPLIER) & MASK
    return ((mixed ^ mixed >> HALF_BITS) * MULTIPLIER) & MASK


def ranked(key: int, members: Sequence[int], count: int) -> list[int]:
    """Return the places of up to ``count`` members, highest weight first."""
    wanted = min(count, len(members))
    share = (SPARE_FACTOR * wanted + SPARE_COUNT) / max(1, len(members))
    floor = 0 if share >= 1.0 else int(MASK * (1.0 - share))
    pairs = _above(key, members, floor)
    if len(pairs) < wanted:
        pairs = _above(key, members, 0)
    return [place for _, place in heapq.nlargest(wanted, pairs)]


def _above(key: int, members: Sequence[int], floor: int) -> list[tuple[int, int]]:
    # The body of ``pair_weight`` is repeated because a call per member would
    # double the time of the innermost loop of every decision.
    return [
        (weight, place)
        for place, member in enumerate(members)
        if (
            weight := (
                ((mixed := ((key ^ member) * MULTIPLIER) & MASK) ^ mixed >> HALF_BITS)
                * MULTIPLIER
            )
            & MASK
        )
        >= floor
    ]
