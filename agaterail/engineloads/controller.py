"""Report engine loads to the daemon that gathers them, and answer as that daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import gevent
from returns.result import Failure, Result, Success

from agaterail import logs
from agaterail.decisions.engineloads import MIN_DAEMONS, DaemonReport, report_period_s
from agaterail.engineloads import messages
from agaterail.engineloads.messages import LoadQuestion

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from prometheus_client import Counter

    from agaterail.engineloads.gatherer import Gatherer
    from agaterail.engineloads.messages import LoadAnswer
    from agaterail.engineloads.ownloads import OwnEngineLoads
    from agaterail.engineloads.view import FleetEngineLoads
    from agaterail.gateway.coordinators import Coordinators
    from agaterail.gateway.httpserver import CallerConnection
    from agaterail.gateway.inbound import InboundRequest
    from agaterail.gateway.targets import Target

logger = logs.get_logger("loads")

TICK_S = 0.1
# No request waits for an answer, so a busy daemon has some time.
REPORT_TIMEOUT_S = 0.3
# A daemon of a former build answers 404.
UNSUPPORTED_S = 5.0
MAX_REFUSALS = 256
OK, BAD_REQUEST, NOT_FOUND, UNAVAILABLE = 200, 400, 404, 503


def account_of(service: str) -> str:
    """Return the account whose coordinator gathers the loads of a service's engines."""
    return f"engine-loads/{service}"


@attrs.define
class _Exchange:
    """State of the reports on one service.

    Attributes
    ----------
    due_at
        Time of the next report.
    under_way
        Whether a report waits for its answer.
    gatherer
        Address of the daemon that got the last report.
    answer_bytes
        Size of the last answer without its list of engines.
    failure
        Why the last report was not answered; empty if it was.
    """

    due_at: float
    under_way: bool = False
    gatherer: str = ""
    answer_bytes: int = 0
    failure: str = ""


class EngineLoadController:
    """Exchanges engine loads where this daemon is a small part of the fleet.

    Parameters
    ----------
    coordinators
        The daemons that may gather.
    view
        Takes over the answers.
    own
        This daemon's own figures.
    gatherer
        Answers the reports of other daemons.
    domain
        Failure domain of this host.
    services
        Returns the services of engines that routes with prompts lead to.
    targets_of
        Returns the engines of a service.
    reports
        Counter of reports by outcome.
    now
        Returns the time.
    number
        Returns a random number from 0 to 1.

    Attributes
    ----------
    unsupported_until
        Time until which each daemon of a former build gets no reports.
    refused_at
        Time at which the last refusal of a daemon's report was logged.
    """

    period_s = TICK_S

    def __init__(
        self,
        coordinators: Coordinators,
        view: FleetEngineLoads,
        own: OwnEngineLoads,
        gatherer: Gatherer,
        domain: str,
        services: Callable[[], Sequence[str]],
        targets_of: Callable[[str], Iterable[Target]],
        reports: Counter,
        now: Callable[[], float],
        number: Callable[[], float],
    ) -> None:
        self.coordinators = coordinators
        self.view = view
        self.own = own
        self.gatherer = gatherer
        self.domain = domain
        self.services = services
        self.targets_of = targets_of
        self.reports = reports
        self.now = now
        self.number = number
        self.exchanges: dict[str, _Exchange] = {}
        self.unsupported_until: dict[str, float] = {}
        self.refused_at: dict[str, float] = {}
        coordinators.on_change.append(self._on_change)

    # Reporting.

    def step(self) -> None:
        """Send the reports that are due, and forget what is too old."""
        for expired in self.view.forget_expired():
            self._log_lost(expired.service)
        services = self._services()
        self.own.active = bool(services)
        for service in self.exchanges.keys() - set(services):
            self._stop(service)
        now = self.now()
        for service in services:
            exchange = self.exchanges.get(service)
            if exchange is None:
                # All daemons read a new desired state at about the same time.
                due_at = now + self.number() * self._report_period_s()
                self.exchanges[service] = _Exchange(due_at)
            elif now >= exchange.due_at and not exchange.under_way:
                exchange.due_at = now + self._report_period_s()
                exchange.under_way = True
                gevent.spawn(self._run, service, exchange)

    def _services(self) -> list[str]:
        if self.coordinators.daemons() < MIN_DAEMONS:
            return []
        return [service for service in self.services() if self.targets_of(service)]

    def _report_period_s(self) -> float:
        size = sum(item.answer_bytes for item in self.exchanges.values())
        services = max(1, len(self.exchanges))
        return report_period_s(self.coordinators.daemons(), services, size)

    def _stop(self, service: str) -> None:
        del self.exchanges[service]
        if self.view.tag_of(service):
            self.view.forget(service)
            logger.info("Engine loads lost.", service=service, reason="not exchanged now")

    def _run(self, service: str, exchange: _Exchange) -> None:
        try:
            self._report(service, exchange)
        finally:
            exchange.under_way = False

    def _report(self, service: str, exchange: _Exchange) -> None:
        address = self.coordinators.of(account_of(service))
        if address != exchange.gatherer:
            logger.info(
                "Gatherer of engine loads changed.",
                service=service,
                former=exchange.gatherer or None,
                gatherer=address or None,
                reason=exchange.failure or None,
            )
            exchange.gatherer = address
        sent_at = self.now()
        answer = self._ask(address, self._question(service, sent_at), exchange)
        if isinstance(answer, Success):
            had_figures = bool(self.view.tag_of(service))
            period_s = self._report_period_s()
            exchange.failure = self.view.record(
                service, answer.unwrap(), address, sent_at, period_s
            )
            if not exchange.failure and not had_figures:
                self._log_known(service, answer.unwrap(), exchange)
            self.reports.labels("answered").inc()
        else:
            exchange.failure = answer.failure()
            self.reports.labels("failed").inc()
            if self.coordinators.of(account_of(service)) not in ("", address):
                exchange.due_at = self.now()  # another one is asked with the next tick

    def _question(self, service: str, now: float) -> LoadQuestion:
        report = DaemonReport(
            daemon=self.coordinators.name,
            domain=self.domain,
            period_s=self._report_period_s(),
            rows=self.own.take_rows(self.targets_of(service), now),
        )
        return LoadQuestion(service, self.view.tag_of(service), report)

    def _ask(
        self, address: str, question: LoadQuestion, exchange: _Exchange
    ) -> Result[LoadAnswer, str]:
        if not address:
            return Failure("no coordinator")
        if address == self.coordinators.own_address:
            own_answer = self._gather(question)
            return Failure("not gathered here") if own_answer is None else Success(own_answer)
        if self.now() < self.unsupported_until.get(address, 0.0):
            return Failure("former build")
        called = self.coordinators.call(
            address,
            messages.PATH.decode(),
            messages.encode_question(question),
            timeout_s=REPORT_TIMEOUT_S,
        )
        if not isinstance(called, Success):
            return Failure(called.failure())
        status, body = called.unwrap()
        return self._decode(address, status, body, exchange)

    def _decode(
        self, address: str, status: int, body: bytes, exchange: _Exchange
    ) -> Result[LoadAnswer, str]:
        if status != OK:
            if status != UNAVAILABLE:
                self.unsupported_until[address] = self.now() + UNSUPPORTED_S
            return Failure(f"status {status}")
        decoded = messages.decode_answer(body)
        if isinstance(decoded, Success):
            exchange.answer_bytes = messages.figures_size(decoded.unwrap(), body)
        else:
            self.coordinators.record_failure(address, decoded.failure())
        return decoded

    # Gathering.

    def handle(self, inbound: InboundRequest, caller: CallerConnection) -> None:
        """Answer another daemon's report."""
        decoded = messages.decode_question(inbound.body)
        if not isinstance(decoded, Success):
            self._log_refused("", decoded.failure(), 0)
            caller.send_answer(BAD_REQUEST, [], b"")
            return
        question = decoded.unwrap()
        if question.refused:
            reason, count = question.refused[0], len(question.refused)
            self._log_refused(question.report.daemon, reason, count)
        answer = self._gather(question)
        if answer is None:
            caller.send_answer(UNAVAILABLE, [], b"")
        else:
            caller.send_answer(OK, [], messages.encode_answer(answer))

    def _gather(self, question: LoadQuestion) -> LoadAnswer | None:
        if self.coordinators.was_suspended:
            self.gatherer.drop(self.now())
        return self.gatherer.answer(question)

    def _on_change(self, now: float, suspended: bool) -> None:
        if suspended:
            self.gatherer.drop(now)

    # Logs.

    def _log_refused(self, daemon: str, reason: str, rows: int) -> None:
        """Log a refusal, once for each daemon and period."""
        now = self.now()
        if now - self.refused_at.get(daemon, float("-inf")) < self._report_period_s():
            return
        if len(self.refused_at) >= MAX_REFUSALS:
            self.refused_at.clear()
        self.refused_at[daemon] = now
        logger.info(
            "Report of engine loads refused.",
            peer=daemon or None,
            reason=reason,
            rows=rows or None,
        )

    def _log_known(self, service: str, answer: LoadAnswer, exchange: _Exchange) -> None:
        logger.info(
            "Engine loads known.",
            service=service,
            engines=answer.count,
            fraction=round(answer.fraction, 3),
            age_s=round(answer.age_s, 3),
            gatherer=exchange.gatherer,
        )

    def _log_lost(self, service: str) -> None:
        exchange = self.exchanges.get(service)
        logger.info(
            "Engine loads lost.",
            service=service,
            reason=exchange.failure or "no answer" if exchange else "not exchanged now",
            gatherer=exchange.gatherer if exchange else None,
        )
