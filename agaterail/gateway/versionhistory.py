"""Desired weights versions of a model, and how long each has been desired."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

# Versions that are kept however old they are.
MAX_VERSIONS = 16
# More versions are kept for this long, which exceeds any time limit for outdated weights.
# Without the version that made its weights outdated, an engine would count as outdated
# since a later one.
KEPT_S = 120.0
MAX_YOUNG_VERSIONS = 512


@attrs.frozen
class DesiredVersion:
    """A weights version and the time from which its age is counted.

    Attributes
    ----------
    known_at
        Time on this process's clock, no later than when operators set the version.
    assumed
        Whether the version was already set when this process started.
    """

    version: int
    known_at: float
    assumed: bool = False


@attrs.frozen
class VersionAge:
    """Upper bound on the time for which a version has been desired."""

    version: int
    age_s: float


@attrs.frozen
class VersionAgeRecord:
    """Ages of the desired versions as known to one process when it wrote the record.

    Attributes
    ----------
    written_at
        Time of day in Unix seconds.
    reading_age_s
        Age of the writer's last read of the versions. Versions that were set after
        that read are missing from the record.
    ages
        Versions of each model, the oldest first.
    """

    written_at: float
    reading_age_s: float
    ages: dict[str, tuple[VersionAge, ...]]


@attrs.frozen
class VersionHistory:
    """Versions of a model that were desired, oldest first.

    Each version has its own age. An engine that missed two versions has been outdated
    since the first of them was set, not the second.
    """

    versions: tuple[DesiredVersion, ...]

    @property
    def newest(self) -> int:
        """Return the currently desired version."""
        return self.versions[-1].version

    def first_after(self, held: int) -> DesiredVersion | None:
        """Return the version that made another one outdated; None if it is current."""
        return next((item for item in self.versions if item.version > held), None)

    def outdated_for_s(self, held: int, now: float) -> float | None:
        """Return how long a version has been outdated; None if it is current."""
        item = self.first_after(held)
        return None if item is None else now - item.known_at

    def with_version(
        self, version: int, known_at: float, assumed: bool = False
    ) -> VersionHistory:
        """Return a copy with a new version."""
        return VersionHistory(
            _without_old((*self.versions, DesiredVersion(version, known_at, assumed)))
        )

    def ages(self, now: float) -> tuple[VersionAge, ...]:
        """Return the ages of all versions."""
        return tuple(VersionAge(item.version, now - item.known_at) for item in self.versions)

    def with_restored_ages(
        self, ages: tuple[VersionAge, ...], since: float, read_at: float
    ) -> VersionHistory:
        """Return a copy with ages from a record for versions that predate this process.

        A version missing from the record was set after its writer's last read. A bound is
        replaced only by a later one, since both are valid.

        Parameters
        ----------
        since
            Time on the local clock, no later than when the record was written.
        read_at
            Time on the local clock, no later than the writer's last read.
        """
        found = self.versions[0]
        if not found.assumed:
            return self
        by_version = {item.version: item for item in self.versions if item.assumed}
        newest_found = max(by_version)
        known_at = {item.version: since - item.age_s for item in ages}
        known_at.setdefault(newest_found, read_at)
        for version in sorted(known_at):
            former = by_version.get(version)
            if version > newest_found or (former and former.known_at >= known_at[version]):
                continue
            by_version[version] = DesiredVersion(version, known_at[version], assumed=True)
        observed = [item for item in self.versions if not item.assumed]
        kept = [by_version[version] for version in sorted(by_version)]
        return VersionHistory(_without_old((*kept, *observed)))


def _without_old(versions: tuple[DesiredVersion, ...]) -> tuple[DesiredVersion, ...]:
    """Return the versions that may still decide for how long weights are outdated."""
    young_from = versions[-1].known_at - KEPT_S
    kept = len(versions) - MAX_VERSIONS
    while kept > 0 and versions[kept - 1].known_at >= young_from:
        kept -= 1
    return versions[max(kept, len(versions) - MAX_YOUNG_VERSIONS, 0) :]


def record_ages(
    weights: Mapping[str, VersionHistory], now: float, time_of_day: float, reading_age_s: float
) -> VersionAgeRecord:
    """Return the ages of all versions, for processes that start later."""
    ages = {model: item.ages(now) for model, item in weights.items()}
    return VersionAgeRecord(time_of_day, reading_age_s, ages)
