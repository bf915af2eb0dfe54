"""Planning of the steps that bring engines to the state desired by the pools table."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from agaterail.engines import EngineState
    from agaterail.tables import Pool, Versioned

MAX_CONCURRENT_LOADS = 2
LOAD_TIMEOUT_S = 60.0


@attrs.frozen
class DesiredState:
    """Model, weights, adapters and role that an engine should have."""

    model: str
    weights_version: str
    adapters: tuple[str, ...]
    role: str

    @classmethod
    def of(cls, pool: Pool) -> DesiredState:
        """Return the desired state of the engines of a pool."""
        return cls(pool.model, pool.weights_version, pool.adapters, pool.role)

    def is_met_by(self, state: EngineState) -> bool:
        """Return whether a healthy engine has reached this state."""
        if not state.healthy or state.loading:
            return False
        found = DesiredState(state.model, state.weights_version, state.adapters, state.role)
        return found == self


@attrs.frozen
class Revision:
    """Version of a pool's row; each edit creates a new revision."""

    pool: str
    version: int


class StepKind(enum.Enum):
    """Action of a rollout step."""

    ORDER = "order"
    PROBE = "probe"
    HALT = "halt"


@attrs.frozen(kw_only=True)
class Step:
    """Step of a rollout, addressed to one engine."""

    kind: StepKind
    revision: Revision
    address: str = ""
    desired: DesiredState | None = None
    reason: str = ""


@attrs.define(kw_only=True)
class EngineView:
    """State of one engine as known to the lease holder.

    Attributes
    ----------
    state
        State as last read from the engine; None if the last read failed.
    unread_since
        Monotonic time in seconds at which the view was created; None once the
        engine's state has been read.
    ordered
        State of the latest order until the engine is seen to have reached it.
    ordered_at
        Monotonic time of that order, in seconds.
    failed
        Revision whose order or probe failed on this engine.
    probed
        Engine incarnation and state in which the probe succeeded.
    """

    state: EngineState | None = None
    unread_since: float | None = None
    ordered: DesiredState | None = None
    ordered_at: float = 0.0
    ordered_for: Revision | None = None
    failed: Revision | None = None
    probed: tuple[str, DesiredState] | None = None

    @property
    def cached_blocks(self) -> int:
        """Number of cached blocks that loading weights would drop."""
        return 0 if self.state is None else self.state.cached_blocks

    def may_be_loading(self, now: float) -> bool:
        """Return whether the engine is loading weights, or may be."""
        if self.ordered is not None or (self.state is not None and self.state.loading):
            return True
        # The previous lease holder may have ordered a load just before this one
        # took over. An engine whose state cannot be read counts as loading for
        # as long as a load can take. Otherwise more than MAX_CONCURRENT_LOADS
        # loads could run at once.
        return self.unread_since is not None and now - self.unread_since < LOAD_TIMEOUT_S

    def serves(self, versions: tuple[str, ...], now: float) -> bool:
        """Return whether the engine serves one of these weights versions."""
        state = self.state
        if state is None or self.may_be_loading(now) or not state.healthy:
            return False
        return state.weights_version in versions

    def verified(self, desired: DesiredState) -> bool:
        """Return whether the engine has the desired state and the probe succeeded in it."""
        if self.state is None or not desired.is_met_by(self.state):
            return False
        return self.probed == (self.state.incarnation, desired)


def update_view(view: EngineView, state: EngineState | None, now: float) -> None:
    """Update a view with a state read from the engine, or None if the read failed.

    An order is complete once the engine reports its state. It has failed if
    that does not happen within ``LOAD_TIMEOUT_S``, for example because the
    engine died while loading. Orders are idempotent: each names the full state.
    """
    view.state = state
    if state is not None:
        view.unread_since = None
    if view.ordered is None:
        return
    if state is not None and view.ordered.is_met_by(state):
        view.ordered = None
    elif now - view.ordered_at > LOAD_TIMEOUT_S:
        view.ordered = None
        view.failed = view.ordered_for


def plan_steps(
    pools: Iterable[Versioned[Pool]],
    engines: Mapping[str, EngineView],
    halted: frozenset[Revision],
    now: float,
) -> list[Step]:
    """Return the steps that may be taken now, in order.

    Parameters
    ----------
    pools
        Engine pools of the current tables.
    engines
        Views of all engines of these pools, by address.
    halted
        Revisions whose rollout was halted after an engine failed.
    """
    loads = sum(view.may_be_loading(now) for view in engines.values())
    steps: list[Step] = []
    for versioned in sorted(pools, key=lambda item: item.version):
        revision = Revision(versioned.row.name, versioned.version)
        views = {entry.address: engines[entry.address] for entry in versioned.row.targets}
        if revision in halted:
            wanted = _fallback_steps(versioned.row, revision, views, now)
        else:
            wanted = _pool_steps(versioned.row, revision, views, now)
        for step in wanted:
            if step.kind is StepKind.ORDER:
                if loads >= MAX_CONCURRENT_LOADS:
                    continue
                loads += 1
            steps.append(step)
    return steps


def _pool_steps(
    pool: Pool, revision: Revision, views: Mapping[str, EngineView], now: float
) -> list[Step]:
    desired = DesiredState.of(pool)
    failed = [address for address, view in views.items() if view.failed == revision]
    if failed:
        reason = f"{failed[0]} did not reach the state"
        return [Step(kind=StepKind.HALT, revision=revision, address=failed[0], reason=reason)]
    steps = [
        Step(kind=StepKind.PROBE, revision=revision, address=address, desired=desired)
        for address, view in views.items()
        if _needs_probe(view, desired, now)
    ]
    for address in _addresses_to_order(pool, desired, views, now):
        steps.append(
            Step(kind=StepKind.ORDER, revision=revision, address=address, desired=desired)
        )
    return steps


def _fallback_steps(
    pool: Pool, revision: Revision, views: Mapping[str, EngineView], now: float
) -> list[Step]:
    """Roll engines of a halted revision back to the weights that the pool also serves."""
    if not pool.also_serve:
        return []
    desired = DesiredState.of(pool)
    fallback = attrs.evolve(desired, weights_version=pool.also_serve[0])
    return [
        Step(kind=StepKind.ORDER, revision=revision, address=address, desired=fallback)
        for address, view in views.items()
        if view.state is not None
        and not view.may_be_loading(now)
        and view.state.weights_version == pool.weights_version
        and not view.verified(desired)
    ]


def _needs_probe(view: EngineView, desired: DesiredState, now: float) -> bool:
    if view.state is None or view.may_be_loading(now) or not desired.is_met_by(view.state):
        return False
    return not view.verified(desired)


def _addresses_to_order(
    pool: Pool, desired: DesiredState, views: Mapping[str, EngineView], now: float
) -> list[str]:
    if any(_needs_probe(view, desired, now) for view in views.values()):
        return []
    any_verified = any(view.verified(desired) for view in views.values())
    if not any_verified and any(view.may_be_loading(now) for view in views.values()):
        # Canary: until one engine has passed the probe, no second one is
        # changed. A bad version would otherwise take down several engines.
        return []
    versions = (pool.weights_version, *pool.also_serve)
    serving = sum(view.serves(versions, now) for view in views.values())
    chosen: list[str] = []
    for address in _engines_to_load(views, desired, now):
        if len(chosen) == (MAX_CONCURRENT_LOADS if any_verified else 1):
            break
        if views[address].serves(versions, now):
            if serving <= pool.serving_min:
                continue
            serving -= 1
        chosen.append(address)
    return chosen


def _engines_to_load(
    views: Mapping[str, EngineView], desired: DesiredState, now: float
) -> list[str]:
    # Loading weights drops the engine's cache. Engines with few cached blocks
    # go first, so that the long prefixes of the others stay cached during the
    # probe.
    outdated = [
        address
        for address, view in views.items()
        if view.state is not None
        and not view.may_be_loading(now)
        and not desired.is_met_by(view.state)
    ]
    return sorted(outdated, key=lambda address: (views[address].cached_blocks, address))
