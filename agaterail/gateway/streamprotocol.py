"""Messages by which daemons record and look up which build began a stream."""

from __future__ import annotations

import binascii
from typing import TYPE_CHECKING

import attrs
import msgspec
from returns.result import Failure, Result, Success

from agaterail.decisions.streamrecords import KEY_BYTES
from agaterail.util.untrusted import DecodeError, MsgpackDecoder

if TYPE_CHECKING:
    from collections.abc import Sequence

# The version in the paths changes with the format. Daemons of another release answer 404.
RECORD_PATH = b"/stream-records/1"
FIND_PATH = b"/stream-source/1"
MAX_BATCH = 512
MAX_NAME = 256  # characters of a service or build


@attrs.frozen
class StreamEntry:
    """Record of one stream."""

    key: bytes
    service: str
    build: str

    @property
    def is_valid(self) -> bool:
        """Return whether the sizes of all fields are plausible."""
        names = (self.service, self.build)
        return len(self.key) == KEY_BYTES and all(0 < len(item) <= MAX_NAME for item in names)


@attrs.frozen
class StreamAnswer:
    """A daemon's answer which build began a stream.

    Attributes
    ----------
    service
        Empty if the daemon has no record.
    build
        Empty if the daemon has no record, or records that contradict each other.
    age_s
        Seconds since the stream was first recorded there.
    """

    service: str = ""
    build: str = ""
    age_s: float = 0.0


_ENTRIES_DECODER: MsgpackDecoder[tuple[StreamEntry, ...]] = MsgpackDecoder(
    tuple[StreamEntry, ...]
)
_ANSWER_DECODER: MsgpackDecoder[StreamAnswer] = MsgpackDecoder(StreamAnswer)


def encode_entries(entries: Sequence[StreamEntry]) -> bytes:
    """Return the body of a message with records."""
    return msgspec.msgpack.encode(tuple(entries))


def decode_entries(body: bytes) -> Result[tuple[StreamEntry, ...], str]:
    """Return the records in a body, or why it is malformed."""
    try:
        entries = _ENTRIES_DECODER.decode(body)
    except DecodeError as error:
        return Failure(str(error))
    if len(entries) > MAX_BATCH or not all(entry.is_valid for entry in entries):
        return Failure("records are implausible")
    return Success(entries)


def encode_query(key: bytes) -> str:
    """Return the path and query string of a question."""
    return f"{FIND_PATH.decode()}?key={key.hex()}"


def decode_query(query: bytes) -> bytes:
    """Return the key of a question.

    Raises
    ------
    ValueError
        If the query string is malformed.
    """
    name, _, value = query.partition(b"=")
    if name != b"key" or len(value) != 2 * KEY_BYTES:
        raise ValueError("key is missing or has another length")
    return binascii.unhexlify(value)


def encode_answer(answer: StreamAnswer) -> bytes:
    """Return the body of an answer to a question."""
    return msgspec.msgpack.encode(answer)


def decode_answer(body: bytes) -> Result[StreamAnswer, str]:
    """Return the answer in a body, or why it is malformed."""
    try:
        return Success(_ANSWER_DECODER.decode(body))
    except DecodeError as error:
        return Failure(str(error))
