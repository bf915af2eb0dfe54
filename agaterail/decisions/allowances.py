"""Allowances of workspaces, kept by all daemons of a fleet together.

Answers the load of a workspace that sends a multiple of what it may: it is limited to
its rate and burst, and the others keep their capacity. A workspace below its allowance
must not notice the limit, whichever daemons its callers use.

Each daemon admits requests from a credit (`WorkspaceCredit`) that one daemon per
workspace, the coordinator, grants from the bucket of the whole fleet (`FleetLedger`).
While the bucket is well filled, credits overlap: each may use a part of the whole
level, and daemons report afterwards what they have spent. Once the bucket runs low, a
credit covers only the requests that are waiting for it, and no two credits overlap.
"""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

import attrs

from agaterail.limits import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Collection

# Credits overlap while the bucket is filled to this fraction.
AMPLE_FRACTION = 0.5
# While credits overlap, they add up to this multiple of the level, and none exceeds this
# fraction of it.
OVERLAP = 2.0
MAX_CREDIT_FRACTION = 0.5
# How long a credit may be used. Daemons with spending report more often.
CREDIT_VALID_S = 1.5
# A daemon reports its spending after this time at the latest.
REPORT_DELAY_S = 0.3
# Fraction of the tolerance by which the burst is enlarged. Sizes of requests vary, and
# a small workspace would be refused although its window has room. The rest covers
# spending that was not reported yet.
TOLERATED_BURST_FRACTION = 0.1
# Without an answer of the coordinator, a daemon uses the rest of its last credit and then
# its last share of the spending, for this long. After that it uses an equal share.
LAST_GRANT_S = 2.0
# Fraction of the last share that it uses: the coordinator may be away for this daemon
# alone, and grants the others the whole rate.
LAST_SHARE_FRACTION = 0.3
# Time constant of the spending by which shares are computed. A daemon of a large fleet
# sends a request of one workspace only every few seconds.
SHARE_WINDOW_S = 5.0
# While the bucket is empty, a daemon does not ask again for at least and at most this
# long. A hint is an estimate: other daemons ask for the same tokens.
MIN_RETRY_S = 0.1
MAX_REFUSED_S = 0.5
# A new coordinator starts a bucket with this fraction, unless a daemon knows the level.
START_FRACTION = 0.1
# A level that the former coordinator told is known for this long.
LEVEL_VALID_S = 1.0
# Another coordinator may have taken the place of one whose account was not used for this
# long.
ACCOUNT_VALID_S = 1.0
# The coordinator forgets a daemon that has not reported for this long.
FORGET_S = 20.0


class CostUnit(enum.Enum):
    """What an allowance counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@attrs.frozen(kw_only=True)
class Tolerance:
    """How far a fleet may exceed an allowance in any window.

    Attributes
    ----------
    window_s
        Length of the sliding window in seconds.
    overage
        Fraction of the allowed amount.
    slack
        Additional amount.
    """

    window_s: float
    overage: float = 0.0
    slack: float = 0.0


@attrs.frozen(kw_only=True)
class Allowance:
    """What a workspace may send to targets, over all daemons.

    Attributes
    ----------
    rate_per_s, burst
        Rate and bucket size, in the unit.
    plain_tokens
        Tokens of a request that states none.
    """

    rate_per_s: float
    burst: float
    unit: CostUnit = CostUnit.REQUESTS
    plain_tokens: int = 0

    def cost(self, stated_tokens: int | None) -> float:
        """Return the cost of one request.

        Parameters
        ----------
        stated_tokens
            Tokens of prompt and output that the request states; None if it states none.
        """
        if self.unit is CostUnit.REQUESTS:
            return 1.0
        return float(self.plain_tokens if stated_tokens is None else stated_tokens)

    def bucket_size(self, tolerance: Tolerance) -> float:
        """Return the burst plus the part of the tolerance that callers may use."""
        allowed = self.rate_per_s * tolerance.window_s + self.burst
        tolerated = allowed * tolerance.overage + tolerance.slack
        return self.burst + TOLERATED_BURST_FRACTION * tolerated


@attrs.frozen
class SpendingReport:
    """What one daemon has spent of an allowance, and what it needs.

    Attributes
    ----------
    workspace
        Name of the workspace.
    total
        Amount spent since the daemon started.
    acknowledged
        Total at the last report that any coordinator answered.
    need
        Cost of the requests that are waiting for this report; 0 if none.
    level
        Amount that was lately left in the bucket; None if that is not known.
    """

    workspace: str
    total: float
    acknowledged: float
    need: float = 0.0
    level: float | None = None


@attrs.frozen
class Grant:
    """Answer to a report.

    Attributes
    ----------
    credit
        Amount that the daemon may spend beyond the reported total.
    retry_after_s
        Seconds until the bucket holds tokens again; 0 if the need was granted.
    share
        Fraction of the fleet's spending that this daemon had lately.
    level
        Amount left in the bucket, for the log.
    """

    credit: float
    retry_after_s: float
    share: float
    level: float


@attrs.define
class _Daemon:
    """What the coordinator knows about one daemon's spending."""

    total: float
    recent: float = 0.0
    reserved: float = 0.0
    seen_at: float = 0.0

    def recent_at(self, now: float) -> float:
        """Return the recent spending, with older spending counted less."""
        return self.recent * math.exp((self.seen_at - now) / SHARE_WINDOW_S)


class LedgerAccount:
    """Bucket of one workspace, and the credits that daemons have of it."""

    def __init__(self, bucket: TokenBucket, now: float) -> None:
        self.bucket = bucket
        # For a while after this, daemons may know lower levels than this account has.
        self.opened_at = self.used_at = now
        self.daemons: dict[str, _Daemon] = {}

    def settle(self, daemon: str, report: SpendingReport, now: float) -> Grant:
        """Charge what a daemon has spent and return its new credit."""
        self.used_at = now
        self.bucket.refill(now)
        self._adopt_level(report, now)
        known = self._record(daemon, report, now)
        share = self._share(known, now)
        known.reserved = 0.0
        level = self.bucket.level
        if level >= AMPLE_FRACTION * self.bucket.burst:
            fraction = min(MAX_CREDIT_FRACTION, OVERLAP / self._count_active(now))
            credit = max(report.need, fraction * level)
            if credit <= level:
                return Grant(credit, 0.0, share, level)
        available = level - self._reserved(now)
        # The level may become negative by one request, so that large requests are not
        # refused more often than small ones.
        if available > 0.0:
            known.reserved = report.need
            return Grant(report.need, 0.0, share, level)
        return Grant(0.0, max(MIN_RETRY_S, -available / self.bucket.rate), share, level)

    def _adopt_level(self, report: SpendingReport, now: float) -> None:
        """Lower the level of a new account to what other daemons know of it."""
        age_s = now - self.opened_at
        if report.level is not None and age_s <= LEVEL_VALID_S:
            known = report.level + self.bucket.rate * age_s
            self.bucket.level = min(self.bucket.level, known)

    def _record(self, daemon: str, report: SpendingReport, now: float) -> _Daemon:
        known = self.daemons.get(daemon)
        # A daemon that dropped its credit counts from zero again.
        is_new = known is not None and not report.acknowledged and report.total < known.total
        if known is None or is_new:
            known = self.daemons[daemon] = _Daemon(report.acknowledged, seen_at=now)
        spent = report.total - known.total
        self.bucket.charge(spent)
        known.recent = known.recent_at(now) + max(0.0, spent)
        known.total = report.total
        known.seen_at = now
        return known

    def _share(self, known: _Daemon, now: float) -> float:
        for name in [n for n, d in self.daemons.items() if now - d.seen_at > FORGET_S]:
            del self.daemons[name]
        recent = sum(item.recent_at(now) for item in self.daemons.values())
        return known.recent / recent if recent > 0.0 else 0.0

    def _count_active(self, now: float) -> int:
        return sum(now - item.seen_at <= CREDIT_VALID_S for item in self.daemons.values())

    def _reserved(self, now: float) -> float:
        return sum(
            item.reserved
            for item in self.daemons.values()
            if now - item.seen_at <= CREDIT_VALID_S
        )


class FleetLedger:
    """Accounts of the workspaces that this daemon coordinates.

    Attributes
    ----------
    responsible_since
        Time since which this daemon coordinates its current workspaces. Another
        coordinator may have granted more before it.
    """

    def __init__(self, tolerance: Tolerance) -> None:
        self.tolerance = tolerance
        self.accounts: dict[str, LedgerAccount] = {}
        self.responsible_since = 0.0

    def settle(
        self,
        daemon: str,
        report: SpendingReport,
        allowance: Allowance,
        now: float,
        fraction: float = 1.0,
    ) -> Grant:
        """Charge what a daemon has spent and return its new credit.

        Parameters
        ----------
        fraction
            Fraction of the allowance that this daemon may grant.
        """
        if fraction < 1.0:
            allowance = attrs.evolve(
                allowance,
                rate_per_s=allowance.rate_per_s * fraction,
                burst=allowance.burst * fraction,
            )
        size = allowance.bucket_size(self.tolerance)
        account = self.accounts.get(report.workspace)
        if account is None:
            bucket = self._new_bucket(allowance.rate_per_s, size, report.level, now)
            account = self.accounts[report.workspace] = LedgerAccount(bucket, now)
        elif now - account.used_at > ACCOUNT_VALID_S:
            account.opened_at = now
        if (account.bucket.rate, account.bucket.burst) != (allowance.rate_per_s, size):
            account.bucket.set_rate(allowance.rate_per_s, now, size)
        return account.settle(daemon, report, now)

    def _new_bucket(
        self, rate_per_s: float, size: float, known_level: float | None, now: float
    ) -> TokenBucket:
        if known_level is None:
            bucket = TokenBucket(rate_per_s, self.responsible_since, size)
            bucket.level = START_FRACTION * size
        else:
            bucket = TokenBucket(rate_per_s, now, size)
            bucket.level = min(size, known_level)
        return bucket

    def keep_only(self, workspaces: Collection[str], now: float) -> None:
        """Drop the other accounts, which another coordinator may have kept lately."""
        for name in self.accounts.keys() - set(workspaces):
            del self.accounts[name]
        self.responsible_since = now


class Verdict(enum.Enum):
    """What a daemon does with a request, by its credit."""

    ADMIT = "admit"
    ASK = "ask"
    REFUSE = "refuse"


class WorkspaceCredit:
    """One daemon's part of a workspace's allowance.

    Attributes
    ----------
    total
        Amount spent since the start.
    acknowledged
        Total at the last report that was answered.
    limit
        Total up to which the credit covers requests.
    valid_until
        Time until which the credit may be used.
    refused_until
        Time before which the coordinator need not be asked again.
    retry_at
        Time at which the bucket should hold tokens again.
    unreported_since
        Time of the first spending after the last report; None if there is none.
    share
        Last known fraction of the fleet's spending.
    """

    def __init__(self) -> None:
        self.total = 0.0
        self.acknowledged = 0.0
        self.limit = 0.0
        self.valid_until = float("-inf")
        self.refused_until = float("-inf")
        self.retry_at = float("-inf")
        self.unreported_since: float | None = None
        self.share = 0.0
        self.answered_at = float("-inf")
        self.level: float | None = None
        self.fallback: TokenBucket | None = None

    def check(self, cost: float, now: float) -> Verdict:
        """Return whether the credit covers a request, or whether to ask for more."""
        if now < self.valid_until and self.total + cost <= self.limit:
            return Verdict.ADMIT
        if now < self.refused_until:
            return Verdict.REFUSE
        return Verdict.ASK

    def spend(self, cost: float, now: float) -> None:
        """Charge a request that is sent to a target."""
        self.total += cost
        if self.unreported_since is None:
            self.unreported_since = now

    def refund(self, cost: float, now: float) -> None:
        """Return the cost of a request that surely did not run."""
        self.spend(-cost, now)

    def is_report_due(self, now: float) -> bool:
        """Return whether spending must be reported now."""
        since = self.unreported_since
        return since is not None and now - since >= REPORT_DELAY_S

    def report(self, workspace: str, now: float, need: float = 0.0) -> SpendingReport:
        """Return a report of the spending so far."""
        self.unreported_since = None
        level = self.level if now - self.answered_at <= LEVEL_VALID_S else None
        return SpendingReport(workspace, self.total, self.acknowledged, need, level)

    def record_unanswered(self, report: SpendingReport, now: float) -> None:
        """Record that a report may not have arrived."""
        if report.total != report.acknowledged and self.unreported_since is None:
            self.unreported_since = now

    def apply(self, report: SpendingReport, grant: Grant, sent_at: float, now: float) -> None:
        """Take over the answer to a report."""
        self.acknowledged = report.total
        self.limit = report.total + grant.credit
        self.valid_until = sent_at + CREDIT_VALID_S
        self.share = grant.share
        self.level = grant.level
        self.answered_at = now
        self.fallback = None
        if grant.retry_after_s > 0.0:
            self.refused_until = now + min(MAX_REFUSED_S, grant.retry_after_s)
            self.retry_at = now + grant.retry_after_s
        else:
            self.refused_until = now

    def take_fallback(
        self, cost: float, allowance: Allowance, daemons: float, number: float, now: float
    ) -> float:
        """Admit a request without a coordinator; return 0 or the seconds to wait.

        Parameters
        ----------
        daemons
            Number of daemons in the fleet.
        number
            Random number from 0 to 1. It spreads the first requests of the daemons
            over the time in which the shares allow them.
        """
        share = 1.0 / max(1.0, daemons)
        if now - self.answered_at <= LAST_GRANT_S:
            if self.total + cost <= self.limit:
                return 0.0
            share = max(share, LAST_SHARE_FRACTION * self.share)
        rate, burst = allowance.rate_per_s * share, max(1.0, allowance.burst * share)
        if self.fallback is None:
            self.fallback = TokenBucket(rate, now, burst)
            self.fallback.level = 1.0 if number * cost < burst else -number * cost
        elif self.fallback.rate != rate:
            self.fallback.set_rate(rate, now, burst)
        return self.fallback.take(cost, now)
