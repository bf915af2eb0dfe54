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
from agaterail.gateway.placement import choose_by_hash
from agaterail.util.httpconn import ConnectionsByAddress

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from agaterail.decisions.allowances import Allowance, Tolerance

logger = logs.get_logger("allowances")

PATH = b"/allowances/1"
PERIOD_S = 0.1
# Daemons are 1 to 2 ms apart. A request waits no longer than this for an answer; then it
# is decided by the daemon's share.
ASK_TIMEOUT_S = 0.08
PEER_BACKOFF_S = 1.0
# A caller whose request a share does not cover comes back after this time at the latest; a
# coordinator is likely to answer by then.
MAX_SHARE_RETRY_S = 0.5
CONTACT_PERIOD_S = 0.5
FLEET_SIZE_VALID_S = 15.0
# Peers replace a coordinator that pauses for longer than this.
MAX_PAUSE_S = 0.5
# Daemons estimate the size of the fleet differently and know lists of readers of
# different lengths, which begin alike.
COORDINATORS = 2
MAX_CREDITS = 32768
MAX_AMOUNT = 10**15
MAX_REPORTS_PER_MESSAGE = 64
OK = 200

_DECODER = msgspec.msgpack.Decoder(list[Grant | None])


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

    A hash of the workspace's name selects its coordinator among the first daemons that
    read the platform's store for the others. Without an answer of the coordinator, a daemon
    decides by its share of the allowance.

    Parameters
    ----------
    name
        Name of this process, unique among all processes of all hosts.
    own_address
        Address at which this daemon answers its peers.
    readers
        Returns the addresses of the daemons that may coordinate.
    allowance_of
        Returns the allowance of a workspace by its name.
    daemons
        Returns the number of daemons in the fleet.
    number
        Returns a random number from 0 to 1.
    has_allowances
        Returns whether any workspace has an allowance.
    """

    period_s = PERIOD_S

    def __init__(
        self,
        name: str,
        own_address: str,
        tolerance: Tolerance,
        readers: Callable[[], tuple[str, ...]],
        allowance_of: Callable[[str], Allowance | None],
        daemons: Callable[[], float],
        now: Callable[[], float],
        number: Callable[[], float],
        has_allowances: Callable[[], bool] = lambda: True,
    ) -> None:
        self.name = name
        self.own_address = own_address
        self.tolerance = tolerance
        self.readers = readers
        self.allowance_of = allowance_of
        self.daemons = daemons
        self.now = now
        self.number = number
        self.has_allowances = has_allowances
        self.ledger = FleetLedger(tolerance)
        self.known_readers: frozenset[str] = frozenset()
        self.credits: dict[str, WorkspaceCredit] = {}
        self.locks: dict[str, RLock] = {}
        self.peers = ConnectionsByAddress(ASK_TIMEOUT_S)
        self.backoff_until: dict[str, float] = {}
        self.exhausted: set[str] = set()
        self.stepped_at = now()
        self.contact_at = 0.0
        self.fleet_size = 0.0
        self.sized_at = 0.0

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
        """Report what was spent, and follow changes of the coordinators."""
        now = self.now()
        if now - self.stepped_at > MAX_PAUSE_S:
            # This host was suspended. Another one may have coordinated meanwhile.
            self.ledger.keep_only((), now)
        self.stepped_at = now
        self._follow_readers(now)
        self._make_contact(now)
        due: dict[str, list[str]] = {}
        for workspace, credit in self.credits.items():
            if credit.is_report_due(now) and not self.locks[workspace].locked():
                due.setdefault(self._coordinator(workspace), []).append(workspace)
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
        self.ledger.record_contact(daemon, now)
        return msgspec.msgpack.encode([self._settle(daemon, item, now) for item in reports])

    def _make_contact(self, now: float) -> None:
        """Tell the coordinators from time to time that this daemon takes them for such."""
        self.ledger.record_contact(self.name, now)
        if now < self.contact_at or not self.has_allowances():
            return
        self.contact_at = now + CONTACT_PERIOD_S
        for address in self.readers()[:COORDINATORS]:
            if address != self.own_address:
                gevent.spawn(self._call, address, (), now)

    def _fleet_size(self, now: float) -> float:
        """Return the largest size of the fleet lately.

        Daemons that lose the platform's store lose their membership, but not their callers.
        """
        daemons = self.daemons()
        if daemons >= self.fleet_size or now - self.sized_at > FLEET_SIZE_VALID_S:
            self.fleet_size, self.sized_at = daemons, now
        return self.fleet_size

    def _credit(self, workspace: str) -> WorkspaceCredit:
        credit = self.credits.get(workspace)
        if credit is None:
            if len(self.credits) >= MAX_CREDITS:
                oldest = next(iter(self.credits))
                del self.credits[oldest], self.locks[oldest]
            credit = self.credits[workspace] = WorkspaceCredit()
            self.locks[workspace] = RLock()
        return credit

    def _coordinator(self, workspace: str) -> str:
        """Return the address of a workspace's coordinator; empty if there is none.

        One that does not answer is replaced. Its replacement grants nothing before it
        has seen the same.
        """
        readers, now = self.readers()[:COORDINATORS], self.now()
        answering = [item for item in readers if now >= self.backoff_until.get(item, 0.0)]
        return choose_by_hash(workspace, answering) if answering else ""

    def _follow_readers(self, now: float) -> None:
        readers = frozenset(self.readers()[:COORDINATORS])
        if readers == self.known_readers:
            return
        kept = [name for name in self.ledger.accounts if self._coordinates(name)]
        self.ledger.keep_only(kept, now)
        self.known_readers = readers

    def _coordinates(self, workspace: str) -> bool:
        return self._coordinator(workspace) == self.own_address

    def _ask(
        self, workspace: str, credit: WorkspaceCredit, allowance: Allowance, cost: float
    ) -> Verdict:
        """Ask the coordinator for a request; without an answer, decide by the share."""
        with self.locks[workspace]:
            verdict = credit.check(cost, self.now())
            if verdict is not Verdict.ASK:
                return verdict  # the answer to another request covers this one
            for _ in range(COORDINATORS):
                coordinator = self._coordinator(workspace)
                reports = [credit.report(workspace, self.now(), cost)]
                if coordinator and self._exchange(coordinator, reports):
                    verdict = credit.check(cost, self.now())
                    return Verdict.REFUSE if verdict is Verdict.ASK else verdict
            now = self.now()
            wait_s = credit.take_fallback(cost, allowance, self.daemons(), self.number(), now)
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
        if coordinator == self.own_address:
            grants = [self._settle(self.name, item, sent_at) for item in reports]
        else:
            grants = self._call(coordinator, reports, sent_at)
        now = self.now()
        for report, grant in itertools.zip_longest(reports, grants):
            credit = self.credits.get(report.workspace)
            if credit is not None and grant is not None:
                credit.apply(report, grant, sent_at, now)
            elif credit is not None:
                credit.record_unanswered(report, now)
        return len(grants) == len(reports) and None not in grants

    def _call(
        self, coordinator: str, reports: Sequence[SpendingReport], now: float
    ) -> list[Grant | None]:
        if now < self.backoff_until.get(coordinator, 0.0):
            return []
        called = self.peers.to(coordinator).call(
            "GET", encode_query(self.name, reports), timeout_s=ASK_TIMEOUT_S
        )
        if isinstance(called, Success):
            status, body = called.unwrap()
            reason = f"status {status}"
            if status == OK:
                try:
                    grants = _DECODER.decode(body)
                except msgspec.MsgspecError as error:
                    reason = str(error)
                else:
                    return grants if len(grants) == len(reports) else []
        else:
            reason = called.failure().reason
        self.backoff_until[coordinator] = self.now() + PEER_BACKOFF_S
        logger.info("Coordinator did not answer.", peer=coordinator, reason=reason)
        return []

    def _settle(self, daemon: str, report: SpendingReport, now: float) -> Grant | None:
        """Return a grant, or None if this daemon does not coordinate the workspace."""
        self._follow_readers(now)
        allowance = self.allowance_of(report.workspace)
        if allowance is None or not self._coordinates(report.workspace):
            return None
        fraction = self.ledger.fleet_fraction(self._fleet_size(now), now)
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
            coordinator=self._coordinator(workspace),
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
    pairs = [f"daemon={quote(daemon, safe='')}"]
    for item in reports:
        values = (item.total, item.acknowledged, item.need, item.level)
        numbers = ":".join("" if value is None else f"{value:.0f}" for value in values)
        pairs.append(f"r={quote(item.workspace, safe='')}:{numbers}")
    return f"{PATH.decode()}?" + "&".join(pairs)


def decode_query(query: bytes) -> tuple[str, list[SpendingReport]]:
    """Parse the reports of a daemon from a query string.

    Raises
    ------
    ValueError
        If the query string is malformed.
    """
    first, *rest = query.decode("ascii").split("&")
    name, _, daemon = first.partition("=")
    if name != "daemon" or not daemon:
        raise ValueError("daemon parameter is missing")
    reports = []
    for pair in rest:
        name, _, value = pair.partition("=")
        workspace, *numbers = value.split(":")
        if name != "r" or len(numbers) != 4:
            raise ValueError("report is malformed")
        total, acknowledged, need = map(_parse_amount, numbers[:3])
        level = _parse_amount(numbers[3]) if numbers[3] else None
        reports.append(SpendingReport(unquote(workspace), total, acknowledged, need, level))
    return unquote(daemon), reports


def _parse_amount(text: str) -> float:
    amount = int(text)
    if abs(amount) > MAX_AMOUNT:
        raise ValueError("amount is implausible")
    return float(amount)
