"""Ask peers for their tables: at the start, in an outage and after a hole."""

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
from agaterail.startup import ANSWER_WAIT_S, Decision, StartUp
from agaterail.tables import NO_VERSION

if TYPE_CHECKING:
    from collections.abc import Callable

    from agaterail.application import Application
    from agaterail.snapshots import Snapshot
    from agaterail.tables import Tables

logger = logs.get_logger("startup")

PAGE_TIMEOUT_S = 2.0
CATCH_UP_PERIOD_S = 1.0
KEPT_SNAPSHOT_S = 10.0
STEP_S = 0.02
MAX_PAGES = 1024


@peer_message
@attrs.frozen
class OffsetQuery:
    """Asks which offset a daemon serves."""


@peer_message
@attrs.frozen
class OffsetAnswer:
    """Offset that a daemon serves; -1 before it serves."""

    through: int


@peer_message
@attrs.frozen
class TablesQuery:
    """Asks for one chunk of a daemon's tables.

    Attributes
    ----------
    digest
        Snapshot that the earlier chunks came from; empty for the first.
    """

    digest: str
    index: int
    min_through: int


@peer_message
@attrs.frozen
class TablesAnswer:
    """One chunk; ``count`` is 0 when the snapshot asked for is not kept."""

    through: int
    digest: str
    count: int
    data: bytes


NOTHING = TablesAnswer(NO_VERSION, "", 0, b"")


class StartUpController(Controller):
    """Runs the start-up, and later asks peers while the log does not help."""

    name = "startup"
    period_s = 1.0

    def __init__(self, app: Application) -> None:
        self.app = app
        self.tables = tables_controller(app)
        self.random = random.Random()
        self.spawn: Callable[..., object] = gevent.spawn
        self.plan: StartUp | None = None
        self.next_at = 0.0
        self.kept: Snapshot | None = None
        self.kept_until = 0.0
        self.encoding = BoundedSemaphore()
        self.hurrying = False
        app.peers.handle(OffsetQuery, self.on_offset_query)
        app.peers.handle(TablesQuery, self.on_tables_query)

    def reconcile(self) -> None:
        """Take one step, and go on in short steps until it is over."""
        self._step()
        if self.plan is not None and not self.hurrying:
            # A steady period this short would cost an idle daemon 0.8% of a core.
            self.hurrying = True
            self.app.timers.after(STEP_S, self._go_on)

    def _go_on(self) -> None:
        self.hurrying = False
        self.reconcile()

    def _step(self) -> None:
        now = self.app.timers.now()
        if self.plan is None:
            if self.tables.serving and (self._log_helps() or now < self.next_at):
                return
            self.plan = StartUp(self.random, now)
        plan = self.plan
        # A log that was just started from may be stale, so a gap or a failed
        # read is looked at anew in each step.
        plan.log.at_end = self.tables.at_end
        plan.log.failed = self.tables.log_up is False or self.tables.gap
        decision = plan.decide(self.tables.reader.tables.through, now)
        if decision is Decision.SERVE:
            self._finish("log")
        elif decision is Decision.FETCH:
            self._fetch(plan)
        elif self.tables.serving and plan.round is not None and plan.round.over(now):
            self._finish("")
        else:
            # Only after the decision: a new round forgets the answers of the
            # last one.
            for address in plan.next_round(self._peers(), now):
                self.spawn(self._ask, plan, address)

    def status(self) -> dict[str, Any]:
        """Return whether the start-up is over."""
        return {"serving": self.tables.serving}

    def on_offset_query(self, _sender: str, _query: OffsetQuery) -> OffsetAnswer:
        """Answer with the offset in force."""
        return OffsetAnswer(self.app.tables.through)

    def on_tables_query(self, _sender: str, query: TablesQuery) -> TablesAnswer:
        """Answer with one chunk of the tables in force."""
        kept = self._snapshot(query)
        if kept is None or query.index >= len(kept.chunks):
            return NOTHING
        count = len(kept.chunks)
        return TablesAnswer(kept.through, kept.digest, count, kept.chunks[query.index])

    def _log_helps(self) -> bool:
        return self.tables.log_up is True and not self.tables.gap

    def _peers(self) -> tuple[str, ...] | None:
        members = self.app.members
        if members.listed is None and self.app.host_list is not None:
            return None
        live = members.live(self.app.timers.now())
        return tuple(address for address in live if address != members.own_address)

    def _ask(self, plan: StartUp, address: str) -> None:
        asked = plan.round
        answer = self.app.peers.query(address, OffsetQuery(), ANSWER_WAIT_S)
        if asked is None:
            return
        if isinstance(answer, Success) and isinstance(answer.unwrap(), OffsetAnswer):
            asked.on_answer(address, answer.unwrap().through)
        else:
            asked.on_failure(address)

    def _fetch(self, plan: StartUp) -> None:
        asked = plan.round
        address = None if asked is None else asked.best
        if asked is None or address is None:
            return
        fetched = fetch_tables(self.app, address, asked.answers[address])
        if not isinstance(fetched, Success):
            logger.warning("Gets no tables.", peer=address, reason=fetched.failure())
            asked.on_failure(address)
            return
        self.tables.adopt(fetched.unwrap(), address)
        self._finish(address)

    def _finish(self, source: str) -> None:
        self.plan = None
        self.next_at = self.app.timers.now() + CATCH_UP_PERIOD_S
        if not self.tables.serving:
            self.tables.start_serving(source)

    def _snapshot(self, query: TablesQuery) -> Snapshot | None:
        # A herd that restarts asks one daemon many times; it encodes once.
        with self.encoding:
            kept = self.kept
            if query.digest:
                return kept if kept is not None and kept.digest == query.digest else None
            now = self.app.timers.now()
            if kept is None or kept.through < query.min_through or now >= self.kept_until:
                kept = snapshots.encode(self.app.tables, lambda: gevent.sleep(0))
                self.kept = kept
                self.kept_until = now + KEPT_SNAPSHOT_S
                self.app.timers.after(2 * KEPT_SNAPSHOT_S, self._forget)
            return kept

    def _forget(self) -> None:
        if self.app.timers.now() >= self.kept_until:
            self.kept = None


def fetch_tables(app: Application, address: str, min_through: int) -> Result[Tables, str]:
    """Fetch a peer's tables chunk by chunk and check them against their digest."""
    chunks: list[bytes] = []
    digest, through, count = "", NO_VERSION, 1
    while len(chunks) < min(count, MAX_PAGES):
        query = TablesQuery(digest, len(chunks), min_through)
        answered = app.peers.call(address, query, PAGE_TIMEOUT_S)
        if not isinstance(answered, Success):
            return Failure(answered.failure())
        page = answered.unwrap()
        if not isinstance(page, TablesAnswer) or not page.count:
            return Failure("the snapshot is no longer kept")
        if digest and page.digest != digest:
            return Failure("the snapshot changed between two chunks")
        digest, through, count = page.digest, page.through, page.count
        chunks.append(page.data)
    return snapshots.decode(through, digest, chunks, lambda: gevent.sleep(0))


def setup(app: Application) -> None:
    """Register the controller."""
    app.add_controller(StartUpController(app))
