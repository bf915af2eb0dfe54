"""Jitter for retry hints."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from agaterail.errors import Answer

DEFAULT_HINT_S = 1.0
HASH_RANGE = 1 << 32


def jittered_retry_after_s(answer: Answer, request_id: str) -> float:
    """Return one to two times the retry hint of an answer, derived from the request id.

    Equal hints would bring all refused callers back at the same moment.
    """
    base_s = answer.retry_after_s or DEFAULT_HINT_S
    digest = blake2b(request_id.encode(), digest_size=4).digest()
    return base_s * (1.0 + int.from_bytes(digest, "big") / HASH_RANGE)
