"""Retry state of one request: what was tried, and whether to try another target."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from agaterail.errors import ErrorKind

if TYPE_CHECKING:
    from agaterail.gateway.desired import Route

# With less time left, no target can answer before the caller gives up.
MIN_TIME_LEFT_S = 0.02
# Without a first byte, a second target is tried after this fraction of the time
# left. A stream waits for at least this many latency objectives: a full engine
# answers late, and a second copy of the request would delay it further.
FIRST_BYTE_TIMEOUT_FRACTION = 0.4
MIN_FIRST_EVENT_TIMEOUT_OBJECTIVES = 2.0
# Callers abandon a stream that pauses for too long, so another target is tried while
# it can still resume the stream in time.
MIN_EVENT_TIMEOUT_S = 1.0
EVENT_TIMEOUT_OBJECTIVES = 2.0
# A failed connect puts no load on a target; it only costs time.
MAX_CONNECT_FAILURES = 3
# A daemon that cannot forward says so at once.
MAX_RELAY_FAILURES = 3
# A target refuses when it is full or loading weights. Passing every refused request
# on to further targets would soon fill those too.
MAX_REFUSALS = 3
# Asking for a permit takes a few milliseconds.
MAX_DENIALS = 8


class AttemptOutcome(enum.Enum):
    """How an attempt ended without a complete, successful answer."""

    NOT_CONNECTED = "not_connected"
    REFUSED = "refused"  # the target reported that it did not run the request
    NOT_RELAYED = "not_relayed"  # the daemon that was to forward it did not run it
    FAILED = "failed"  # the target sent a complete error answer
    BROKEN = "broken"  # sent, but the answer never arrived completely
    SILENT = "silent"  # sent, but timed out without data
    NOT_NEEDED = "not_needed"  # sent as a hedge, but the first target answered after all


@attrs.define
class RetryState:
    """The attempts made for one request so far.

    Attributes
    ----------
    tried
        Targets that are not tried again.
    refused
        Targets that refused.
    resent
        Targets that refused only since they have newer weights, and may be tried again.
    ran_elsewhere
        Targets at which other daemons ran the request.
    may_have_run
        Targets that may have run the request, including those of open attempts; for a run
        at another daemon, that daemon.
    max_runs
        Number of targets that may run the request.
    sends
        Number of times the request was sent to a target, including refused sends.
    denied
        Targets that were chosen and whose limits left no room.
    """

    route: Route
    max_runs: int = attrs.field()
    tried: set[str] = attrs.field(factory=set)
    refused: set[str] = attrs.field(factory=set)
    resent: set[str] = attrs.field(factory=set)
    ran_elsewhere: set[str] = attrs.field(factory=set)
    may_have_run: set[str] = attrs.field(factory=set)
    sends: int = 0
    refusals: int = 0
    connect_failures: int = 0
    relay_failures: int = 0
    denied: list[str] = attrs.field(factory=list)
    last_outcome: AttemptOutcome | None = None

    @max_runs.default
    def _max_runs_of_route(self) -> int:
        return self.route.max_attempts

    @property
    def runs(self) -> int:
        """Return the number of targets that may have run the request."""
        return len(self.may_have_run)

    def record_send(self, instance: str) -> None:
        """Record that the request is being sent to a target."""
        self.sends += 1
        self.tried.add(instance)
        self.may_have_run.add(instance)

    def record_outcome(self, instance: str, outcome: AttemptOutcome) -> None:
        """Record how an attempt ended."""
        self.tried.add(instance)
        self.last_outcome = outcome
        if outcome is AttemptOutcome.NOT_CONNECTED:
            self.connect_failures += 1
        elif outcome is AttemptOutcome.REFUSED:
            self.refusals += 1
            self.refused.add(instance)
            self.may_have_run.discard(instance)
        elif outcome is AttemptOutcome.NOT_RELAYED:
            self.relay_failures += 1
            self.may_have_run.discard(instance)
        else:
            self.may_have_run.add(instance)

    def record_relayed(self, target: str) -> None:
        """Record the target at which another daemon ran the request."""
        if target:
            self.tried.add(target)
            self.ran_elsewhere.add(target)

    def record_denial(self, instance: str) -> None:
        """Record that a target's limit left no room for the request."""
        self.denied.append(instance)
        self.tried.add(instance)

    @property
    def may_ask_for_permit(self) -> bool:
        """Return whether the request may be tried at one more target with a limit."""
        return len(self.denied) < MAX_DENIALS

    def allow_resend(self, instance: str) -> None:
        """Allow one more send to a target that refused."""
        self.resent.add(instance)
        self.tried.discard(instance)

    def may_try_another(self, left_s: float) -> bool:
        """Return whether another target may be tried, regardless of the retry budget.

        Once a target may have run the request, only idempotent requests are retried,
        up to the maximum number of runs.
        """
        return self._may_be_sent(left_s) and self.connect_failures < MAX_CONNECT_FAILURES

    def may_be_relayed(self, left_s: float) -> bool:
        """Return whether another daemon may forward the request."""
        return self._may_be_sent(left_s) and self.relay_failures < MAX_RELAY_FAILURES

    def _may_be_sent(self, left_s: float) -> bool:
        if left_s < MIN_TIME_LEFT_S:
            return False
        if self.runs and not self.route.idempotent:
            return False
        return self.runs < self.max_runs and self.refusals < MAX_REFUSALS

    def first_byte_timeout_s(self, left_s: float) -> float:
        """Return how long to wait for the first byte before trying another target.

        If no other target may be tried, giving up early gains nothing, so this is
        all the time left.
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
        """Return how long to wait for the next event before trying another target."""
        if not self.may_run_again():
            return left_s
        return min(
            left_s,
            max(MIN_EVENT_TIMEOUT_S, EVENT_TIMEOUT_OBJECTIVES * self.route.gap_objective_s),
        )

    def error_kind(self) -> ErrorKind:
        """Return the kind of error to answer when no further attempt is made."""
        if not self.runs:
            if self.last_outcome is AttemptOutcome.REFUSED:
                return ErrorKind.TARGET_REFUSED
            return ErrorKind.NO_TARGET
        if self.last_outcome is AttemptOutcome.SILENT:
            return ErrorKind.TARGET_TIMEOUT
        return ErrorKind.TARGET_LOST

    def may_run_again(self) -> bool:
        """Return whether one more target may run the request besides the current one."""
        return self.route.idempotent and max(1, self.runs) < self.max_runs
