"""Whether this host has lost its network path to a service, judged by its connects."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Collection

# A single target that does not accept connections has failed itself.
MIN_FAILED_TARGETS = 3
# Failures further apart may be independent failures of several targets.
EVIDENCE_WINDOW_S = 2.0


@attrs.define
class PathEvidence:
    """Outcomes of the latest connects to the targets of one service.

    Attributes
    ----------
    failed_at
        Time since which connects to each target have failed.
    succeeded_at
        Time of the latest completed connect to any target.
    lost_at
        Time at which the path was found lost; None while it is not.
    """

    failed_at: dict[str, float] = attrs.field(factory=dict)
    succeeded_at: float = float("-inf")
    lost_at: float | None = None

    def record_failure(self, target: str, ready: Collection[str], now: float) -> bool:
        """Record a failed connect; return whether the path is newly found lost.

        Parameters
        ----------
        ready
            Targets of the service that should accept connections.
        """
        self.failed_at.setdefault(target, now)
        if self.lost_at is not None:
            return False
        since = max(self.succeeded_at, now - EVIDENCE_WINDOW_S)
        recent = sum(at >= since for at in self.failed_at.values())
        all_fail = all(name in self.failed_at for name in ready)
        if recent < MIN_FAILED_TARGETS and not all_fail:
            return False
        self.lost_at = now
        return True

    def record_success(self, target: str, now: float) -> float | None:
        """Record a completed connect; return since when the path was lost, if it was."""
        self.failed_at.pop(target, None)
        self.succeeded_at = now
        lost_at, self.lost_at = self.lost_at, None
        return lost_at

    def keep_only(self, targets: Collection[str]) -> None:
        """Forget the other targets, which are no longer registered."""
        known = frozenset(targets)
        self.failed_at = {name: at for name, at in self.failed_at.items() if name in known}

    def fraction(self, ready: Collection[str]) -> float:
        """Return the fraction of the given targets that new connections reach."""
        return sum(map(self.reaches, ready)) / len(ready) if ready else 0.0

    def reaches(self, target: str) -> bool:
        """Return whether new connections to a target may succeed."""
        return self.lost_at is None and target not in self.failed_at
