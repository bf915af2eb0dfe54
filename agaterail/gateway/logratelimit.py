"""Bound on log lines a second, failures before successes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import structlog

if TYPE_CHECKING:
    from collections.abc import Callable, MutableMapping

# A line of 400 bytes costs some 40 us. 60 lines a second of each kind are 0.5%
# of a core and 50 KB; a host serves ten requests a second on an ordinary day,
# three lines each, and a flood of callers must not become a flood of lines.
MAX_LINES_PER_S = 60
# Lines that say how a request went well; these are left out first.
ROUTINE_EVENTS = frozenset({"Answered.", "Stream complete.", "Caller left."})


class HostField:
    """Processor that names the host in each line, as lines of many are read together."""

    def __init__(self, host: str) -> None:
        self.host = host

    def __call__(
        self, _logger: Any, _method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Add the host."""
        event.setdefault("host", self.host)
        return event


class LogRateLimiter:
    """Processor that drops what exceeds the lines of the current second.

    Routine lines have a budget of their own, so that they never take the place
    of a failure's line. How many were left out is added to the next line that
    is written.
    """

    def __init__(self, now: Callable[[], float], lines_per_s: int = MAX_LINES_PER_S) -> None:
        self.now = now
        self.lines_per_s = lines_per_s
        self.second = 0
        self.line_counts = {True: 0, False: 0}
        self.suppressed = 0

    def __call__(
        self, _logger: Any, _method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Pass a line on, or raise ``DropEvent``."""
        second = int(self.now())
        if second != self.second:
            self.second = second
            self.line_counts = {True: 0, False: 0}
        routine = event.get("event") in ROUTINE_EVENTS
        if self.line_counts[routine] >= self.lines_per_s:
            self.suppressed += 1
            raise structlog.DropEvent
        self.line_counts[routine] += 1
        if self.suppressed:
            event["lines_left_out"] = self.suppressed
            self.suppressed = 0
        return event
