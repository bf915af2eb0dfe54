"""Graceful shutdown of a gateway daemon after SIGTERM."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import gevent

from agaterail import logs

if TYPE_CHECKING:
    from agaterail.gateway.daemon import Daemon

logger = logs.get_logger("stop")

# The load balancer probes readiness every second and removes a daemon after two failed
# probes; connections that it opened in the last second may still be on their way then.
BALANCER_LAG_S = 3.0
# The process must exit this long before the platform kills it.
KILL_MARGIN_S = 0.4
# Part of that time in which the last answers are sent.
FINAL_ANSWERS_S = 0.1
POLL_INTERVAL_S = 0.05


@attrs.frozen
class StopWindow:
    """Which requests a stopping daemon still begins.

    Attributes
    ----------
    late_from
        Time from which only requests are begun that surely end before the process.
    ends_at
        Time by which all requests are answered.
    """

    late_from: float
    ends_at: float

    def allows(self, now: float, deadline: float) -> bool:
        """Return whether a request with this deadline may be sent to its first target."""
        return now < self.late_from or deadline <= self.ends_at


class GracefulStop:
    """Stops a daemon without interrupting requests.

    Readiness fails at once, but the listener stays open to serve connections that the
    load balancer still opens. Keep-alive connections are closed after an answer that
    announces it, or when they are idle after the load balancer has removed the daemon.
    """

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon

    def run(self) -> None:
        """Drain connections, at most for the grace period of the platform."""
        daemon = self.daemon
        started_at = daemon.now()
        deadline = started_at + daemon.settings.bounds.grace_s - KILL_MARGIN_S
        lag = min(BALANCER_LAG_S, daemon.settings.bounds.grace_s / 2.0)
        daemon.stop_window = StopWindow(started_at + lag, deadline)
        daemon.stopping = True
        daemon.caller_server.begin_stop()
        logger.info("Stopping.", busy=daemon.caller_server.active_requests)
        gevent.spawn(self._leave_fleet)
        gevent.sleep(lag)
        daemon.caller_server.close_idle()
        daemon.caller_server.stop_accepting()
        while self._is_busy() and daemon.now() < deadline:
            daemon.caller_server.close_idle()
            gevent.sleep(POLL_INTERVAL_S)
        interrupted = self._interrupt_answers()
        logger.info(
            "Stopped.",
            took_s=round(daemon.now() - started_at, 3),
            interrupted=interrupted,
            cut=daemon.caller_server.active_requests + daemon.relay_responder.in_flight,
        )

    def _interrupt_answers(self) -> int:
        """Answer the requests that are still under way; return how many these are.

        If the process just ended, their connections would close without an answer.
        """
        servers = (self.daemon.caller_server, self.daemon.feeds.peer_responder.server)
        interrupted = sum(server.interrupt_answers() for server in servers)
        if interrupted:
            gevent.sleep(FINAL_ANSWERS_S)
        return interrupted

    def _is_busy(self) -> bool:
        daemon = self.daemon
        return bool(daemon.caller_server.connections or daemon.relay_responder.in_flight)

    def _leave_fleet(self) -> None:
        self.daemon.weights.release()
        self.daemon.membership.leave()
