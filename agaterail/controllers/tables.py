"""Follow the tables stream of the log."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import gevent
from returns.result import Success

from agaterail import logs
from agaterail.controllers import Controller
from agaterail.events import TablesChanged
from agaterail.tables_reader import TablesReader

if TYPE_CHECKING:
    from agaterail.application import Application
    from agaterail.tables import Tables
    from agaterail.tables_reader import FoldedRecord, Step

logger = logs.get_logger("tables")

# A read that waits costs the log one request per daemon and wait: 82 a second
# from 410 daemons at 5 s. A log host that vanished silently is noticed after
# this time and the client's own timeout together, well below 16 s.
LONG_POLL_S = 5.0
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
GAP_BACKOFF_S = 2.0


class TablesController(Controller):
    """Folds new records and puts the result in force.

    Attributes
    ----------
    serving
        Whether start-up is over, so that what is folded is in force at once.
    log_up
        Whether the last read was answered; None before the first answer.
    gap
        Whether records expired before this daemon read them.
    """

    name = "tables"
    period_s = 0.02

    def __init__(self, app: Application) -> None:
        self.app = app
        self.reader = TablesReader(app.log_store, pause=lambda: gevent.sleep(0))
        self.random = random.Random()
        self.serving = False
        self.log_up: bool | None = None
        self.at_end = False
        self.gap = False
        self.failures = 0
        self.retry_at = 0.0

    def reconcile(self) -> None:
        """Read the records after the last folded one."""
        if self.app.timers.now() < self.retry_at:
            return
        wait_s = LONG_POLL_S if self.log_up and not self.gap else 0.0
        result = self.reader.step(wait_s)
        if not isinstance(result, Success):
            self._on_failure(str(result.failure()))
            return
        self._on_step(result.unwrap())

    def activate_tables(self) -> None:
        """Put what the reader holds in force; never goes back."""
        tables, old = self.reader.tables, self.app.tables
        if tables.through <= old.through:
            return
        self.app.tables = tables
        if tables.routes is not old.routes or tables.pools is not old.pools:
            self.app.events.publish(TablesChanged(tables))

    def start_serving(self, source: str) -> None:
        """End the start-up with what the reader holds."""
        self.serving = True
        logger.info("Serves tables.", through=self.reader.tables.through, source=source)
        self.activate_tables()

    def adopt(self, tables: Tables, source: str) -> None:
        """Take over newer tables of a peer."""
        if self.reader.adopt(tables):
            logger.info("Takes tables of a peer.", through=tables.through, source=source)
            self.start_serving(source)

    def status(self) -> dict[str, Any]:
        """Return the offset in force and what is known of the log."""
        return {
            "through": self.app.tables.through,
            "routes": len(self.app.tables.routes),
            "pools": len(self.app.tables.pools),
            "log_up": bool(self.log_up),
            "log_end": self.reader.end,
            "gap": self.gap,
        }

    def _on_failure(self, reason: str) -> None:
        if self.log_up is not False:
            logger.warning("Log gives no answer.", reason=reason)
        self.log_up = False
        limit_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**self.failures)
        self.failures = min(self.failures + 1, 10)
        # Half of the pause is random, so that a herd does not come back to the
        # log in step.
        self.retry_at = self.app.timers.now() + limit_s * self.random.uniform(0.5, 1)

    def _on_step(self, step: Step) -> None:
        if self.log_up is False:
            logger.info("Log answers again.")
        self.log_up = True
        self.failures = 0
        self.at_end = self.at_end or step.at_end
        if step.gap and not self.gap:
            logger.error(
                "Records expired before they were read.",
                through=self.reader.tables.through,
                first=self.reader.first,
            )
        self.gap = step.gap
        if self.gap and not step.adopted:
            self.retry_at = self.app.timers.now() + GAP_BACKOFF_S
        for entry in step.records:
            self._log_verdict(entry)
        if self.serving:
            self.activate_tables()

    def _log_verdict(self, entry: FoldedRecord) -> None:
        logger.info(
            "Judged a record.", offset=entry.offset, verdict=entry.result.verdict.value
        )
        self.app.metrics.count(f"tables.{entry.result.verdict.value}")


def setup(app: Application) -> None:
    """Register the controller."""
    app.add_controller(TablesController(app))


def tables_controller(app: Application) -> TablesController:
    """Return the controller of an application."""
    controller = app.controllers[TablesController.name]
    assert isinstance(controller, TablesController)
    return controller
