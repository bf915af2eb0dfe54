"""Follow the tables stream of the log and put its tables in force."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import gevent
from returns.result import Success

from agaterail import logs
from agaterail.controllers import Controller
from agaterail.events import TablesChanged
from agaterail.tables_reader import TablesReader
from agaterail.util.backoff import backoff_s

if TYPE_CHECKING:
    from agaterail.application import Application
    from agaterail.tables import Tables
    from agaterail.tables_reader import FoldedRecord, Step

logger = logs.get_logger("tables")

# Each long poll is one request to the log: 82 requests/s from 410 daemons at 5 s.
# A log host that disappears silently is detected after this time plus the client's
# own timeout, well below 16 s.
LONG_POLL_S = 5.0
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
GAP_BACKOFF_S = 2.0


class TablesController(Controller):
    """Folds new records and puts the resulting tables in force.

    Attributes
    ----------
    serving
        Whether startup is complete. From then on, folded tables are in force
        at once.
    log_up
        Whether the last read succeeded; None before the first read ends.
    gap
        Whether records expired before this daemon could read them.
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
        """Read and fold the records after the last folded one."""
        if self.app.timers.now() < self.retry_at:
            return
        wait_s = LONG_POLL_S if self.log_up and not self.gap else 0.0
        result = self.reader.step(wait_s)
        if not isinstance(result, Success):
            self._on_failure(str(result.failure()))
            return
        self._on_step(result.unwrap())

    def activate_tables(self) -> None:
        """Put the reader's tables in force unless newer ones already are."""
        tables, old = self.reader.tables, self.app.tables
        if tables.through <= old.through:
            return
        self.app.tables = tables
        if tables.routes is not old.routes or tables.pools is not old.pools:
            self.app.events.publish(TablesChanged(tables))

    def start_serving(self, source: str) -> None:
        """Complete startup with the reader's tables."""
        self.serving = True
        logger.info("Serving tables.", through=self.reader.tables.through, source=source)
        self.activate_tables()

    def adopt(self, tables: Tables, source: str) -> None:
        """Adopt a peer's tables if they are newer, and serve them."""
        if self.reader.adopt(tables):
            logger.info("Adopted tables of a peer.", through=tables.through, source=source)
            self.start_serving(source)

    def status(self) -> dict[str, Any]:
        """Return the offset in force, the table sizes and the state of the log."""
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
            logger.warning("Log does not answer.", reason=reason)
        self.log_up = False
        limit_s = backoff_s(self.failures, INITIAL_BACKOFF_S, MAX_BACKOFF_S)
        self.failures = min(self.failures + 1, 10)
        # Half of the backoff is jitter, so that daemons do not retry the log in
        # lockstep.
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
            "Folded a record.", offset=entry.offset, verdict=entry.result.verdict.value
        )
        self.app.metrics.count(f"tables.{entry.result.verdict.value}")


def setup(app: Application) -> None:
    """Register the controller."""
    app.add_controller(TablesController(app))


def tables_controller(app: Application) -> TablesController:
    """Return the tables controller of an application."""
    controller = app.controllers[TablesController.name]
    assert isinstance(controller, TablesController)
    return controller
