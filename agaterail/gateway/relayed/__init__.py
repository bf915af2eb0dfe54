"""Base class of the feeds that a daemon relays to its peers."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import attrs

from agaterail.gateway.controlstore import NEVER

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from returns.result import Result

    from agaterail.gateway.controlstore import Reading, Record


@attrs.frozen
class PackedRecord:
    """A record as one daemon sends it to another.

    Attributes
    ----------
    value
        Value of the record, or a packed difference.
    base
        Offset of the record that the difference starts from; None if the value is not a
        difference.
    """

    offset: int
    key: str
    value: bytes
    base: int | None = None


@attrs.define
class RelayedFeed(abc.ABC):
    """The latest records of one feed, and how current they are.

    Attributes
    ----------
    next_offset
        Offset up to which the records are known.
    read_at
        Time at which the newest successful read of the store was sent.
    failing
        Whether the last read of the store failed, so that peers should poll another
        reader.
    known_at
        Time since which some daemon is known to have had the newest record.
    heard_at
        Time at which the store last sent any bytes of this feed. A read of a large
        record takes seconds, in which the reading grows old although the connection
        works.
    """

    next_offset: int = 0
    read_at: float = NEVER
    failing: bool = False
    known_at: float = NEVER
    heard_at: float = NEVER

    def record_contact(self, at: float) -> None:
        """Record the time of data from the store."""
        self.heard_at = max(self.heard_at, at)

    @property
    def base_offsets(self) -> tuple[int, ...]:
        """Return the offsets of the records that a difference may start from."""
        return ()

    @abc.abstractmethod
    def add_reading(self, reading: Reading) -> None:
        """Add the records of a reading; a listing contains the newest record of each key."""

    @abc.abstractmethod
    def pack_since(
        self, offset: int, base_offsets: Collection[int] = ()
    ) -> Sequence[PackedRecord] | None:
        """Return the records from an offset on for a peer; None if some are not known.

        Parameters
        ----------
        base_offsets
            Offsets of records that the peer has and that differences may start from.
        """

    @abc.abstractmethod
    def unpack(self, packed: Sequence[PackedRecord]) -> Result[list[Record], str]:
        """Return the records that a peer packed, or why they cannot be unpacked."""
