"""Claims of requests that run once: the fold of one partition and its queue.

The first claim of a key on the log wins, and every reader judges it alike,
since the verdict depends on the records up to the claim's offset only. Nothing
here reads a clock or a socket.
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
# A key is remembered until so many newer keys of its partition were claimed,
# or until the log drops its record, whichever comes first.
MAX_KEYS = 20_000
MAX_BODY_BYTES = 2048
MAX_TOTAL_BODY_BYTES = 4 * 1024 * 1024
MAX_BATCH = 256
MAX_QUEUED = 10_000
NO_OFFSET = -1


class ClaimOutcome(enum.Enum):
    """How a claimed request ended, as far as its claimer knows."""

    COMPLETED = "completed"
    FAILED = "failed"
    UNKNOWN = "unknown"


@attrs.frozen
class Claim:
    """Wish to run the request of a key.

    Attributes
    ----------
    key
        Hash of workspace and idempotency key.
    claimer
        Peer address of the daemon that wants to run it.
    attempt
        Unique id of this wish; a repeated append of it changes nothing.
    request
        Hash of what is asked, so that a key is not answered with the answer to
        another request.
    """

    key: bytes
    claimer: str
    attempt: str
    request: bytes = b""


@attrs.frozen
class Release:
    """Word of a claimer that it did not and will not run its attempt."""

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
        The body itself when it is small.
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
    """One record: finishes and releases are folded before the claims."""

    finishes: tuple[Finish, ...] = ()
    releases: tuple[Release, ...] = ()
    claims: tuple[Claim, ...] = ()


class VerdictKind(enum.Enum):
    """What became of a claim."""

    WON = "won"
    IN_PROGRESS = "in_progress"
    FINISHED = "finished"
    UNAVAILABLE = "unavailable"


@attrs.frozen(kw_only=True)
class Verdict:
    """Judgement of one attempt.

    Attributes
    ----------
    holder, holding
        Claimer and attempt that hold the key when another attempt does.
    request
        Hash of the request that holds the key.
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
    """What is known of one key."""

    attempt: str
    claimer: str
    request: bytes = b""
    finish: Finish | None = None


def key_hash(workspace: str, idempotency_key: str) -> bytes:
    """Hash a key within its workspace; other workspaces' keys never collide."""
    scope = blake2b(workspace.encode(), digest_size=KEY_BYTES, person=KEY_HASH_PERSON).digest()
    text = idempotency_key.encode("utf-8", "surrogateescape")
    return blake2b(text, digest_size=KEY_BYTES, key=scope).digest()


def request_hash(*parts: bytes) -> bytes:
    """Hash what a request asks for; the parts' lengths keep them apart."""
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
    """Fold of the kept records of one partition.

    Attributes
    ----------
    through
        Offset of the last folded record; -1 before the first.
    entries
        Keys in the order of their winning claims.
    rejected_attempts
        Attempts that lost or were released, and so can never win. A claim
        whose append was delayed can reach the log after its own release;
        without this it would win the key for a claimer that has given up.
    """

    def __init__(self, max_keys: int = MAX_KEYS) -> None:
        self.max_keys = max_keys
        self.reset()

    def reset(self) -> None:
        """Forget everything, as before the first read."""
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
            If the record does not follow the last folded one.
        """
        if self.through not in (NO_OFFSET, offset - 1):
            raise ValueError(f"offset {offset} does not follow {self.through}")
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
        # Each decoded record brings its own copies of the same few words.
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
    """One daemon's claims in one partition: what to append, what was judged.

    Attributes
    ----------
    waiting
        Attempts submitted here whose verdict is not known.
    appending
        Batch whose append has not been answered; one at a time, so that a
        slow log makes the batches larger and not more numerous.
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
        """Tell whether nothing is left to append or to judge."""
        return not (self.waiting or self.has_work or self.appending)

    @property
    def has_work(self) -> bool:
        """Tell whether something is left to append."""
        return bool(self.claims or self.releases or self.finishes)

    def submit(self, claim: Claim) -> bool:
        """Queue a claim; False when the queue is full."""
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
        """Queue the outcome of an attempt; a lost one leaves the key unknown."""
        if len(self.finishes) < MAX_QUEUED:
            self.finishes.append(finish)

    def next_batch(self) -> ClaimBatch | None:
        """Take the next batch to append, unless one is being appended."""
        if self.appending is not None or not self.has_work:
            return None
        self.appending = ClaimBatch(
            finishes=_pop_batch(self.finishes),
            releases=_pop_batch(self.releases),
            claims=_pop_batch(self.claims),
        )
        return self.appending

    def on_appended(self) -> None:
        """Note that the batch is on the log."""
        self.appending = None

    def on_append_failed(self, kind: LogErrorKind) -> list[Verdict]:
        """Put the batch back, or give its claims up when the log is down.

        An unanswered batch goes back too: a record that is on the log twice
        changes nothing, and the first copy to be read decides. An earlier copy
        of a claim that is given up may be on the log, so it must be released.
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
        """Fold records that were read and return verdicts on own attempts.

        Records that expired before they were read leave a gap: the fold starts
        anew from the oldest kept one, as a new reader would.
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


class Ticket:
    """One attempt of this daemon: settled exactly once.

    Verdicts can come twice or late, from the owner and from the log. Only the
    first counts, so a request that was given up can never be started.

    Attributes
    ----------
    verdict
        Judgement; None until settled, and for an abandoned attempt.
    """

    def __init__(self, claim: Claim) -> None:
        self.claim = claim
        self.verdict: Verdict | None = None
        self.settled = False

    def settle(self, verdict: Verdict) -> bool:
        """Take a verdict; False when the ticket was settled before."""
        if self.settled:
            return False
        self.settled = True
        self.verdict = verdict
        return True

    def abandon(self) -> bool:
        """Give up; False when a verdict came first."""
        if self.settled:
            return False
        self.settled = True
        return True


def owners(members: Sequence[str], partitions: int = PARTITIONS) -> list[str | None]:
    """Return the owner of each partition among the live routers."""
    return [owner_of(number, members) for number in range(partitions)]


def owner_of(partition: int, members: Sequence[str]) -> str | None:
    """Return the daemon that owns a partition, or None without members."""
    return rendezvous.owner(stream_of(partition).encode(), members)
