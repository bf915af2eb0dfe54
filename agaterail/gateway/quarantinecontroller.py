"""Keep requests, and prompts with a part, that crash targets away from them."""

from __future__ import annotations

import itertools
import time
from typing import TYPE_CHECKING

import attrs
import gevent

from agaterail import logs
from agaterail.decisions.crashevidence import (
    BEGUN_EVENTS,
    EVIDENCE_S,
    MIN_CRASHES,
    BrokenPrompt,
    CrashEvidence,
    CrashReport,
    TargetStart,
)
from agaterail.decisions.requestkeys import id_digest, is_request
from agaterail.decisions.trials import Trials
from agaterail.gateway.controlstore import (
    CrashReported,
    PartQuarantined,
    PartsSurvived,
    Quarantine,
)
from agaterail.gateway.crashgossip import CrashGossip
from agaterail.gateway.crashrecordqueue import CrashRecordQueue

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Sequence

    from returns.result import Result

    from agaterail.decisions.requestkeys import RequestKeys
    from agaterail.gateway.attempt import Attempt
    from agaterail.gateway.connectionpool import ConnectionPool
    from agaterail.gateway.controlstore import Change, CrashChange, StoreError
    from agaterail.gateway.restartcontroller import RestartController
    from agaterail.gateway.targets import Target

logger = logs.get_logger("quarantine")

# The connections of a target that ends break within milliseconds of each other.
SETTLE_S = 0.03
CONNECT_TIMEOUT_S = 0.3
# A registration lapses after three heartbeats, which shows an end behind a dead host.
CONFIRM_S = 5.0
CONFIRM_PAUSE_S = 0.3
# Any daemon may have seen a part survive. All of them wait for a random time, longer in a
# large fleet, so that few tell it.
SURVIVAL_WAIT_PER_DAEMON_S = 0.01
MAX_SURVIVAL_WAIT_S = 1.0
# The daemon whose report decides writes the verdict; others do if it does not.
VERDICT_WAIT_S = 1.0
# A verdict on a request that did not come again is dropped some time after its next trial.
FORGET_S = 600.0
FORGET_SPREAD_S = 60.0
MAX_BROKEN = 256
MAX_PROMPTS = 48
# Keys of all prompts of a report; the store bounds the size of a record.
MAX_KEYS = 2048
MAX_LOGGED_KEYS = 64
MAX_SURVIVED = 8192
MAX_VERDICT_REQUESTS = 8


@attrs.frozen
class Block:
    """What keeps a request away from targets.

    Attributes
    ----------
    key
        The request's own key or that of a part of its prompt.
    retry_after_s
        Seconds after which it may be tried again; None for a part.
    """

    key: str
    retry_after_s: float | None = None

    @property
    def detail(self) -> str:
        """Return the reason for logs."""
        return self.key if is_request(self.key) else f"part {self.key}"


class QuarantineController:
    """Reports the requests at targets that crash, and blocks what causes crashes.

    All daemons follow the same reports in the platform's store and draw the same
    conclusions. A verdict is a record of its own there, which outlasts the fleet. One on a
    part holds until it is disproved or lifted; one on a request until a trial.

    Parameters
    ----------
    name
        Name of this daemon's process.
    pool
        Opens connections to targets.
    append
        Appends records to the store.
    daemons
        Returns the number of daemons.
    known_daemons
        Returns addresses of the other daemons.

    Attributes
    ----------
    quarantined
        Requests and parts that are kept away from targets.
    trials
        When requests that are kept away are tried again.
    survived
        Time at which an answer last went on by part, the latest at the end.
    completed
        Time at which an answer was last complete by request, the latest at the end.
    telling
        Requests and parts of which this daemon tells the others soon that they are sound.
    unrecorded_lifts
        Keys whose quarantine ended here and perhaps not in the store.
    broken
        Requests at targets that may have ended, until that is known.
    records
        Records on their way to the store.
    gossip
        Exchanges with other daemons what the store does not take.
    """

    def __init__(
        self,
        name: str,
        pool: ConnectionPool,
        restarts: RestartController,
        append: Callable[[Sequence[CrashChange]], Result[None, StoreError]],
        daemons: Callable[[], float],
        known_daemons: Callable[[], Sequence[str]],
        now: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.name = name
        self.pool = pool
        self.restarts = restarts
        self.records = CrashRecordQueue(append, self._apply_unstored, now)
        self.gossip = CrashGossip(known_daemons, self._apply_received, rng)
        self.daemons = daemons
        self.now = now
        self.rng = rng
        self.time_of_day = time.time
        self.evidence = CrashEvidence()
        self.quarantined: dict[str, Quarantine] = {}
        self.trials = Trials(rng)
        self.survived: dict[str, float] = {}
        self.completed: dict[str, float] = {}
        self.telling: set[str] = set()
        self.unrecorded_lifts: set[str] = set()
        self.broken: dict[TargetStart, list[BrokenPrompt]] = {}
        self.next_offset = 0

    # Requests.

    def find_block(self, keys: RequestKeys) -> Block | None:
        """Return what keeps a request away from targets, None if nothing does."""
        if not self.quarantined:
            return None
        for part in keys.parts:
            if part in self.quarantined:
                return Block(part)
        if keys.request not in self.quarantined:
            return None
        wait_s = self.trials.wait_s(keys.request, self.now())
        return Block(keys.request, wait_s) if wait_s else None

    def begin_send(self, keys: RequestKeys) -> Block | None:
        """Return what keeps a request from being sent now; otherwise a trial may begin."""
        block = self.find_block(keys)
        if block is None and keys.request in self.quarantined:
            logger.warning("Request is tried again.", key=keys.request)
            self.trials.begin(keys.request, self.now())
        return block

    def may_resend(self, keys: RequestKeys) -> bool:
        """Return whether so few targets ended under a request that it may run once more.

        Targets count before it is known whether they ended, as that takes longer than the
        next one does to end.
        """
        ended = self.evidence.crashes_of(keys.request)
        if not ended or self.evidence.is_outlived(
            keys.request, self._survived_at(keys.request)
        ):
            return True
        ending = {
            start
            for start, prompts in self.broken.items()
            if any(keys.request in prompt.parts for prompt in prompts)
        }
        return len(ended | ending) < MIN_CRASHES

    def record_survival(self, keys: RequestKeys) -> None:
        """Record that the answer to a prompt has got past its beginning."""
        self._keep_time(self.survived, keys.parts)
        self._tell_refuted(keys.parts)

    def record_completion(self, keys: RequestKeys) -> None:
        """Record that a target answered a request completely."""
        self._keep_time(self.completed, (keys.request,))
        if keys.request in self.quarantined:
            self._report_sound((keys.request,))
        else:
            self._tell_refuted((keys.request,))

    def _keep_time(self, times: dict[str, float], keys: Iterable[str]) -> None:
        now = self.now()
        for key in keys:
            times.pop(key, None)
            times[key] = now
        while len(times) > MAX_SURVIVED:
            del times[next(iter(times))]

    def _survived_at(self, key: str) -> float:
        """Return when a target last went on with a request or part."""
        times = self.completed if is_request(key) else self.survived
        return times.get(key, float("-inf"))

    def _tell_refuted(self, parts: Iterable[str]) -> None:
        """Tell the others if this daemon knows that suspected parts are sound."""
        refuted = [part for part in self._refuted(parts) if part not in self.telling]
        if refuted:
            self.telling.update(refuted)
            wait_s = min(MAX_SURVIVAL_WAIT_S, SURVIVAL_WAIT_PER_DAEMON_S * self.daemons())
            gevent.spawn_later(wait_s * self.rng.random(), self._report_survival, refuted)

    def _refuted(self, parts: Iterable[str]) -> tuple[str, ...]:
        """Return the parts with which an answer went on although they are suspected."""
        return tuple(
            part for part in parts if self.evidence.is_refuted(part, self._survived_at(part))
        )

    def _report_survival(self, parts: Sequence[str]) -> None:
        self.telling.difference_update(parts)
        still_refuted = self._refuted(parts)
        if still_refuted:
            self._report_sound(still_refuted)

    def _report_sound(self, parts: tuple[str, ...]) -> None:
        self.records.publish(PartsSurvived(parts, written_at=self.time_of_day()))
        for part in parts:
            if part in self.quarantined:
                self.lift(part)

    def record_broken(self, attempt: Attempt) -> None:
        """Record an answer that broke off; the target may have ended under the request."""
        target, context = attempt.target, attempt.context
        # Any shared part may be the cause, wherever in the prompt it is.
        parts = context.keys.parts if attempt.events < BEGUN_EVENTS else ()
        if not target.is_ready or target.lapsed_at is not None:
            return  # it was to end
        start = TargetStart(target.instance, target.start)
        if start not in self.broken:
            self.broken[start] = []
            gevent.spawn(self._report_end, target, start)
        if len(self.broken[start]) < MAX_BROKEN:
            request = id_digest(context.inbound.request_id)
            self.broken[start].append(BrokenPrompt(request, (*parts, context.keys.request)))

    # Crashes.

    def _report_end(self, target: Target, start: TargetStart) -> None:
        gevent.sleep(SETTLE_S)
        try:
            has_ended = self._has_ended(target, start)
        finally:
            prompts = self.broken.pop(start)
        report = CrashReport(start, self.most_telling(prompts))
        logger.info(
            "Target ended under requests." if has_ended else "Target did not end.",
            target=start.instance,
            born=start.born,
            requests=[prompt.request for prompt in report.prompts],
            count=len(prompts),
            keys=report.parts[:MAX_LOGGED_KEYS],
        )
        if has_ended:
            survived = tuple(
                part for part in report.parts if self._survived_at(part) > float("-inf")
            )
            report = attrs.evolve(report, survived=survived)
            for prompt in report.prompts:
                self._extend(prompt)
            written_at = self.time_of_day()
            self.records.publish(CrashReported(report, self.name, written_at=written_at))

    def most_telling(self, prompts: Sequence[BrokenPrompt]) -> tuple[BrokenPrompt, ...]:
        """Return the prompts to report: those suspected before, then those just begun.

        The first one is reported whatever the number of its parts, which the bound on a
        request's head limits.
        """
        ordered = sorted(
            prompts,
            key=lambda item: (
                item.parts[-1] not in self.evidence.suspects,
                len(item.parts) < 2,
            ),
        )
        sizes = itertools.accumulate(len(item.parts) for item in ordered)
        fitting = sum(size <= MAX_KEYS for size in sizes)
        return tuple(ordered[: min(MAX_PROMPTS, max(1, fitting))])

    def _extend(self, prompt: BrokenPrompt) -> None:
        """Keep a request away for longer if a target has ended under it once more."""
        key = prompt.parts[-1]
        known = self.quarantined.get(key)
        if known is None:
            return
        requests = (prompt.request, *known.requests)[:MAX_VERDICT_REQUESTS]
        self._quarantine(key, Quarantine(known.crashes + 1, requests=requests))
        self._record_verdict(key)

    def _has_ended(self, target: Target, start: TargetStart) -> bool:
        """Return whether a target ended, and not only connections to it.

        A host that refuses a connection is reached, but nothing listens there. Silence
        tells nothing until the registration lapses. A service that accepts a connection
        cannot be asked, but registers a later start.
        """
        can_be_asked = bool(target.registration.weights)
        accepts = False
        until = self.now() + CONFIRM_S
        while self.now() < until:
            if target.replaced or target.gone or target.start != start.born:
                return not target.leaving
            if not target.is_ready:
                return False
            if can_be_asked or not accepts:
                try:
                    self.pool.open(target, CONNECT_TIMEOUT_S).close()
                    accepts = True
                except ConnectionRefusedError:
                    return True
                except OSError:
                    accepts = False
            if accepts and can_be_asked and self.restarts.confirm(target):
                return False
            gevent.sleep(CONFIRM_PAUSE_S)
        return False

    # Records in the store.

    def apply(self, changes: Sequence[Change], next_offset: int, listed: bool) -> None:
        """Apply records that were read; a listing holds all verdicts that are in force."""
        if listed:
            kept = {item.part for item in changes if isinstance(item, PartQuarantined)}
            for part, quarantine in list(self.quarantined.items()):
                if quarantine.recorded and part not in kept:
                    self._lift(part, "not listed")
        fresh = [item for item in changes if listed or item.offset >= self.next_offset]
        self.next_offset = max(self.next_offset, next_offset)
        # A listing is in no order, and a survival ends only an earlier verdict.
        self._apply_all(sorted(fresh, key=lambda item: item.offset))

    def _apply_unstored(self, changes: Sequence[CrashChange]) -> None:
        """Apply records that the store does not take, here and at other daemons."""
        self.gossip.spread(changes)
        self._apply_received(changes)

    def _apply_received(self, changes: Sequence[CrashChange]) -> None:
        """Apply records that the store may not hold yet."""
        self._apply_all(changes, stored=False)

    def _apply_all(self, changes: Iterable[Change], stored: bool = True) -> None:
        has_reports, decided_here = False, False
        oldest = self.time_of_day() - EVIDENCE_S
        for change in changes:
            # A change that fails must not keep the others of its reading from being applied.
            try:
                match change:
                    case CrashReported() | PartsSurvived() if change.written_at < oldest:
                        continue
                    case CrashReported():
                        has_reports = True
                        decided_here = decided_here or change.reporter == self.name
                        self.evidence.add(change.report, self.now())
                        self._tell_refuted(change.report.parts)
                    case PartsSurvived():
                        self._apply_survival(change.parts)
                    case PartQuarantined():
                        self._apply_verdict(change, stored)
            except Exception:
                logger.exception("Could not apply a change.", offset=change.offset)
        if has_reports:
            self._decide(decided_here)

    def _apply_survival(self, parts: Iterable[str]) -> None:
        logger.info("Parts survived.", parts=parts)
        self.evidence.clear(parts)
        for part in parts:
            self._lift(part, "survived")

    def _apply_verdict(self, change: PartQuarantined, stored: bool) -> None:
        self.unrecorded_lifts.discard(change.part)
        if change.quarantine is None:
            self.evidence.clear([change.part])
            self._lift(change.part, "lifted by a record")
            return
        if change.part not in self.quarantined:
            logger.warning(
                _quarantined_event(change.part),
                key=change.part,
                crashes=change.quarantine.crashes,
            )
        self._keep_away(change.part, attrs.evolve(change.quarantine, recorded=stored))

    def _decide(self, decided_here: bool) -> None:
        causes = self.evidence.causes()
        wait_s = 0.0 if decided_here else VERDICT_WAIT_S * (1.0 + self.rng.random())
        for part in list(self.quarantined):
            if self.evidence.explained_otherwise(part, causes):
                self._lift(part, "explained by another part")
                self.unrecorded_lifts.add(part)
                gevent.spawn_later(wait_s, self._record_lift, part)
        for cause in causes:
            if cause.part in self.quarantined:
                continue
            requests = cause.requests[:MAX_VERDICT_REQUESTS]
            self._quarantine(cause.part, Quarantine(cause.crashes, requests=requests))
            gevent.spawn_later(wait_s, self._record_verdict, cause.part)

    def _quarantine(self, key: str, quarantine: Quarantine) -> None:
        self._keep_away(key, attrs.evolve(quarantine, decided_at=self.time_of_day()))
        logger.warning(
            _quarantined_event(key),
            key=key,
            crashes=quarantine.crashes,
            requests=quarantine.requests,
            all_crashes=len(self.evidence.reported_at),
        )

    def _keep_away(self, key: str, quarantine: Quarantine) -> None:
        """Put a verdict in force, with a trial some time later if it is on a request."""
        known = self.quarantined.get(key)
        self.quarantined[key] = quarantine
        if not is_request(key) or (known is not None and known.crashes == quarantine.crashes):
            return
        age_s = self.time_of_day() - quarantine.decided_at if quarantine.decided_at else 0.0
        now = self.now()
        self.trials.schedule(key, quarantine.crashes, age_s, self.daemons(), now)
        wait_s = self.trials.wait_s(key, now) + FORGET_S + FORGET_SPREAD_S * self.rng.random()
        gevent.spawn_later(wait_s, self._forget, key, quarantine.crashes)

    def _forget(self, key: str, crashes: int) -> None:
        """Drop a verdict on a request that has not come again since."""
        known = self.quarantined.get(key)
        if known is not None and known.crashes == crashes:
            self.lift(key)

    def _record_verdict(self, part: str) -> None:
        quarantine = self.quarantined.get(part)
        if quarantine is not None and not quarantine.recorded:
            self.records.publish(PartQuarantined(part, quarantine))

    def _record_lift(self, part: str) -> None:
        if part in self.unrecorded_lifts:
            self.lift(part)

    def lift(self, part: str) -> None:
        """Lift the quarantine of a request or part on all daemons."""
        self.records.publish(PartQuarantined(part, None))

    def _lift(self, part: str, reason: str) -> None:
        self.trials.cancel(part)
        if self.quarantined.pop(part, None) is not None:
            logger.warning("Quarantine lifted.", key=part, reason=reason)


def _quarantined_event(key: str) -> str:
    return "Request quarantined." if is_request(key) else "Part quarantined."
