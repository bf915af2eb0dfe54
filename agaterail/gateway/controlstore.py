"""Interface to the platform's store, and the records that the gateway exchanges with it."""

from __future__ import annotations

import abc
import enum
from types import MappingProxyType
from typing import TYPE_CHECKING

import attrs

# Messages that hold records are decoded by their types.
from agaterail.decisions.cachepool import PoolRecord  # noqa: TC001
from agaterail.decisions.crashevidence import CrashReport  # noqa: TC001

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from returns.result import Result

    from agaterail.gateway.desired import DesiredState
    from agaterail.gateway.documents import Document
    from agaterail.gateway.targets import Registration
    from agaterail.gateway.versionhistory import VersionAgeRecord


class Feed(enum.Enum):
    """A log of changes that others write to the store and every daemon follows."""

    OPERATORS = "operators"
    TARGETS = "targets"
    LEASE = "lease"
    CRASHES = "crashes"
    CACHE_POOL = "pool"


@attrs.frozen
class DesiredPublished:
    """Operators published a desired state.

    Attributes
    ----------
    size
        Bytes of the record.
    decode_s
        Elapsed time of decoding in seconds, including other greenlets that ran meanwhile.
    """

    offset: int
    state: DesiredState
    size: int = 0
    decode_s: float = 0.0


@attrs.frozen
class WeightsNamed:
    """Operators named the weights version that engines should serve for a model."""

    offset: int
    model: str
    version: int


@attrs.frozen
class TargetChanged:
    """A target's registration changed; None if it was removed or is not a valid target."""

    offset: int
    instance: str
    entry: Registration | None


@attrs.frozen
class EngineLoad:
    """A load of a weights version by one engine."""

    instance: str
    model: str
    version: int


@attrs.frozen
class LeaseEntry:
    """Record of the lease that allows its holder to give orders to engines.

    Attributes
    ----------
    host
        Host that acquired the lease; the name survives a restart.
    boot
        Identifies the start of the process on that host.
    released_idle_s
        Seconds without an order before the lease was released; None if the record
        acquires or renews the lease.
    load_s
        Seconds in which engines load new weights, as the holder observed it; None if it
        observed no load.
    naming
        Ages of the named weights versions, as the writer knows them; None if omitted.
    planned
        Loads that the holder orders next or has ordered, so that all daemons keep
        requests from the same engines; None if the writer announces no loads.
    loaded
        Loads that the holder saw complete shortly before. Registrations report them
        with the next heartbeat only.
    """

    host: str
    boot: str
    released_idle_s: float | None = None
    load_s: float | None = None
    naming: VersionAgeRecord | None = None
    planned: tuple[EngineLoad, ...] | None = None
    loaded: tuple[EngineLoad, ...] = ()


@attrs.frozen
class LeaseChanged:
    """A host acquired, renewed or released the lease."""

    offset: int
    entry: LeaseEntry


@attrs.frozen
class CrashReported:
    """A daemon reported the prompts at a target that ended.

    Attributes
    ----------
    reporter
        Name of the daemon's process.
    written_at
        Time of day at the writer.
    """

    report: CrashReport
    reporter: str = ""
    offset: int = 0
    written_at: float = 0.0


@attrs.frozen
class PartsSurvived:
    """A daemon saw answers to these requests, or to prompts with these parts, go on.

    Attributes
    ----------
    written_at
        Time of day at the writer.
    """

    parts: tuple[str, ...]
    offset: int = 0
    written_at: float = 0.0


@attrs.frozen
class Quarantine:
    """Why a request or a part of prompts is kept away from targets.

    Attributes
    ----------
    crashes
        Number of crashes that it explains.
    recorded
        Whether the store holds the verdict.
    decided_at
        Time of day of the verdict; 0 if that is not known.
    requests
        Digests of the ids of some requests under which targets ended.
    """

    crashes: int
    recorded: bool = False
    decided_at: float = 0.0
    requests: tuple[str, ...] = ()


@attrs.frozen
class PartQuarantined:
    """A request or part was put in quarantine; None if the quarantine was lifted."""

    part: str
    quarantine: Quarantine | None
    offset: int = 0


@attrs.frozen
class PoolChanged:
    """A daemon recorded the pool of cached parts for a desired state."""

    offset: int
    record: PoolRecord


CrashChange = CrashReported | PartsSurvived | PartQuarantined
Change = (
    DesiredPublished | WeightsNamed | TargetChanged | LeaseChanged | CrashChange | PoolChanged
)


@attrs.frozen
class FeedRecord:
    """One record as it is stored; an empty value is a tombstone of its key."""

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
    """Records of a feed, and the offset to continue from.

    Attributes
    ----------
    next_offset
        Offset after the last record of the slice.
    end
        End of the feed according to the store; records from the next offset up to it are
        not in the slice.
    """

    records: Sequence[Record]
    next_offset: int
    end: int


@attrs.frozen
class Arrival:
    """Source and timing of records that this daemon received.

    Attributes
    ----------
    source
        The store, or the address of the peer that relayed the records.
    took_s
        Seconds from sending the request to the end of the answer.
    known_at
        Time by this process's clock since which some daemon is known to have had the
        newest record.
    heard_at
        Time at which some daemon is known to have received data from the store.
    """

    source: str
    took_s: float
    known_at: float
    heard_at: float


STORE = "store"
NEVER = float("-inf")


@attrs.frozen
class Reading:
    """Result of one read of a feed.

    Attributes
    ----------
    next_offset
        Offset up to which the feed is known after the read.
    read_at
        Time up to which all changes of the feed are known; ``NEVER`` if the read ended
        before the end of the feed.
    listed
        Whether the records are the newest of each key instead of the changes since the
        previous read.
    """

    records: Sequence[Record]
    next_offset: int
    read_at: float
    listed: bool = False
    arrival: Arrival = Arrival(STORE, 0.0, NEVER, NEVER)


@attrs.frozen
class Membership:
    """Partitions of the fleet that the platform assigned to this daemon.

    Attributes
    ----------
    generation
        Number of the assignment; it changes when partitions move.
    share
        Fraction of all partitions, from 0 to 1.
    ranks
        Numbers of the topics whose first partition is assigned to this daemon. Few
        daemons have any, and each number belongs to one daemon.
    """

    generation: int
    share: float
    ranks: frozenset[int]


class StoreErrorKind(enum.Enum):
    """Why a call to the store gave no result."""

    UNREACHABLE = "unreachable"  # no connection; the call had no effect
    REFUSED = "refused"  # the store answered that the call had no effect
    UNANSWERED = "unanswered"  # may have taken effect, or may still do so
    EXPIRED = "expired"  # the requested records were dropped
    CONFLICT = "conflict"  # a precondition failed
    MALFORMED = "malformed"  # the answer cannot be decoded


@attrs.frozen
class StoreError:
    """A failed call to the store."""

    kind: StoreErrorKind
    reason: str = ""
    timed_out: bool = False


class ControlStore(abc.ABC):
    """Client of the platform's store.

    Every call has a timeout and is not retried. Reads are linearizable: an answer
    contains all writes that were acknowledged before the call was sent.

    Attributes
    ----------
    calls
        Number of calls since the start.
    skipped
        Number of records of each feed that could not be decoded since the start.
    on_data
        Called whenever data of a read of a feed arrives.
    """

    calls = 0
    skipped: Mapping[Feed, int] = MappingProxyType({})
    on_data: Callable[[Feed], None] = staticmethod(lambda _feed: None)

    @abc.abstractmethod
    def listing(self, feed: Feed) -> Result[FeedSlice, StoreError]:
        """Read the newest record of each key of a feed."""

    @abc.abstractmethod
    def follow(self, feed: Feed, offset: int, wait_s: float) -> Result[FeedSlice, StoreError]:
        """Read the changes from an offset on; wait for the first one if there is none."""

    @abc.abstractmethod
    def decode(self, feed: Feed, records: Sequence[Record]) -> list[Change]:
        """Decode records; records that cannot be decoded are skipped."""

    @abc.abstractmethod
    def append_lease(self, entry: LeaseEntry, at: int) -> Result[int, StoreError]:
        """Append a record if the log ends at an offset; return that offset."""

    @abc.abstractmethod
    def append_crashes(
        self, changes: Sequence[CrashChange], host: str
    ) -> Result[None, StoreError]:
        """Append records of crashes, survivals and verdicts, all or none.

        Parameters
        ----------
        host
            Host of the writer.
        """

    @abc.abstractmethod
    def append_pool(self, record: PoolRecord, at: int) -> Result[int, StoreError]:
        """Append a record if its log ends at an offset; return that offset."""

    @abc.abstractmethod
    def put_pool_members(self, members: frozenset[int]) -> Result[None, StoreError]:
        """Replace the ids of the workspaces that share the pool."""

    @abc.abstractmethod
    def pool_members(self) -> Result[frozenset[int], StoreError]:
        """Return the ids of the workspaces that share the pool."""

    @abc.abstractmethod
    def join(
        self, member: str, ttl_s: float, generation: int
    ) -> Result[Membership, StoreError]:
        """Join the fleet or renew the membership."""

    @abc.abstractmethod
    def members(self) -> Result[dict[int, str], StoreError]:
        """Return the holders of partitions, the first partition of each topic first."""

    @abc.abstractmethod
    def leave(self, member: str) -> Result[None, StoreError]:
        """Leave the fleet, so that partitions move before the time to live expires."""
