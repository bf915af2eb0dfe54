"""Sums of what the daemons of a fleet report of the engines of a service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from agaterail.decisions.enginepaces import PaceEstimator

# Without any byte for longer than this, an engine is silent to a daemon that waits there.
SILENCE_S = 0.4
# A daemon hears at least this often from an engine that streams to it.
HEARD_LATELY_S = 1.0
REPORT_PERIODS = 3.0
MAX_REPORT_AGE_S = 15.0
# More daemons than any fleet has; the names in reports are not verified.
MAX_DAEMONS = 2048
MIN_PERIOD_S = 0.5
MAX_PERIOD_S = 5.0
# With 0.3 ms for an answer this is 6% of a core at the daemon that gathers.
MAX_REPORTS_PER_S = 200.0
MAX_BYTES_PER_S = 1000.0
# Fewer daemons tell enough of the fleet by what they see themselves.
MIN_DAEMONS = 8
# A host that was suspended first reads the reports that arrived meanwhile.
BACKLOG_S = 0.1


def report_period_s(daemons: float, services: int, answer_bytes: int) -> float:
    """Return the seconds between two reports of a daemon.

    Parameters
    ----------
    daemons
        Number of daemons in the fleet.
    services
        Number of services, on each of which a daemon reports.
    answer_bytes
        Size of the last answers for all of these.
    """
    by_reports = daemons * services / MAX_REPORTS_PER_S
    by_bytes = answer_bytes / MAX_BYTES_PER_S
    return min(MAX_PERIOD_S, max(MIN_PERIOD_S, by_reports, by_bytes))


@attrs.frozen(kw_only=True)
class EngineRow:
    """What one daemon tells of one engine.

    Attributes
    ----------
    start
        Start of the engine; the row tells nothing of a later one.
    streams
        Requests under way there.
    prefill_tokens
        Prompt tokens of those of them that have no first token yet.
    kv_tokens
        Tokens of memory that those under way need to their end.
    heard_s
        Seconds since a byte arrived from there; infinity if none has.
    waiting_s
        Seconds for which requests have waited there without any byte; 0 if none waits.
    steps, sum_log_s
        Number of samples of the time of a decode step, and the sum of the logarithms of
        these times in seconds.
    """

    instance: str
    start: int = 0
    streams: int = 0
    prefill_tokens: int = 0
    kv_tokens: int = 0
    heard_s: float = float("inf")
    waiting_s: float = 0.0
    steps: int = 0
    sum_log_s: float = 0.0

    @property
    def is_silent(self) -> bool:
        """Return whether the engine is silent to the daemon."""
        return self.waiting_s > SILENCE_S


@attrs.frozen(kw_only=True)
class DaemonReport:
    """What one daemon tells of the engines of a service.

    Attributes
    ----------
    domain
        Failure domain of the daemon's host.
    period_s
        Seconds until its next report.
    rows
        Engines of which it has something to tell.
    """

    daemon: str
    domain: str
    period_s: float
    rows: tuple[EngineRow, ...] = ()

    @property
    def is_cut_off(self) -> bool:
        """Return whether most engines that the daemon uses are silent to it.

        It is then more likely that its own network has failed.
        """
        silent = sum(row.is_silent for row in self.rows)
        used = sum(row.is_silent or row.heard_s <= HEARD_LATELY_S for row in self.rows)
        return 2 * silent > used


@attrs.define
class EngineTotals:
    """Sums over daemons for one engine.

    Attributes
    ----------
    heard_at
        Time at which any of them last got a byte; minus infinity if none has.
    """

    streams: int = 0
    prefill_tokens: int = 0
    kv_tokens: int = 0
    silent_daemons: int = 0
    silent_domains: int = 0
    heard_at: float = float("-inf")


@attrs.frozen
class _ReceivedReport:
    """A daemon's latest report.

    Attributes
    ----------
    counted
        Rows that are part of the sums, by engine.
    """

    report: DaemonReport
    received_at: float
    counted: dict[str, EngineRow]

    def is_valid(self, now: float) -> bool:
        age_s = now - self.received_at
        return age_s <= min(MAX_REPORT_AGE_S, REPORT_PERIODS * self.report.period_s)


@attrs.define
class _Heard:
    """When a daemon last got a byte from an engine."""

    at: float = float("-inf")
    daemon: str = ""


@attrs.define
class _EngineSums:
    """Sums over all daemons for one engine, kept while reports come and go.

    Attributes
    ----------
    heard, heard_by_other
        The daemon that got the latest byte, and the one after it.
    silent
        Failure domain of each daemon to which the engine is silent.
    """

    streams: int = 0
    prefill_tokens: int = 0
    kv_tokens: int = 0
    heard: _Heard = attrs.field(factory=_Heard)
    heard_by_other: _Heard = attrs.field(factory=_Heard)
    silent: dict[str, str] = attrs.field(factory=dict)

    def add(self, row: EngineRow) -> None:
        self.streams += row.streams
        self.prefill_tokens += row.prefill_tokens
        self.kv_tokens += row.kv_tokens

    def subtract(self, daemon: str, row: EngineRow) -> None:
        self.streams -= row.streams
        self.prefill_tokens -= row.prefill_tokens
        self.kv_tokens -= row.kv_tokens
        self.silent.pop(daemon, None)

    def record_heard(self, daemon: str, at: float) -> None:
        """Record a byte; that it came stays true when the report is replaced."""
        if daemon == self.heard.daemon:
            self.heard.at = max(self.heard.at, at)
        elif at > self.heard.at:
            self.heard, self.heard_by_other = _Heard(at, daemon), self.heard
        elif at > self.heard_by_other.at:
            self.heard_by_other = _Heard(at, daemon)


class EngineLoadLedger:
    """The latest report of each daemon on the engines of one service.

    Answers large fleets, in which a daemon sees too few requests to know the load of an
    engine by its own.

    Attributes
    ----------
    starts
        Start of each engine that is registered; rows on others do not count.
    runs
        Name of each engine together with its start, by which paces are kept.
    sum_received_at
        Sum of the times at which the reports were received.
    changed
        Engines whose sums have changed since this set was last cleared.
    """

    def __init__(self, paces: PaceEstimator) -> None:
        self.paces = paces
        self.starts: dict[str, int] = {}
        self.runs: dict[str, str] = {}
        self.reports: dict[str, _ReceivedReport] = {}
        self.sums: dict[str, _EngineSums] = {}
        self.changed: set[str] = set()
        self.sum_received_at = 0.0
        self.accepted_from = float("-inf")

    def set_engines(self, engines: Iterable[tuple[str, int]]) -> None:
        """Set the engines that are registered and their starts."""
        self.starts = dict(engines)
        self.runs = {name: f"{name}/{start}" for name, start in self.starts.items()}
        self.sums = {instance: _EngineSums() for instance in self.starts}
        self.changed = set(self.starts)
        for received in self.reports.values():
            received.counted.clear()
            self._count(received)

    def record(self, report: DaemonReport, now: float) -> bool:
        """Replace a daemon's report; return whether it is accepted."""
        is_known = report.daemon in self.reports
        if now < self.accepted_from or (not is_known and len(self.reports) >= MAX_DAEMONS):
            return False
        self._remove(report.daemon)
        received = self.reports[report.daemon] = _ReceivedReport(report, now, {})
        self.sum_received_at += now
        self._count(received)
        for row in received.counted.values():
            if row.steps:
                self.paces.record(self.runs[row.instance], row.steps, row.sum_log_s, now)
        return True

    def expire(self, now: float) -> None:
        """Drop the reports of daemons that have not sent a new one in time."""
        for daemon, received in list(self.reports.items()):
            if not received.is_valid(now):
                self._remove(daemon)

    def drop(self, now: float) -> None:
        """Drop all reports, as this host was suspended and cannot tell how old they are."""
        self.reports.clear()
        self.sum_received_at = 0.0
        self.set_engines(self.starts.items())
        self.accepted_from = now + BACKLOG_S

    def totals(self, instance: str, asker: str = "") -> EngineTotals:
        """Return the sums for a registered engine over all daemons but the asker."""
        sums = self.sums[instance]
        received = self.reports.get(asker)
        own = None if received is None else received.counted.get(instance)
        heard = sums.heard if sums.heard.daemon != asker else sums.heard_by_other
        totals = EngineTotals(
            sums.streams, sums.prefill_tokens, sums.kv_tokens, heard_at=heard.at
        )
        if own is not None:
            totals.streams -= own.streams
            totals.prefill_tokens -= own.prefill_tokens
            totals.kv_tokens -= own.kv_tokens
        if sums.silent:
            domains = [domain for daemon, domain in sums.silent.items() if daemon != asker]
            totals.silent_daemons = len(domains)
            totals.silent_domains = len(set(domains))
        return totals

    def pace(self, instance: str, now: float) -> float:
        """Return the pace of a registered engine since its start."""
        return self.paces.pace(self.runs[instance], now)

    def engines_of(self, daemon: str) -> Collection[str]:
        """Return the engines of which a daemon's latest report tells."""
        received = self.reports.get(daemon)
        return () if received is None else received.counted.keys()

    def fraction(self, asker: str, daemons: float) -> float:
        """Return the fraction of the other daemons whose reports are held.

        Parameters
        ----------
        daemons
            Number of daemons in the fleet.
        """
        others = len(self.reports) - (asker in self.reports)
        return min(1.0, others / max(1.0, daemons - 1.0))

    def age_s(self, now: float) -> float:
        """Return the mean age of the reports in seconds."""
        return now - self.sum_received_at / len(self.reports) if self.reports else 0.0

    def _count(self, received: _ReceivedReport) -> None:
        report = received.report
        counts_silence = not report.is_cut_off
        for row in report.rows:
            instance = row.instance
            if self.starts.get(instance) != row.start:
                continue
            received.counted[instance] = row
            sums = self.sums[instance]
            sums.add(row)
            sums.record_heard(report.daemon, received.received_at - row.heard_s)
            if row.is_silent and counts_silence:
                sums.silent[report.daemon] = report.domain
        self.changed.update(received.counted)

    def _remove(self, daemon: str) -> None:
        received = self.reports.pop(daemon, None)
        if received is None:
            return
        self.sum_received_at -= received.received_at
        for instance, row in received.counted.items():
            self.sums[instance].subtract(daemon, row)
        self.changed.update(received.counted)
