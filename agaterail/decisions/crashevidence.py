"""Which request, or part of prompts, ends the targets that get it.

A crash breaks all requests at a target, so it suspects all of them, and the parts of those
whose answer had not got far. What ends targets was in each such crash and is never
survived; what was only at the same target is survived elsewhere.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from agaterail.decisions.requestkeys import is_request

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# An engine that sends so many events of an answer does not end at its beginning.
BEGUN_EVENTS = 4
# Two crashes may have a rare part in common by chance, as one request that is sent again
# may meet both.
MIN_CRASHES = 3
MIN_REQUESTS = 2
# A caller that comes back once may meet three targets that end one after the other.
MIN_REPEATS = 3
# The engines of a failure domain end together, and some parts are at several of them. A
# part is not the cause of these crashes if it was in the smaller number of them.
MIN_SHARE = 0.5
# So many crashes show a cause, whatever else happens meanwhile.
SUFFICIENT_CRASHES = 5
# A popular part is at all engines that end together. Crashes this far apart are counted
# one by one for it, since answers to a sound part go on in between.
MOMENT_S = 0.5
BACKGROUND_S = 10.0
EVIDENCE_S = 600.0
MAX_CRASHES = 256
MAX_SUSPECTS = 8192


@attrs.frozen
class TargetStart:
    """One start of a target."""

    instance: str
    born: int


@attrs.frozen
class BrokenPrompt:
    """A request whose answer broke off.

    Attributes
    ----------
    request
        Digest of the request's id.
    parts
        Keys of what is suspected: near the answer's beginning the parts that other
        prompts may share, in their order, and at any time the request itself.
    """

    request: str
    parts: tuple[str, ...]


@attrs.frozen
class CrashReport:
    """What one daemon saw of a target's end.

    Attributes
    ----------
    survived
        Parts of the prompts with which the daemon has seen answers go on before.
    """

    start: TargetStart
    prompts: tuple[BrokenPrompt, ...]
    survived: tuple[str, ...] = ()

    @property
    def parts(self) -> list[str]:
        """Return the keys of all that is suspected, each once."""
        return sorted({part for prompt in self.prompts for part in prompt.parts})


@attrs.frozen
class Cause:
    """A request or part that ends targets, and what shows it.

    Attributes
    ----------
    requests
        Digests of the ids of the requests at the targets that ended.
    """

    part: str
    crashes: int
    requests: tuple[str, ...]


@attrs.define
class _Suspect:
    """What is known against one request or part.

    Attributes
    ----------
    crashes
        Ends of targets under prompts with the part.
    requests
        Digests of these prompts' requests.
    depth
        Latest position of the part in a prompt.
    survived
        Whether a daemon had seen answers to the part go on before.
    since
        Time from which on an answer that goes on disproves the suspicion.
    """

    since: float
    crashes: set[TargetStart] = attrs.field(factory=set)
    requests: set[str] = attrs.field(factory=set)
    depth: int = 0
    survived: bool = False


class CrashEvidence:
    """Evidence of the whole fleet, as its daemons reported it.

    Attributes
    ----------
    reported_at
        Time of the first report of each crash, oldest first.
    parts
        Parts of the prompts at each crash.
    suspects
        Evidence by part.
    """

    def __init__(self) -> None:
        self.reported_at: dict[TargetStart, float] = {}
        self.parts: dict[TargetStart, set[str]] = {}
        self.suspects: dict[str, _Suspect] = {}

    def add(self, report: CrashReport, now: float) -> None:
        """Add a report; several daemons report the same crash."""
        self._expire(now)
        self.reported_at.setdefault(report.start, now)
        self.parts.setdefault(report.start, set()).update(report.parts)
        for prompt in report.prompts:
            for depth, part in enumerate(prompt.parts):
                suspect = self._suspect(part, now)
                suspect.crashes.add(report.start)
                suspect.requests.add(prompt.request)
                suspect.depth = max(suspect.depth, depth)
        for part in report.survived:
            if part in self.suspects:
                self.suspects[part].survived = True

    def _suspect(self, part: str, now: float) -> _Suspect:
        """Return what is known against a part, in place of the oldest if there is no room."""
        if part not in self.suspects:
            if len(self.suspects) >= MAX_SUSPECTS:
                del self.suspects[next(iter(self.suspects))]
            self.suspects[part] = _Suspect(now)
        return self.suspects[part]

    def crashes_of(self, part: str) -> set[TargetStart]:
        """Return the ends of targets that suspect a request or part."""
        suspect = self.suspects.get(part)
        return set() if suspect is None else suspect.crashes

    def clear(self, parts: Iterable[str]) -> None:
        """Drop the evidence against parts to which an answer has gone on."""
        for part in parts:
            self.suspects.pop(part, None)

    def is_refuted(self, part: str, survived_at: float) -> bool:
        """Return whether an answer that went on disproves what others take for evidence.

        A single crash is no evidence, so that nobody needs to be told.
        """
        if len(self.crashes_of(part)) < MIN_CRASHES - 1:
            return False
        return self.is_outlived(part, survived_at)

    def is_outlived(self, part: str, survived_at: float) -> bool:
        """Return whether an answer went on since the first crash that suspects a part."""
        suspect = self.suspects.get(part)
        return suspect is not None and survived_at > suspect.since

    def causes(self) -> list[Cause]:
        """Return the parts that explain the crashes, the one that explains most first.

        What one cause explains is no evidence against the parts beside it in the prompts.
        """
        left = {
            part: set(suspect.crashes)
            for part, suspect in self.suspects.items()
            if len(suspect.crashes) >= MIN_CRASHES
        }
        causes: list[Cause] = []
        while left:
            part = max(left, key=lambda item: self._rank(item, left[item]))
            explained = left.pop(part)
            if not self._has_rival(part, explained, left):
                if not self._is_proved(part, explained):
                    continue
                requests = tuple(sorted(self.suspects[part].requests))
                causes.append(Cause(part, len(explained), requests))
            unexplained = {other: crashes - explained for other, crashes in left.items()}
            left = {
                other: crashes
                for other, crashes in unexplained.items()
                if len(crashes) >= MIN_CRASHES
            }
        return causes

    def explained_otherwise(self, part: str, causes: Iterable[Cause]) -> bool:
        """Return whether other parts explain all crashes that speak against a part."""
        suspect = self.suspects.get(part)
        parts = {cause.part for cause in causes}
        if suspect is None or part in parts:
            return False
        explained = set[TargetStart]().union(*(self.suspects[item].crashes for item in parts))
        return suspect.crashes <= explained

    def _rank(self, part: str, crashes: set[TargetStart]) -> tuple[bool, int, bool, int, str]:
        """Order parts by how likely it is that they are the cause of crashes.

        Among those that explain equally many, a request is more likely than a part that
        others share too, and the first parts of prompts are shared by many.
        """
        suspect = self.suspects[part]
        return (
            not suspect.survived,
            len(crashes),
            is_request(part),
            suspect.depth,
            part,
        )

    def _has_rival(
        self, part: str, crashes: set[TargetStart], others: Mapping[str, set[TargetStart]]
    ) -> bool:
        """Return whether another request was in the same few crashes.

        Of two requests that are sent again at each crash, one may have been at the same
        targets by chance. The next crash tells them apart.
        """
        if not is_request(part) or len(crashes) >= SUFFICIENT_CRASHES:
            return False
        survived = self.suspects[part].survived
        return any(
            is_request(other)
            and found == crashes
            and self.suspects[other].survived == survived
            for other, found in others.items()
        )

    def _is_proved(self, part: str, crashes: set[TargetStart]) -> bool:
        suspect, moments = self.suspects[part], self._moments(crashes)
        if len(suspect.requests) < (MIN_REPEATS if is_request(part) else MIN_REQUESTS):
            return False
        if suspect.survived and moments < MIN_CRASHES:
            return False
        if moments == 1 and len(suspect.requests) < MIN_CRASHES:
            return False  # requests that were sent again while several engines were lost
        share = len(crashes) / self._count_meanwhile(part, crashes)
        if moments == 1 and is_request(part):
            return share == 1.0  # a popular one is at many of the targets that end together
        return len(crashes) >= SUFFICIENT_CRASHES or share >= MIN_SHARE

    def _count_meanwhile(self, part: str, crashes: set[TargetStart]) -> int:
        """Return the number of all crashes since the first of these.

        Where targets end again and again, some request is at several of them by chance, so
        that for requests those shortly before count too.
        """
        since = min(self.reported_at[crash] for crash in crashes)
        since -= BACKGROUND_S if is_request(part) else 0.0
        return sum(at >= since for at in self.reported_at.values())

    def _moments(self, crashes: set[TargetStart]) -> int:
        """Return the number of moments at which crashes came."""
        moments, since = 0, float("-inf")
        for at in sorted(self.reported_at[crash] for crash in crashes):
            if at - since >= MOMENT_S:
                moments, since = moments + 1, at
        return moments

    def _expire(self, now: float) -> None:
        while self.reported_at:
            oldest, at = next(iter(self.reported_at.items()))
            if len(self.reported_at) < MAX_CRASHES and now - at < EVIDENCE_S:
                return
            del self.reported_at[oldest]
            for part in self.parts.pop(oldest):
                suspect = self.suspects.get(part)
                if suspect is None:
                    continue
                suspect.crashes.discard(oldest)
                if not suspect.crashes:
                    del self.suspects[part]
