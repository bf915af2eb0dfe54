"""Tell an engine whose connections broke from one that started anew under its id."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from returns.result import Success

from agaterail import logs
from agaterail.util.backoff import backoff_s

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from returns.result import Result

    from agaterail.gateway.enginecontrol import EngineReport
    from agaterail.gateway.targets import Target

logger = logs.get_logger("targets")

INITIAL_PAUSE_S = 0.1
MAX_PAUSE_S = 2.0
# An engine answers in a few milliseconds.
CONFIRM_TIMEOUT_S = 0.3
# An engine takes longer than this to start.
CONFIRMED_VALID_S = 0.1


class RestartController:
    """Asks engines when they started.

    An engine that starts again under its id may be of another build, and its registration
    is read only later. Before a stream goes on at an engine, the engine reports its start,
    and a stream that begins after a connection broke is of an unknown build until then.

    Parameters
    ----------
    report
        Reads an engine's state.
    now
        Returns the time.

    Attributes
    ----------
    questions
        Questions that are under way, by target.
    repairing
        Targets that are asked until they have answered.
    silent
        Targets that did not answer, which is logged once.
    """

    def __init__(
        self, report: Callable[[Target], Result[EngineReport, str]], now: Callable[[], float]
    ) -> None:
        self.report = report
        self.now = now
        self.questions: dict[str, gevent.Greenlet] = {}
        self.repairing: set[str] = set()
        self.silent: set[str] = set()

    def record_break(self, target: Target) -> None:
        """Record that a connection to a target broke or could not be opened."""
        target.record_break(self.now())
        if target.registration.weights and target.instance not in self.repairing:
            self.repairing.add(target.instance)
            gevent.spawn(self._repair, target)

    def record_connect(self, target: Target) -> None:
        """Ask a target that may have started anew as soon as it can be connected."""
        if self._may_learn(target) and target.registration.weights:
            self._question(target)

    def confirm(self, target: Target, timeout_s: float = CONFIRM_TIMEOUT_S) -> bool:
        """Return whether a target runs since the start that it registered.

        Targets that serve no model cannot be asked.
        """
        if not target.registration.weights:
            return target.is_confirmed
        if not self._is_valid(target) and not target.reported_born:
            self._question(target).join(timeout_s)
        return self._is_valid(target)

    def _may_learn(self, target: Target) -> bool:
        return not target.is_confirmed and not target.reported_born

    def ask_presumed(self, targets: Iterable[Target]) -> None:
        """Ask the engines that are presumed to leave whether they do."""
        for target in targets:
            if target.presumed_until is not None and target.registration.weights:
                self._question(target)

    def _check_presumption(self, target: Target, report: EngineReport) -> None:
        if target.presumed_until is None:
            return
        if report.leaving:
            target.record_leaving(is_start_known=True, at=self.now())
        else:
            target.end_presumption()
        logger.info(
            "Target asked whether it leaves.",
            target=target.instance,
            born=report.born,
            leaving=report.leaving,
        )

    def _is_valid(self, target: Target) -> bool:
        is_recent = self.now() - target.confirmed_at < CONFIRMED_VALID_S
        return is_recent and target.is_confirmed and not target.gone

    def _question(self, target: Target) -> gevent.Greenlet:
        """Return the question that is under way, or ask one."""
        question = self.questions.get(target.instance)
        if question is None:
            question = self.questions[target.instance] = gevent.spawn(self._ask, target)
        return question

    def _repair(self, target: Target) -> None:
        """Ask a target until it has answered or is gone."""
        tries = 0
        try:
            while target.is_ready and self._may_learn(target):
                self._question(target).join()
                if self._may_learn(target):
                    gevent.sleep(backoff_s(tries, INITIAL_PAUSE_S, MAX_PAUSE_S))
                tries += 1
        finally:
            self.repairing.discard(target.instance)
            self.silent.discard(target.instance)

    def _ask(self, target: Target) -> None:
        asked_at, registration = self.now(), target.registration
        try:
            found = self.report(target)
        finally:
            self.questions.pop(target.instance, None)
        if not isinstance(found, Success):
            if target.instance not in self.silent:
                self.silent.add(target.instance)
                logger.info(
                    "Start of a target not confirmed.",
                    target=target.instance,
                    reason=found.failure(),
                )
            return
        self.silent.discard(target.instance)
        report = found.unwrap()
        born = report.born
        if born == registration.born:
            target.confirm(asked_at)
            self._check_presumption(target, report)
            return
        target.record_break(self.now())
        target.record_restart(born)
        self._check_presumption(target, report)
        # Until this start is registered, nothing more is to be learned.
        logger.info(
            "Target started anew.",
            target=target.instance,
            born=born,
            registered=registration.born,
            build=registration.build,
        )
