"""Queue of one engine, from its lagging reports and the dispatches since."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from agaterail.engines import LoadReport

# A report and a dispatch notice that cross on the way may be counted in the
# wrong order; counting a request twice for this long is the safe side.
REPORT_SLACK_S = 0.005
MAX_DISPATCHES = 4096
MAX_DISPATCH_AGE_S = 60.0


@attrs.define
class SentRequest:
    """One request that a router sent to the engine."""

    dispatch_id: str
    sent_at: float
    missing_tokens: int


class EngineLoad:
    """Expected wait at one engine.

    A report is old when it arrives. The queue is therefore rebuilt from the
    report, the dispatches of all routers since the moment it describes, and
    the time that the engine has had to work them off. Without the dispatches
    all routers would send to the engine that was idle in the last report.

    Attributes
    ----------
    measured_at
        Second of this host's clock that the last report describes.
    """

    def __init__(self, prefill_ms_per_token: float) -> None:
        self.prefill_ms_per_token = prefill_ms_per_token
        self.report: LoadReport | None = None
        self.measured_at = 0.0
        self.sent: deque[SentRequest] = deque(maxlen=MAX_DISPATCHES)
        self.running: dict[str, float] = {}
        self.backlog_ms = 0.0
        self.backlog_at = 0.0

    def on_report(self, report: LoadReport, asked_at: float) -> bool:
        """Start anew from a report; False when it says nothing newer.

        Parameters
        ----------
        asked_at
            Second of this host's clock at which the report was asked for.
        """
        measured_at = asked_at - report.age_ms / 1e3
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
        """Forget the requests that an engine lost by a restart."""
        self.sent.clear()
        self.running.clear()
        self.report = None
        self.backlog_ms = 0.0

    def on_dispatch(self, dispatch_id: str, missing_tokens: int, now: float) -> None:
        """Count a request from the moment it is sent."""
        self.sent.append(SentRequest(dispatch_id, now, missing_tokens))
        self.running[dispatch_id] = now
        self._advance(now)
        self.backlog_ms += missing_tokens * self.prefill_ms_per_token

    def on_finish(self, dispatch_id: str, ran: bool) -> None:
        """Release a request; one that did not run never was in the queue."""
        self.running.pop(dispatch_id, None)
        if ran:
            return
        for request in self.sent:
            if request.dispatch_id == dispatch_id:
                self.sent.remove(request)
                self.backlog_ms -= request.missing_tokens * self.prefill_ms_per_token
                return

    def expire(self, now: float) -> None:
        """Forget requests whose finish was never told."""
        while self.sent and self.sent[0].sent_at < now - MAX_DISPATCH_AGE_S:
            self.sent.popleft()
        for dispatch_id, sent_at in list(self.running.items()):
            if sent_at < now - MAX_DISPATCH_AGE_S:
                del self.running[dispatch_id]

    def queue_ms(self, now: float) -> float:
        """Return the expected wait before a new request is prefilled."""
        return max(0.0, self.backlog_ms - (now - self.backlog_at) * 1e3)

    def age_ms(self, now: float) -> float:
        """Return the age of the report, or -1 before the first."""
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
