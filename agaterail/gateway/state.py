"""What this daemon believes of the world, changed only by its controllers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agaterail import logs
from agaterail.gateway.controlstore import NEVER, DesiredPublished, TargetChanged, WeightsNamed
from agaterail.gateway.namedweights import NamedWeights
from agaterail.gateway.targets import TargetBook
from agaterail.util.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from agaterail.gateway.controlstore import Arrival, Change
    from agaterail.gateway.desired import DesiredState
    from agaterail.gateway.freshness import Freshness
    from agaterail.gateway.namedweights import NamingRecord

logger = logs.get_logger("state")

# Two waits of a read and a slow call: as long as readings are no older, a change that
# is read was made just now.
MAX_REGULAR_READING_GAP_S = 2.0
# Vanished targets whose offset is remembered. A read is overtaken by seconds; in
# that time far fewer targets vanish.
MAX_TOMBSTONES = 1024


class GatewayState:
    """Desired state, named weights and targets in force on this daemon.

    Versions only move forward: a slow read that was overtaken by a newer one
    must not bring back a route or a key that is gone.

    Attributes
    ----------
    assumed_age_s
        Age of a version that a process finds at its start, for all that it knows.
    clock_skew_s
        Largest error of a time of day.
    naming
        The newest record of the ages of versions that another process wrote.
    naming_since
        Time by the own clock that is no later than its writing.
    """

    def __init__(
        self,
        freshness: Freshness,
        book: TargetBook,
        assumed_age_s: float = 0.0,
        clock_skew_s: float = 0.0,
    ) -> None:
        self.assumed_age_s = assumed_age_s
        self.clock_skew_s = clock_skew_s
        self.naming: NamingRecord | None = None
        self.naming_since = 0.0
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
        previous_read_at: float | None = None,
    ) -> None:
        """Take in changes in the order of their offsets.

        Parameters
        ----------
        at_start
            They were made at some time before this process first read.
        read_before
            Time at which the reading before was sent; they were made after it.
        arrival
            How they came, for the log.
        """
        for change in changes:
            if isinstance(change, DesiredPublished):
                self._apply_desired(change, now, arrival)
            elif isinstance(change, WeightsNamed):
                known_at = self._earliest_naming_time(now, at_start, previous_read_at)
                self._apply_weights(change, now, known_at, at_start)
            elif isinstance(change, TargetChanged):
                self._apply_target(change, now)

    def log_staleness(self, now: float) -> None:
        """Say when the desired state in force may have become outdated, and is not."""
        outdated = self.desired is not None and not self.freshness.allows_denial(now)
        if outdated == self.may_be_outdated:
            return
        self.may_be_outdated = outdated
        logger.info(
            "Desired state may be outdated." if outdated else "Desired state confirmed.",
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

    def apply_version_ages(
        self,
        record: NamingRecord,
        now: float,
        time_of_day: float,
        written_after: float = NEVER,
    ) -> None:
        """Take in for how long versions had been named when another process wrote it down.

        The writing lies as far back as the times of day say, and by the largest error
        of a clock more.

        Parameters
        ----------
        written_after
            Time by the own clock at which it is known not to have been written yet.
        """
        self.naming = record
        elapsed_s = max(0.0, time_of_day - record.written_at)
        self.naming_since = max(written_after, now - elapsed_s - self.clock_skew_s)
        for model in self.weights:
            self._restore_ages(model, now)

    def _restore_ages(self, model: str, now: float) -> None:
        if self.naming is None:
            return
        former = self.weights[model]
        ages = self.naming.ages.get(model, ())
        read_at = self.naming_since - self.naming.reading_age_s
        found = former.restored(ages, self.naming_since, read_at)
        if found == former:
            return
        self.weights[model] = found
        logger.info(
            "Ages of weights restored.",
            model=model,
            ages_s={item.version: round(item.age_s, 1) for item in found.ages(now)},
        )

    def _earliest_naming_time(
        self, now: float, at_start: bool, previous_read_at: float | None
    ) -> float:
        """Return a time that is no later than the naming of a version that was read now."""
        if at_start:
            return now - self.assumed_age_s
        if previous_read_at is None or now - previous_read_at <= MAX_REGULAR_READING_GAP_S:
            return now
        return max(previous_read_at, now - self.assumed_age_s)

    def _apply_weights(
        self, change: WeightsNamed, now: float, known_at: float, at_start: bool
    ) -> None:
        known = self.weights.get(change.model)
        if known is not None and change.version <= known.newest:
            return
        known = known or NamedWeights(())
        self.weights[change.model] = known.named(change.version, known_at, at_start)
        logger.info(
            "Weights named.",
            model=change.model,
            version=change.version,
            offset=change.offset,
            age_s=round(now - known_at, 3),
            assumed=at_start,
        )
        if at_start:
            self._restore_ages(change.model, now)

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
            self._trim_tombstones()
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

    def _trim_tombstones(self) -> None:
        vanished = [name for name in self.target_offsets if name not in self.book.targets]
        for name in vanished[:-MAX_TOMBSTONES]:
            del self.target_offsets[name]
