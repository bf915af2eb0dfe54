"""Announcements of loads by the lease holder, and what other daemons do with them."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

from agaterail.gateway.controlstore import EngineLoad
from agaterail.gateway.weightsplan import PROPAGATION_DELAY_S, start_cordon

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from agaterail.gateway.controlstore import LeaseEntry
    from agaterail.gateway.targets import Target
    from agaterail.gateway.weightsplan import RolloutConditions, WantedLoad

# Each announcement is a call to the store and wakes all daemons.
MIN_PERIOD_S = 0.3
# A registration reports a load with the next heartbeat, which may be late.
RECENT_LOAD_S = 5.0


@attrs.frozen
class ReceivedAnnouncement:
    """Loads that another host announced.

    Attributes
    ----------
    end
        End of the lease's log after the record.
    received_at
        Time at which the record was first read.
    """

    entry: LeaseEntry
    end: int
    received_at: float

    @property
    def planned(self) -> tuple[EngineLoad, ...]:
        """Return the planned loads."""
        return self.entry.planned or ()

    @property
    def is_release(self) -> bool:
        """Return whether its writer released the lease with it."""
        return self.entry.released_idle_s is not None


class LoadAnnouncer:
    """The lease holder's announced loads; does no I/O.

    Every daemon keeps requests from the engines that load next. If each estimated which
    ones these are, the estimates would differ, as a daemon of a large fleet sees few
    prompts: engines would stand idle at some daemons and refuse the requests of others.

    Attributes
    ----------
    planned
        Loads that are planned or ordered.
    announced_since
        Time since which each engine's load has been announced.
    announced_loaded, announced_at
        Completed loads of the last announcement, and its time.
    recent
        Completed loads, and when they were seen.
    """

    def __init__(self) -> None:
        self.planned: frozenset[EngineLoad] = frozenset()
        self.announced_since: dict[str, float] = {}
        self.announced_loaded: frozenset[EngineLoad] = frozenset()
        self.announced_at = float("-inf")
        self.recent: deque[tuple[float, EngineLoad]] = deque()

    def record_loaded(self, load: EngineLoad, now: float) -> None:
        """Record a load that is seen to be complete."""
        self.recent.append((now, load))

    def update(self, wanted: Iterable[WantedLoad], now: float) -> None:
        """Take over the loads of cordoned engines as planned."""
        self.planned = frozenset(
            EngineLoad(load.target.instance, load.model, load.version)
            for load in wanted
            if load.target.cordoned_at is not None
        )
        while self.recent and now - self.recent[0][0] > RECENT_LOAD_S:
            self.recent.popleft()

    def is_due(self, now: float) -> bool:
        """Return whether there is something to announce."""
        if now - self.announced_at < MIN_PERIOD_S:
            return False
        is_known = {load.instance for load in self.planned} == self.announced_since.keys()
        return not is_known or bool(self.loaded() - self.announced_loaded)

    def loaded(self) -> frozenset[EngineLoad]:
        """Return the loads that completed shortly before."""
        return frozenset(load for _, load in self.recent)

    def record_announced(self, now: float) -> None:
        """Record that the present state was announced."""
        self.announced_at = now
        self.announced_loaded = self.loaded()
        self.announced_since = {
            load.instance: self.announced_since.get(load.instance, now)
            for load in self.planned
        }

    def may_order(self, instance: str, now: float) -> bool:
        """Return whether the daemons have had time to learn of an engine's load."""
        since = self.announced_since.get(instance)
        return since is not None and now - since >= PROPAGATION_DELAY_S

    def keep_ordered(self, instances: Iterable[str]) -> None:
        """Drop planned loads of other engines, which nobody is going to order."""
        ordered = set(instances)
        self.planned = frozenset(load for load in self.planned if load.instance in ordered)

    def clear(self) -> None:
        """Forget what was announced, for example when the lease was lost."""
        self.announced_since = {}
        self.announced_at = float("-inf")


def cordon_announced(
    targets: Mapping[str, Target],
    planned: Iterable[EngineLoad],
    conditions: RolloutConditions,
    now: float,
) -> None:
    """Cordon exactly the engines whose announced load is not known to be complete."""
    pending = {load.instance for load in planned if _is_pending(load, targets)}
    for target in targets.values():
        if target.instance not in pending:
            target.cordoned_at = None
        elif target.cordoned_at is None:
            start_cordon(target, conditions, now)


def _is_pending(load: EngineLoad, targets: Mapping[str, Target]) -> bool:
    target = targets.get(load.instance)
    held = None if target is None else target.weights_of(load.model)
    return held is not None and held < load.version
