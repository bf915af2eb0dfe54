"""Estimate of the engines needed for the offered prompts."""

from __future__ import annotations

import math

import attrs

from agaterail.decisions.engineplacement import PREFILL_MS_PER_TOKEN
from agaterail.util.slidingsums import SlidingSums

# Long enough to average out bursts of single callers, short enough to detect an
# overload before the engines' queues exceed an objective.
WINDOW_S = 5.0
# Time constant of the average of the prompts in flight, which last for about as long.
OCCUPIED_WINDOW_S = 2.0
# At a start the window is as long as prompts have arrived, but not shorter than this.
MIN_WINDOW_S = 1.0
# Reports of many daemons need a shorter window, which follows a rise of the demand sooner.
FLEET_WINDOW_S = 2.5
# Reports about a longer interval say too little about the present.
MAX_REPORT_S = 10.0
MAX_REPORT_TOKENS = 1_000_000_000
# A reader estimates the fleet's demand only from reports that cover more time than one
# daemon can observe in a window itself.
MIN_REPORTED_S = 2.0 * WINDOW_S
# An estimate of the fleet's demand is used for a few polls.
MAX_ESTIMATE_AGE_S = 3.0
# Weight of one reader's estimate; each hears from a part of the daemons.
SMOOTHING = 0.3


@attrs.frozen
class DemandReport:
    """Prompt tokens offered to one daemon within an interval."""

    tokens: int
    elapsed_s: float

    @property
    def is_valid(self) -> bool:
        """Return whether the values are plausible."""
        return 0 <= self.tokens <= MAX_REPORT_TOKENS and 0.0 < self.elapsed_s <= MAX_REPORT_S


class Demand:
    """Prompt tokens offered to this daemon, and to a daemon of the fleet on average.

    A daemon of a large fleet sees a few prompts in a window, which says little about the
    fleet. Daemons therefore report their prompts with the polls of their peers, and get
    the average over many daemons with the answers.

    Attributes
    ----------
    first_offer_at
        Time of the first prompt; None before it.
    unreported_tokens, reported_at
        Tokens that no peer was told of yet, and time of the last report.
    fleet_tokens_per_s, estimated_at
        Tokens per second and daemon according to the peers, and when they said so.
    occupied, sampled_at
        Moving average of the engines whose slots this daemon's prompts fill, and time of
        its last sample.
    """

    def __init__(self) -> None:
        self.offered = SlidingSums(WINDOW_S)
        self.first_offer_at: float | None = None
        self.unreported_tokens = 0
        self.reported_at: float | None = None
        self.fleet_tokens_per_s = 0.0
        self.estimated_at = float("-inf")
        self.occupied = 0.0
        self.sampled_at = 0.0

    def record_occupied(self, engines: float, now: float) -> None:
        """Record how many engines' slots this daemon's prompts fill now."""
        weight = 1.0 - math.exp((self.sampled_at - now) / OCCUPIED_WINDOW_S)
        self.occupied += weight * (engines - self.occupied)
        self.sampled_at = now

    def record(self, tokens: int, now: float) -> None:
        """Record the prompt of a request."""
        if not tokens:
            return
        if self.first_offer_at is None:
            self.first_offer_at = now
        self.offered.add(0.0, tokens, now)
        self.unreported_tokens += tokens

    def engines_needed(self, now: float) -> float:
        """Return the engines that one daemon's prompts keep busy with a cold cache."""
        fresh = self._has_fresh_estimate(now)
        tokens_per_s = self.fleet_tokens_per_s if fresh else self._own_tokens_per_s(now)
        return tokens_per_s * PREFILL_MS_PER_TOKEN * 1e-3

    def next_report(self, now: float) -> DemandReport | None:
        """Return the prompts since the last report; None if there is no valid interval."""
        if self.reported_at is None or now - self.reported_at > MAX_REPORT_S:
            self.unreported_tokens = 0
            self.reported_at = now
            return None
        report = DemandReport(self.unreported_tokens, now - self.reported_at)
        return report if report.is_valid else None

    def record_reported(self, sent_at: float, report: DemandReport) -> None:
        """Record that a peer has received a report that was sent at this time."""
        self.unreported_tokens -= report.tokens
        self.reported_at = sent_at

    def record_estimate(self, tokens_per_s: float, now: float) -> None:
        """Take over a peer's estimate of the average daemon."""
        former = self.fleet_tokens_per_s if self._has_fresh_estimate(now) else tokens_per_s
        self.fleet_tokens_per_s = former + SMOOTHING * (tokens_per_s - former)
        self.estimated_at = now

    def _has_fresh_estimate(self, now: float) -> bool:
        return now - self.estimated_at <= MAX_ESTIMATE_AGE_S

    def _own_tokens_per_s(self, now: float) -> float:
        self.offered.expire(now)
        first_at = now if self.first_offer_at is None else self.first_offer_at
        return self.offered.count / min(WINDOW_S, max(MIN_WINDOW_S, now - first_at))


class FleetDemand:
    """Average demand of the daemons that poll this one."""

    def __init__(self) -> None:
        self.reports = SlidingSums(FLEET_WINDOW_S)

    def add(self, report: DemandReport, now: float) -> None:
        """Add a valid report of a peer."""
        self.reports.add(report.elapsed_s, report.tokens, now)

    def tokens_per_s(self, now: float) -> float | None:
        """Return the tokens per second of an average daemon; None if unknown."""
        self.reports.expire(now)
        if self.reports.seconds < MIN_REPORTED_S:
            return None
        return self.reports.count / self.reports.seconds


def is_plausible_rate(tokens_per_s: float) -> bool:
    """Return whether a peer's estimate can be used."""
    return math.isfinite(tokens_per_s) and 0.0 <= tokens_per_s <= MAX_REPORT_TOKENS
