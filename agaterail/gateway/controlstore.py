"""What the gateway reads from and writes to the platform's store."""

from __future__ import annotations

import abc
import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from returns.result import Result

    from agaterail.gateway.desired import DesiredState
    from agaterail.gateway.documents import Document
    from agaterail.gateway.namedweights import NamingRecord
    from agaterail.gateway.targets import Registration


class Feed(enum.Enum):
    """A sequence of changes that others write and every daemon follows."""

    OPERATORS = "operators"
    TARGETS = "targets"
    LEASE = "lease"


@attrs.frozen
class DesiredPublished:
    """Operators published a desired state.

    Attributes
    ----------
    size
        Bytes of the record.
    decode_s
        Seconds that decoding it took, with the turns of others in between.
    """

    offset: int
    state: DesiredState
    size: int = 0
    decode_s: float = 0.0


@attrs.frozen
class WeightsNamed:
    """Operators named the weights version that a model should have."""

    offset: int
    model: str
    version: int


@attrs.frozen
class TargetChanged:
    """A target's registration changed; None if it vanished or names no target."""

    offset: int
    instance: str
    entry: Registration | None


@attrs.frozen
class LeaseEntry:
    """Record of who gives orders to engines.

    Attributes
    ----------
    host
        Host that acquired the lease; the name survives a restart.
    boot
        Start of the process on that host.
    released_idle_s
        The lease is given up, and no order was sent for so long before; None
        if the record takes or renews the lease.
    load_s
        Seconds in which engines load new weights, as the holder has seen it;
        None if it has seen no load.
    naming
        For how long weights versions have been named, as the writer knows it; None
        if not said.
    """

    host: str
    boot: str
    released_idle_s: float | None = None
    load_s: float | None = None
    naming: NamingRecord | None = None


@attrs.frozen
class LeaseChanged:
    """A host took, renewed or released the lease of orders."""

    offset: int
    entry: LeaseEntry


Change = DesiredPublished | WeightsNamed | TargetChanged | LeaseChanged


@attrs.frozen
class FeedRecord:
    """One record as it lies in the store; without a value its key is dropped."""

    offset: int
    key: str
    value: bytes


@attrs.frozen
class DocumentRecord:
    """One record whose value is a JSON object."""

    offset: int
    key: str
    document: Document


Record = FeedRecord | DocumentRecord


@attrs.frozen
class FeedSlice:
    """Records of a feed, and the offset to read on from.

    Attributes
    ----------
    end
        Offset at which the store said that the feed ends; the slice lacks the records
        from its next offset up to there.
    """

    records: Sequence[Record]
    next_offset: int
    end: int


@attrs.frozen
class Arrival:
    """How records came to this daemon.

    Attributes
    ----------
    source
        The store, or the address of the peer that passed them on.
    took_s
        Seconds from the sending of the question to its whole answer.
    known_at
        Time, by the own clock, since which some daemon is known to have had the
        newest of them.
    heard_at
        Time at which some daemon is known to have heard of the store.
    """

    source: str
    took_s: float
    known_at: float
    heard_at: float


STORE = "store"
NEVER = float("-inf")


@attrs.frozen
class Reading:
    """What one read of a feed brought.

    Attributes
    ----------
    next_offset
        Offset up to which the feed is known with it.
    read_at
        Time since which the feed is known to its end; ``NEVER`` if the read ended short
        of it.
    listed
        The records are the newest of each key, not the changes since the read before.
    """

    records: Sequence[Record]
    next_offset: int
    read_at: float
    listed: bool = False
    arrival: Arrival = Arrival(STORE, 0.0, NEVER, NEVER)


@attrs.frozen
class Membership:
    """Part of the fleet's partitions that the platform dealt to this daemon.

    Attributes
    ----------
    share
        Partitions held of all, from 0 to 1.
    ranks
        Topics whose first partition is among them, by number. Few daemons hold
        any, and each number is held by one.
    """

    generation: int
    share: float
    ranks: frozenset[int]


class StoreErrorKind(enum.Enum):
    """Why a call to the store gave no result."""

    UNREACHABLE = "unreachable"  # not connected, nothing was done
    REFUSED = "refused"  # the store answered that nothing was done
    UNANSWERED = "unanswered"  # may be done, now or later
    EXPIRED = "expired"  # the records asked for are gone
    CONFLICT = "conflict"  # a condition did not hold
    MALFORMED = "malformed"  # an answer that cannot be read


@attrs.frozen
class StoreError:
    """A failed call to the store."""

    kind: StoreErrorKind
    reason: str = ""
    timed_out: bool = False


class ControlStore(abc.ABC):
    """The platform's store as the controllers use it.

    Every call is bounded in time and sent once. Reads are linearizable: an
    answer shows all that was acknowledged before the call was sent.

    Attributes
    ----------
    calls
        Calls made since the start.
    on_data
        Called whenever bytes of a read of a feed come.
    """

    calls = 0
    on_data: Callable[[Feed], None] = staticmethod(lambda _feed: None)

    @abc.abstractmethod
    def listing(self, feed: Feed) -> Result[FeedSlice, StoreError]:
        """Read the newest state of everything on a feed."""

    @abc.abstractmethod
    def follow(self, feed: Feed, offset: int, wait_s: float) -> Result[FeedSlice, StoreError]:
        """Read the changes from an offset on, waiting for the first."""

    @abc.abstractmethod
    def decode(self, feed: Feed, records: Sequence[Record]) -> list[Change]:
        """Return what records say; those that cannot be read are left out."""

    @abc.abstractmethod
    def append_lease(self, entry: LeaseEntry, at: int) -> Result[int, StoreError]:
        """Append a record iff the log ends at an offset; returns that offset."""

    @abc.abstractmethod
    def join(
        self, member: str, ttl_s: float, generation: int
    ) -> Result[Membership, StoreError]:
        """Join the fleet or stay in it."""

    @abc.abstractmethod
    def members(self) -> Result[dict[int, str], StoreError]:
        """Return who holds the fleet's partitions, the first of each topic first."""

    @abc.abstractmethod
    def leave(self, member: str) -> Result[None, StoreError]:
        """Leave the fleet, so that the others need not wait for the time to live."""
