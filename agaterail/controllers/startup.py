"""Fetch tables from peers: at startup, in a log outage and after a gap in the log."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import attrs
import gevent
from gevent.lock import BoundedSemaphore
from returns.result import Failure, Result, Success

from agaterail import logs, snapshots
from agaterail.controllers import Controller
from agaterail.controllers.tables import tables_controller
from agaterail.peers import peer_message
from agaterail.startup import ANSWER_WAIT_S, Decision, StartupPlan
from agaterail.tables import NO_VERSION

if TYPE_CHECKING:
    from collections.abc import Callable

    from agaterail.application import Application
    from agaterail.snapshots import Snapshot
    from agaterail.tables import Tables

logger = logs.get_logger("startup")

CHUNK_TIMEOUT_S = 2.0
CATCH_UP_PAUSE_S = 1.0
SNAPSHOT_CACHE_S = 10.0
STEP_DELAY_S = 0.02
MAX_CHUNKS = 1024


@peer_message
@attrs.frozen
class OffsetQuery:
    """Asks a daemon for the offset of the tables that it serves."""


@peer_message
@attrs.frozen
class OffsetAnswer:
    """Offset of the tables that a daemon serves; -1 before it serves any."""

    through: int


@peer_message
@attrs.frozen
class TablesQuery:
    """Asks for one chunk of a daemon's tables.

    Attributes
    ----------
    digest
        Digest of the snapshot that earlier chunks came from; empty for the
        first chunk.
    min_through
        Lowest offset that a new snapshot must cover.
    """

    digest: str
    index: int
    min_through: int


@peer_message
@attrs.frozen
class TablesAnswer:
    """One chunk; ``count`` is 0 if the requested snapshot or chunk is not available."""

    through: int
    digest: str
    count: int
    data: bytes


NO_TABLES = TablesAnswer(NO_VERSION, "", 0, b"")


class StartupController(Controller):
    """Runs the startup, and later queries peers whenever the log is unusable."""

    name = "startup"
    period_s = 1.0

    def __init__(self, app: Application) -> None:
        self.app = app
        self.tables = tables_controller(app)
        self.random = random.Random()
        self.spawn: Callable[..., object] = gevent.spawn
        self.startup_plan: StartupPlan | None = None
        self.next_catch_up_at = 0.0
        self.cached_snapshot: Snapshot | None = None
        self.cache_expires_at = 0.0
        self.encode_lock = BoundedSemaphore()
        self.step_scheduled = False
        app.peers.handle(OffsetQuery, self.on_offset_query)
        app.peers.handle(TablesQuery, self.on_tables_query)

    def reconcile(self) -> None:
        """Take one step, and schedule short steps until the plan is complete."""
        self._step()
        if self.startup_plan is not None and not self.step_scheduled:
            # A permanent period this short would cost an idle daemon 0.8% of a
            # core.
            self.step_scheduled = True
            self.app.timers.after(STEP_DELAY_S, self._run_scheduled_step)

    def _run_scheduled_step(self) -> None:
        self.step_scheduled = False
        self.reconcile()

    def _step(self) -> None:
        now = self.app.timers.now()
        if self.startup_plan is None:
            if self.tables.serving and (self._log_usable() or now < self.next_catch_up_at):
                return
            self.startup_plan = StartupPlan(self.random, now)
        plan = self.startup_plan
        # The log that this daemon started from may be stale, so a gap or a
        # failed read is checked again in every step.
        plan.log.at_end = self.tables.at_end
        plan.log.failed = self.tables.log_up is False or self.tables.gap
        decision = plan.decide(self.tables.reader.tables.through, now)
        if decision is Decision.SERVE:
            self._finish("log")
        elif decision is Decision.FETCH:
            self._fetch(plan)
        elif self.tables.serving and plan.round is not None and plan.round.is_over(now):
            self._finish("")
        else:
            # This comes after the decision because a new round discards the
            # answers of the previous one.
            for address in plan.next_round(self._live_peers(), now):
                self.spawn(self._query_offset, plan, address)

    def status(self) -> dict[str, Any]:
        """Return whether startup is complete."""
        return {"serving": self.tables.serving}

    def on_offset_query(self, _sender: str, _query: OffsetQuery) -> OffsetAnswer:
        """Answer with the offset of the tables in force."""
        return OffsetAnswer(self.app.tables.through)

    def on_tables_query(self, _sender: str, query: TablesQuery) -> TablesAnswer:
        """Answer with one chunk of the tables in force."""
        snapshot = self._snapshot_for(query)
        if snapshot is None or query.index >= len(snapshot.chunks):
            return NO_TABLES
        count = len(snapshot.chunks)
        return TablesAnswer(
            snapshot.through, snapshot.digest, count, snapshot.chunks[query.index]
        )

    def _log_usable(self) -> bool:
        return self.tables.log_up is True and not self.tables.gap

    def _live_peers(self) -> tuple[str, ...] | None:
        members = self.app.members
        if members.listed is None and self.app.host_list is not None:
            return None
        live = members.live(self.app.timers.now())
        return tuple(address for address in live if address != members.own_address)

    def _query_offset(self, plan: StartupPlan, address: str) -> None:
        query_round = plan.round
        answer = self.app.peers.query(address, OffsetQuery(), ANSWER_WAIT_S)
        if query_round is None:
            return
        if isinstance(answer, Success) and isinstance(answer.unwrap(), OffsetAnswer):
            query_round.on_answer(address, answer.unwrap().through)
        else:
            query_round.on_failure(address)

    def _fetch(self, plan: StartupPlan) -> None:
        query_round = plan.round
        address = None if query_round is None else query_round.best_peer
        if query_round is None or address is None:
            return
        fetched = fetch_tables(self.app, address, query_round.answers[address])
        if not isinstance(fetched, Success):
            logger.warning(
                "Failed to fetch tables from a peer.", peer=address, reason=fetched.failure()
            )
            query_round.on_failure(address)
            return
        self.tables.adopt(fetched.unwrap(), address)
        self._finish(address)

    def _finish(self, source: str) -> None:
        self.startup_plan = None
        self.next_catch_up_at = self.app.timers.now() + CATCH_UP_PAUSE_S
        if not self.tables.serving:
            self.tables.start_serving(source)

    def _snapshot_for(self, query: TablesQuery) -> Snapshot | None:
        # Many daemons that restart at once may query the same peer. The lock and
        # the cache make it encode its tables once for all of them.
        with self.encode_lock:
            snapshot = self.cached_snapshot
            if query.digest:
                return (
                    snapshot
                    if snapshot is not None and snapshot.digest == query.digest
                    else None
                )
            now = self.app.timers.now()
            if (
                snapshot is None
                or snapshot.through < query.min_through
                or now >= self.cache_expires_at
            ):
                snapshot = snapshots.encode(self.app.tables, lambda: gevent.sleep(0))
                self.cached_snapshot = snapshot
                self.cache_expires_at = now + SNAPSHOT_CACHE_S
                self.app.timers.after(2 * SNAPSHOT_CACHE_S, self._drop_cached_snapshot)
            return snapshot

    def _drop_cached_snapshot(self) -> None:
        if self.app.timers.now() >= self.cache_expires_at:
            self.cached_snapshot = None


def fetch_tables(app: Application, address: str, min_through: int) -> Result[Tables, str]:
    """Fetch a peer's tables chunk by chunk and verify their digest."""
    chunks: list[bytes] = []
    digest, through, count = "", NO_VERSION, 1
    while len(chunks) < min(count, MAX_CHUNKS):
        query = TablesQuery(digest, len(chunks), min_through)
        answered = app.peers.call(address, query, CHUNK_TIMEOUT_S)
        if not isinstance(answered, Success):
            return Failure(answered.failure())
        chunk = answered.unwrap()
        if not isinstance(chunk, TablesAnswer) or not chunk.count:
            return Failure("the peer no longer has the snapshot")
        if digest and chunk.digest != digest:
            return Failure("the snapshot changed between chunks")
        digest, through, count = chunk.digest, chunk.through, chunk.count
        chunks.append(chunk.data)
    return snapshots.decode(through, digest, chunks, lambda: gevent.sleep(0))


def setup(app: Application) -> None:
    """Register the controller."""
    app.add_controller(StartupController(app))
