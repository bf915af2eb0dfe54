"""Append claims of at-most-once requests, read their verdicts and forward claims."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
from gevent.event import Event
from returns.result import Success

from agaterail import claims, codec, logs
from agaterail.claims import (
    Claim,
    ClaimBatch,
    Finish,
    PartitionQueue,
    PendingClaim,
    Release,
    Verdict,
    VerdictKind,
)
from agaterail.controllers import Controller
from agaterail.events import MembersChanged
from agaterail.peers import peer_message

if TYPE_CHECKING:
    from collections.abc import Callable

    from agaterail.application import Application
    from agaterail.logstore import LogRecord, LogSlice, LogStore
    from agaterail.timers import Subscription, TimerService

logger = logs.get_logger("claims")

BATCH_DELAY_S = 0.015
FORWARD_BATCH_DELAY_S = 0.005
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 5.0
READ_LIMIT = 1000
FOLLOW_LONG_POLL_S = 2.0
FOLLOW_PERIOD_S = 0.05
FORWARD_VERDICT_WAIT_S = 0.5
FORWARD_TIMEOUT_S = 0.8
STATUS_TIMEOUT_S = 0.2
MAX_IDLE_STEPS = 60


@peer_message
@attrs.frozen
class HandClaims:
    """Claims, releases and finishes forwarded to the owner of their partitions."""

    batch: ClaimBatch


@peer_message
@attrs.frozen
class ClaimVerdicts:
    """Verdicts that the owner read back before its wait ended."""

    verdicts: tuple[Verdict, ...]


@peer_message
@attrs.frozen
class AttemptQuery:
    """Asks the receiver whether it still runs an attempt."""

    attempt: str


@peer_message
@attrs.frozen
class AttemptStatus:
    """Reply to an ``AttemptQuery``."""

    running: bool


class PartitionWorker:
    """Appends to and reads one partition of the claims log."""

    def __init__(self, number: int, log_store: LogStore, timers: TimerService) -> None:
        self.stream = claims.stream_of(number)
        self.log_store = log_store
        self.timers = timers
        self.queue = PartitionQueue()
        self.listeners: dict[str, list[Callable[[Verdict], None]]] = {}
        self.scheduled = False
        self.flushing = False
        self.backoff_s = INITIAL_BACKOFF_S
        self.follow_subscription: Subscription | None = None
        self.idle_steps = 0

    def submit(self, claim: Claim, listener: Callable[[Verdict], None]) -> None:
        """Queue a claim and pass its verdict to the listener."""
        if not self.queue.submit(claim):
            listener(Verdict(attempt=claim.attempt, kind=VerdictKind.UNAVAILABLE))
            return
        self.listeners.setdefault(claim.attempt, []).append(listener)
        self.schedule(BATCH_DELAY_S)

    def release(self, release: Release) -> None:
        """Queue the release of an attempt that will not run."""
        self.queue.abandon(release.attempt)
        self.listeners.pop(release.attempt, None)
        self.queue.release(release)
        self.schedule(BATCH_DELAY_S)

    def finish(self, finish: Finish) -> None:
        """Queue the outcome of an attempt."""
        self.queue.finish(finish)
        self.schedule(BATCH_DELAY_S)

    def set_following(self, wanted: bool) -> None:
        """Start or stop following the partition with long polls."""
        if wanted and self.follow_subscription is None:
            self.follow_subscription = self.timers.every(FOLLOW_PERIOD_S, self._follow)
        if not wanted and self.follow_subscription is not None:
            self.follow_subscription.cancel()
            self.follow_subscription = None

    def schedule(self, delay_s: float) -> None:
        """Flush after a delay in which more entries can join the batch."""
        self.idle_steps = 0
        if not self.scheduled and not self.flushing:
            self.scheduled = True
            self.timers.after(delay_s, self.flush)

    def flush(self) -> None:
        """Append one batch and read the partition up to its end."""
        self.scheduled = False
        if self.flushing:
            return
        self.flushing = True
        try:
            delay_s = self._append_and_read()
        finally:
            self.flushing = False
        if not self.queue.idle:
            self.schedule(delay_s)

    def _append_and_read(self) -> float:
        failed = False
        batch = self.queue.next_batch()
        if batch is not None:
            appended = self.log_store.append(self.stream, codec.encode(batch))
            if isinstance(appended, Success):
                self.queue.on_appended()
            else:
                failed = True
                self._notify_listeners(self.queue.on_append_failed(appended.failure().kind))
        if not self._read(0.0):
            failed = True
        self.backoff_s = (
            min(MAX_BACKOFF_S, self.backoff_s * 2) if failed else INITIAL_BACKOFF_S
        )
        return self.backoff_s if failed else BATCH_DELAY_S

    def _follow(self) -> None:
        self._read(FOLLOW_LONG_POLL_S)

    def _read(self, wait_s: float) -> bool:
        while True:
            offset = self.queue.partition.through + 1
            read = self.log_store.read(self.stream, offset, READ_LIMIT, wait_s)
            if not isinstance(read, Success):
                return False
            log_slice: LogSlice = read.unwrap()
            if not log_slice.records:
                return True
            self._notify_listeners(
                self.queue.on_records([_decode(record) for record in log_slice.records])
            )
            wait_s = 0.0

    def _notify_listeners(self, verdicts: list[Verdict]) -> None:
        for verdict in verdicts:
            for listener in self.listeners.pop(verdict.attempt, ()):
                listener(verdict)


class OwnerForwarder:
    """Forwards entries to the owner of their partitions, one call at a time."""

    def __init__(self, controller: ClaimsController, owner: str) -> None:
        self.controller = controller
        self.owner = owner
        self.pending_claims: list[AwaitedClaim] = []
        self.releases: list[Release] = []
        self.finishes: list[Finish] = []
        self.scheduled = False

    def schedule(self) -> None:
        """Send after a short delay in which more entries can join the message."""
        if not self.scheduled:
            self.scheduled = True
            self.controller.app.timers.after(FORWARD_BATCH_DELAY_S, self._send)

    def _send(self) -> None:
        pending_claims, self.pending_claims = self.pending_claims, []
        releases, self.releases = self.releases, []
        finishes, self.finishes = self.finishes, []
        batch = ClaimBatch(
            finishes=tuple(finishes),
            releases=tuple(releases),
            claims=tuple(pending.claim for pending in pending_claims),
        )
        answered = self.controller.app.peers.call(
            self.owner, HandClaims(batch), FORWARD_TIMEOUT_S
        )
        self.scheduled = False
        if self.pending_claims or self.releases or self.finishes:
            self.schedule()
        answer = answered.value_or(None)
        if not isinstance(answer, ClaimVerdicts):
            logger.info("Partition owner did not answer.", owner=self.owner)
            for release in releases:
                self.controller.worker_of(release.key).release(release)
            for finish in finishes:
                self.controller.worker_of(finish.key).finish(finish)
            answer = ClaimVerdicts(())
        by_attempt = {verdict.attempt: verdict for verdict in answer.verdicts}
        for pending in pending_claims:
            verdict = by_attempt.get(pending.claim.attempt)
            if verdict is None or verdict.kind is VerdictKind.UNAVAILABLE:
                # The owner may still have appended the claim. The fold counts
                # only the first copy, so appending it here again is safe.
                self.controller.claim_locally(pending)
            else:
                pending.settle(verdict)


class AwaitedClaim(PendingClaim):
    """Pending claim whose verdict a request waits for."""

    def __init__(self, claim: Claim) -> None:
        super().__init__(claim)
        self.done = Event()

    def settle(self, verdict: Verdict) -> bool:
        """Store the verdict and wake the waiting request."""
        first = super().settle(verdict)
        self.done.set()
        return first


class ClaimsController(Controller):
    """Handles claims of this daemon and claims that peers forward to it.

    Attributes
    ----------
    running
        Winning attempts of this daemon whose outcome is not queued yet.
    """

    name = "claims"
    period_s = 1.0

    def __init__(self, app: Application) -> None:
        self.app = app
        # Ranking 410 members for 16 partitions takes 16 x 410 hashes, so the
        # owners are computed when the members change, not per step or claim.
        self.owners = claims.owners(())
        self.workers: dict[int, PartitionWorker] = {}
        self.forwarders: dict[str, OwnerForwarder] = {}
        self.running: set[str] = set()
        app.events.subscribe(MembersChanged, self._on_members)
        app.peers.handle(HandClaims, self._on_forwarded_claims)
        app.peers.handle(AttemptQuery, self._on_attempt_query)

    def reconcile(self) -> None:
        """Follow the owned partitions and drop idle workers of the others."""
        address = self.app.peers.own_address
        owned = {number for number, owner in enumerate(self.owners) if owner == address}
        for number in owned:
            self._worker(number).set_following(True)
        for number, worker in list(self.workers.items()):
            if number in owned:
                continue
            worker.set_following(False)
            worker.idle_steps += 1
            if worker.queue.idle and worker.idle_steps > MAX_IDLE_STEPS:
                del self.workers[number]

    def status(self) -> dict[str, Any]:
        """Return the partitions with a worker, and the counts of keys and running attempts."""
        return {
            "partitions": sorted(self.workers),
            "keys": sum(len(item.queue.partition.entries) for item in self.workers.values()),
            "running": len(self.running),
        }

    @property
    def idle(self) -> bool:
        """Return whether all outcomes and releases have been written."""
        forwarders_idle = all(
            not (item.releases or item.finishes) for item in self.forwarders.values()
        )
        return forwarders_idle and not any(
            item.queue.has_work for item in self.workers.values()
        )

    def claim(self, claim: Claim, timeout_s: float) -> Verdict | None:
        """Claim a key and wait for the verdict; None after the timeout.

        An attempt that is abandoned here is never started, so the caller can be
        told that the request was not run. Its release frees the key for a retry.
        """
        pending = AwaitedClaim(claim)
        owner = self.owners[claims.partition_of(claim.key)]
        if owner in (None, self.app.peers.own_address):
            self.claim_locally(pending)
        else:
            forwarder = self._forwarder(str(owner))
            forwarder.pending_claims.append(pending)
            forwarder.schedule()
        pending.done.wait(timeout_s)
        pending.abandon()
        verdict = pending.verdict
        if verdict is None or verdict.kind is VerdictKind.UNAVAILABLE:
            # A copy of the claim may be on the log or in flight to it. Without a
            # release, every retry would be answered "in progress" forever.
            self.release(Release(claim.key, claim.attempt))
        elif verdict.kind is VerdictKind.WON:
            self.running.add(claim.attempt)
        return verdict

    def claim_locally(self, pending: PendingClaim) -> None:
        """Claim through this daemon's own worker of the partition."""
        if pending.settled:
            return
        self.worker_of(pending.claim.key).submit(
            pending.claim, lambda verdict: _settle(pending, verdict)
        )

    def release(self, release: Release) -> None:
        """Record that an attempt did not and will not run."""
        self.running.discard(release.attempt)
        forwarder = self._owner_forwarder(release.key)
        # The local queue may still hold a copy of the claim, which must not be
        # appended.
        if forwarder is None or release.attempt in self.worker_of(release.key).queue.waiting:
            self.worker_of(release.key).release(release)
            return
        forwarder.releases.append(release)
        forwarder.schedule()

    def finish(self, finish: Finish) -> None:
        """Record the outcome of an attempt."""
        self.running.discard(finish.attempt)
        forwarder = self._owner_forwarder(finish.key)
        if forwarder is None:
            self.worker_of(finish.key).finish(finish)
            return
        forwarder.finishes.append(finish)
        forwarder.schedule()

    def is_running(self, holder: str, attempt: str) -> bool:
        """Ask a claimer whether it still runs an attempt; no answer counts as no."""
        answer = self.app.peers.query(holder, AttemptQuery(attempt), STATUS_TIMEOUT_S)
        status = answer.value_or(None)
        return isinstance(status, AttemptStatus) and status.running

    def worker_of(self, key: bytes) -> PartitionWorker:
        """Return the worker of a key's partition, creating it on first use."""
        return self._worker(claims.partition_of(key))

    def _worker(self, number: int) -> PartitionWorker:
        worker = self.workers.get(number)
        if worker is None:
            worker = PartitionWorker(number, self.app.log_store, self.app.timers)
            self.workers[number] = worker
        return worker

    def _forwarder(self, owner: str) -> OwnerForwarder:
        forwarder = self.forwarders.get(owner)
        if forwarder is None:
            forwarder = self.forwarders[owner] = OwnerForwarder(self, owner)
        return forwarder

    def _owner_forwarder(self, key: bytes) -> OwnerForwarder | None:
        owner = self.owners[claims.partition_of(key)]
        if owner in (None, self.app.peers.own_address):
            return None
        return self._forwarder(str(owner))

    def _on_members(self, event: MembersChanged) -> None:
        self.owners = claims.owners(event.members)

    def _on_attempt_query(self, _sender: str, query: AttemptQuery) -> AttemptStatus:
        return AttemptStatus(query.attempt in self.running)

    def _on_forwarded_claims(self, _sender: str, message: HandClaims) -> ClaimVerdicts:
        for finish in message.batch.finishes:
            self.worker_of(finish.key).finish(finish)
        for release in message.batch.releases:
            self.worker_of(release.key).release(release)
        verdicts: list[Verdict] = []
        expected = len(message.batch.claims)
        done = Event()

        def on_verdict(verdict: Verdict) -> None:
            verdicts.append(verdict)
            if len(verdicts) >= expected:
                done.set()

        for claim in message.batch.claims:
            self.worker_of(claim.key).submit(claim, on_verdict)
        if expected:
            done.wait(FORWARD_VERDICT_WAIT_S)
        return ClaimVerdicts(tuple(verdicts))


def _settle(pending: PendingClaim, verdict: Verdict) -> None:
    pending.settle(verdict)


def _decode(record: LogRecord) -> tuple[int, ClaimBatch]:
    decoded = codec.decode(record.data, ClaimBatch)
    if not isinstance(decoded, Success):
        # Every reader skips the same bytes, so all readers reach the same
        # verdicts.
        logger.warning("Skipping a malformed record.", offset=record.offset)
        return record.offset, ClaimBatch()
    return record.offset, decoded.unwrap()


def setup(app: Application) -> None:
    """Register the controller."""
    app.add_controller(ClaimsController(app))
