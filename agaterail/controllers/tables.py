"""Follow the tables stream of the log."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from returns.result import Success

from agaterail import codec, logs
from agaterail.controllers import Controller
from agaterail.events import TablesChanged
from agaterail.fold import Verdict, fold
from agaterail.records import TABLES_STREAM, TablesRecord

if TYPE_CHECKING:
    from agaterail.application import Application
    from agaterail.logstore import LogRecord

logger = logs.get_logger("tables")

WAIT_S = 1.0
CHANGING = (Verdict.ACCEPTED, Verdict.SNAPSHOT_USED)


class TablesController(Controller):
    """Folds each new record and puts the result in force."""

    name = "tables"
    period_s = 0.02

    def __init__(self, app: Application) -> None:
        self.app = app
        self.log_up = False

    def reconcile(self) -> None:
        """Read the records after the last folded one."""
        read = self.app.log_store.read(
            TABLES_STREAM, self.app.tables.through + 1, wait_s=WAIT_S
        )
        self.log_up = isinstance(read, Success)
        if not self.log_up:
            return
        for record in read.unwrap().records:
            self._fold(record)

    def status(self) -> dict[str, Any]:
        """Return the offset in force and whether the log answers."""
        return {"through": self.app.tables.through, "log_up": self.log_up}

    def _fold(self, record: LogRecord) -> None:
        decoded = codec.decode(record.data, TablesRecord)
        if not isinstance(decoded, Success):
            logger.warning("Skips a malformed record.", offset=record.offset)
            return
        folded = fold(self.app.tables, decoded.unwrap(), record.offset)
        self.app.tables = folded.tables
        logger.info("Judged a record.", offset=record.offset, verdict=folded.verdict.value)
        if folded.verdict in CHANGING:
            self.app.events.publish(TablesChanged(folded.tables))


def setup(app: Application) -> None:
    """Register the controller."""
    app.add_controller(TablesController(app))
