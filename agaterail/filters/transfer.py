"""Import cached blocks if that is cheaper than recomputing them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from returns.result import Result, Success

from agaterail import logs, transfers
from agaterail.filters import Filter

if TYPE_CHECKING:
    from agaterail import errors
    from agaterail.application import Application
    from agaterail.exchange import Exchange, Reply
    from agaterail.filters import Proceed
    from agaterail.transfers import Transfer

logger = logs.get_logger("transfer")

# A request waits for an import at most this multiple of its estimated duration. After
# that, the engine computes the blocks as if there were no import.
IMPORT_WAIT_FACTOR = 2.0


class TransferFilter(Filter):
    """Starts the planned import and waits a limited time for it."""

    order = 600

    def __init__(self, app: Application) -> None:
        self.app = app

    def handle(self, exchange: Exchange, proceed: Proceed) -> Result[Reply, errors.Failure]:
        """Import blocks if the decision plans it, and proceed even if the import fails."""
        decision, prefix, pool = exchange.decision, exchange.prefix, exchange.pool
        if decision is None or prefix is None or pool is None:
            return proceed(exchange)
        if pool.import_ms_per_block <= 0:
            return proceed(exchange)
        if decision.transfer is not None:
            self._start_import(exchange, decision.address, decision.transfer)
        result = proceed(exchange)
        if isinstance(result, Success):
            keys = prefix.keys[: transfers.shared_blocks(prefix)]
            exchange.on_finish(
                lambda _: self.app.exports.record_use(
                    decision.address, keys, self.app.timers.now()
                )
            )
        return result

    def _start_import(self, exchange: Exchange, engine: str, transfer: Transfer) -> None:
        if not self.app.imports.begin(engine, transfer.source, self.app.timers.now()):
            return
        assert exchange.prefix is not None and exchange.decision is not None
        keys = exchange.prefix.keys[transfer.start : transfer.end]
        importing = gevent.spawn(self._import_blocks, engine, keys, transfer)
        # The import continues while the request waits in the engine's queue, so that
        # time is subtracted.
        queue_ms = max(0.0, exchange.decision.queue_ms)
        wait_ms = transfer.transfer_ms * IMPORT_WAIT_FACTOR - queue_ms
        importing.join(timeout=max(0.0, wait_ms) / 1e3)

    def _import_blocks(self, engine: str, keys: tuple[bytes, ...], transfer: Transfer) -> None:
        imported = self.app.engine_at(engine).import_blocks(keys, transfer.source)
        blocks = imported.value_or(0)
        self.app.imports.end(engine, transfer.source, blocks > 0, self.app.timers.now())
        self.app.metrics.count("transfers.imported_blocks", blocks)
        logger.info(
            "Imported blocks.",
            engine=engine,
            source=transfer.source,
            wanted=len(keys),
            blocks=blocks,
        )


def setup(app: Application) -> None:
    """Register the filter."""
    app.add_filter(TransferFilter(app))
