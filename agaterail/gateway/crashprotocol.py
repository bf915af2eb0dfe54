"""Messages by which daemons pass on records of crashes that the store does not take."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec
from returns.result import Failure, Result, Success

from agaterail.gateway.controlstore import CrashReported, PartQuarantined, PartsSurvived
from agaterail.util.untrusted import DecodeError, MsgpackDecoder

if TYPE_CHECKING:
    from collections.abc import Sequence

    from agaterail.gateway.controlstore import CrashChange

# The version in the path changes with the format. Daemons of another release answer 404.
PATH = b"/crash-records/1"
MAX_RECORDS = 64
MAX_BODY_BYTES = 256 * 1024


@attrs.frozen
class CrashMessage:
    """Records of crashes, survivals and verdicts."""

    reports: tuple[CrashReported, ...] = ()
    survivals: tuple[PartsSurvived, ...] = ()
    verdicts: tuple[PartQuarantined, ...] = ()

    @property
    def changes(self) -> list[CrashChange]:
        """Return all records, verdicts last."""
        return [*self.reports, *self.survivals, *self.verdicts]


_DECODER: MsgpackDecoder[CrashMessage] = MsgpackDecoder(CrashMessage)


def encode(changes: Sequence[CrashChange]) -> bytes:
    """Return the body of a message with records."""
    message = CrashMessage(
        tuple(item for item in changes if isinstance(item, CrashReported)),
        tuple(item for item in changes if isinstance(item, PartsSurvived)),
        tuple(item for item in changes if isinstance(item, PartQuarantined)),
    )
    return msgspec.msgpack.encode(message)


def decode(body: bytes) -> Result[list[CrashChange], str]:
    """Return the records in a body, or why it is malformed."""
    if len(body) > MAX_BODY_BYTES:
        return Failure("too large")
    try:
        changes = _DECODER.decode(body).changes
    except DecodeError as error:
        return Failure(str(error))
    return Success(changes) if len(changes) <= MAX_RECORDS else Failure("too many records")
