"""Estimate of one engine's queue from its delayed reports and recent dispatches."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from agaterail.engines import LoadReport

# A dispatch notice may arrive out of order with a report. Requests sent within
# this time before the report's measurement are counted in addition to it, since
# counting a request twice is safer than missing it.
REPORT_SLACK_S = 0.005
MAX_DISPATCHES = 4096
MAX_DISPATCH_AGE_S = 60.0


@attrs.define
class SentRequest:
    """Request that a daemon sent to the engine."""

    dispatch_id: str
    sent_at: float
    missing_tokens: int


class EngineLoad:
    """Expected queueing delay of one engine.

    A report is already out of date when it arrives. The queue is therefore
    estimated from the report, the dispatches of all daemons since its
    measurement, and the time that the engine has had to process them. Without
    the dispatches, all daemons would send to the engine that was idle in the
    last report.

    Attributes
    ----------
    measured_at
        Time of the last report's measurement, on this host's clock.
    """

    def __init__(self, prefill_ms_per_token: float) -> None:
        self.prefill_ms_per_token = prefill_ms_per_token
        self.report: LoadReport | None = None
        self.measured_at = 0.0
        self.sent: deque[SentRequest] = deque(maxlen=MAX_DISPATCHES)
        self.running: dict[str, float] = {}
        self.backlog_ms = 0.0
        self.backlog_at = 0.0

    def on_report(self, report: LoadReport, requested_at: float) -> bool:
        """Rebuild the estimate from a report; return False if it is not newer.

        Parameters
        ----------
        requested_at
            Time on this host's clock at which the report was requested.
        """
        measured_at = requested_at - report.age_ms / 1e3
        known = self.report
        same = known is not None and known.incarnation == report.incarnation
        if same and measured_at <= self.measured_at:
            return False
        if known is not None and not same:
            self.on_restart()
        self.report = report
        self.measured_at = measured_at
        if report.prefill_ms_per_token > 0:
            self.prefill_ms_per_token = report.prefill_ms_per_token
        self._rebuild()
        return True

    def on_restart(self) -> None:
        """Discard the requests that the engine lost in a restart."""
        self.sent.clear()
        self.running.clear()
        self.report = None
        self.backlog_ms = 0.0

    def on_dispatch(self, dispatch_id: str, missing_tokens: int, now: float) -> None:
        """Add a request to the queue when it is sent."""
        self.sent.append(SentRequest(dispatch_id, now, missing_tokens))
        self.running[dispatch_id] = now
        self._advance(now)
        self.backlog_ms += missing_tokens * self.prefill_ms_per_token

    def on_finish(self, dispatch_id: str, ran: bool) -> None:
        """Remove a request from the running ones, and from the queue if it did not run."""
        self.running.pop(dispatch_id, None)
        if ran:
            return
        for request in self.sent:
            if request.dispatch_id == dispatch_id:
                self.sent.remove(request)
                self.backlog_ms -= request.missing_tokens * self.prefill_ms_per_token
                return

    def expire(self, now: float) -> None:
        """Discard old requests for which no finish notice arrived."""
        while self.sent and self.sent[0].sent_at < now - MAX_DISPATCH_AGE_S:
            self.sent.popleft()
        for dispatch_id, sent_at in list(self.running.items()):
            if sent_at < now - MAX_DISPATCH_AGE_S:
                del self.running[dispatch_id]

    def queue_ms(self, now: float) -> float:
        """Return the expected wait of a new request before its prefill."""
        return max(0.0, self.backlog_ms - (now - self.backlog_at) * 1e3)

    def age_ms(self, now: float) -> float:
        """Return the age of the last report, or -1 before the first."""
        return -1.0 if self.report is None else (now - self.measured_at) * 1e3

    def _rebuild(self) -> None:
        assert self.report is not None
        covered_until = self.measured_at - REPORT_SLACK_S
        while self.sent and self.sent[0].sent_at <= covered_until:
            self.sent.popleft()
        self.backlog_ms = self.report.waiting_prefill_tokens * self.prefill_ms_per_token
        self.backlog_at = self.measured_at
        for request in self.sent:
            self._advance(request.sent_at)
            self.backlog_ms += request.missing_tokens * self.prefill_ms_per_token

    def _advance(self, now: float) -> None:
        if now > self.backlog_at:
            self.backlog_ms = self.queue_ms(now)
            self.backlog_at = now
