"""Records of crashes on their way to the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import gevent
from returns.result import Success

from agaterail import logs
from agaterail.util.backoff import backoff_s

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from returns.result import Result

    from agaterail.gateway.controlstore import CrashChange, StoreError

logger = logs.get_logger("quarantine")

# Records of about the same time are appended with one call.
APPEND_PERIOD_S = 0.1
INITIAL_RETRY_S = 0.25
MAX_RETRY_S = 2.0
# The store answers within a few milliseconds, or is away or slow.
APPLY_AFTER_S = 0.15
MAX_AGE_S = 30.0
MAX_RECORDS = 64


@attrs.define
class _Queued:
    """A record to append, and whether it was applied here without the store."""

    change: CrashChange
    since: float
    applied: bool = False


class CrashRecordQueue:
    """Appends records to the store, several with one call.

    A record holds for the fleet once it is read back. Records that the store does not take
    are applied without it and kept for a time.

    Parameters
    ----------
    append
        Appends records to the store.
    apply_here
        Applies records on this daemon, and on others that it reaches.
    now
        Returns the time.

    Attributes
    ----------
    queue
        Records to append, oldest first.
    failures
        Consecutive failed appends.
    """

    def __init__(
        self,
        append: Callable[[Sequence[CrashChange]], Result[None, StoreError]],
        apply_here: Callable[[Sequence[CrashChange]], None],
        now: Callable[[], float],
    ) -> None:
        self.append = append
        self.apply_here = apply_here
        self.now = now
        self.queue: list[_Queued] = []
        self.appending = False
        self.failures = 0

    def publish(self, change: CrashChange) -> None:
        """Append a record soon."""
        queued = _Queued(change, self.now())
        if len(self.queue) < MAX_RECORDS:
            self.queue.append(queued)
        if self.failures:
            self._apply([queued])
        else:
            gevent.spawn_later(APPLY_AFTER_S, self._apply_if_queued, queued)
        if not self.appending:
            self.appending = True
            gevent.spawn(self._append_all)

    def _apply_if_queued(self, queued: _Queued) -> None:
        """Apply a record that the store has not taken in its usual time."""
        if not queued.applied and any(item is queued for item in self.queue):
            self._apply([queued])

    def _append_all(self) -> None:
        try:
            while self.queue:
                gevent.sleep(self._append_batch(list(self.queue)))
        finally:
            self.appending = False

    def _append_batch(self, batch: Sequence[_Queued]) -> float:
        """Append records with one call; return the seconds until the next call."""
        answer = self.append([item.change for item in batch])
        if isinstance(answer, Success):
            self.failures = 0
            del self.queue[: len(batch)]
            return APPEND_PERIOD_S
        if not self.failures:
            logger.warning(
                "Crash records not stored.",
                reason=answer.failure().kind.value,
                count=len(batch),
            )
        pause_s = backoff_s(self.failures, INITIAL_RETRY_S, MAX_RETRY_S)
        self.failures += 1
        self._apply(batch)
        oldest = self.now() - MAX_AGE_S
        self.queue = [item for item in self.queue if item.since >= oldest]
        return pause_s

    def _apply(self, batch: Sequence[_Queued]) -> None:
        fresh = [item for item in batch if not item.applied]
        for item in fresh:
            item.applied = True
        self.apply_here([item.change for item in fresh])
