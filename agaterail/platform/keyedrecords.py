"""Encoding of the records of topics that keep the newest record of each key."""

from __future__ import annotations


def encode(key: str, value: bytes) -> bytes:
    """Return the content of a record: its key with a length, and its value.

    A record without a value drops its key.
    """
    name = key.encode()
    return bytes([len(name)]) + name + value
