"""Keeps the pool of cached prompt parts going while no member becomes isolated."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import gevent
from returns.result import Success

from agaterail import logs
from agaterail.decisions.cachepool import Sharing, checksum, next_record
from agaterail.gateway.controlstore import PoolChanged, StoreErrorKind
from agaterail.util.backoff import backoff_s

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from agaterail.decisions.cachepool import PoolRecord
    from agaterail.gateway.controlstore import Change, ControlStore, StoreError
    from agaterail.gateway.desired import DesiredState, Workspace
    from agaterail.gateway.metrics import GatewayMetrics
    from agaterail.gateway.state import GatewayState

logger = logs.get_logger("pool")

# How long the pool of a former desired state is used before a record says that it goes on.
# Together with the time until a desired state is known it stays below the bound on when
# that must be in force.
MAX_UNCONFIRMED_S = 0.5
# The daemon that is first in line for the order lease records at once, the other readers of
# the store after the first of these, and all others after the second if it is still missing.
READER_DELAY_S = 0.15
OTHERS_DELAY_S = 0.4
# Spreads the daemons that are not readers.
DELAY_PER_DAEMON_S = 0.005
INITIAL_RETRY_S = 0.2
MAX_RETRY_S = 2.0


@attrs.frozen
class Grant:
    """Pool that requests may use at the desired state in force.

    Attributes
    ----------
    epoch
        Epoch of the pool.
    state
        Desired state that the pool is recorded for.
    until
        Time until which it may be used; infinite if that state is in force.
    """

    epoch: int
    # Comparing two states takes milliseconds with thousands of workspaces.
    state: DesiredState = attrs.field(eq=id)
    until: float


class CachePoolController:
    """Decides which pool of cached parts the requests of a workspace use.

    The newest record of the pool is read as a feed. A daemon with a newer desired state
    appends the next record, on condition that no other one did. Until then it uses the
    former pool for a short time if none of the known members became isolated, and after
    that the pool that begins with its desired state.

    Parameters
    ----------
    store
        Holds the records.
    state
        The desired state in force and former ones.
    rank
        Returns the place in line for the order lease; None without one.
    is_reader
        Returns whether this daemon reads the store for others.
    daemons
        Returns the estimated number of daemons.
    is_stopping
        Returns whether the process is about to end.
    spawn
        Starts a greenlet.
    now
        Returns the time in seconds.
    number
        Returns a random number in [0, 1).

    Attributes
    ----------
    record
        The newest record; None if none is known.
    end
        End of the records' log; None before the first reading.
    granted
        The newest record for a desired state that this daemon had.
    """

    def __init__(
        self,
        store: ControlStore,
        state: GatewayState,
        metrics: GatewayMetrics,
        *,
        rank: Callable[[], int | None],
        is_reader: Callable[[], bool],
        daemons: Callable[[], float],
        is_stopping: Callable[[], bool],
        spawn: Callable[..., object],
        now: Callable[[], float],
        number: Callable[[], float],
    ) -> None:
        self.store = store
        self.state = state
        self.metrics = metrics
        self.rank = rank
        self.is_reader = is_reader
        self.daemons = daemons
        self.is_stopping = is_stopping
        self.spawn = spawn
        self.now = now
        self.number = number
        self.record: PoolRecord | None = None
        self.record_offset = -1
        self.end: int | None = None
        self.granted: PoolRecord | None = None
        self.grant: Grant | None = None
        self.is_recording = False

    # Requests.

    def epoch_for(self, workspace: str) -> int | None:
        """Return the epoch of the pool that a workspace uses; None if it uses none.

        Parameters
        ----------
        workspace
            Name of the workspace; empty for requests without one.
        """
        desired = self.state.desired
        assert desired is not None
        # The desired state may have changed since the request was admitted.
        if workspace and not _shares(desired, workspace):
            return None
        grant = self.grant
        if grant is None or self.now() > grant.until:
            return desired.version
        if workspace and not _shares(grant.state, workspace):
            return desired.version  # not recorded as a member yet
        return grant.epoch

    # Changes of belief.

    def apply(self, changes: Sequence[Change], next_offset: int) -> None:
        """Apply records that were read up to an offset."""
        self.end = max(next_offset, self.end or 0)
        for change in changes:
            if isinstance(change, PoolChanged):
                self._adopt(change)
        self.refresh()

    def refresh(self) -> None:
        """Follow a change of the desired state or of the newest record."""
        if self.state.desired is None:
            return
        self._update_grant(self.state.desired)
        if self._is_behind() and not self.is_recording:
            self.is_recording = True
            self.spawn(self._record_until_current)

    def _adopt(self, change: PoolChanged) -> None:
        if change.offset > self.record_offset:
            self.record, self.record_offset = change.record, change.offset

    def _update_grant(self, desired: DesiredState) -> None:
        former, self.grant = self.grant, None
        for record in (self.record, self.granted):
            found = None if record is None else self._find_state(record.version)
            if record is not None and found is not None:
                self.granted, self.grant = record, self._make_grant(record, *found)
                break
        if self.grant != former:
            self._log_grant(desired)

    def _find_state(self, version: int) -> tuple[DesiredState, float] | None:
        """Return a desired state that this daemon has or had, and how long its pool lasts."""
        desired = self.state.desired
        if desired is not None and desired.version == version:
            return desired, math.inf
        for replaced_at, state in reversed(self.state.former_states):
            if state.version == version:
                return state, replaced_at + MAX_UNCONFIRMED_S
        return None

    def _make_grant(self, record: PoolRecord, state: DesiredState, until: float) -> Grant:
        desired = self.state.desired
        assert desired is not None
        if desired is not state:
            # Other daemons may have recorded the states after the granted one as well.
            since = [item for _, item in self.state.former_states]
            since = [item for item in since if item.version >= record.version]
            if _any_isolated(desired.workspaces, record, since):
                until = -math.inf
        return Grant(record.epoch, state, until)

    def _log_grant(self, desired: DesiredState) -> None:
        grant = self.grant
        is_confirmed = grant is not None and grant.state is desired
        self.metrics.pool_epoch.set(desired.version if grant is None else grant.epoch)
        logger.info(
            "Cache pool confirmed." if is_confirmed else "Cache pool not confirmed yet.",
            version=desired.version,
            epoch=None if grant is None else grant.epoch,
            granted_for=None if grant is None else grant.state.version,
            usable_s=None
            if grant is None or is_confirmed
            else round(max(0.0, grant.until - self.now()), 3),
            recorded_for=None if self.record is None else self.record.version,
            offset=self.record_offset,
        )

    # Records.

    def _is_behind(self) -> bool:
        """Return whether the newest record is for an older desired state."""
        desired = self.state.desired
        if desired is None or self.end is None or self.is_stopping():
            return False
        return self.record is None or self.record.version < desired.version

    def _first_delay_s(self) -> float:
        if self.rank() == 0:
            return 0.0
        if self.is_reader():
            return READER_DELAY_S * (1.0 + self.number())
        spread_s = max(OTHERS_DELAY_S, DELAY_PER_DAEMON_S * self.daemons())
        return OTHERS_DELAY_S + spread_s * self.number()

    def _record_until_current(self) -> None:
        """Append records until there is one for the desired state in force."""
        failures = 0
        try:
            gevent.sleep(self._first_delay_s())
            while self._is_behind():
                if self.record_next(may_renew=failures > 0):
                    failures = 0
                    continue
                pause_s = backoff_s(failures, INITIAL_RETRY_S, MAX_RETRY_S)
                failures += 1
                gevent.sleep(pause_s * (0.5 + self.number()))
        finally:
            self.is_recording = False

    def record_next(self, may_renew: bool) -> bool:
        """Append the next record; return whether it was appended.

        Parameters
        ----------
        may_renew
            Whether the pool is renewed if its members are unknown. They are for a moment
            while another daemon replaces them.
        """
        desired, known, end = self.state.desired, self.record, self.end
        assert desired is not None
        assert end is not None
        members = None if known is None else self._members_of(known)
        if known is not None and members is None and not may_renew:
            return False
        sharing = sharing_of(desired)
        record = next_record(known, members, sharing)
        if known is None or known.checksum != record.checksum:
            stored = self.store.put_pool_members(sharing.shared)
            # Members that the store does not take for their size are only missed once no
            # daemon remembers them, and the pool is renewed then.
            if (
                not isinstance(stored, Success)
                and stored.failure().kind is not StoreErrorKind.MALFORMED
            ):
                self._log_failure("Cache pool members not stored.", stored.failure(), record)
                return False
        answer = self.store.append_pool(record, end)
        if not isinstance(answer, Success):
            self._log_failure("Cache pool not recorded.", answer.failure(), record)
            return False
        offset = answer.unwrap()
        self._log_recorded(known, members, sharing, record, offset)
        self.apply([PoolChanged(offset, record)], offset + 1)
        return True

    def _members_of(self, record: PoolRecord) -> frozenset[int] | None:
        """Return the workspaces that share at a record's version; None if unknown."""
        found = self._find_state(record.version)
        if found is not None:
            return sharing_of(found[0]).shared
        answer = self.store.pool_members()
        if not isinstance(answer, Success):
            return None
        members = answer.unwrap()
        return members if checksum(members) == record.checksum else None

    def _log_recorded(
        self,
        known: PoolRecord | None,
        members: frozenset[int] | None,
        sharing: Sharing,
        record: PoolRecord,
        offset: int,
    ) -> None:
        goes_on = known is not None and known.epoch == record.epoch
        ever_shared = (members or frozenset()) | (known.former if known else frozenset())
        logger.info(
            "Cache pool goes on." if goes_on else "Cache pool renewed.",
            version=record.version,
            former=None if known is None else known.version,
            epoch=record.epoch,
            members=len(sharing.shared),
            former_members=len(record.former),
            isolated=len(ever_shared & sharing.isolated),
            members_known=members is not None,
            offset=offset,
        )

    def _log_failure(self, event: str, error: StoreError, record: PoolRecord) -> None:
        logger.info(
            event,
            version=record.version,
            epoch=record.epoch,
            error=error.kind.value,
            reason=error.reason,
        )


def sharing_of(state: DesiredState) -> Sharing:
    """Return which workspaces of a desired state share the pool."""
    isolated = frozenset(item.id for item in state.workspaces if item.isolated)
    shared = frozenset(item.id for item in state.workspaces if not item.isolated)
    return Sharing(state.version, shared - isolated, isolated)


def _shares(state: DesiredState, workspace: str) -> bool:
    found = state.workspace_by_name.get(workspace)
    return found is not None and not found.isolated


def _any_isolated(
    workspaces: Iterable[Workspace], record: PoolRecord, former_states: Sequence[DesiredState]
) -> bool:
    """Return whether a workspace is isolated that may have shared a recorded pool."""
    return any(
        item.isolated
        and (
            any(_shares(state, item.name) for state in former_states)
            or (bool(record.former) and item.id in record.former)
        )
        for item in workspaces
    )
