"""Write snapshots of the tables to the log without an elected writer."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import gevent
from returns.result import Success

from agaterail import logs, snapshots, tables_reader
from agaterail.controllers import Controller
from agaterail.controllers.tables import tables_controller
from agaterail.snapshots import SnapshotSchedule

if TYPE_CHECKING:
    from agaterail.application import Application

logger = logs.get_logger("snapshots")


class SnapshotsController(Controller):
    """Writes a snapshot when one is due and no other daemon has written it."""

    name = "snapshots"
    period_s = 1.0

    def __init__(self, app: Application) -> None:
        self.app = app
        self.tables = tables_controller(app)
        self.schedule = SnapshotSchedule(app.settings.snapshot_interval_s, random.Random())
        self.written = 0

    def reconcile(self) -> None:
        """Check for snapshots of other daemons, and write one if it is due here."""
        now = self.app.timers.now()
        self._record_newest_mark(now)
        if not self.tables.log_up or self.tables.gap or not self.tables.at_end:
            return
        if self.schedule.due(self.tables.reader.view, now):
            self._write()

    def status(self) -> dict[str, Any]:
        """Return the offset that the last snapshot covers and the number written here."""
        return {"through": self.schedule.mark_through, "written": self.written}

    def _record_newest_mark(self, now: float) -> None:
        mark = self.tables.reader.newest_mark
        if mark is not None:
            self.schedule.on_mark(mark.through, now)

    def _write(self) -> None:
        tables = self.tables.reader.tables
        covered = self.schedule.mark_through
        snapshot = snapshots.encode(tables, lambda: gevent.sleep(0))
        written = tables_reader.write_snapshot(
            self.app.log_store, snapshot, lambda: self._superseded(covered)
        )
        now = self.app.timers.now()
        if isinstance(written, Success):
            self.written += 1
            self.schedule.on_mark(snapshot.through, now)
            logger.info(
                "Wrote a snapshot.",
                through=snapshot.through,
                chunks=len(snapshot.chunks),
                bytes=snapshot.size,
                offset=written.unwrap(),
            )
            self.app.metrics.count("tables.snapshots")
            return
        logger.warning("Did not write a snapshot.", reason=written.failure())
        self.schedule.on_failed(now)

    def _superseded(self, covered: int) -> bool:
        mark = self.tables.reader.newest_mark
        return mark is not None and mark.through > covered


def setup(app: Application) -> None:
    """Register the controller."""
    app.add_controller(SnapshotsController(app))
