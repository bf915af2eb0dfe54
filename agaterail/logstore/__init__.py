"""Interface to the platform's append-only log."""

from __future__ import annotations

import abc
import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result


class LogErrorKind(enum.Enum):
    """Why a call to the log failed."""

    DOWN = "down"
    UNANSWERED = "unanswered"
    THROTTLED = "throttled"
    TOO_LARGE = "too_large"


@attrs.frozen
class LogError:
    """A failed call to the log.

    After ``UNANSWERED``, an append may have taken effect.
    """

    kind: LogErrorKind
    detail: str = ""


@attrs.frozen
class LogRecord:
    """One record and its offset."""

    offset: int
    data: bytes


@attrs.frozen
class LogSlice:
    """Records read from one stream.

    Attributes
    ----------
    first
        Oldest offset that is still retained.
    end
        Offset of the next append, as this reader sees it.
    """

    records: Sequence[LogRecord]
    first: int
    end: int


class LogStore(abc.ABC):
    """Client of the platform's log."""

    @abc.abstractmethod
    def append(self, stream: str, data: bytes) -> Result[int, LogError]:
        """Append one record and return its offset."""

    @abc.abstractmethod
    def read(
        self, stream: str, offset: int, limit: int = 1000, wait_s: float = 0.0
    ) -> Result[LogSlice, LogError]:
        """Read records from an offset on, waiting up to ``wait_s`` for the first."""
