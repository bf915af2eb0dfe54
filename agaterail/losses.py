"""Group failed and late requests by cause, from the log lines of all hosts."""

from __future__ import annotations

import enum
import math
import re
from typing import TYPE_CHECKING, Any

import attrs

from agaterail.requesttrace import seconds_of_day

if TYPE_CHECKING:
    from collections.abc import Iterable

    from agaterail.requesttrace import LogLine

# A late first token is attributed to the queue if the daemon's estimate of the queue
# ahead of the prompt was at least this long, half of the shortest objective in use.
LONG_QUEUE_MS = 200.0
# A stream that is cut with less time left than this has hit its time limit.
TIME_LIMIT_MARGIN_S = 0.15
MIN_SERVER_ERROR_STATUS = 500
MAX_EXAMPLES = 3


class Cause(enum.Enum):
    """Why a request got no complete answer in time."""

    OVERLOAD = "refused, prompts would be late"
    NO_USABLE_TARGET = "refused, no usable target"
    TARGETS_AT_LIMIT = "refused, targets at their limits or resting"
    NOT_FORWARDED = "refused, no path and not run by the daemon that forwards"
    TARGETS_REFUSED = "refused by the targets"
    STALE_STATE = "refused for want of a fresh reading"
    UNKNOWN_STREAM = "refused, the build of the resumed stream is not known"
    BUILD_GONE = "refused, no target of the resumed stream's build"
    CRASHING_PART = "refused, a part of the prompt crashes engines"
    OTHER_REFUSAL = "refused otherwise"
    SILENT_TARGET = "target was silent"
    LOST_TARGET = "target broke off"
    TARGET_FAILURE = "target's own failure"
    TIME_LIMIT = "cut at its time limit"
    CUT = "cut in the middle"
    LEFT_WAITING = "caller left before the first byte"
    LEFT_STREAM = "caller left a stream"
    LATE_RETRY = "late, after a failed attempt"
    LATE_QUEUE = "late, behind other prompts"
    LATE_ELSEWHERE = "late, not at the prompt's home"
    LATE_HOME = "late, at the prompt's home"
    LATE_PAUSE = "late, paused between events"
    LATE_PLAIN = "late, a plain request"


# Error kinds of the gateway's own answers. Permanent denials do not count as losses.
CAUSE_OF_KIND = {
    "overloaded": Cause.OVERLOAD,
    "no_target": Cause.NO_USABLE_TARGET,
    "target_refused": Cause.TARGETS_REFUSED,
    "tables_unavailable": Cause.STALE_STATE,
    "stream_unknown": Cause.UNKNOWN_STREAM,
    "build_unavailable": Cause.BUILD_GONE,
    "quarantined": Cause.CRASHING_PART,
    "target_timeout": Cause.SILENT_TARGET,
    "target_lost": Cause.LOST_TARGET,
}
# In the detail of a failure; the numbers of targets follow.
AT_LIMIT_DETAIL = "no usable target, of "
# The address of the other daemon follows.
NOT_FORWARDED_DETAIL = "not run by "
# In the detail of a prompt that was refused to make room.
URGENCY_DETAIL = re.compile(r"of urgency (\d)\b")
DENIALS = frozenset({"no_route", "unauthenticated", "bad_request"})


@attrs.define
class LossGroup:
    """Lost or late requests with the same route, cause and urgency.

    Attributes
    ----------
    urgency
        From 0, the most urgent, to 9; None if the log does not tell.
    by_slot
        Number of requests by the start of the time slot, in seconds of the day.
    examples
        Ids of the first few requests.
    """

    cause: Cause
    route: str
    urgency: int | None = None
    count: int = 0
    by_slot: dict[int, int] = attrs.field(factory=dict)
    examples: list[str] = attrs.field(factory=list)


def find_losses(lines: Iterable[LogLine], slot_s: int) -> list[LossGroup]:
    """Group the requests without a complete answer in time, largest group first."""
    groups: dict[tuple[Cause, str, int | None], LossGroup] = {}
    for line in lines:
        fields = dict(line.fields)
        cause = cause_of(line.event, fields)
        if cause is None or not line.request:
            continue
        if fields.get("relayed"):
            continue  # the daemon that passed the request on tells how it ended
        route = str(fields.get("route") or "-")
        urgency = _urgency_of(cause, fields)
        loss = groups.setdefault((cause, route, urgency), LossGroup(cause, route, urgency))
        loss.count += 1
        seconds = seconds_of_day(line.timestamp)
        if not math.isnan(seconds):
            slot = int(seconds) // slot_s * slot_s
            loss.by_slot[slot] = loss.by_slot.get(slot, 0) + 1
        if len(loss.examples) < MAX_EXAMPLES:
            loss.examples.append(line.request)
    return sorted(groups.values(), key=lambda loss: -loss.count)


def cause_of(event: str, fields: dict[str, Any]) -> Cause | None:
    """Return why the line's request was lost or late; None if it was not."""
    if event == "Request failed.":
        kind = str(fields.get("kind"))
        detail = str(fields.get("detail"))
        if detail.startswith(AT_LIMIT_DETAIL):
            return Cause.TARGETS_AT_LIMIT
        if detail.startswith(NOT_FORWARDED_DETAIL):
            return Cause.NOT_FORWARDED
        return None if kind in DENIALS else CAUSE_OF_KIND.get(kind, Cause.OTHER_REFUSAL)
    if event == "Stream cut.":
        at_limit = float(fields.get("left_s", 1.0)) < TIME_LIMIT_MARGIN_S
        return Cause.TIME_LIMIT if at_limit else Cause.CUT
    if event == "Caller left.":
        return Cause.LEFT_STREAM if fields.get("first_byte") else Cause.LEFT_WAITING
    if event == "Answered." and int(fields.get("status", 0)) >= MIN_SERVER_ERROR_STATUS:
        return Cause.TARGET_FAILURE
    if event in ("Answered.", "Stream complete.") and fields.get("late"):
        return _cause_of_lateness(fields)
    return Cause.LATE_PAUSE if event == "Stream complete." and fields.get("paused") else None


def _urgency_of(cause: Cause, fields: dict[str, Any]) -> int | None:
    if cause is not Cause.OVERLOAD:
        return None
    found = URGENCY_DETAIL.search(str(fields.get("detail")))
    return None if found is None else int(found[1])


def _cause_of_lateness(fields: dict[str, Any]) -> Cause:
    if int(fields.get("sends", 1)) > 1:
        return Cause.LATE_RETRY
    if fields.get("events") is None:
        return Cause.LATE_PLAIN
    if float(fields.get("queue_ms") or 0.0) >= LONG_QUEUE_MS:
        return Cause.LATE_QUEUE
    return Cause.LATE_ELSEWHERE if fields.get("rank") else Cause.LATE_HOME
