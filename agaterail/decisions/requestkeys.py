"""Names by which crashes of targets are connected with what requests ask for."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_PART_CHARS = 32
PART_DIGEST_BYTES = 16
REQUEST_DIGEST_BYTES = 12
ID_DIGEST_BYTES = 6
# Parts of prompts have hexadecimal names, so that none is mistaken for a request.
REQUEST_PREFIX = "request:"


@attrs.frozen
class RequestKeys:
    """What may crash the target of a request.

    Attributes
    ----------
    parts
        Keys of the parts of its prompt that other requests may share, in their order.
    request
        Key of what the request asks for, which its repeats share under any id.
    """

    parts: tuple[str, ...]
    request: str


def part_key(name: str) -> str:
    """Return the key of a part: its name, or a digest of a long one."""
    if len(name) <= MAX_PART_CHARS:
        return name
    return blake2b(name.encode(), digest_size=PART_DIGEST_BYTES).hexdigest()


def request_key(fields: Iterable[bytes]) -> str:
    """Return the key of a request: a digest of all that its repeats have in common."""
    digest = blake2b(digest_size=REQUEST_DIGEST_BYTES)
    for field in fields:
        digest.update(b"%d:" % len(field))
        digest.update(field)
    return REQUEST_PREFIX + digest.hexdigest()


def id_digest(request_id: str) -> str:
    """Return what records of crashes hold of a request's id."""
    return blake2b(request_id.encode(), digest_size=ID_DIGEST_BYTES).hexdigest()


def is_request(key: str) -> bool:
    """Return whether a key stands for a request rather than for a part of prompts."""
    return key.startswith(REQUEST_PREFIX)
