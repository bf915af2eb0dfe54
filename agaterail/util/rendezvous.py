"""Rendezvous (highest random weight) hashing."""

from __future__ import annotations

import heapq
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

WEIGHT_BYTES = 8


def weight(key: bytes, member: str) -> bytes:
    """Return the weight of a member for a key as bytes; the largest weight wins."""
    return blake2b(key + b"\0" + member.encode(), digest_size=WEIGHT_BYTES).digest()


def owner(key: bytes, members: Iterable[str]) -> str | None:
    """Return the member with the highest weight, or None if there are no members."""
    return max(members, key=lambda member: weight(key, member), default=None)


def ranked(key: bytes, members: Iterable[str], count: int) -> list[str]:
    """Return up to ``count`` members, highest weight first."""
    return heapq.nlargest(count, members, key=lambda member: weight(key, member))
