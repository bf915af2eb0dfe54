"""Figures of the engines as this daemon last heard of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from agaterail.engineloads import scales
from agaterail.engineloads.figures import EngineFigures, EngineLoads

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from agaterail.engineloads.messages import LoadAnswer

# Older figures say less about an engine than this daemon's own requests.
MAX_AGE_S = 2.0
# In a large fleet the answers come less often.
MAX_AGE_PERIODS = 2.0
# Reports of a smaller part of the fleet are not scaled up to all of it.
MAX_SCALE = 4.0
MIN_FRACTION = 1.0 / MAX_SCALE


@attrs.frozen
class ServiceView:
    """The last answer for one service.

    Attributes
    ----------
    source
        Address of the daemon that gathered the figures.
    sent_at
        Time at which this daemon asked.
    valid_until
        Time until which the figures are used.
    """

    service: str
    engines: tuple[tuple[str, int], ...]
    answer: LoadAnswer
    source: str
    sent_at: float
    valid_until: float
    silent: dict[int, tuple[int, int]] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        silent = {index: (daemons, domains) for index, daemons, domains in self.answer.silent}
        object.__setattr__(self, "silent", silent)

    def figures(self, index: int, now: float) -> EngineFigures:
        """Return the figures of one engine."""
        answer = self.answer
        scale = 1.0 / max(MIN_FRACTION, answer.fraction)
        silent_daemons, silent_domains = self.silent.get(index, (0, 0))
        since_s = now - self.sent_at
        return EngineFigures(
            streams=scales.STREAMS.values[answer.streams[index]] * scale,
            prefill_tokens=scales.TOKENS.values[answer.prefill_tokens[index]] * scale,
            kv_tokens=scales.TOKENS.values[answer.kv_tokens[index]] * scale,
            pace=scales.PACE.values[answer.paces[index]],
            silent_daemons=silent_daemons,
            silent_domains=silent_domains,
            heard_s=scales.HEARD_S.values[answer.heard[index]] + since_s,
            age_s=answer.age_s + since_s,
        )


class FleetEngineLoads(EngineLoads):
    """Figures by the answers of the daemons that gather them.

    Parameters
    ----------
    start_of
        Returns the start of an engine as this daemon knows it; None if it is not registered.
    now
        Returns the time.
    """

    def __init__(
        self, start_of: Callable[[str], int | None], now: Callable[[], float]
    ) -> None:
        self.start_of = start_of
        self.now = now
        self.views: dict[str, ServiceView] = {}
        self.places: dict[str, tuple[ServiceView, int]] = {}

    def figures(self, instance: str) -> EngineFigures | None:
        """Return the figures of an engine; None if there are none that are fresh."""
        place = self.places.get(instance)
        if place is None:
            return None
        (view, index), now = place, self.now()
        if now > view.valid_until or view.engines[index][1] != self.start_of(instance):
            return None
        return view.figures(index, now)

    def tag_of(self, service: str) -> bytes:
        """Return the tag of the list of engines that is known; empty if there is none."""
        view = self.views.get(service)
        return b"" if view is None else view.answer.tag

    def record(
        self, service: str, answer: LoadAnswer, source: str, sent_at: float, period_s: float
    ) -> str:
        """Take over an answer; return why it is not used, or an empty string.

        Parameters
        ----------
        source
            Address of the daemon that answered.
        sent_at
            Time at which it was asked.
        period_s
            Seconds between two answers.
        """
        engines = answer.engines
        if engines is None:
            known = self.views.get(service)
            if known is None or known.answer.tag != answer.tag:
                return "list of engines is missing"
            engines = known.engines
        if len(engines) != answer.count:
            return "list of engines has another length"
        if answer.fraction < MIN_FRACTION:
            return "few daemons have reported"
        valid_s = max(MAX_AGE_S, MAX_AGE_PERIODS * period_s)
        view = ServiceView(service, engines, answer, source, sent_at, sent_at + valid_s)
        self.forget(service)
        self.views[service] = view
        for index, (instance, _) in enumerate(engines):
            self.places[instance] = (view, index)
        return ""

    def forget(self, service: str) -> None:
        """Forget the figures of a service."""
        view = self.views.pop(service, None)
        for instance, _ in () if view is None else view.engines:
            place = self.places.get(instance)
            if place is not None and place[0] is view:
                del self.places[instance]

    def forget_expired(self) -> list[ServiceView]:
        """Forget the figures that are too old, and return them."""
        now = self.now()
        expired = [view for view in self.views.values() if now > view.valid_until]
        for view in expired:
            self.forget(view.service)
        return expired

    def age_s(self) -> float:
        """Return the age of the oldest figures; -1 if there are none."""
        now = self.now()
        return max((now - view.sent_at for view in self.views.values()), default=-1.0)

    def known(self) -> Iterator[tuple[ServiceView, str, EngineFigures]]:
        """Return each engine with fresh figures and the answer that told them."""
        for instance, (view, _) in sorted(self.places.items()):
            figures = self.figures(instance)
            if figures is not None:
                yield view, instance, figures
