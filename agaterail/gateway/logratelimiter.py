"""Rate limit for log lines that keeps failures when successes fill the log."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import structlog

if TYPE_CHECKING:
    from collections.abc import Callable, MutableMapping

# Applies to routine and other lines separately. A line of 400 bytes takes about 40 us,
# so both limits together are 0.5% of a core and 50 KB/s. A host normally serves ten
# requests per second with three lines each; a burst of callers must not flood the log.
MAX_LINES_PER_S = 60
# Events of requests that went well; these are the first to be suppressed.
ROUTINE_EVENTS = frozenset({"Answered.", "Stream complete.", "Caller left."})


class HostField:
    """Processor that adds the host, since lines of many hosts are read together."""

    def __init__(self, host: str) -> None:
        self.host = host

    def __call__(
        self, _logger: Any, _method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Add the host unless the line has one."""
        event.setdefault("host", self.host)
        return event


class LogRateLimiter:
    """Processor that drops lines over the limit for the current second.

    Routine lines are counted separately, so that they never displace the line of a
    failure. The number of suppressed lines is added to the next line written.
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
        """Return the line, or raise ``DropEvent`` if the limit is reached."""
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
