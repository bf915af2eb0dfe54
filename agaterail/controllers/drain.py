"""Drain this process without breaking requests, and track targets that leave."""

from __future__ import annotations

import enum
import random
from typing import TYPE_CHECKING, Any

import attrs
from gevent.event import Event
from returns.result import Failure, Result

from agaterail import errors, logs
from agaterail.controllers import Controller
from agaterail.controllers.claims import ClaimsController
from agaterail.errors import ErrorKind
from agaterail.events import MembersChanged, ShutdownStarted, TargetLeaving
from agaterail.filters import Filter
from agaterail.peers import peer_message

if TYPE_CHECKING:
    from collections.abc import Callable

    from agaterail.application import Application
    from agaterail.exchange import Exchange, Reply
    from agaterail.filters import Proceed

logger = logs.get_logger("drain")

RECORD_FLUSH_LIMIT_S = 5.0
MAX_NOTIFIED_PEERS = 16
REFUSAL = "refusal"


class DrainState(enum.Enum):
    """Phase of the shutdown."""

    SERVING = "serving"
    LAGGING = "lagging"
    FINISHING = "finishing"
    DONE = "done"


@peer_message
@attrs.frozen
class TargetLeavingNotice:
    """Tells peers that a target refused new work from the sender."""

    address: str


class DrainController(Controller):
    """Drains this process after SIGTERM.

    First, readiness fails and peers are notified. New connections are served
    until the load balancer must have noticed the failed readiness. Then requests
    in flight complete, and outcomes of claimed requests are written to the log.

    Attributes
    ----------
    done
        Set when the process may exit.
    close_callbacks
        Called when the process stops accepting connections.
    """

    name = "drain"
    period_s = 0.1

    def __init__(self, app: Application) -> None:
        self.app = app
        self.state = DrainState.SERVING
        self.started_at = 0.0
        self.finished_at: float | None = None
        self.done = Event()
        self.close_callbacks: list[Callable[[], None]] = []

    def begin(self) -> None:
        """Start draining; further calls have no effect."""
        if self.state is not DrainState.SERVING:
            return
        self.app.draining = True
        self.started_at = self.app.timers.now()
        self.state = DrainState.LAGGING
        logger.info("Draining.", in_flight=self.app.in_flight)
        self.app.events.publish(ShutdownStarted())

    def reconcile(self) -> None:
        """Enter the next phase when it is due."""
        settings, now = self.app.settings, self.app.timers.now()
        lag_over_at = self.started_at + settings.drain_lag_s
        if self.state is DrainState.LAGGING and now >= lag_over_at:
            self._stop_accepting()
        if self.state is DrainState.FINISHING:
            limit_at = lag_over_at + settings.drain_limit_s
            if now >= limit_at or self._is_finished(now):
                self._complete()

    def status(self) -> dict[str, Any]:
        """Return the current phase."""
        return {"state": self.state.value}

    def _stop_accepting(self) -> None:
        self.state = DrainState.FINISHING
        for callback in self.close_callbacks:
            callback()

    def _is_finished(self, now: float) -> bool:
        if self.app.in_flight:
            return False
        if self.finished_at is None:
            self.finished_at = now
        # Without its outcome on the log, every retry of a claimed request would
        # be answered "unknown" for as long as the key is remembered.
        claims = self.app.controllers[ClaimsController.name]
        assert isinstance(claims, ClaimsController)
        return claims.idle or now >= self.finished_at + RECORD_FLUSH_LIMIT_S

    def _complete(self) -> None:
        self.state = DrainState.DONE
        logger.info("Drain complete.", in_flight=self.app.in_flight)
        self.done.set()


class ShutdownFilter(Filter):
    """Asks callers to reconnect while draining, then rejects new requests."""

    order = 50

    def __init__(self, controller: DrainController) -> None:
        self.controller = controller

    def handle(self, exchange: Exchange, proceed: Proceed) -> Result[Reply, errors.Failure]:
        """Proceed with the request until the process stops accepting connections."""
        state = self.controller.state
        if state is not DrainState.SERVING:
            exchange.answer_headers["connection"] = "close"
        if state in (DrainState.FINISHING, DrainState.DONE):
            return Failure(errors.Failure(ErrorKind.SHUTTING_DOWN))
        return proceed(exchange)


class LeavingTargetTracker:
    """Marks targets that refuse work, and shares refusals with some peers."""

    def __init__(self, app: Application, seed: int | None = None) -> None:
        self.app = app
        self.random = random.Random(seed)
        self.members: tuple[str, ...] = ()
        app.events.subscribe(MembersChanged, self._on_members)
        app.events.subscribe(TargetLeaving, self._on_leaving)
        app.peers.handle(TargetLeavingNotice, self._on_notice)

    def _on_leaving(self, event: TargetLeaving) -> None:
        if event.source != REFUSAL:
            return
        now = self.app.timers.now()
        if not self.app.targets.mark_refusing(event.address, now):
            return
        logger.info("Target refuses new work.", target=event.address, source=event.source)
        others = [item for item in self.members if item != self.app.peers.own_address]
        notified = self.random.sample(others, min(MAX_NOTIFIED_PEERS, len(others)))
        for member in notified:
            self.app.peers.notify(member, TargetLeavingNotice(event.address))

    def _on_notice(self, _sender: str, notice: TargetLeavingNotice) -> None:
        self.app.targets.mark_refusing(notice.address, self.app.timers.now())

    def _on_members(self, event: MembersChanged) -> None:
        self.members = event.members


def setup(app: Application) -> None:
    """Register the controller and the filter."""
    controller = DrainController(app)
    app.add_controller(controller)
    app.add_filter(ShutdownFilter(controller))
    LeavingTargetTracker(app)
