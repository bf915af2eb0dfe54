"""Follow whether this host has a network path to the targets of each service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agaterail import logs
from agaterail.decisions.paths import PathEvidence

if TYPE_CHECKING:
    from collections.abc import Callable

    from agaterail.gateway.targets import Target, TargetRegistry

logger = logs.get_logger("paths")


class PathController:
    """Tells a host without a path to a service from a service whose targets are down.

    Parameters
    ----------
    registry
        The registered targets.
    now
        Returns the time.

    Attributes
    ----------
    evidence
        Outcomes of connects by service; services whose connects succeed have none.
    """

    def __init__(self, registry: TargetRegistry, now: Callable[[], float]) -> None:
        self.registry = registry
        self.now = now
        self.evidence: dict[str, PathEvidence] = {}

    def is_lost(self, service: str) -> bool:
        """Return whether new connections reach no target of a service."""
        found = self.evidence.get(service)
        return found is not None and found.lost_at is not None

    @property
    def lost_services(self) -> list[str]:
        """Return the services that no new connection reaches."""
        return [name for name, found in self.evidence.items() if found.lost_at is not None]

    def record_failure(self, target: Target, error: OSError) -> None:
        """Record that a connect to a target failed."""
        service, now = target.registration.service, self.now()
        targets = [item for item in self.registry.of_service(service) if item.is_ready]
        evidence = self.evidence.setdefault(service, PathEvidence())
        if evidence.record_failure(target.instance, len(targets), now):
            logger.info(
                "Path to a service lost.",
                service=service,
                failed={name: round(now - at, 3) for name, at in evidence.failed_at.items()},
                error=str(error),
                targets=len(targets),
                heard_s=_since_heard(targets, now),
            )

    def record_success(self, target: Target) -> None:
        """Record that a connect to a target was completed."""
        service = target.registration.service
        evidence = self.evidence.pop(service, None)
        lost_at = None if evidence is None else evidence.record_success()
        if lost_at is not None:
            logger.info(
                "Path to a service regained.",
                service=service,
                target=target.instance,
                lost_s=round(self.now() - lost_at, 3),
            )


def _since_heard(targets: list[Target], now: float) -> float | None:
    """Return the seconds since any of the targets sent data; None if none has."""
    heard_at = max((target.heard_at for target in targets), default=float("-inf"))
    return round(now - heard_at, 3) if heard_at > float("-inf") else None
