"""What a daemon keeps of a feed for its peers: the base class."""

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
    """A record as one daemon passes it on to another.

    Attributes
    ----------
    value
        Its value, or a packed difference.
    base
        Offset of the record that the difference starts from; None if it is none.
    """

    offset: int
    key: str
    value: bytes
    base: int | None = None


@attrs.define
class RelayedFeed(abc.ABC):
    """The latest records of one feed and when the store was last known to end there.

    Attributes
    ----------
    next_offset
        Offset up to which the records are known.
    read_at
        Time at which the newest answered read of the store was sent.
    failing
        The last read of the store failed: peers should ask elsewhere.
    known_at
        Time since which some daemon is known to have had the newest record.
    heard_at
        Time at which the store last sent any bytes of this feed. A read of a large
        record takes seconds, in which the reading grows old on a sound connection.
    """

    next_offset: int = 0
    read_at: float = NEVER
    failing: bool = False
    known_at: float = NEVER
    heard_at: float = NEVER

    def record_contact(self, at: float) -> None:
        """Note that the store was heard of."""
        self.heard_at = max(self.heard_at, at)

    @property
    def base_offsets(self) -> tuple[int, ...]:
        """Return the offsets of records that a difference may start from."""
        return ()

    @abc.abstractmethod
    def add_reading(self, reading: Reading) -> None:
        """Take in what a read brought; a listing holds the newest of each key."""

    @abc.abstractmethod
    def pack_since(
        self, offset: int, base_offsets: Collection[int] = ()
    ) -> Sequence[PackedRecord] | None:
        """Return what a peer lacks from an offset on; None if not all is known.

        Parameters
        ----------
        held
            Offsets of records that differences may start from.
        """

    @abc.abstractmethod
    def unpack(self, packed: Sequence[PackedRecord]) -> Result[list[Record], str]:
        """Return the records that a peer packed."""
