"""How long each stage of a start takes."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent

from agaterail import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from agaterail.gateway.daemon import Daemon

logger = logs.get_logger("main")

POLL_INTERVAL_S = 0.05


class StartupTimer:
    """Logs when the start reached a stage, and how much processor time that took.

    A start that waits for a processor shows a high age at a low processor time; one
    that waits for the store shows it at the last stage.

    Parameters
    ----------
    started_at
        Time at which the process began.
    processor_at
        Processor time of the process at that moment, in seconds.
    """

    def __init__(
        self, started_at: float, processor_at: float, now: Callable[[], float]
    ) -> None:
        self.started_at = started_at
        self.processor_at = processor_at
        self.now = now

    def log_stage(self, message: str, **fields: object) -> None:
        """Write a line on a stage."""
        logger.info(
            message,
            **fields,
            start_s=round(self.now() - self.started_at, 3),
            processor_s=round(time.process_time() - self.processor_at, 3),
        )

    def await_ready(self, daemon: Daemon) -> None:
        """Write a line when the daemon is ready for callers."""
        while not daemon.ready:
            if daemon.stopping:
                return
            gevent.sleep(POLL_INTERVAL_S)
        self.log_stage(
            "Ready.",
            targets=len(daemon.book.targets),
            readers=len(daemon.feeds.readers),
        )
