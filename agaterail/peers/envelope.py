"""Message authentication by a keyed hash, with a key derived from the shared secret."""

from __future__ import annotations

import hmac
from hashlib import blake2b

MAC_BYTES = 16
KEY_PERSONALIZATION = b"agaterail-peers"


def derive_key(secret: str) -> bytes:
    """Derive the key from the secret."""
    return blake2b(secret.encode(), digest_size=32, person=KEY_PERSONALIZATION).digest()


def sign(key: bytes, body: bytes) -> bytes:
    """Prepend the message authentication code to a body."""
    return blake2b(body, key=key, digest_size=MAC_BYTES).digest() + body


def verify(key: bytes, data: bytes) -> bytes | None:
    """Return the body, or None if its authentication code does not match."""
    body = data[MAC_BYTES:]
    mac = blake2b(body, key=key, digest_size=MAC_BYTES).digest()
    return body if hmac.compare_digest(mac, data[:MAC_BYTES]) else None
