"""What this daemon believes of the world, changed only by its controllers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agaterail import logs
from agaterail.gateway.controlstore import DesiredPublished, TargetChanged, WeightsNamed
from agaterail.gateway.placement import NamedWeights
from agaterail.gateway.targets import TargetBook

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from agaterail.gateway.controlstore import Arrival, Change
    from agaterail.gateway.desired import DesiredState
    from agaterail.gateway.freshness import Freshness

logger = logs.get_logger("state")


MS_PER_S = 1e3
# Vanished targets whose offset is remembered. A read is overtaken by seconds; in
# that time far fewer targets vanish.
KEPT_VANISHED = 1024


class GatewayState:
    """Desired state, named weights and targets in force on this daemon.

    Versions only move forward: a slow read that was overtaken by a newer one
    must not bring back a route or a key that is gone.
    """

    def __init__(
        self, freshness: Freshness, book: TargetBook, unknown_age_s: float = 0.0
    ) -> None:
        self.unknown_age_s = unknown_age_s
        self.freshness = freshness
        self.book = book
        self.desired: DesiredState | None = None
        # A newer desired state may be due: the reading is older than the bound.
        self.may_be_outdated = False
        self.weights: dict[str, NamedWeights] = {}
        # Offset of the newest change of each target, vanished ones included: a slow
        # read that was overtaken by a peer's answer brought dead targets back.
        self.target_offsets: dict[str, int] = {}

    def apply(
        self,
        changes: Iterable[Change],
        now: float,
        at_start: bool = False,
        arrival: Arrival | None = None,
    ) -> None:
        """Take in changes in the order of their offsets.

        Parameters
        ----------
        at_start
            They were made at some time before this process first read.
        arrival
            How they came, for the log.
        """
        for change in changes:
            if isinstance(change, DesiredPublished):
                self._apply_desired(change, now, arrival)
            elif isinstance(change, WeightsNamed):
                self._apply_weights(change, now, at_start)
            elif isinstance(change, TargetChanged):
                self._apply_target(change, now)

    def note_age(self, now: float) -> None:
        """Say when the desired state in force may have become outdated, and is not."""
        may_be = self.desired is not None and not self.freshness.allows_denial(now)
        if may_be == self.may_be_outdated:
            return
        self.may_be_outdated = may_be
        logger.info(
            "Desired state may be outdated." if may_be else "Desired state confirmed.",
            version=None if self.desired is None else self.desired.version,
            reading_age_s=self.freshness.age_s(now),
        )

    def apply_listing(self, changes: Sequence[Change], next_offset: int, now: float) -> None:
        """Take in all targets that were registered at an offset; the others vanished."""
        listed = {change.instance for change in changes if isinstance(change, TargetChanged)}
        # Those that had vanished before are noted anew: an older listing, overtaken by
        # this one, may still name one that vanished twice.
        known = dict.fromkeys([*self.target_offsets, *self.book.targets])
        vanished = [
            TargetChanged(next_offset - 1, instance, None)
            for instance in known
            if instance not in listed
        ]
        self.apply([*changes, *vanished], now)

    def _apply_desired(
        self, change: DesiredPublished, now: float, arrival: Arrival | None
    ) -> None:
        if self.desired is not None and change.state.version <= self.desired.version:
            return
        former = self.desired
        self.desired = change.state
        logger.info(
            "Desired state in force.",
            version=change.state.version,
            former=None if former is None else former.version,
            offset=change.offset,
            reading_age_s=self.freshness.age_s(now),
            routes=len(change.state.routes),
            keys=len(change.state.workspace_by_key),
            size=change.size,
            source=None if arrival is None else arrival.source,
            took_ms=None if arrival is None else round(arrival.took_s * MS_PER_S, 1),
            decode_ms=round(change.decode_s * MS_PER_S, 1),
            known_s=None if arrival is None else round(now - arrival.known_at, 3),
        )

    def _apply_weights(self, change: WeightsNamed, now: float, at_start: bool) -> None:
        known = self.weights.get(change.model)
        if known is not None and change.version <= known.newest:
            return
        # Of a version that a process finds at its start it does not know when it
        # was named: after all daemons had died, engines were used on weights
        # that had been outdated for longer than allowed. Most rollouts are over
        # in the time that is assumed here.
        known_at = now - self.unknown_age_s if at_start else now
        known = known or NamedWeights(())
        self.weights[change.model] = known.named(change.version, known_at)
        logger.info(
            "Weights named.", model=change.model, version=change.version, offset=change.offset
        )

    def _apply_target(self, change: TargetChanged, now: float) -> None:
        if change.offset < self.target_offsets.get(change.instance, -1):
            return
        # Taken out first, so that the order of the names is that of their changes.
        self.target_offsets.pop(change.instance, None)
        self.target_offsets[change.instance] = change.offset
        known = self.book.targets.get(change.instance)
        if change.entry is None:
            self.book.remove(change.instance, now)
            if known is not None:
                logger.info(
                    "Target vanished.",
                    target=change.instance,
                    kept=change.instance in self.book.targets,
                    offset=change.offset,
                )
            self._bound_offsets()
            return
        changed = known is None or known.entry != change.entry
        self.book.put(change.entry)
        if changed:
            logger.info(
                "Target registered.",
                target=change.instance,
                service=change.entry.service,
                address=change.entry.address,
                ready=change.entry.ready,
                born=change.entry.born,
                weights=change.entry.weights,
                offset=change.offset,
            )

    def _bound_offsets(self) -> None:
        vanished = [name for name in self.target_offsets if name not in self.book.targets]
        for name in vanished[:-KEPT_VANISHED]:
            del self.target_offsets[name]
