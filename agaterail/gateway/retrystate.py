"""What to do after an attempt at a target failed."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from agaterail.errors import ErrorKind

if TYPE_CHECKING:
    from agaterail.gateway.desired import Route

# Below this a target cannot answer before the caller leaves.
MIN_TIME_LEFT_S = 0.02
# A second target is asked when the first has been silent for this part of the
# time that is left, but for a stream not before this many objectives: a full
# engine answers late, and a second copy of the request would make it later.
FIRST_BYTE_TIMEOUT_FRACTION = 0.4
MIN_FIRST_EVENT_TIMEOUT_OBJECTIVES = 2.0
# Callers leave a stream that pauses for too long; another target is asked while it
# can still continue it in time.
MIN_EVENT_TIMEOUT_S = 1.0
EVENT_TIMEOUT_OBJECTIVES = 2.0
# Connections that could not be made cost no arrival at a target, only time.
MAX_CONNECT_FAILURES = 3
# A target that refuses is full or loading, and so soon are the others when all
# callers' requests are passed around among them.
MAX_REFUSALS = 3


class AttemptOutcome(enum.Enum):
    """How an attempt ended short of a whole, good answer."""

    NOT_CONNECTED = "not_connected"
    REFUSED = "refused"  # the target said that it did not run the request
    FAILED = "failed"  # the target's own failure, a whole answer
    BROKEN = "broken"  # sent, and no whole answer came
    SILENT = "silent"  # sent, and nothing came in time
    NOT_NEEDED = "not_needed"  # sent, and the attempt before it went on after all


@attrs.define
class RetryState:
    """What was tried for one request so far.

    Attributes
    ----------
    tried
        Targets that are not asked again.
    may_have_run
        Targets that may have run the request, those that it is at included.
    sends
        Arrivals at targets, refused ones included.
    """

    route: Route
    tried: set[str] = attrs.field(factory=set)
    may_have_run: set[str] = attrs.field(factory=set)
    sends: int = 0
    refusals: int = 0
    connect_failures: int = 0
    last_outcome: AttemptOutcome | None = None

    @property
    def runs(self) -> int:
        """Return how many targets may have run the request."""
        return len(self.may_have_run)

    def record_send(self, instance: str) -> None:
        """Take in that the request is sent to a target."""
        self.sends += 1
        self.tried.add(instance)
        self.may_have_run.add(instance)

    def record_outcome(self, instance: str, outcome: AttemptOutcome) -> None:
        """Take in how an attempt ended."""
        self.tried.add(instance)
        self.last_outcome = outcome
        if outcome is AttemptOutcome.NOT_CONNECTED:
            self.connect_failures += 1
        elif outcome is AttemptOutcome.REFUSED:
            self.refusals += 1
            self.may_have_run.discard(instance)
        else:
            self.may_have_run.add(instance)

    def may_try_another(self, left_s: float) -> bool:
        """Tell whether another target may be asked, the budget apart.

        Once a target may have run the request, only an idempotent one goes on,
        up to the route's number of targets.
        """
        if left_s < MIN_TIME_LEFT_S:
            return False
        if self.runs and not self.route.idempotent:
            return False
        return (
            self.runs < self.route.max_attempts
            and self.connect_failures < MAX_CONNECT_FAILURES
            and self.refusals < MAX_REFUSALS
        )

    def first_byte_timeout_s(self, left_s: float) -> float:
        """Return how long to wait for the first byte before another target is asked.

        Without another target to ask, silence is no reason to end anything:
        the whole time is waited.
        """
        if not self.may_run_again():
            return left_s
        timeout_s = left_s * FIRST_BYTE_TIMEOUT_FRACTION
        if self.route.prompted:
            timeout_s = max(
                timeout_s, self.route.objective_s * MIN_FIRST_EVENT_TIMEOUT_OBJECTIVES
            )
        return min(left_s, timeout_s)

    def event_timeout_s(self, left_s: float) -> float:
        """Return how long to wait for a stream's next event."""
        if not self.may_run_again():
            return left_s
        return min(
            left_s,
            max(MIN_EVENT_TIMEOUT_S, EVENT_TIMEOUT_OBJECTIVES * self.route.gap_objective_s),
        )

    def error_kind(self) -> ErrorKind:
        """Return the kind of error for a request that nothing more is tried for."""
        if not self.runs:
            if self.last_outcome is AttemptOutcome.REFUSED:
                return ErrorKind.TARGET_REFUSED
            return ErrorKind.NO_TARGET
        if self.last_outcome is AttemptOutcome.SILENT:
            return ErrorKind.TARGET_TIMEOUT
        return ErrorKind.TARGET_LOST

    def may_run_again(self) -> bool:
        """Tell whether one more target may run the request beside the one that it is at."""
        return self.route.idempotent and max(1, self.runs) < self.route.max_attempts
