"""The steps from SIGTERM to the end of the process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from agaterail import logs

if TYPE_CHECKING:
    from agaterail.gateway.daemon import Daemon

logger = logs.get_logger("stop")

# The balancer asks each second and takes a daemon out after two misses; its
# connections of the last second are still on their way then.
BALANCER_LAG_S = 3.0
# The process must be gone before the platform kills it.
KILL_MARGIN_S = 0.4
POLL_INTERVAL_S = 0.05


class GracefulStop:
    """Ends a daemon without cutting a request.

    Readiness fails at once while the listener stays open: connections that the
    balancer still sends are served. Kept connections end with an answer that
    says so, or when they are idle after the balancer has turned away.
    """

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon

    def run(self) -> None:
        """Drain, at most for the time that the platform grants."""
        daemon = self.daemon
        began = daemon.now()
        daemon.stopping = True
        daemon.front.begin_stop()
        logger.info("Stopping.", busy=daemon.front.busy)
        gevent.spawn(self._leave_fleet)
        last = began + daemon.settings.bounds.grace_s - KILL_MARGIN_S
        lag = min(BALANCER_LAG_S, daemon.settings.bounds.grace_s / 2.0)
        gevent.sleep(lag)
        daemon.front.close_idle()
        daemon.front.stop_accepting()
        while daemon.front.connections and daemon.now() < last:
            daemon.front.close_idle()
            gevent.sleep(POLL_INTERVAL_S)
        logger.info("Stopped.", took_s=round(daemon.now() - began, 3), cut=daemon.front.busy)

    def _leave_fleet(self) -> None:
        self.daemon.weights.release()
        self.daemon.membership.leave()
