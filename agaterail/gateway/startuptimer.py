"""Timing of the stages of a startup."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent

from agaterail import __version__, logs
from agaterail.util.sourcedigest import source_digest

if TYPE_CHECKING:
    from collections.abc import Callable

    from agaterail.gateway.daemon import Daemon

logger = logs.get_logger("main")

POLL_INTERVAL_S = 0.05
SOURCE_PAUSE_S = 0.01


class StartupTimer:
    """Logs the elapsed time and the CPU time at each stage of a startup.

    A startup that waits for the CPU shows much elapsed time and little CPU time; one that
    waits for the store shows the delay at the last stage.

    Parameters
    ----------
    started_at
        Time at which the process started.
    initial_cpu_s
        CPU time of the process at that moment, in seconds.
    """

    def __init__(
        self, started_at: float, initial_cpu_s: float, now: Callable[[], float]
    ) -> None:
        self.started_at = started_at
        self.initial_cpu_s = initial_cpu_s
        self.now = now

    def log_stage(self, message: str, **fields: object) -> None:
        """Log that a stage is reached."""
        logger.info(
            message,
            **fields,
            start_s=round(self.now() - self.started_at, 3),
            processor_s=round(time.process_time() - self.initial_cpu_s, 3),
        )

    def await_ready(self, daemon: Daemon) -> None:
        """Wait until the daemon is ready for callers, and log it; return if it stops."""
        while not daemon.ready:
            if daemon.stopping:
                return
            gevent.sleep(POLL_INTERVAL_S)
        self.log_stage(
            "Ready.",
            targets=len(daemon.registry.targets),
            readers=len(daemon.feeds.readers),
        )

    def log_sources(self) -> None:
        """Log which build is running, from a digest that takes a few seconds."""
        digest = source_digest(lambda: gevent.sleep(SOURCE_PAUSE_S))
        self.log_stage("Sources read.", version=__version__, sources=digest)
