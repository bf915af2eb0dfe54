"""Claims on idempotency keys of requests that run at most once.

The first claim of a key on the log wins. A verdict depends only on the records
up to the offset of its claim, so every reader of the log reaches the same one.
This module reads no clock and no socket.
"""

from __future__ import annotations

import collections
import enum
import sys
from hashlib import blake2b
from typing import TYPE_CHECKING

import attrs

from agaterail.logstore import LogErrorKind
from agaterail.util import rendezvous

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

PARTITIONS = 16
KEY_BYTES = 16
KEY_HASH_PERSON = b"agaterail-claim"
REQUEST_HASH_PERSON = b"agaterail-req"
# Keys kept per partition. A key is evicted once this many newer ones have been
# claimed, and is lost earlier if the log drops its record.
MAX_KEYS = 20_000
MAX_BODY_BYTES = 2048
MAX_TOTAL_BODY_BYTES = 4 * 1024 * 1024
MAX_BATCH = 256
MAX_QUEUED = 10_000
NO_OFFSET = -1


class ClaimOutcome(enum.Enum):
    """Result of a claimed request, as far as its claimer knows."""

    COMPLETED = "completed"
    FAILED = "failed"
    UNKNOWN = "unknown"


@attrs.frozen
class Claim:
    """Asks for the exclusive right to run the request of an idempotency key.

    Attributes
    ----------
    key
        Hash of workspace and idempotency key.
    claimer
        Peer address of the daemon that wants to run it.
    attempt
        Unique id of this claim, which makes repeated appends idempotent.
    request
        Hash of the request's contents. It prevents a key that is reused for
        another request from being answered with the first request's answer.
    """

    key: bytes
    claimer: str
    attempt: str
    request: bytes = b""


@attrs.frozen
class Release:
    """Statement of a claimer that it did not and will not run its attempt."""

    key: bytes
    attempt: str


@attrs.frozen(kw_only=True)
class Finish:
    """Outcome of an attempt that was started.

    Attributes
    ----------
    digest
        Hash of the answer's body, in hex.
    body
        The body itself if it is small.
    """

    key: bytes
    attempt: str
    outcome: ClaimOutcome
    status: int = 0
    digest: str = ""
    content_type: str = ""
    body: bytes | None = None


@attrs.frozen(kw_only=True)
class ClaimBatch:
    """Contents of one log record; claims are folded last.

    Finishes are folded first, then releases.
    """

    finishes: tuple[Finish, ...] = ()
    releases: tuple[Release, ...] = ()
    claims: tuple[Claim, ...] = ()


class VerdictKind(enum.Enum):
    """Result of judging a claim."""

    WON = "won"
    IN_PROGRESS = "in_progress"
    FINISHED = "finished"
    UNAVAILABLE = "unavailable"


@attrs.frozen(kw_only=True)
class Verdict:
    """Result of one attempt to claim a key.

    Attributes
    ----------
    holder, holding
        Claimer and attempt that hold the key, if another attempt holds it.
    request
        Hash of the request for which the key is held.
    finish
        Recorded outcome of the attempt that holds the key.
    """

    attempt: str
    kind: VerdictKind
    holder: str = ""
    holding: str = ""
    request: bytes = b""
    finish: Finish | None = None


@attrs.define
class KeyEntry:
    """Winning claim of a key and its outcome, once recorded."""

    attempt: str
    claimer: str
    request: bytes = b""
    finish: Finish | None = None


def key_hash(workspace: str, idempotency_key: str) -> bytes:
    """Hash an idempotency key, keyed by its workspace.

    Equal keys of different workspaces get different hashes.
    """
    scope = blake2b(workspace.encode(), digest_size=KEY_BYTES, person=KEY_HASH_PERSON).digest()
    text = idempotency_key.encode("utf-8", "surrogateescape")
    return blake2b(text, digest_size=KEY_BYTES, key=scope).digest()


def request_hash(*parts: bytes) -> bytes:
    """Hash the parts of a request.

    Each part is prefixed with its length, so that moving bytes from one part
    to the next changes the hash.
    """
    digest = blake2b(digest_size=KEY_BYTES, person=REQUEST_HASH_PERSON)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.digest()


def partition_of(key: bytes) -> int:
    """Return the partition that a key belongs to."""
    return key[0] % PARTITIONS


def stream_of(partition: int) -> str:
    """Return the log stream of a partition."""
    return f"claims-{partition:02d}"


class Partition:
    """State of one partition, folded from its log records.

    Attributes
    ----------
    through
        Offset of the last folded record, or -1 before the first.
    entries
        Keys in the order of their winning claims.
    rejected_attempts
        Attempts that lost or were released and can no longer win. A delayed
        append can put a claim on the log after its own release; without this
        check it would win the key for a claimer that has already given up.
    """

    def __init__(self, max_keys: int = MAX_KEYS) -> None:
        self.max_keys = max_keys
        self.reset()

    def reset(self) -> None:
        """Discard all state, as before the first read."""
        self.through = NO_OFFSET
        self.entries: collections.OrderedDict[bytes, KeyEntry] = collections.OrderedDict()
        self.rejected_attempts: collections.OrderedDict[str, None] = collections.OrderedDict()
        self.bodies: collections.deque[KeyEntry] = collections.deque()
        self.body_bytes = 0

    def fold(self, offset: int, batch: ClaimBatch) -> list[Verdict]:
        """Fold one record and return the verdicts on its claims.

        Raises
        ------
        ValueError
            If the record does not directly follow the last folded one.
        """
        if self.through not in (NO_OFFSET, offset - 1):
            raise ValueError(f"cannot fold offset {offset} after offset {self.through}")
        self.through = offset
        for finish in batch.finishes:
            self._finish(finish)
        for release in batch.releases:
            self._release(release)
        verdicts = [self._claim(claim) for claim in batch.claims]
        self._evict_oldest()
        return verdicts

    def _claim(self, claim: Claim) -> Verdict:
        entry = self.entries.get(claim.key)
        if entry is None and claim.attempt not in self.rejected_attempts:
            claimer = sys.intern(claim.claimer)
            self.entries[claim.key] = KeyEntry(claim.attempt, claimer, claim.request)
            return Verdict(attempt=claim.attempt, kind=VerdictKind.WON)
        if entry is not None and entry.attempt == claim.attempt:
            return Verdict(attempt=claim.attempt, kind=VerdictKind.WON)
        self.rejected_attempts[claim.attempt] = None
        if entry is None:
            return Verdict(attempt=claim.attempt, kind=VerdictKind.UNAVAILABLE)
        kind = VerdictKind.FINISHED if entry.finish else VerdictKind.IN_PROGRESS
        return Verdict(
            attempt=claim.attempt,
            kind=kind,
            holder=entry.claimer,
            holding=entry.attempt,
            request=entry.request,
            finish=entry.finish,
        )

    def _release(self, release: Release) -> None:
        self.rejected_attempts[release.attempt] = None
        entry = self.entries.get(release.key)
        if entry is not None and entry.attempt == release.attempt and entry.finish is None:
            del self.entries[release.key]

    def _finish(self, finish: Finish) -> None:
        entry = self.entries.get(finish.key)
        if entry is None or entry.attempt != finish.attempt or entry.finish is not None:
            return
        # Decoding creates new strings for each record. Reusing the entry's attempt
        # and interning the few distinct content types saves memory.
        entry.finish = attrs.evolve(
            finish, attempt=entry.attempt, content_type=sys.intern(finish.content_type)
        )
        if finish.body:
            self.bodies.append(entry)
            self.body_bytes += len(finish.body)

    def _evict_oldest(self) -> None:
        while len(self.entries) > self.max_keys:
            self.entries.popitem(last=False)
        while len(self.rejected_attempts) > self.max_keys:
            self.rejected_attempts.popitem(last=False)
        while self.body_bytes > MAX_TOTAL_BODY_BYTES:
            entry = self.bodies.popleft()
            if entry.finish is not None:
                self.body_bytes -= len(entry.finish.body or b"")
                entry.finish = attrs.evolve(entry.finish, body=None)


class PartitionQueue:
    """Queue of one daemon's claims, releases and finishes in one partition.

    Attributes
    ----------
    waiting
        Attempts submitted to this daemon whose verdict is not yet known.
    appending
        Batch whose append is in flight. Only one batch is in flight at a time,
        so a slow log leads to larger batches instead of more appends.
    """

    def __init__(self, max_keys: int = MAX_KEYS) -> None:
        self.partition = Partition(max_keys)
        self.waiting: dict[str, Claim] = {}
        self.claims: collections.deque[Claim] = collections.deque()
        self.releases: collections.deque[Release] = collections.deque()
        self.finishes: collections.deque[Finish] = collections.deque()
        self.appending: ClaimBatch | None = None

    @property
    def idle(self) -> bool:
        """Whether nothing is queued, in flight or awaiting a verdict."""
        return not (self.waiting or self.has_work or self.appending)

    @property
    def has_work(self) -> bool:
        """Whether anything is queued for the log."""
        return bool(self.claims or self.releases or self.finishes)

    def submit(self, claim: Claim) -> bool:
        """Queue a claim; return False if the queue is full."""
        if len(self.waiting) >= MAX_QUEUED:
            return False
        if claim.attempt not in self.waiting:
            self.waiting[claim.attempt] = claim
            self.claims.append(claim)
        return True

    def abandon(self, attempt: str) -> None:
        """Stop waiting for an attempt; its release is queued separately."""
        if self.waiting.pop(attempt, None) is not None:
            self.claims = collections.deque(
                claim for claim in self.claims if claim.attempt != attempt
            )

    def release(self, release: Release) -> None:
        """Queue the release of an attempt that will not run."""
        if len(self.releases) < MAX_QUEUED:
            self.releases.append(release)

    def finish(self, finish: Finish) -> None:
        """Queue the outcome of an attempt.

        If the queue is full, the outcome is dropped and the key stays without
        a recorded one.
        """
        if len(self.finishes) < MAX_QUEUED:
            self.finishes.append(finish)

    def next_batch(self) -> ClaimBatch | None:
        """Return the next batch to append, or None while another is in flight."""
        if self.appending is not None or not self.has_work:
            return None
        self.appending = ClaimBatch(
            finishes=_pop_batch(self.finishes),
            releases=_pop_batch(self.releases),
            claims=_pop_batch(self.claims),
        )
        return self.appending

    def on_appended(self) -> None:
        """Clear the in-flight batch after the log acknowledged it."""
        self.appending = None

    def on_append_failed(self, kind: LogErrorKind) -> list[Verdict]:
        """Requeue the batch, or fail its claims if they cannot be appended.

        Claims fail if the log is down or the record is too large; finishes and
        releases are always requeued. An unanswered batch is requeued whole: a
        second copy of its record on the log has no effect, because the first
        copy decides. An earlier copy of a failed claim may already be on the
        log, so the caller must release that claim.
        """
        batch, self.appending = self.appending, None
        if batch is None:
            return []
        self.finishes.extendleft(reversed(batch.finishes))
        self.releases.extendleft(reversed(batch.releases))
        waiting_claims = [claim for claim in batch.claims if claim.attempt in self.waiting]
        if kind not in (LogErrorKind.DOWN, LogErrorKind.TOO_LARGE):
            self.claims.extendleft(reversed(waiting_claims))
            return []
        return [self._unavailable(claim) for claim in waiting_claims]

    def on_records(self, records: Iterable[tuple[int, ClaimBatch]]) -> list[Verdict]:
        """Fold records from the log and return verdicts on this daemon's attempts.

        Records that expired unread leave a gap. The partition is then reset and
        folded from the oldest retained record, as by a new reader.
        """
        verdicts: list[Verdict] = []
        for offset, batch in records:
            if offset <= self.partition.through:
                continue
            if self.partition.through not in (NO_OFFSET, offset - 1):
                self.partition.reset()
            for verdict in self.partition.fold(offset, batch):
                if verdict.attempt in self.waiting:
                    self.abandon(verdict.attempt)
                    verdicts.append(verdict)
        return verdicts

    def _unavailable(self, claim: Claim) -> Verdict:
        self.waiting.pop(claim.attempt, None)
        return Verdict(attempt=claim.attempt, kind=VerdictKind.UNAVAILABLE)


def _pop_batch(queue: collections.deque) -> tuple:
    return tuple(queue.popleft() for _ in range(min(len(queue), MAX_BATCH)))


class PendingClaim:
    """Pending claim of this daemon that is settled exactly once.

    The owner and the log may both deliver a verdict, and either may be late.
    Only the first one counts, so a request that was abandoned never starts.

    Attributes
    ----------
    verdict
        Verdict on the claim; None until settled and for an abandoned claim.
    """

    def __init__(self, claim: Claim) -> None:
        self.claim = claim
        self.verdict: Verdict | None = None
        self.settled = False

    def settle(self, verdict: Verdict) -> bool:
        """Accept a verdict; return False if the claim was already settled."""
        if self.settled:
            return False
        self.settled = True
        self.verdict = verdict
        return True

    def abandon(self) -> bool:
        """Settle without a verdict; return False if a verdict came first."""
        if self.settled:
            return False
        self.settled = True
        return True


def owners(members: Sequence[str], partitions: int = PARTITIONS) -> list[str | None]:
    """Return the owner of each partition among the live daemons."""
    return [owner_of(number, members) for number in range(partitions)]


def owner_of(partition: int, members: Sequence[str]) -> str | None:
    """Return the daemon that owns a partition, or None if there are no members."""
    return rendezvous.owner(stream_of(partition).encode(), members)
