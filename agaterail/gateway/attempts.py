"""What to do after an attempt at a target failed."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from agaterail.errors import ErrorKind

if TYPE_CHECKING:
    from agaterail.gateway.desired import Route

# Below this a target cannot answer before the caller leaves.
LEAST_TIME_S = 0.02
# A second target is asked when the first has been silent for this part of the
# time that is left, but for a stream not before this many objectives: a full
# engine answers late, and a second copy of the request would make it later.
PATIENCE_PART = 0.4
STREAM_PATIENCE_OBJECTIVES = 2.0
# Callers leave a stream that pauses for too long; another target is asked while it
# can still continue it in time.
GAP_PATIENCE_S = 1.0
GAP_PATIENCE_OBJECTIVES = 2.0
# Connections that could not be made cost no arrival at a target, only time.
MOST_CONNECT_FAILURES = 3
# A target that refuses is full or loading, and so soon are the others when all
# callers' requests are passed around among them.
MOST_REFUSALS = 3


class AttemptOutcome(enum.Enum):
    """How an attempt ended short of a whole, good answer."""

    NOT_CONNECTED = "not_connected"
    REFUSED = "refused"  # the target said that it did not run the request
    FAILED = "failed"  # the target's own failure, a whole answer
    BROKEN = "broken"  # sent, and no whole answer came
    SILENT = "silent"  # sent, and nothing came in time
    NOT_NEEDED = "not_needed"  # sent, and the attempt before it went on after all


@attrs.define
class Attempts:
    """What was tried for one request so far.

    Attributes
    ----------
    tried
        Targets that are not asked again.
    ran
        Targets that may have run the request, those that it is at included.
    sends
        Arrivals at targets, refused ones included.
    """

    route: Route
    tried: set[str] = attrs.field(factory=set)
    ran: set[str] = attrs.field(factory=set)
    sends: int = 0
    refusals: int = 0
    connect_failures: int = 0
    last: AttemptOutcome | None = None

    @property
    def runs(self) -> int:
        """Return how many targets may have run the request."""
        return len(self.ran)

    def begin(self, instance: str) -> None:
        """Take in that the request is sent to a target."""
        self.sends += 1
        self.tried.add(instance)
        self.ran.add(instance)

    def note(self, instance: str, outcome: AttemptOutcome) -> None:
        """Take in how an attempt ended."""
        self.tried.add(instance)
        self.last = outcome
        if outcome is AttemptOutcome.NOT_CONNECTED:
            self.connect_failures += 1
        elif outcome is AttemptOutcome.REFUSED:
            self.refusals += 1
            self.ran.discard(instance)
        else:
            self.ran.add(instance)

    def may_go_on(self, left_s: float) -> bool:
        """Tell whether another target may be asked, the budget apart.

        Once a target may have run the request, only an idempotent one goes on,
        up to the route's number of targets.
        """
        if left_s < LEAST_TIME_S:
            return False
        if self.runs and not self.route.idempotent:
            return False
        return (
            self.runs < self.route.max_attempts
            and self.connect_failures < MOST_CONNECT_FAILURES
            and self.refusals < MOST_REFUSALS
        )

    def patience_s(self, left_s: float) -> float:
        """Return how long to wait for the first byte before another target is asked.

        Without another target to ask, silence is no reason to end anything:
        the whole time is waited.
        """
        if not self.may_repeat():
            return left_s
        patience = left_s * PATIENCE_PART
        if self.route.prompted:
            patience = max(patience, self.route.objective_s * STREAM_PATIENCE_OBJECTIVES)
        return min(left_s, patience)

    def gap_patience_s(self, left_s: float) -> float:
        """Return how long to wait for a stream's next event."""
        if not self.may_repeat():
            return left_s
        return min(
            left_s, max(GAP_PATIENCE_S, GAP_PATIENCE_OBJECTIVES * self.route.gap_objective_s)
        )

    def error_kind(self) -> ErrorKind:
        """Return the kind of error for a request that nothing more is tried for."""
        if not self.runs:
            if self.last is AttemptOutcome.REFUSED:
                return ErrorKind.TARGET_REFUSED
            return ErrorKind.NO_TARGET
        if self.last is AttemptOutcome.SILENT:
            return ErrorKind.TARGET_TIMEOUT
        return ErrorKind.TARGET_LOST

    def may_repeat(self) -> bool:
        """Tell whether one more target may run the request beside the one that it is at."""
        return self.route.idempotent and max(1, self.runs) < self.route.max_attempts
