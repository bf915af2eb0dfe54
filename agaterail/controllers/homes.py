"""Follow the cache events and load of the engines homed at this daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from returns.result import Success

from agaterail import logs
from agaterail.candidates import (
    CandidateAnswer,
    CandidateQuery,
    CandidateState,
    DispatchNotice,
    FinishNotice,
    split_keys,
)
from agaterail.controllers import Controller
from agaterail.events import MembersChanged, TablesChanged
from agaterail.index import EngineIndex
from agaterail.loads import EngineLoad
from agaterail.tables import PoolKind

if TYPE_CHECKING:
    from collections.abc import Sequence

    from agaterail.application import Application
    from agaterail.engines import Engine, LoadReport
    from agaterail.tables import Pool, Tables
    from agaterail.timers import Subscription, TimerService

logger = logs.get_logger("homes")

# One poll returns both events and load. Polling again on every event would take
# 50 requests a second for each busy engine, more traffic than the events.
POLL_PERIOD_S = 0.4
# The events of a prefill are published after it. A prediction must outlast the
# queue, the prefill and this delay, or a second request for the same prefix would
# not see the first.
PREDICTION_SLACK_S = 3.0
# The contents of a large cache are megabytes. Fetching them after every lost
# event would use far more bandwidth than the events themselves.
CONTENTS_BYTES_PER_KEY = 8
CONTENTS_BYTES_PER_S = 2500.0
MIN_CONTENTS_PERIOD_S = 1.0


class FollowedEngine:
    """A followed engine with its cache index, its load and its poll timer."""

    def __init__(
        self, address: str, engine: Engine, timers: TimerService, prefill_ms_per_token: float
    ) -> None:
        self.address = address
        self.engine = engine
        self.timers = timers
        self.index = EngineIndex(timers.now())
        self.load = EngineLoad(prefill_ms_per_token)
        self.contents_due_at = timers.now()
        self.subscriptions: list[Subscription] = []

    def start(self) -> None:
        """Start polling the engine."""
        self.subscriptions = [self.timers.every(POLL_PERIOD_S, self.poll)]

    def stop(self) -> None:
        """Stop polling the engine."""
        for subscription in self.subscriptions:
            subscription.cancel()

    def poll(self) -> None:
        """Fetch the cache contents if needed and due, then events and load."""
        if self.index.needs_contents and self.timers.now() >= self.contents_due_at:
            self._fetch_contents()
        requested_at = self.timers.now()
        fetched = self.engine.events(self.index.sequence, 0.0)
        if isinstance(fetched, Success):
            batch = fetched.unwrap()
            previous_incarnation = self.index.incarnation
            self.index.on_events(batch, requested_at, self.timers.now())
            if batch.load is not None:
                self._on_load(batch.load, requested_at)
            self._handle_restart(previous_incarnation)
        self.index.expire(self.timers.now())
        self.load.expire(self.timers.now())

    def _on_load(self, report: LoadReport, requested_at: float) -> None:
        # A late report of an incarnation that has crashed must not restore its
        # queue.
        if self.index.on_incarnation(report.incarnation, requested_at, self.timers.now()):
            self.index.on_weights(report.weights_version)
            self.index.set_capacity(report.capacity_blocks)
            self.load.on_report(report, requested_at)

    def on_dispatch(self, notice: DispatchNotice) -> None:
        """Add a dispatch to the load and predict its cache blocks."""
        now = self.timers.now()
        self.load.on_dispatch(notice.dispatch_id, notice.missing_tokens, now)
        until = now + self.load.queue_ms(now) / 1e3 + PREDICTION_SLACK_S
        self.index.predict(notice.dispatch_id, split_keys(notice.keys), now, until)

    def on_finish(self, notice: FinishNotice) -> None:
        """Remove a dispatch from the load; withdraw its prediction if it did not run."""
        self.load.on_finish(notice.dispatch_id, notice.ran)
        if not notice.ran:
            self.index.withdraw(notice.dispatch_id)

    def view(self, keys: Sequence[int], depths: Sequence[int]) -> CandidateState:
        """Return the engine's cache hit and load for one prompt."""
        now = self.timers.now()
        hit = self.index.lookup(keys, depths, now)
        report = self.load.report
        return CandidateState(
            engine=self.address,
            depth=hit.depth,
            confidence=round(hit.confidence, 3),
            queue_ms=round(self.load.queue_ms(now), 1),
            in_flight=len(self.load.running),
            age_ms=round(self.load.age_ms(now), 0),
            prefill_ms_per_token=self.load.prefill_ms_per_token,
            weights_version=self.index.weights_version,
            leaving=report is not None and report.draining,
        )

    def _fetch_contents(self) -> None:
        requested_at = self.timers.now()
        fetched = self.engine.contents()
        if not isinstance(fetched, Success):
            return
        contents = fetched.unwrap()
        previous_incarnation = self.index.incarnation
        taken = self.index.on_contents(contents, requested_at, self.timers.now())
        self._handle_restart(previous_incarnation)
        size = len(contents.keys) * CONTENTS_BYTES_PER_KEY
        pause_s = max(MIN_CONTENTS_PERIOD_S, size / CONTENTS_BYTES_PER_S)
        self.contents_due_at = self.timers.now() + pause_s
        logger.debug(
            "Fetched cache contents.",
            engine=self.address,
            keys=len(contents.keys),
            taken=taken,
        )

    def _handle_restart(self, previous_incarnation: str) -> None:
        if previous_incarnation and previous_incarnation != self.index.incarnation:
            self.load.on_restart()
            self.contents_due_at = self.timers.now()
            logger.info("Engine restarted.", engine=self.address)


class HomesController(Controller):
    """Keeps one follower per engine homed at this daemon."""

    name = "homes"
    period_s = 1.0

    def __init__(self, app: Application) -> None:
        self.app = app
        self.homes = app.homes
        self.followed: dict[str, FollowedEngine] = {}
        self.pools: dict[str, Pool] = {}
        app.events.subscribe(TablesChanged, self.on_tables)
        app.events.subscribe(MembersChanged, self.on_members)
        app.peers.handle(CandidateQuery, self.on_query)
        app.peers.handle(DispatchNotice, self.on_dispatch)
        app.peers.handle(FinishNotice, self.on_finish)

    def reconcile(self) -> None:
        """Follow exactly the engines in the tables whose home is this daemon."""
        wanted = {engine for engine in self.pools if self.homes.is_own(engine)}
        for address in self.followed.keys() - wanted:
            self.followed.pop(address).stop()
            logger.info("Stopped following an engine.", engine=address)
        for address in sorted(wanted - self.followed.keys()):
            self._follow(address)

    def on_tables(self, event: TablesChanged) -> None:
        """Update the set of engines from the tables."""
        self.pools = _pools_by_engine(event.tables)
        self.homes.set_engines(self.pools)
        self.reconcile()

    def on_members(self, event: MembersChanged) -> None:
        """Recompute the homes and take over engines of daemons that left."""
        self.homes.set_members(event.members)
        self.reconcile()

    def on_query(self, _sender: str, query: CandidateQuery) -> CandidateAnswer:
        """Answer for the engines that this daemon follows."""
        keys = split_keys(query.keys)
        depths = query.depths or range(1, len(keys) + 1)
        followed = [self.followed.get(engine) for engine in query.engines]
        return CandidateAnswer(
            tuple(item.view(keys, depths) for item in followed if item is not None)
        )

    def on_dispatch(self, _sender: str, notice: DispatchNotice) -> None:
        """Pass a dispatch by any daemon to the follower of its engine."""
        followed = self.followed.get(notice.engine)
        if followed is not None:
            followed.on_dispatch(notice)

    def on_finish(self, _sender: str, notice: FinishNotice) -> None:
        """Pass the end of a dispatch by any daemon to the follower of its engine."""
        followed = self.followed.get(notice.engine)
        if followed is not None:
            followed.on_finish(notice)

    def status(self) -> dict[str, Any]:
        """Return blocks, predictions, event gaps and queue time of each followed engine."""
        return {
            "followed": {
                address: {
                    "blocks": len(item.index.table),
                    "predicted": len(item.index.predicted),
                    "gaps": item.index.gaps,
                    "queue_ms": round(item.load.queue_ms(self.app.timers.now()), 1),
                }
                for address, item in self.followed.items()
            }
        }

    def _follow(self, address: str) -> None:
        followed = FollowedEngine(
            address,
            self.app.engine_at(address),
            self.app.timers,
            self.pools[address].prefill_ms_per_token,
        )
        self.followed[address] = followed
        followed.start()
        logger.info("Following an engine.", engine=address)


def _pools_by_engine(tables: Tables) -> dict[str, Pool]:
    return {
        entry.address: versioned.row
        for versioned in tables.pools.values()
        if versioned.row.kind is PoolKind.ENGINE
        for entry in versioned.row.targets
    }


def setup(app: Application) -> None:
    """Register the controller."""
    app.add_controller(HomesController(app))
