"""Whether this host has lost its network path to a service, judged by its connects."""

from __future__ import annotations

import attrs

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
        Time of the latest connect to each target, if it failed and none to any target
        has succeeded since.
    lost_at
        Time at which the path was found lost; None while it is not.
    """

    failed_at: dict[str, float] = attrs.field(factory=dict)
    lost_at: float | None = None

    def record_failure(self, target: str, known_targets: int, now: float) -> bool:
        """Record a failed connect; return whether the path is newly found lost.

        Parameters
        ----------
        known_targets
            Number of targets of the service that should accept connections.
        """
        self.failed_at[target] = now
        if self.lost_at is not None:
            return False
        oldest = now - EVIDENCE_WINDOW_S
        self.failed_at = {name: at for name, at in self.failed_at.items() if at >= oldest}
        if len(self.failed_at) < min(MIN_FAILED_TARGETS, max(1, known_targets)):
            return False
        self.lost_at = now
        return True

    def record_success(self) -> float | None:
        """Record a completed connect; return since when the path was lost, if it was."""
        lost_at, self.lost_at = self.lost_at, None
        self.failed_at.clear()
        return lost_at
