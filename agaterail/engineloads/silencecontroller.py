"""Follow which engines are silent, and act on it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import gevent
from returns.result import Success

from agaterail import logs
from agaterail.decisions.silence import (
    FAILURE_VALID_S,
    MIN_SILENCE_S,
    EngineView,
    SuspectedEngines,
)
from agaterail.gateway.requestcontext import urgency_of
from agaterail.util import rendezvous

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Sequence

    from returns.result import Result

    from agaterail.decisions.silence import SuspicionChange
    from agaterail.engineloads.figures import EngineLoads
    from agaterail.gateway.attempt import Attempt
    from agaterail.gateway.enginecontrol import EngineReport
    from agaterail.gateway.metrics import GatewayMetrics
    from agaterail.gateway.targets import Target, TargetRegistry

logger = logs.get_logger("silence")

PERIOD_S = 0.1
# Larger services are decided on less often, as reports are rarer there too.
ENGINES_PER_PERIOD = 200
# A step that is this late shows that this process was suspended or does not keep up: what
# has arrived meanwhile is still unread.
MAX_PAUSE_S = 0.3
# Figures that were told within this time of each other are of one answer.
SAME_ANSWER_S = 0.01
TRIAL_PERIOD_S = 0.5
MAX_TRIALS = 4  # under way at one daemon
# The daemon that is first in line for the trials of an engine may itself be down.
SECOND_TRIER_AFTER_S = 1.5


@attrs.frozen
class _KnownWaits:
    """Engines that other daemons wait for, by one answer of the gatherer."""

    told_at: float
    engines: frozenset[str]


class SilenceController:
    """Suspects engines by own waits and the figures of the other daemons.

    Without such figures it suspects none.

    Parameters
    ----------
    loads
        Returns the figures of the engines.
    daemons
        Returns the failure domain of each daemon by its address.
    own_address
        Address of this daemon among them.
    report
        Reads an engine's state.

    Attributes
    ----------
    active
        Whether there are figures.
    services
        The suspected engines, by service.
    decides_at
        Time of the next decision on each service.
    known_waits
        Engines that other daemons wait for, by service.
    attempts
        Attempts under way, by engine.
    failed_at
        Time of the latest request or connect that failed without a byte, by engine.
    resumed_at
        Time at which this process last went on after a pause.
    trials
        Engines that are being tried.
    tried_at
        Time at which each suspected engine was last due for a trial.
    triers
        Daemons that try each suspected engine, the first in line first.
    """

    period_s = PERIOD_S

    def __init__(
        self,
        loads: Callable[[], EngineLoads],
        registry: TargetRegistry,
        daemons: Callable[[], dict[str, str]],
        own_address: str,
        report: Callable[[Target], Result[EngineReport, str]],
        metrics: GatewayMetrics,
        now: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.loads = loads
        self.registry = registry
        self.daemons = daemons
        self.own_address = own_address
        self.report = report
        self.metrics = metrics
        self.now = now
        self.rng = rng
        self.active = False
        self.services: dict[str, SuspectedEngines] = {}
        self.decides_at: dict[str, float] = {}
        self.known_waits: dict[str, _KnownWaits] = {}
        self.attempts: dict[str, set[Attempt]] = {}
        self.failed_at: dict[str, float] = {}
        self.stepped_at = now()
        self.resumed_at = float("-inf")
        self.trials: set[str] = set()
        self.tried_at: dict[str, float] = {}
        self.triers: dict[str, list[str]] = {}

    # What requests ask and tell.

    def suspected(self, service: str) -> Collection[str]:
        """Return the engines of a service that are suspected to be silent."""
        engines = self.services.get(service)
        return () if engines is None else engines.suspected.keys()

    @property
    def suspected_count(self) -> int:
        """Return the number of suspected engines."""
        return sum(len(engines.suspected) for engines in self.services.values())

    def record_begin(self, attempt: Attempt) -> None:
        """Record that a request is sent to an engine."""
        if attempt.context.route.prompted and not attempt.choice.relayed:
            self.attempts.setdefault(attempt.instance, set()).add(attempt)

    def record_end(self, attempt: Attempt) -> None:
        """Record that an attempt is over."""
        attempts = self.attempts.get(attempt.instance)
        if attempts is None or attempt not in attempts:
            return
        attempts.discard(attempt)
        if not attempts:
            del self.attempts[attempt.instance]
        wait_s = self._wait_s(attempt, self.now())
        if wait_s > self._engines(attempt.context.service).usual.silence_s(attempt.has_events):
            self.record_failure(attempt.target)

    def record_failure(self, target: Target) -> None:
        """Record that a request or a connect failed without a byte of the engine."""
        if self.active:
            self.failed_at[target.instance] = self.now()

    def waiting_s(self, target: Target, now: float) -> float:
        """Return for how long an engine has been silent to this daemon; 0 if it is not.

        Other daemons are told this. A wait that is usual is no silence, and a request that
        was given up counts for a while.
        """
        view = self._view(target, now)
        usual = self._engines(target.registration.service).usual
        if view.has_failed:
            return max(view.wait_s, view.failed_s + MIN_SILENCE_S)
        return view.wait_s if view.wait_s > usual.silence_s(view.in_stream) else 0.0

    def record_wait(self, attempt: Attempt, wait_s: float) -> None:
        """Record how long the latest event of an attempt took."""
        if self.active and attempt.instance not in self.suspected(attempt.context.service):
            usual = self._engines(attempt.context.service).usual
            (usual.gap if attempt.has_events else usual.first).record(wait_s)

    def may_hedge_early(self, attempt: Attempt) -> bool:
        """Return whether an attempt is hedged at once if its engine is suspected."""
        return (
            self.active
            and not attempt.hedged_early
            and not attempt.choice.relayed
            and attempt.context.retry_state.may_run_again()
        )

    def should_hedge(self, attempt: Attempt, retries_left: float) -> bool:
        """Return whether to hedge an attempt now; more urgent ones go first.

        Parameters
        ----------
        retries_left
            Retries that remain of the budget.
        """
        suspected = self.suspected(attempt.context.service)
        if attempt.instance not in suspected or not self.may_hedge_early(attempt):
            return False
        priority = urgency_of(attempt.context)
        ahead = sum(
            urgency_of(other.context) < priority
            for instance in suspected
            for other in self.attempts.get(instance, ())
            if other.connection.waiting_since is not None and self.may_hedge_early(other)
        )
        if retries_left < ahead + 1.0:
            return False
        attempt.hedged_early = True
        self.metrics.early_hedges.inc()
        return True

    # What is decided periodically.

    def step(self) -> None:
        """Decide anew which engines are suspected, and try those that are."""
        now = self.now()
        if now - self.stepped_at > PERIOD_S + MAX_PAUSE_S:
            self.resumed_at = now
        self.stepped_at = now
        for service in list(self.registry.by_service.keys() | self.services.keys()):
            if now >= self.decides_at.get(service, 0.0):
                self._step_service(service, now)
        self.active = any(engines.has_figures for engines in self.services.values())
        self.failed_at = {
            instance: at
            for instance, at in self.failed_at.items()
            if now - at < FAILURE_VALID_S
        }
        self._start_trials(now)

    def _step_service(self, service: str, now: float) -> None:
        targets = [
            item
            for item in self.registry.of_service(service)
            if item.is_ready and item.registration.weights
        ]
        if not targets:
            if service in self.services:
                self._log(service, self.services.pop(service).clear("registration gone", now))
            return
        periods = max(1.0, len(targets) / ENGINES_PER_PERIOD)
        self.decides_at[service] = now + PERIOD_S * (periods - 0.5)
        suspected = self._engines(service)
        waited_for = self._engines_waited_for(service, targets, now)
        if waited_for is None:
            self._log(service, suspected.clear("no figures", now))
            return
        views = [
            self._view(target, now)
            for target in targets
            if target.instance in waited_for
            or target.instance in self.attempts
            or target.instance in self.failed_at
            or target.instance in suspected.suspected
        ]
        changes = suspected.update(
            views,
            engines=len(targets),
            heard=sum(now - target.data_at < MIN_SILENCE_S for target in targets),
            domains=len(set(self.daemons().values())),
            now=now,
            number=self.rng.random(),
        )
        self._log(service, changes)

    def _engines_waited_for(
        self, service: str, targets: Sequence[Target], now: float
    ) -> frozenset[str] | None:
        """Return the engines that other daemons wait for; None without figures.

        The figures of all engines are read only once for each answer of the gatherer.
        """
        loads = self.loads()
        first = loads.figures(targets[0].instance)
        told_at = float("nan") if first is None else now - first.age_s
        known = self.known_waits.get(service)
        if known is not None and abs(known.told_at - told_at) < SAME_ANSWER_S:
            return known.engines
        figures = {item.instance: loads.figures(item.instance) for item in targets}
        if not any(figures.values()):
            return None
        found = frozenset(
            instance
            for instance, item in figures.items()
            if item is not None and item.silent_daemons
        )
        self.known_waits[service] = _KnownWaits(told_at, found)
        return found

    def _view(self, target: Target, now: float) -> EngineView:
        instance, wait_s, in_stream = target.instance, 0.0, False
        for attempt in self.attempts.get(instance, ()):
            waited_s = self._wait_s(attempt, now)
            if waited_s > wait_s:
                wait_s, in_stream = waited_s, attempt.has_events
        failed_at = self.failed_at.get(instance, float("-inf"))
        return EngineView(
            instance=instance,
            start=target.start,
            figures=self.loads().figures(instance),
            wait_s=wait_s,
            in_stream=in_stream,
            failed_s=now - failed_at,
            heard_s=now - target.data_at,
        )

    def _wait_s(self, attempt: Attempt, now: float) -> float:
        since = attempt.connection.waiting_since
        return 0.0 if since is None else now - max(since, self.resumed_at)

    def _engines(self, service: str) -> SuspectedEngines:
        if service not in self.services:
            self.services[service] = SuspectedEngines()
        return self.services[service]

    # Trials.

    def _start_trials(self, now: float) -> None:
        suspicions = [
            (service, instance, suspicion)
            for service, engines in self.services.items()
            for instance, suspicion in engines.suspected.items()
        ]
        known = {instance for _, instance, _ in suspicions}
        self.tried_at = {name: at for name, at in self.tried_at.items() if name in known}
        self.triers = {name: found for name, found in self.triers.items() if name in known}
        for service, instance, suspicion in suspicions:
            if len(self.trials) >= MAX_TRIALS:
                return
            is_due = now - self.tried_at.get(instance, float("-inf")) >= TRIAL_PERIOD_S
            target = self.registry.targets.get(instance)
            if not is_due or target is None or instance in self.trials:
                continue
            self.tried_at[instance] = now
            if self._tries(instance, now - suspicion.since):
                self.trials.add(instance)
                gevent.spawn(self._try, service, target)

    def _tries(self, instance: str, suspected_s: float) -> bool:
        """Return whether this daemon is one of those that try an engine."""
        if instance not in self.triers:
            daemons = {*self.daemons(), self.own_address}
            self.triers[instance] = rendezvous.ranked(instance.encode(), daemons, 2)
        count = 1 if suspected_s < SECOND_TRIER_AFTER_S else 2
        return self.own_address in self.triers[instance][:count]

    def _try(self, service: str, target: Target) -> None:
        """Ask an engine for its state, since one that is hung still accepts connections."""
        try:
            answer = self.report(target)
        finally:
            self.trials.discard(target.instance)
        if not isinstance(answer, Success):
            self.record_failure(target)
            return
        # Told to the other daemons, this ends their suspicions.
        target.data_at = self.now()
        changes = self._engines(service).record_trial(target.instance, self.now())
        self._log(service, changes)

    def _log(self, service: str, changes: Sequence[SuspicionChange]) -> None:
        for change in changes:
            evidence = change.evidence
            ended = {"by": change.cleared_by, "after_s": round(change.lasted_s, 3)}
            logger.info(
                "Engine no longer suspected." if change.cleared_by else "Engine suspected.",
                service=service,
                target=change.instance,
                daemons=evidence.daemons,
                domains=evidence.domains,
                heard_s=round(evidence.heard_s, 3),
                figures_age_s=round(evidence.age_s, 3),
                **(ended if change.cleared_by else {}),
            )
