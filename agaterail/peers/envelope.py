"""Authentication of messages by a keyed hash of the shared secret."""

from __future__ import annotations

import hmac
from hashlib import blake2b

CODE_BYTES = 16
PERSON = b"agaterail-peers"


def key_of(secret: str) -> bytes:
    """Derive the key from the secret."""
    return blake2b(secret.encode(), digest_size=32, person=PERSON).digest()


def seal(key: bytes, body: bytes) -> bytes:
    """Put the authentication code in front of a body."""
    return blake2b(body, key=key, digest_size=CODE_BYTES).digest() + body


def open_sealed(key: bytes, data: bytes) -> bytes | None:
    """Return the body, or None when the code is not its own."""
    body = data[CODE_BYTES:]
    code = blake2b(body, key=key, digest_size=CODE_BYTES).digest()
    return body if hmac.compare_digest(code, data[:CODE_BYTES]) else None
