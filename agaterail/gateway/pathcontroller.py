"""Follow whether this host has a network path to the targets of each service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import gevent

from agaterail import logs
from agaterail.decisions.paths import PathEvidence

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from agaterail.gateway.connectionpool import ConnectionPool
    from agaterail.gateway.targets import Target, TargetRegistry

logger = logs.get_logger("paths")

PERIOD_S = 0.1
# New connections cost the targets time, and many hosts may lose their paths at once.
PROBE_PERIOD_S = 0.25
PROBE_TIMEOUT_S = 0.3
MAJORITY = 0.5
# A failed connect is checked with some other targets, unless one of them sent data within
# this time.
CHECK_SILENCE_S = 0.5
CHECKED_TARGETS = 2
CHECK_PERIOD_S = 1.0


@attrs.define
class Outage:
    """A path that was lost or impaired and is not whole again, and the targets to probe.

    Attributes
    ----------
    probe_at
        Time of the next probe.
    queue
        Targets to probe, the next one first.
    """

    probe_at: float
    queue: list[Target] = attrs.field(factory=list)
    probing: bool = False


class PathController:
    """Tells a host without a path to a service from a service whose targets are down.

    From the loss of a path, or of the way to most targets, until all targets are reached
    again, requests open no connections to targets that are not reached. This controller
    probes one of these after the other. A probe that succeeds is followed by the next at
    once, so that all targets are in use again within a few round trips.

    Parameters
    ----------
    registry
        The registered targets.
    pool
        Opens connections to the targets.
    now
        Returns the time.
    rng
        Shuffles the targets, so that hosts that lost a path together probe different ones.

    Attributes
    ----------
    evidence
        Outcomes of connects by service.
    outages
        Paths that were lost or impaired and are not whole again, by service.
    checked_at
        Time of the last check of a failed connect, by service.
    """

    period_s = PERIOD_S

    def __init__(
        self,
        registry: TargetRegistry,
        pool: ConnectionPool,
        now: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.registry = registry
        self.pool = pool
        self.now = now
        self.rng = rng
        self.evidence: dict[str, PathEvidence] = {}
        self.outages: dict[str, Outage] = {}
        self.checked_at: dict[str, float] = {}
        pool.on_connected = self.record_success
        pool.on_connect_failed = self.record_failure

    def is_lost(self, service: str) -> bool:
        """Return whether new connections reach no target of a service."""
        return service in self.outages and self.evidence[service].lost_at is not None

    def is_impaired(self, service: str) -> bool:
        """Return whether new connections reach fewer than half of a service's targets."""
        return service in self.outages and self.fraction(service) < MAJORITY

    def fraction(self, service: str) -> float:
        """Return the fraction of a service's targets that new connections reach."""
        if service not in self.outages:
            return 1.0
        ready = [item.instance for item in self._ready_targets(service)]
        return self.evidence[service].fraction(ready)

    def reaches(self, target: Target) -> bool:
        """Return whether requests may open connections to a target."""
        service = target.registration.service
        if service not in self.outages:
            return True
        return self.evidence[service].reaches(target.instance)

    @property
    def lost_services(self) -> list[str]:
        """Return the services that no new connection reaches."""
        return [service for service in self.outages if self.is_lost(service)]

    def record_failure(self, target: Target, error: OSError) -> None:
        """Record that a connect to a target failed."""
        service, now = target.registration.service, self.now()
        ready = [item.instance for item in self._ready_targets(service)]
        evidence = self.evidence.setdefault(service, PathEvidence())
        evidence.keep_only([item.instance for item in self.registry.of_service(service)])
        newly_lost = evidence.record_failure(target.instance, ready, now)
        if newly_lost:
            self._log("Path to a service lost.", service, error=str(error))
        if service in self.outages:
            return
        if newly_lost or evidence.fraction(ready) < MAJORITY:
            self.outages[service] = Outage(probe_at=now)
        if service not in self.outages:
            self._check_others(service, now)
        elif not newly_lost:
            self._log("Path to a service impaired.", service, error=str(error))

    def _check_others(self, service: str, now: float) -> None:
        """Probe other targets at once if nothing shows that they are reached.

        Requests would otherwise find out one after the other, each by a timeout.
        """
        failed_at = self.evidence[service].failed_at
        others = [
            item for item in self._ready_targets(service) if item.instance not in failed_at
        ]
        if any(now - item.heard_at < CHECK_SILENCE_S for item in others):
            return
        if now - self.checked_at.get(service, float("-inf")) < CHECK_PERIOD_S:
            return
        self.checked_at[service] = now
        for target in self.rng.sample(others, min(CHECKED_TARGETS, len(others))):
            gevent.spawn(self._probe, target)

    def record_success(self, target: Target) -> None:
        """Record that a connect to a target was completed."""
        service, now = target.registration.service, self.now()
        evidence = self.evidence.get(service)
        if evidence is None:
            return
        lost_at = evidence.record_success(target.instance, now)
        if lost_at is not None:
            lost_s = round(now - lost_at, 3)
            self._log(
                "Path to a service regained.", service, target=target.instance, lost_s=lost_s
            )

    def _log(self, event: str, service: str, **fields: object) -> None:
        """Log a change of a path with the connects behind it."""
        targets, now = self._ready_targets(service), self.now()
        failed_at = self.evidence[service].failed_at
        logger.info(
            event,
            service=service,
            targets=len(targets),
            failed={name: round(now - at, 3) for name, at in failed_at.items()},
            heard_s=_since_heard(targets, now),
            **fields,
        )

    def step(self) -> None:
        """Start the probes that are due."""
        now = self.now()
        for service, outage in list(self.outages.items()):
            if not outage.probing and now >= outage.probe_at:
                outage.probing = True
                gevent.spawn(self._probe_next, service, outage)

    def _probe_next(self, service: str, outage: Outage) -> None:
        """Probe targets until one does not accept a connection or none is left."""
        try:
            while (target := self._next_target(service, outage)) is not None:
                if not self._probe(target):
                    break
            if target is None and not self.is_lost(service):
                del self.outages[service]
                self._log("All targets of a service reached.", service)
        finally:
            outage.probe_at = self.now() + PROBE_PERIOD_S
            outage.probing = False

    def _next_target(self, service: str, outage: Outage) -> Target | None:
        """Return the next target to probe; None if there is none."""
        outage.queue = [item for item in outage.queue if self._needs_probe(item)]
        if not outage.queue:
            targets = self._ready_targets(service)
            outage.queue = [item for item in targets if self._needs_probe(item)]
            self.rng.shuffle(outage.queue)
        return outage.queue.pop(0) if outage.queue else None

    def _needs_probe(self, target: Target) -> bool:
        return target.is_ready and not self.reaches(target)

    def _ready_targets(self, service: str) -> list[Target]:
        return [item for item in self.registry.of_service(service) if item.is_ready]

    def _probe(self, target: Target) -> bool:
        try:
            connection = self.pool.open(target, PROBE_TIMEOUT_S)
        except OSError:
            return False
        self.pool.release_unused(target, connection)
        if target.failures:
            target.record_success()
        return True


def _since_heard(targets: list[Target], now: float) -> float | None:
    """Return the seconds since any of the targets sent data; None if none has."""
    heard_at = max((target.heard_at for target in targets), default=float("-inf"))
    return round(now - heard_at, 3) if heard_at > float("-inf") else None
