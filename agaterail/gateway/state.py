"""State in force on this daemon; only its controllers change it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from agaterail import logs
from agaterail.gateway.controlstore import (
    NEVER,
    STORE,
    DesiredPublished,
    TargetChanged,
    WeightsNamed,
)
from agaterail.gateway.targets import REGISTRATION_DELAY_S, TargetRegistry
from agaterail.gateway.versionhistory import VersionHistory
from agaterail.util.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from agaterail.gateway.controlstore import Arrival, Change
    from agaterail.gateway.desired import DesiredState
    from agaterail.gateway.freshness import Freshness
    from agaterail.gateway.versionhistory import VersionAgeRecord

logger = logs.get_logger("state")

# Two waits of a read and a slow call. If the previous reading is no older than this, a
# change that is read now counts as made now.
MAX_REGULAR_READING_GAP_S = 2.0
# Number of removed targets whose offset is kept as a tombstone. Reads are overtaken by
# seconds, in which far fewer targets are removed.
MAX_TOMBSTONES = 1024
# A stream that callers take up may have begun under a former desired state.
MAX_FORMER_STATES = 16
FORMER_STATE_S = 120.0
# Instances that a line about relayed registrations names.
MAX_LOGGED_TARGETS = 8


class GatewayState:
    """Desired state, named weights and targets in force on this daemon.

    Versions are monotonic: a slow read that was overtaken by a newer one must not
    restore a removed route or a revoked key.

    Attributes
    ----------
    assumed_age_s
        Age that is assumed for weights versions found at the start of the process.
    clock_skew_s
        Largest error of a host's time of day.
    naming
        Newest record of version ages that another process wrote.
    naming_since
        Lower bound, by this process's clock, of the time at which that record was
        written.
    former_states
        Desired states that were replaced lately, with the time of that, oldest first.
    former_known_since
        Time from which all of them are among these.
    may_be_outdated
        Whether the reading is older than the bound, so that a newer desired state may
        already be due.
    target_offsets
        Offset of the newest change of each target, with tombstones of removed targets.
        Without them, a slow read that was overtaken by a peer's answer restored dead
        targets.
    """

    def __init__(
        self,
        freshness: Freshness,
        registry: TargetRegistry,
        assumed_age_s: float = 0.0,
        clock_skew_s: float = 0.0,
    ) -> None:
        self.assumed_age_s = assumed_age_s
        self.clock_skew_s = clock_skew_s
        self.naming: VersionAgeRecord | None = None
        self.naming_since = 0.0
        self.freshness = freshness
        self.registry = registry
        self.desired: DesiredState | None = None
        self.former_states: list[tuple[float, DesiredState]] = []
        self.former_known_since = -math.inf
        self.may_be_outdated = False
        self.weights: dict[str, VersionHistory] = {}
        self.target_offsets: dict[str, int] = {}

    def apply(
        self,
        changes: Iterable[Change],
        now: float,
        at_start: bool = False,
        arrival: Arrival | None = None,
        previous_read_at: float | None = None,
    ) -> None:
        """Apply changes in the order of their offsets.

        Parameters
        ----------
        at_start
            Whether this is the first read of the process, so that the changes may be of
            any age.
        arrival
            Source and timing of the changes, for the log.
        previous_read_at
            Time at which the previous read was sent; the changes were made after it.
        """
        registered = []
        for change in changes:
            # A change that fails must not keep the others of its reading from being applied.
            try:
                if isinstance(change, DesiredPublished):
                    self._apply_desired(change, now, arrival)
                elif isinstance(change, WeightsNamed):
                    known_at = self._earliest_naming_time(now, at_start, previous_read_at)
                    self._apply_weights(change, now, known_at, at_start)
                elif isinstance(change, TargetChanged) and self._apply_target(
                    change, now, previous_read_at
                ):
                    registered.append(change)
            except Exception:
                logger.exception("Could not apply a change.", offset=change.offset)
        if registered:
            _log_registered(registered, arrival)

    @property
    def desired_version(self) -> int | None:
        """Return the version of the desired state in force; None before the first."""
        return None if self.desired is None else self.desired.version

    def log_staleness(self, now: float) -> None:
        """Log when the desired state becomes possibly outdated, and when it is confirmed."""
        outdated = self.desired is not None and not self.freshness.allows_denial(now)
        if outdated == self.may_be_outdated:
            return
        self.may_be_outdated = outdated
        logger.info(
            "Desired state may be outdated." if outdated else "Desired state confirmed.",
            version=self.desired_version,
            reading_age_s=self.freshness.age_s(now),
        )

    def apply_listing(
        self,
        changes: Sequence[Change],
        next_offset: int,
        now: float,
        arrival: Arrival | None = None,
        skipped: Iterable[str] = (),
    ) -> None:
        """Apply a listing of the targets at an offset; targets not on it are removed.

        Parameters
        ----------
        skipped
            Targets on the listing whose entries cannot be decoded. As when such an entry
            is read by itself, the former one stays in force.
        """
        listed = {change.instance for change in changes if isinstance(change, TargetChanged)}
        listed.update(skipped)
        # Tombstones are renewed too: an older listing that was overtaken by this one may
        # still contain a target that has been removed twice.
        known = dict.fromkeys([*self.target_offsets, *self.registry.targets])
        removed = [
            TargetChanged(next_offset - 1, instance, None)
            for instance in known
            if instance not in listed
        ]
        self.apply([*changes, *removed], now, arrival=arrival)

    def _apply_desired(
        self, change: DesiredPublished, now: float, arrival: Arrival | None
    ) -> None:
        if self.desired is not None and change.state.version <= self.desired.version:
            return
        former = self.desired
        self.desired = change.state
        if former is not None:
            self._keep_former(former, now)
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

    def _keep_former(self, former: DesiredState, now: float) -> None:
        self.former_states.append((now, former))
        while (
            len(self.former_states) > MAX_FORMER_STATES
            or now - self.former_states[0][0] > FORMER_STATE_S
        ):
            self.former_known_since, _ = self.former_states.pop(0)

    def services_since(self, host: str, path: bytes, start: float) -> set[str] | None:
        """Return the services to which a request was routed since a time.

        Returns None if not all desired states since then are known.
        """
        if self.desired is None or self.former_known_since > start:
            return None
        former = (state for replaced_at, state in self.former_states if replaced_at > start)
        routes = (state.match(host, path) for state in (self.desired, *former))
        return {share.service for route in routes if route for share in route.shares}

    def apply_version_ages(
        self,
        record: VersionAgeRecord,
        now: float,
        time_of_day: float,
        written_after: float = NEVER,
    ) -> None:
        """Apply the version ages that another process recorded.

        The record is taken to be as old as the times of day say, plus the largest error
        of a clock.

        Parameters
        ----------
        written_after
            Time by this process's clock at which the record was not yet written.
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
        found = former.with_restored_ages(ages, self.naming_since, read_at)
        if found == former:
            return
        self.weights[model] = found
        logger.info(
            "Ages of weights versions restored.",
            model=model,
            ages_s={item.version: round(item.age_s, 1) for item in found.ages(now)},
        )

    def _earliest_naming_time(
        self, now: float, at_start: bool, previous_read_at: float | None
    ) -> float:
        """Return a lower bound of the time at which a version that was just read was named."""
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
        known = known or VersionHistory(())
        self.weights[change.model] = known.with_version(change.version, known_at, at_start)
        logger.info(
            "New weights version named.",
            model=change.model,
            version=change.version,
            offset=change.offset,
            age_s=round(now - known_at, 3),
            assumed=at_start,
        )
        if at_start:
            self._restore_ages(change.model, now)

    def _apply_target(
        self, change: TargetChanged, now: float, previous_read_at: float | None
    ) -> bool:
        """Apply a change of one target; return whether its registration is new."""
        if change.offset < self.target_offsets.get(change.instance, -1):
            return False
        # Removed first, so that the dict is ordered by the time of the last change.
        self.target_offsets.pop(change.instance, None)
        self.target_offsets[change.instance] = change.offset
        known = self.registry.targets.get(change.instance)
        if change.entry is None:
            self.registry.remove(change.instance, now)
            if known is not None:
                logger.info(
                    "Target registration removed.",
                    target=change.instance,
                    kept=change.instance in self.registry.targets,
                    offset=change.offset,
                )
            self._trim_tombstones()
            return False
        former = None if known is None else known.registration
        started_after = NEVER
        if previous_read_at is not None:
            started_after = previous_read_at - REGISTRATION_DELAY_S
        return self.registry.put(change.entry, started_after).registration != former

    def _trim_tombstones(self) -> None:
        removed = [name for name in self.target_offsets if name not in self.registry.targets]
        for name in removed[:-MAX_TOMBSTONES]:
            del self.target_offsets[name]


def _log_registered(changes: Sequence[TargetChanged], arrival: Arrival | None) -> None:
    """Log new registrations: each one where it was read, one line where it was relayed."""
    if arrival is not None and arrival.source != STORE:
        logger.info(
            "Targets registered.",
            source=arrival.source,
            count=len(changes),
            targets=[change.instance for change in changes[:MAX_LOGGED_TARGETS]],
            not_ready=_not_ready(changes)[:MAX_LOGGED_TARGETS],
            offset=changes[-1].offset,
        )
        return
    for change in changes:
        assert change.entry is not None
        logger.info(
            "Target registered.",
            target=change.instance,
            service=change.entry.service,
            address=change.entry.address,
            ready=change.entry.ready,
            born=change.entry.born,
            weights=change.entry.weights,
            build=change.entry.build,
            offset=change.offset,
        )


def _not_ready(changes: Iterable[TargetChanged]) -> list[str]:
    """Return the targets that registered without taking requests."""
    return [item.instance for item in changes if item.entry and not item.entry.ready]
