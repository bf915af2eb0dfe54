"""Keep the allowances of workspaces together with the other daemons."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING
from urllib.parse import quote, unquote

import attrs
import gevent
import msgspec
from gevent.lock import RLock
from returns.result import Success

from agaterail import logs
from agaterail.decisions.allowances import (
    FleetLedger,
    Grant,
    SpendingReport,
    Verdict,
    WorkspaceCredit,
)
from agaterail.gateway.coordinators import COORDINATORS, query_path, split_query
from agaterail.util.untrusted import DecodeError, MsgpackDecoder

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from agaterail.decisions.allowances import Allowance, Tolerance
    from agaterail.gateway.coordinators import Coordinators

logger = logs.get_logger("allowances")

PATH = b"/allowances/1"
PERIOD_S = 0.1
# A caller whose request a share does not cover comes back after this time at the latest; a
# coordinator is likely to answer by then.
MAX_SHARE_RETRY_S = 0.5
MAX_CREDITS = 32768
MAX_AMOUNT = 10**15
MAX_REPORTS_PER_MESSAGE = 64
OK = 200

_DECODER: MsgpackDecoder[list[Grant | None]] = MsgpackDecoder(list[Grant | None])


@attrs.frozen
class OverAllowance:
    """Why a request exceeds its workspace's allowance.

    Attributes
    ----------
    retry_after_s
        Seconds until the allowance should cover it; None if it never will.
    """

    detail: str
    retry_after_s: float | None


class AllowanceController:
    """Decides whether a workspace's allowance covers a request.

    Without an answer of the workspace's coordinator, a daemon decides by its share of the
    allowance.

    Parameters
    ----------
    coordinators
        The daemons that keep the accounts of workspaces.
    allowance_of
        Returns the allowance of a workspace by its name.
    now
        Returns the time.
    number
        Returns a random number from 0 to 1.
    has_allowances
        Returns whether any workspace has an allowance.
    """

    period_s = PERIOD_S

    def __init__(
        self,
        coordinators: Coordinators,
        tolerance: Tolerance,
        allowance_of: Callable[[str], Allowance | None],
        now: Callable[[], float],
        number: Callable[[], float],
        has_allowances: Callable[[], bool] = lambda: True,
    ) -> None:
        self.coordinators = coordinators
        self.tolerance = tolerance
        self.allowance_of = allowance_of
        self.now = now
        self.number = number
        self.ledger = FleetLedger(tolerance)
        self.credits: dict[str, WorkspaceCredit] = {}
        self.locks: dict[str, RLock] = {}
        self.exhausted: set[str] = set()
        coordinators.users.append(has_allowances)
        coordinators.on_change.append(self._drop_accounts)

    def admit(self, workspace: str, allowance: Allowance, cost: float) -> OverAllowance | None:
        """Charge a request; return why it is not covered, or None if it is."""
        if cost > max(allowance.burst, allowance.bucket_size(self.tolerance)):
            return OverAllowance(
                f"The request costs {cost:.0f} {allowance.unit.value}, more than the burst"
                f" of {allowance.burst:.0f}.",
                None,
            )
        credit = self._credit(workspace)
        verdict = credit.check(cost, self.now())
        if verdict is Verdict.ASK:
            verdict = self._ask(workspace, credit, allowance, cost)
        now = self.now()
        if verdict is Verdict.ADMIT:
            credit.spend(cost, now)
            self._log_change(workspace, credit, exhausted=False)
            return None
        self._log_change(workspace, credit, exhausted=True)
        return OverAllowance(
            self._describe(allowance, credit, cost, now), max(0.0, credit.retry_at - now)
        )

    def refund(self, workspace: str, cost: float) -> None:
        """Return the cost of a request that surely did not run."""
        self._credit(workspace).refund(cost, self.now())

    def step(self) -> None:
        """Report what was spent."""
        now = self.now()
        due: dict[str, list[str]] = {}
        for workspace, credit in self.credits.items():
            if credit.is_report_due(now) and not self.locks[workspace].locked():
                due.setdefault(self.coordinators.of(workspace), []).append(workspace)
        for coordinator, workspaces in due.items():
            if not coordinator:
                continue
            for start in range(0, len(workspaces), MAX_REPORTS_PER_MESSAGE):
                batch = workspaces[start : start + MAX_REPORTS_PER_MESSAGE]
                gevent.spawn(self._report_batch, coordinator, batch)

    def answer(self, query: bytes) -> bytes:
        """Answer the reports of a peer.

        Raises
        ------
        ValueError
            If the query is malformed.
        """
        daemon, reports = decode_query(query)
        now = self.now()
        self.coordinators.record_contact(daemon)
        return msgspec.msgpack.encode([self._settle(daemon, item, now) for item in reports])

    def _credit(self, workspace: str) -> WorkspaceCredit:
        credit = self.credits.get(workspace)
        if credit is None:
            if len(self.credits) >= MAX_CREDITS:
                oldest = next(iter(self.credits))
                del self.credits[oldest], self.locks[oldest]
            credit = self.credits[workspace] = WorkspaceCredit()
            self.locks[workspace] = RLock()
        return credit

    def _drop_accounts(self, now: float, suspended: bool) -> None:
        """Drop the accounts that another coordinator may have kept meanwhile."""
        kept = (
            []
            if suspended
            else list(filter(self.coordinators.coordinates, self.ledger.accounts))
        )
        self.ledger.keep_only(kept, now)

    def _ask(
        self, workspace: str, credit: WorkspaceCredit, allowance: Allowance, cost: float
    ) -> Verdict:
        """Ask the coordinator for a request; without an answer, decide by the share."""
        with self.locks[workspace]:
            verdict = credit.check(cost, self.now())
            if verdict is not Verdict.ASK:
                return verdict  # the answer to another request covers this one
            for _ in range(COORDINATORS):
                coordinator = self.coordinators.of(workspace)
                reports = [credit.report(workspace, self.now(), cost)]
                if coordinator and self._exchange(coordinator, reports):
                    verdict = credit.check(cost, self.now())
                    return Verdict.REFUSE if verdict is Verdict.ASK else verdict
            now = self.now()
            wait_s = credit.take_fallback(
                cost, allowance, self.coordinators.daemons(), self.number(), now
            )
            credit.retry_at = now + min(wait_s, MAX_SHARE_RETRY_S)
            return Verdict.REFUSE if wait_s > 0.0 else Verdict.ADMIT

    def _report_batch(self, coordinator: str, workspaces: Sequence[str]) -> None:
        now = self.now()
        reports = [
            self.credits[name].report(name, now) for name in workspaces if name in self.credits
        ]
        self._exchange(coordinator, reports)

    def _exchange(self, coordinator: str, reports: Sequence[SpendingReport]) -> bool:
        """Send reports and apply the grants; return whether all were answered."""
        sent_at = self.now()
        if coordinator == self.coordinators.own_address:
            name = self.coordinators.name
            grants = [self._settle(name, item, sent_at) for item in reports]
        else:
            grants = self._call(coordinator, reports)
        now = self.now()
        for report, grant in itertools.zip_longest(reports, grants):
            credit = self.credits.get(report.workspace)
            if credit is not None and grant is not None:
                credit.apply(report, grant, sent_at, now)
            elif credit is not None:
                credit.record_unanswered(report, now)
        return len(grants) == len(reports) and None not in grants

    def _call(self, coordinator: str, reports: Sequence[SpendingReport]) -> list[Grant | None]:
        called = self.coordinators.call(
            coordinator, encode_query(self.coordinators.name, reports)
        )
        if not isinstance(called, Success):
            return []
        status, body = called.unwrap()
        if status != OK:
            self.coordinators.record_failure(coordinator, f"status {status}")
            return []
        try:
            grants = _DECODER.decode(body)
        except DecodeError as error:
            self.coordinators.record_failure(coordinator, str(error))
            return []
        return grants if len(grants) == len(reports) else []

    def _settle(self, daemon: str, report: SpendingReport, now: float) -> Grant | None:
        """Return a grant, or None if this daemon does not coordinate the workspace."""
        self.coordinators.follow()
        allowance = self.allowance_of(report.workspace)
        if allowance is None or not self.coordinators.coordinates(report.workspace):
            return None
        fraction = self.coordinators.fleet_fraction()
        return self.ledger.settle(daemon, report, allowance, now, fraction)

    def _log_change(self, workspace: str, credit: WorkspaceCredit, exhausted: bool) -> None:
        if exhausted == (workspace in self.exhausted):
            return
        (self.exhausted.add if exhausted else self.exhausted.discard)(workspace)
        logger.info(
            "Allowance exhausted." if exhausted else "Allowance available.",
            workspace=workspace,
            level=None if credit.level is None else round(credit.level),
            share=round(credit.share, 4),
            age_s=round(min(3600.0, self.now() - credit.answered_at), 3),
            coordinator=self.coordinators.of(workspace),
        )

    def _describe(
        self, allowance: Allowance, credit: WorkspaceCredit, cost: float, now: float
    ) -> str:
        level = "unknown" if credit.level is None else f"{credit.level:.0f}"
        age_s = min(3600.0, now - credit.answered_at)
        source = f"share {credit.share:.4f}" if credit.fallback else "coordinator"
        return (
            f"Cost {cost:.0f}, {level} left {age_s:.2f} s ago of {allowance.rate_per_s:.0f}"
            f" {allowance.unit.value} per second, decided by {source}."
        )


def encode_query(daemon: str, reports: Sequence[SpendingReport]) -> str:
    """Return the path and query string of a daemon's reports."""
    rows = []
    for item in reports:
        values = (item.total, item.acknowledged, item.need, item.level)
        numbers = ":".join("" if value is None else f"{value:.0f}" for value in values)
        rows.append(f"r={quote(item.workspace, safe='')}:{numbers}")
    return query_path(PATH.decode(), daemon, tuple(rows))


def decode_query(query: bytes) -> tuple[str, list[SpendingReport]]:
    """Parse the reports of a daemon from a query string.

    Raises
    ------
    ValueError
        If the query string is malformed.
    """
    daemon, rows = split_query(query)
    reports = []
    for name, value in rows:
        workspace, *numbers = value.split(":")
        if name != "r" or len(numbers) != 4:
            raise ValueError("report is malformed")
        total, acknowledged, need = map(_parse_amount, numbers[:3])
        level = _parse_amount(numbers[3]) if numbers[3] else None
        reports.append(SpendingReport(unquote(workspace), total, acknowledged, need, level))
    return daemon, reports


def _parse_amount(text: str) -> float:
    amount = int(text)
    if abs(amount) > MAX_AMOUNT:
        raise ValueError("amount is implausible")
    return float(amount)
