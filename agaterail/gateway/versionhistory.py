"""Weights versions that operators named, and for how long each has been named."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

# Versions named within the time that counts; older ones change nothing.
MAX_VERSIONS = 16


@attrs.frozen
class DesiredVersion:
    """A weights version with the time since which it counts as named.

    Attributes
    ----------
    known_at
        Time by this process's clock; never later than the naming.
    assumed
        This process found the version at its start and did not see it named.
    """

    version: int
    known_at: float
    assumed: bool = False


@attrs.frozen
class VersionAge:
    """For how many seconds a version has been named at most."""

    version: int
    age_s: float


@attrs.frozen
class VersionAgeRecord:
    """Ages of the named versions, as one process knew them when it wrote them down.

    Attributes
    ----------
    written_at
        Time of day in Unix seconds.
    reading_age_s
        Age of the writer's reading of the names; later ones are not among them.
    ages
        Versions of each model, the oldest first.
    """

    written_at: float
    reading_age_s: float
    ages: dict[str, tuple[VersionAge, ...]]


@attrs.frozen
class VersionHistory:
    """Versions that were named of a model, the oldest first.

    Each version counts from its own naming: an engine that missed two versions
    is as late as the first of them says, not the second.
    """

    versions: tuple[DesiredVersion, ...]

    @property
    def newest(self) -> int:
        """Return the version that engines should have."""
        return self.versions[-1].version

    def first_after(self, held: int) -> DesiredVersion | None:
        """Return the version that made another one outdated; None if none did."""
        return next((item for item in self.versions if item.version > held), None)

    def outdated_for_s(self, held: int, now: float) -> float | None:
        """Return for how long a version has been outdated; None if it is not."""
        item = self.first_after(held)
        return None if item is None else now - item.known_at

    def with_version(
        self, version: int, known_at: float, assumed: bool = False
    ) -> VersionHistory:
        """Return these with one more version."""
        kept = self.versions[-(MAX_VERSIONS - 1) :]
        return VersionHistory((*kept, DesiredVersion(version, known_at, assumed)))

    def ages(self, now: float) -> tuple[VersionAge, ...]:
        """Return the ages of all versions."""
        return tuple(VersionAge(item.version, now - item.known_at) for item in self.versions)

    def with_restored_ages(
        self, ages: tuple[VersionAge, ...], since: float, read_at: float
    ) -> VersionHistory:
        """Return these with what a record says of versions that were found at the start.

        A version that the record lacks was named after its writer's reading. A later
        bound replaces an earlier one only, as both are true.

        Parameters
        ----------
        since
            Time by the own clock that is no later than the writing of the record.
        read_at
            Time that is no later than the reading of its writer.
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
        return VersionHistory((*kept, *observed)[-MAX_VERSIONS:])


def record_ages(
    weights: Mapping[str, VersionHistory], now: float, time_of_day: float, reading_age_s: float
) -> VersionAgeRecord:
    """Return the ages of all named versions, for processes that start later."""
    ages = {model: item.ages(now) for model, item in weights.items()}
    return VersionAgeRecord(time_of_day, reading_age_s, ages)
