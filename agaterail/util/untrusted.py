"""Decode JSON and MessagePack from untrusted sources, with a single type of error.

Decoders of libraries raise several unrelated types. One that a caller does not expect,
such as RecursionError for a deeply nested value, ends the loop that reads a feed.
"""

from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING, Any, Generic, TypeVar

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")

# Levels of objects and lists that pruning keeps. Documents of operators need six.
MAX_KEPT_LEVELS = 64
_JSON_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]|[\]}]', re.DOTALL)
_STARTS = b"[{"
_STRING_START = b'"'


class DecodeError(ValueError):
    """The data is not a valid document."""


class NestingError(DecodeError):
    """The data is nested more deeply than the decoder can follow."""


def load_json(data: bytes | str) -> Any:
    """Decode a JSON text.

    Raises
    ------
    DecodeError
        If it is malformed or nested too deeply.
    """
    return _decode(json.loads, data)


def load_msgpack(data: bytes) -> Any:
    """Decode a MessagePack value.

    Raises
    ------
    DecodeError
        If it is malformed or nested too deeply.
    """
    return _decode(msgspec.msgpack.decode, data)


class TypedDecoder(Generic[T]):
    """Decodes values of one type with a decoder of msgspec."""

    def __init__(self, decoder: Any) -> None:
        self.decoder = decoder

    def decode(self, data: bytes | msgspec.Raw) -> T:
        """Decode a value.

        Raises
        ------
        DecodeError
            If it is malformed, of another type or nested too deeply.
        """
        return _decode(self.decoder.decode, data)


class MsgpackDecoder(TypedDecoder[T]):
    """Decodes MessagePack values of one type."""

    def __init__(self, kind: Any) -> None:
        super().__init__(msgspec.msgpack.Decoder(kind))


class JsonDecoder(TypedDecoder[T]):
    """Decodes JSON texts of one type."""

    def __init__(self, kind: Any) -> None:
        super().__init__(msgspec.json.Decoder(kind))


def decode_pruned(decode: Callable[[bytes], T], text: bytes) -> T:
    """Decode a JSON text; if it is nested too deeply, without its deepest values.

    A member that no reader uses must not make the others unreadable.

    Raises
    ------
    DecodeError
        If the text is malformed.
    """
    try:
        return decode(text)
    except NestingError:
        return decode(prune_json(text))


def prune_json(text: bytes, max_levels: int = MAX_KEPT_LEVELS) -> bytes:
    """Replace the values of a JSON text below a number of levels by null.

    The replaced values are not checked.

    Raises
    ------
    DecodeError
        If brackets are left open.
    """
    kept: list[bytes] = []
    begin = level = 0
    for token in _JSON_TOKEN.finditer(text):
        first = text[token.start() : token.start() + 1]
        if first == _STRING_START:
            continue
        if first in _STARTS:
            level += 1
            if level == max_levels + 1:
                kept += (text[begin : token.start()], b"null")
        else:
            if level == max_levels + 1:
                begin = token.end()
            level -= 1
    if level > 0:
        raise DecodeError("brackets are left open")
    return b"".join([*kept, text[begin:]])


def _decode(decode: Callable[[Any], Any], data: Any) -> Any:
    try:
        return decode(data)
    except RecursionError as error:
        raise NestingError("nested too deeply") from error
    # Besides those of the library, ValueError, TypeError and OverflowError are raised.
    except Exception as error:
        raise DecodeError(str(error) or type(error).__name__) from error
