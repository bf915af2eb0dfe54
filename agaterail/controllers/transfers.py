"""Export reused prefixes from engines to the KV store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent
from returns.result import Success

from agaterail import logs
from agaterail.controllers import Controller

if TYPE_CHECKING:
    from agaterail.application import Application
    from agaterail.kvstores import KvStore
    from agaterail.transfers import PrefixUse

logger = logs.get_logger("transfers")

STORE_QUERY_TIMEOUT_S = 0.5


class TransfersController(Controller):
    """Exports at most one prefix per engine at a time."""

    name = "transfers"
    period_s = 0.5

    def __init__(self, app: Application) -> None:
        self.app = app
        self.exported_blocks = 0

    def reconcile(self) -> None:
        """Export the next due prefix of each engine."""
        store = self.app.kv_store
        if store is None:
            return
        due = self.app.exports.due(self.app.timers.now())
        gevent.joinall([gevent.spawn(self._export, store, use) for use in due])

    def status(self) -> dict[str, Any]:
        """Return the number of exported blocks."""
        return {"exported_blocks": self.exported_blocks}

    def _export(self, store: KvStore, use: PrefixUse) -> None:
        kept = store.count_leading_keys(use.keys, STORE_QUERY_TIMEOUT_S)
        if not isinstance(kept, Success):
            return
        if kept.unwrap() < len(use.keys):
            exported = self.app.engine_at(use.engine).export_blocks(use.keys, store.address)
            if not isinstance(exported, Success):
                return
            self.exported_blocks += exported.unwrap()
            logger.info(
                "Exported blocks.",
                engine=use.engine,
                wanted=len(use.keys),
                blocks=exported.unwrap(),
            )
        self.app.exports.mark_exported(use, self.app.timers.now())


def setup(app: Application) -> None:
    """Register the controller."""
    app.add_controller(TransfersController(app))
