"""Encode records and messages as MessagePack with cattrs."""

from __future__ import annotations

from typing import Any

import msgpack
from cattrs.preconf.msgpack import make_converter
from cattrs.strategies import configure_tagged_union
from returns.result import Failure, Result, Success

from agaterail.records import TablesRecord
from agaterail.util.untrusted import load_msgpack

converter = make_converter(omit_if_default=True)
configure_tagged_union(TablesRecord, converter)


def encode(value: Any, kind: Any = None) -> bytes:
    """Encode an attrs object; ``kind`` is its union type, if any."""
    return msgpack.packb(converter.unstructure(value, unstructure_as=kind), use_bin_type=True)


def decode(data: bytes, kind: Any) -> Result[Any, str]:
    """Decode bytes from an untrusted source.

    Returns
    -------
    Result
        The object, or a message that says why the bytes cannot be decoded.
    """
    try:
        return Success(converter.structure(load_msgpack(data), kind))
    except Exception as error:  # cattrs raises many unrelated types
        return Failure(f"{type(error).__name__}: {error}")
