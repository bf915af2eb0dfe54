"""Which engines have fallen silent, by what several daemons see of them.

The load it answers: part of a service's engines stop to answer at once, while dozens of
daemons each have a request or two there. A wait that one daemon sees may be a long prompt or
a lost packet; waits at daemons of several failure domains, while no daemon has got a byte,
are not.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from agaterail.engineloads.figures import EngineFigures

# Pauses of a few hundred milliseconds are common: a lost packet is sent again after 0.2 s
# and more.
MIN_SILENCE_S = 0.4
# A wait this many times as long as usual is unlikely at an engine that works.
USUAL_FACTOR = 1.5
# Longer waits say no more than that the service is overloaded.
MAX_USUAL_S = 2.0
# A request that was given up is evidence for this long.
FAILURE_VALID_S = 2.0
MIN_DAEMONS = 2
MIN_DOMAINS = 2
# Engines of a service that are suspected at the same time.
MAX_SUSPECTED_FRACTION = 0.5
# If more engines look silent, the network or this daemon is at fault. Until that is over,
# time-outs decide.
UNDECIDED_S = 2.0
# Time after which a suspicion ends that no new evidence supports.
SUSPICION_VALID_S = 4.0


@attrs.define
class UsualWait:
    """A high value of the waits lately, which rises faster than it falls.

    Attributes
    ----------
    value_s
        Seconds that most waits stay below.
    rise, fall
        Part of the distance by which a longer and a shorter wait change the value.
    """

    value_s: float
    rise: float
    fall: float

    def record(self, wait_s: float) -> None:
        """Record a wait that a byte ended."""
        distance_s = min(MAX_USUAL_S, wait_s) - self.value_s
        self.value_s += distance_s * (self.rise if distance_s > 0.0 else self.fall)


@attrs.define
class UsualWaits:
    """How long a daemon usually waits for the engines of one service.

    Attributes
    ----------
    first
        Waits for the first event of an answer.
    gap
        Waits for each further event, of which there are many more.
    """

    first: UsualWait = attrs.field(factory=lambda: UsualWait(0.4, rise=0.5, fall=0.1))
    gap: UsualWait = attrs.field(factory=lambda: UsualWait(0.1, rise=0.2, fall=0.01))

    def silence_s(self, in_stream: bool = False) -> float:
        """Return the seconds without a byte from which on an engine looks silent."""
        usual = self.gap if in_stream else self.first
        return max(MIN_SILENCE_S, USUAL_FACTOR * usual.value_s)


@attrs.frozen(kw_only=True)
class EngineView:
    """What is known of one engine at a moment.

    Attributes
    ----------
    start
        Start time of the engine as a Unix timestamp in milliseconds.
    figures
        What the other daemons tell of it; None if that is not known.
    wait_s
        Seconds that this daemon has waited there without a byte; 0 if it does not wait.
    in_stream
        Whether the answer that it waits for has begun.
    failed_s
        Seconds since a request or a connect of this daemon failed there without a byte.
    heard_s
        Seconds since this daemon got a byte of an answer from it.
    """

    instance: str
    start: int
    figures: EngineFigures | None
    wait_s: float = 0.0
    in_stream: bool = False
    failed_s: float = float("inf")
    heard_s: float = float("inf")

    @property
    def heard_by_any_s(self) -> float:
        """Return the seconds since any daemon got a byte from the engine."""
        others_s = float("inf") if self.figures is None else self.figures.heard_s
        return min(self.heard_s, others_s)

    @property
    def has_failed(self) -> bool:
        """Return whether a failure here is recent and nobody got a byte after it."""
        return self.failed_s < min(FAILURE_VALID_S, self.heard_by_any_s)


@attrs.frozen(kw_only=True)
class Evidence:
    """Why an engine is suspected.

    Attributes
    ----------
    daemons
        Daemons that wait there, including this one.
    domains
        Number of their failure domains.
    heard_s
        Seconds since any daemon got a byte.
    age_s
        Age of what the other daemons tell, in seconds.
    """

    daemons: int
    domains: int
    heard_s: float
    age_s: float


@attrs.define(kw_only=True)
class Suspicion:
    """An engine that is taken to be silent.

    Attributes
    ----------
    since
        Time at which it was first suspected.
    until
        Time at which the suspicion ends without new evidence.
    """

    start: int
    since: float
    until: float
    evidence: Evidence


@attrs.frozen(kw_only=True)
class SuspicionChange:
    """An engine that is newly suspected, or no longer.

    Attributes
    ----------
    cleared_by
        What ended the suspicion; empty if it began.
    lasted_s
        Seconds for which the engine was suspected.
    """

    instance: str
    evidence: Evidence
    cleared_by: str = ""
    lasted_s: float = 0.0


class SuspectedEngines:
    """The engines of one service that are suspected to be silent.

    Attributes
    ----------
    usual
        How long this daemon usually waits for these engines.
    has_figures
        Whether the other daemons' figures are known.
    suspected
        The suspicions, by engine.
    silent_here
        Engines that this daemon's own waits speak against. It has none while it hears from
        fewer engines than it waits for in vain, as a daemon that is cut off itself does.
    undecided_until
        Time until which nothing is suspected, since too many engines looked silent.
    """

    def __init__(self) -> None:
        self.usual = UsualWaits()
        self.has_figures = False
        self.suspected: dict[str, Suspicion] = {}
        self.silent_here: frozenset[str] = frozenset()
        self.undecided_until = float("-inf")

    def update(
        self,
        views: Sequence[EngineView],
        *,
        engines: int,
        heard: int,
        domains: int,
        now: float,
        number: float = 0.0,
    ) -> list[SuspicionChange]:
        """Decide which engines are suspected; return what has changed.

        Parameters
        ----------
        views
            What is known of each engine that is suspected or that any daemon waits for.
        engines
            Number of engines of the service.
        heard
            Number of engines that this daemon got a byte from lately.
        domains
            Number of failure domains with daemons.
        number
            Random number from 0 to 1 that spreads the ends of suspicions.
        """
        self.has_figures = True
        self.silent_here = self._find_silent_here(views, heard)
        changes = self._clear_refuted(views, now)
        if now < self.undecided_until:
            return changes
        found = {}
        for view in views:
            evidence = self._evidence(view, domains)
            if evidence is not None:
                found[view.instance] = (view, evidence)
        if len(self.suspected.keys() | found.keys()) > engines * MAX_SUSPECTED_FRACTION:
            self.undecided_until = now + UNDECIDED_S
            return changes + self._clear(list(self.suspected), "too many engines", now)
        until = now + SUSPICION_VALID_S * (1.0 + number)
        for instance, (view, evidence) in found.items():
            known = self.suspected.get(instance)
            if known is not None:
                known.until = max(known.until, until)
                continue
            self.suspected[instance] = Suspicion(
                start=view.start, since=now, until=until, evidence=evidence
            )
            changes.append(SuspicionChange(instance=instance, evidence=evidence))
        return changes

    def record_trial(self, instance: str, now: float) -> list[SuspicionChange]:
        """Record that an engine answered a trial; return what has changed."""
        return self._clear([instance], "trial", now)

    def clear(self, reason: str, now: float) -> list[SuspicionChange]:
        """End all suspicions, since the other daemons' figures are not known."""
        self.has_figures = False
        self.silent_here = frozenset()
        return self._clear(list(self.suspected), reason, now)

    def _find_silent_here(self, views: Sequence[EngineView], heard: int) -> frozenset[str]:
        silent = [
            view
            for view in views
            if view.has_failed or view.wait_s > self.usual.silence_s(view.in_stream)
        ]
        if heard < len(silent):
            return frozenset()
        return frozenset(view.instance for view in silent)

    def _evidence(self, view: EngineView, domains: int) -> Evidence | None:
        """Return the evidence that an engine is silent; None if it does not suffice."""
        figures = view.figures
        if figures is None:
            return None
        is_silent_here = view.instance in self.silent_here
        seen = Evidence(
            daemons=figures.silent_daemons + is_silent_here,
            # The domain of this daemon may be among those of the others.
            domains=max(figures.silent_domains, is_silent_here),
            heard_s=view.heard_by_any_s,
            age_s=figures.age_s,
        )
        silence_s = self.usual.silence_s(view.in_stream and is_silent_here)
        suffices = (
            seen.daemons >= MIN_DAEMONS
            and seen.domains >= min(MIN_DOMAINS, domains)
            and seen.heard_s > silence_s
        )
        return seen if suffices else None

    def _clear_refuted(self, views: Sequence[EngineView], now: float) -> list[SuspicionChange]:
        by_instance = {view.instance: view for view in views}
        changes = []
        for instance, suspicion in list(self.suspected.items()):
            reason = _refutation(suspicion, by_instance.get(instance), now)
            if reason:
                changes += self._clear([instance], reason, now)
        return changes

    def _clear(
        self, instances: Sequence[str], reason: str, now: float
    ) -> list[SuspicionChange]:
        changes = []
        for instance in instances:
            ended = self.suspected.pop(instance, None)
            if ended is not None:
                changes.append(
                    SuspicionChange(
                        instance=instance,
                        evidence=ended.evidence,
                        cleared_by=reason,
                        lasted_s=now - ended.since,
                    )
                )
        return changes


def _refutation(suspicion: Suspicion, view: EngineView | None, now: float) -> str:
    """Return what ends a suspicion; empty if nothing does."""
    if view is None:
        return "registration gone"
    if view.figures is None:
        return "no figures"
    if view.start != suspicion.start:
        return "later start"
    heard_s = view.heard_by_any_s
    # A byte from before the suspicion may become known only now.
    if now - heard_s > suspicion.since or heard_s < MIN_SILENCE_S:
        return "byte here" if heard_s == view.heard_s else "byte at another daemon"
    return "" if now < suspicion.until else "no new evidence"
