"""Which builds of a service may have begun a stream that a caller takes up."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_GONE = 1024


class BuildHistory:
    """Builds of each service whose targets are gone from the registry.

    Attributes
    ----------
    since
        Time from which all registrations were followed.
    gone_at
        Time at which the last target of a service and build was gone, in that order.
    forgotten_at
        Time of the latest entry that was dropped for want of room.
    """

    def __init__(self) -> None:
        self.since = math.inf
        self.forgotten_at = -math.inf
        self.gone_at: dict[tuple[str, str], float] = {}

    def begin(self, now: float) -> None:
        """Record that the registrations are followed from now on, if they were not."""
        self.since = min(self.since, now)

    def record_gone(self, service: str, build: str, now: float) -> None:
        """Record that a target is gone. It may go on serving for a time."""
        self.gone_at.pop((service, build), None)
        self.gone_at[(service, build)] = now
        if len(self.gone_at) > MAX_GONE:
            self.forgotten_at = self.gone_at.pop(next(iter(self.gone_at)))

    def builds(
        self, service: str, registered: Iterable[str], window_s: float, now: float
    ) -> set[str] | None:
        """Return the builds that can have begun a stream; None if that is not known.

        Parameters
        ----------
        registered
            Builds of the service's registered targets.
        window_s
            Seconds since the earliest time at which the stream may have begun.
        """
        start = now - window_s
        if self.since > start or self.forgotten_at > start:
            return None
        builds = set(registered)
        builds.update(
            build
            for (name, build), at in self.gone_at.items()
            if name == service and at > start
        )
        return builds
