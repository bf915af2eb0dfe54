"""The complete list of error kinds, and the answer to the caller for each."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping


class Outcome(enum.Enum):
    """What is known about a request's execution when its answer is sent."""

    NOT_RUN = "not_run"
    COMPLETED = "completed"
    FAILED_AT_TARGET = "failed_at_target"
    UNKNOWN = "unknown"


class WasteReason(enum.Enum):
    """Why the work of an engine was wasted."""

    LEFT = "left"
    TIMED_OUT = "timed_out"
    REPLAYED = "replayed"
    HEDGED = "hedged"


class ErrorKind(enum.Enum):
    """Reason why a request ends without a complete answer from a target."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHENTICATED = "unauthenticated"
    NO_ROUTE = "no_route"
    TABLES_UNAVAILABLE = "tables_unavailable"
    NO_TARGET = "no_target"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    DEADLINE_EXCEEDED_BEFORE_RUN = "deadline_exceeded_before_run"
    CLAIMS_UNAVAILABLE = "claims_unavailable"
    CLAIM_UNRESOLVED = "claim_unresolved"
    DUPLICATE_IN_PROGRESS = "duplicate_in_progress"
    DUPLICATE_COMPLETED = "duplicate_completed"
    DUPLICATE_FAILED = "duplicate_failed"
    TARGET_REFUSED = "target_refused"
    TARGET_UNREACHABLE = "target_unreachable"
    TARGET_FAILED = "target_failed"
    TARGET_TIMEOUT = "target_timeout"
    TARGET_LOST = "target_lost"
    WRONG_WEIGHTS = "wrong_weights"
    STREAM_UNKNOWN = "stream_unknown"
    BUILD_UNAVAILABLE = "build_unavailable"
    QUARANTINED = "quarantined"
    SHUTTING_DOWN = "shutting_down"
    INTERNAL = "internal"


@attrs.frozen
class Answer:
    """Error response for one error kind.

    Attributes
    ----------
    status
        HTTP status code.
    error_type
        ``type`` field of the OpenAI error object.
    message
        Message for the caller; the detail of a failure is appended.
    outcome
        What the caller may assume about the execution.
    retry_after_s
        Seconds after which a retry is useful; None if a retry is not useful.
    """

    status: int
    error_type: str
    message: str
    outcome: Outcome
    retry_after_s: float | None = None


_NOT_RUN = Outcome.NOT_RUN
_UNKNOWN = Outcome.UNKNOWN

ANSWERS: Mapping[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(
        400, "invalid_request_error", "The request is malformed.", _NOT_RUN
    ),
    ErrorKind.BODY_TOO_LARGE: Answer(
        413, "invalid_request_error", "The request body is too large.", _NOT_RUN
    ),
    ErrorKind.UNAUTHENTICATED: Answer(
        401, "authentication_error", "The API key is missing or unknown.", _NOT_RUN
    ),
    ErrorKind.NO_ROUTE: Answer(
        404, "not_found_error", "No route serves this request for this caller.", _NOT_RUN
    ),
    ErrorKind.TABLES_UNAVAILABLE: Answer(
        503, "service_unavailable", "No verified tables are loaded yet.", _NOT_RUN, 2.0
    ),
    ErrorKind.NO_TARGET: Answer(
        503, "service_unavailable", "No target of the pool is available.", _NOT_RUN, 2.0
    ),
    ErrorKind.RATE_LIMITED: Answer(
        429,
        "rate_limit_error",
        "The limit of the route or workspace is reached.",
        _NOT_RUN,
        1.0,
    ),
    ErrorKind.OVERLOADED: Answer(
        503, "overloaded_error", "The pool cannot answer before the deadline.", _NOT_RUN, 2.0
    ),
    ErrorKind.DEADLINE_EXCEEDED_BEFORE_RUN: Answer(
        504, "timeout_error", "The deadline passed before a target was asked.", _NOT_RUN, 1.0
    ),
    ErrorKind.CLAIMS_UNAVAILABLE: Answer(
        503,
        "service_unavailable",
        "Requests that run once cannot be recorded now.",
        _NOT_RUN,
        5.0,
    ),
    ErrorKind.CLAIM_UNRESOLVED: Answer(
        504,
        "timeout_error",
        "An earlier attempt with this key has no known outcome.",
        _UNKNOWN,
    ),
    ErrorKind.DUPLICATE_IN_PROGRESS: Answer(
        409, "conflict_error", "A request with this key is in progress.", _UNKNOWN, 2.0
    ),
    ErrorKind.DUPLICATE_COMPLETED: Answer(
        409, "conflict_error", "A request with this key has completed.", Outcome.COMPLETED
    ),
    ErrorKind.DUPLICATE_FAILED: Answer(
        409, "conflict_error", "A request with this key failed.", Outcome.FAILED_AT_TARGET
    ),
    ErrorKind.TARGET_REFUSED: Answer(
        503, "service_unavailable", "The targets refused the request.", _NOT_RUN, 1.0
    ),
    ErrorKind.TARGET_UNREACHABLE: Answer(
        502, "service_unavailable", "No connection to a target was made.", _NOT_RUN, 1.0
    ),
    ErrorKind.TARGET_FAILED: Answer(
        502, "api_error", "The target reported a failure.", Outcome.FAILED_AT_TARGET
    ),
    ErrorKind.TARGET_TIMEOUT: Answer(
        504, "timeout_error", "The target did not answer before the deadline.", _UNKNOWN
    ),
    ErrorKind.TARGET_LOST: Answer(
        502, "api_error", "The connection to the target was lost.", _UNKNOWN
    ),
    ErrorKind.WRONG_WEIGHTS: Answer(
        503, "service_unavailable", "No target serves the weights of the pool.", _UNKNOWN, 2.0
    ),
    ErrorKind.STREAM_UNKNOWN: Answer(
        503, "service_unavailable", "The build that began the stream is not known.", _NOT_RUN
    ),
    ErrorKind.BUILD_UNAVAILABLE: Answer(
        503,
        "service_unavailable",
        "No target of the build that began the stream serves.",
        _NOT_RUN,
    ),
    ErrorKind.QUARANTINED: Answer(
        503,
        "service_unavailable",
        "The request or a part of its prompt crashes targets and is kept away.",
        _NOT_RUN,
    ),
    ErrorKind.SHUTTING_DOWN: Answer(
        503, "service_unavailable", "This host is shutting down.", _NOT_RUN, 0.5
    ),
    ErrorKind.INTERNAL: Answer(500, "api_error", "The router failed.", _UNKNOWN),
}


@attrs.frozen
class Failure:
    """A failed request, as the failure value of a ``returns`` result."""

    kind: ErrorKind
    detail: str = ""
    retry_after_s: float | None = None

    @property
    def answer(self) -> Answer:
        """Return the answer for this kind."""
        return ANSWERS[self.kind]

    @property
    def outcome(self) -> Outcome:
        """Return what is known about the execution."""
        return self.answer.outcome

    @property
    def retry_hint_s(self) -> float | None:
        """Seconds after which to retry; the failure's own value takes precedence."""
        if self.retry_after_s is not None:
            return self.retry_after_s
        return self.answer.retry_after_s

    @property
    def message(self) -> str:
        """Return the message for the caller, including the detail."""
        if not self.detail:
            return self.answer.message
        return f"{self.answer.message} {self.detail}"
