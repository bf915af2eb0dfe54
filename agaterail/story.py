"""The story of one request, from the log lines of several hosts."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

# Left out of the shown fields: they are shown in front, or the same in each line.
SHOWN_APART = frozenset({"timestamp", "host", "part", "event", "level", "request"})
# Lines without a request's id that may have decided about it.
BELIEF_PARTS = frozenset({"state", "feeds", "weights", "fleet", "stop", "main"})


@attrs.frozen(order=True)
class Line:
    """One log line."""

    timestamp: str
    host: str
    part: str
    event: str
    fields: tuple[tuple[str, Any], ...] = attrs.field(order=False)
    request: str = attrs.field(default="", order=False)

    @property
    def target(self) -> str:
        """Return the target that the line is about; empty if none."""
        return str(dict(self.fields).get("target") or "")

    def __str__(self) -> str:
        pairs = " ".join(f"{name}={value}" for name, value in self.fields)
        return f"{self.timestamp} {self.host} {self.part}: {self.event} {pairs}".rstrip()


def parse(raw: Iterable[str]) -> list[Line]:
    """Return the log lines in a text; whatever stands before a line's brace is left out."""
    lines = []
    for text in raw:
        start = text.find("{")
        if start < 0:
            continue
        try:
            found = json.loads(text[start:])
        except ValueError:
            continue  # a line of another program, or one that was cut
        if not isinstance(found, dict) or "event" not in found:
            continue
        fields = tuple(
            (name, value)
            for name, value in found.items()
            if name not in SHOWN_APART and value is not None
        )
        lines.append(
            Line(
                timestamp=str(found.get("timestamp", "")),
                host=str(found.get("host", "")),
                part=str(found.get("part", "")),
                event=str(found["event"]),
                fields=fields,
                request=str(found.get("request", "")),
            )
        )
    return lines


def story(lines: Iterable[Line], request_id: str, around_s: float) -> list[Line]:
    """Return a request's lines with what its hosts came to believe around them.

    Parameters
    ----------
    around_s
        Seconds before the first line of the request, up to its last, from which
        lines of belief are shown: those of its hosts, about its targets or none.
    """
    lines = list(lines)
    own = sorted(line for line in lines if line.request == request_id)
    if not own:
        return []
    hosts = {line.host for line in own}
    targets = {line.target for line in own} | {""}
    start = seconds_of_day(own[0].timestamp) - around_s
    end = seconds_of_day(own[-1].timestamp)
    beliefs = [
        line
        for line in lines
        if not line.request
        and line.host in hosts
        and line.part in BELIEF_PARTS
        and line.target in targets
        and start <= seconds_of_day(line.timestamp) <= end
    ]
    return sorted([*own, *beliefs])


def seconds_of_day(timestamp: str) -> float:
    """Return the seconds of a day in a timestamp; enough to tell what is near."""
    clock = timestamp.partition("T")[2].rstrip("Z")
    try:
        hours, minutes, seconds = clock.split(":")
        return int(hours) * 3600 + int(minutes) * 60 + float(seconds)
    except ValueError:
        return float("nan")
