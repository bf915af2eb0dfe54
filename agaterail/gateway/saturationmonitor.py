"""Keep new connections away while this process falls behind with those that it has."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agaterail import logs
from agaterail.decisions.saturation import Saturation

if TYPE_CHECKING:
    from collections.abc import Callable

logger = logs.get_logger("front")

PERIOD_S = 0.1
# Each connection to a caller may need one to a target.
MAX_CONNECTION_FRACTION = 0.4


class SaturationMonitor:
    """Decides whether a new connection from a caller is read.

    A connection that is closed unread costs its caller one try, which another host takes.
    A request that was read and then waits costs it the whole time limit, and makes the
    others late.

    Parameters
    ----------
    max_connections
        Connections from callers that this process can serve at once.
    """

    period_s = PERIOD_S

    def __init__(self, max_connections: float, now: Callable[[], float]) -> None:
        self.max_connections = max_connections
        self.now = now
        self.saturation = Saturation()
        self.due_at: float | None = None
        self.closed_unread = 0

    @property
    def is_saturated(self) -> bool:
        """Return whether this process does not keep up."""
        return self.saturation.is_saturated

    def step(self) -> None:
        """Measure how late this call is."""
        now = self.now()
        late_s = 0.0 if self.due_at is None else max(0.0, now - self.due_at)
        self.due_at = now + self.period_s
        if self.saturation.record(late_s, now):
            text = "Closing new connections unread." if self.is_saturated else "Keeping up."
            logger.warning(
                text,
                late_s=round(late_s, 3),
                closed_unread=self.closed_unread,
            )

    def may_read(self, connections: int) -> bool:
        """Return whether a new connection is read, beside a number of open ones."""
        if not self.is_saturated and connections <= self.max_connections:
            return True
        self.closed_unread += 1
        return False


def max_connections(max_descriptors: int) -> float:
    """Return how many connections from callers leave descriptors for those to targets."""
    return MAX_CONNECTION_FRACTION * max_descriptors
