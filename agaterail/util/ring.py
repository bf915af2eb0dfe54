"""Consistent hashing: ranks members for a key without visiting all of them.

Rendezvous hashing gives the same kind of ranking but computes the weight of every member
for every key, which takes 0.6 ms for 600 members. A ring needs one binary search.
"""

from __future__ import annotations

from array import array
from bisect import bisect_right
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

HASH_BYTES = 8
DIGEST_BYTES = 64
DIGESTS_PER_MEMBER = 12
INDEX_BITS = 16


def hash_64(data: bytes) -> int:
    """Return a 64-bit hash as an integer."""
    return int.from_bytes(blake2b(data, digest_size=HASH_BYTES).digest(), "little")


class HashRing:
    """Hash ring with many points per member; a key belongs to the next point.

    The ranking depends only on the set of members: it is the same in every process and
    for any order of ``members``. Removing a member moves no key between the others.

    Parameters
    ----------
    digests
        Number of digests per member, with eight points each. More points distribute
        keys more evenly and take longer to build.
    """

    def __init__(self, members: Sequence[str], digests: int = DIGESTS_PER_MEMBER) -> None:
        self.members = members
        packed_points = sorted(
            point << INDEX_BITS | index
            for index, member in enumerate(members)
            for point in _points(member, digests)
        )
        self.points = array("Q", [packed >> INDEX_BITS for packed in packed_points])
        mask = (1 << INDEX_BITS) - 1
        self.indices = array("H", [packed & mask for packed in packed_points])

    def first_index(self, key: int) -> int:
        """Return the index of a key's first member; the ring must not be empty."""
        return self.indices[bisect_right(self.points, key) % len(self.indices)]

    def ranked_indices(self, key: int, count: int) -> list[int]:
        """Return the indices of a key's first ``count`` members, in order."""
        limit = min(count, len(self.members))
        indices = self.indices
        position, size = bisect_right(self.points, key), len(indices)
        ranked: list[int] = []
        while len(ranked) < limit:
            index = indices[position % size]
            if index not in ranked:
                ranked.append(index)
            position += 1
        return ranked


def _points(member: str, digests: int) -> list[int]:
    points = array("Q")
    for number in range(digests):
        data = f"{number} {member}".encode()
        points.frombytes(blake2b(data, digest_size=DIGEST_BYTES).digest())
    return points.tolist()
