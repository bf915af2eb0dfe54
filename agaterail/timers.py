"""Timer service that all components use instead of reading a clock."""

from __future__ import annotations

import abc
import heapq
import itertools
import time
from typing import TYPE_CHECKING

import attrs
import gevent

from agaterail import logs

if TYPE_CHECKING:
    from collections.abc import Callable

logger = logs.get_logger("timers")


class Subscription:
    """Handle that stops a timer."""

    __slots__ = ("active",)

    def __init__(self) -> None:
        self.active = True

    def cancel(self) -> None:
        """Stop the timer; a call in progress is not interrupted."""
        self.active = False


class TimerService(abc.ABC):
    """Source of monotonic time and of delayed and periodic calls.

    Times are seconds of one host's monotonic clock and are never compared
    between hosts.
    """

    @abc.abstractmethod
    def now(self) -> float:
        """Return the monotonic time in seconds."""

    @abc.abstractmethod
    def after(self, delay_s: float, callback: Callable[[], None]) -> Subscription:
        """Call once after a delay."""

    @abc.abstractmethod
    def every(self, period_s: float, callback: Callable[[], None]) -> Subscription:
        """Call repeatedly; the next period starts when the call returns."""


class GeventTimerService(TimerService):
    """Timers on gevent's loop, one greenlet per subscription."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def after(self, delay_s: float, callback: Callable[[], None]) -> Subscription:
        """Call once after a delay."""
        subscription = Subscription()
        gevent.spawn_later(delay_s, _call, subscription, callback)
        return subscription

    def every(self, period_s: float, callback: Callable[[], None]) -> Subscription:
        """Call repeatedly; the first call is made immediately."""
        subscription = Subscription()
        gevent.spawn(_repeat, subscription, period_s, callback)
        return subscription


def _call(subscription: Subscription, callback: Callable[[], None]) -> None:
    if not subscription.active:
        return
    try:
        callback()
    except Exception:
        # Without this, an exception would silently end the timer, and its owner would
        # stop reconciling. Instead it is logged and the timer continues.
        logger.exception("Timer call failed.", callback=getattr(callback, "__qualname__", "?"))


def _repeat(subscription: Subscription, period_s: float, callback: Callable[[], None]) -> None:
    while subscription.active:
        _call(subscription, callback)
        gevent.sleep(period_s)


@attrs.define(order=True)
class _ScheduledCall:
    due_at: float
    sequence: int
    callback: Callable[[], None] = attrs.field(order=False)
    subscription: Subscription = attrs.field(order=False)
    period_s: float | None = attrs.field(order=False, default=None)


class ManualTimerService(TimerService):
    """Timers for tests, whose time moves only with ``advance``."""

    def __init__(self, start_s: float = 1000.0) -> None:
        self.time_s = start_s
        self.queue: list[_ScheduledCall] = []
        self.sequence_numbers = itertools.count()

    def now(self) -> float:
        """Return the current manual time."""
        return self.time_s

    def after(self, delay_s: float, callback: Callable[[], None]) -> Subscription:
        """Call once when the time has been advanced past the delay."""
        return self._push(delay_s, callback, None)

    def every(self, period_s: float, callback: Callable[[], None]) -> Subscription:
        """Call once for each period that the time is advanced past."""
        return self._push(period_s, callback, period_s)

    def advance(self, seconds: float) -> None:
        """Advance the time and make the calls that become due, in order."""
        end = self.time_s + seconds
        while self.queue and self.queue[0].due_at <= end:
            scheduled = heapq.heappop(self.queue)
            self.time_s = max(self.time_s, scheduled.due_at)
            if not scheduled.subscription.active:
                continue
            scheduled.callback()
            if scheduled.period_s is not None:
                self._schedule(
                    scheduled.period_s,
                    scheduled.callback,
                    scheduled.period_s,
                    scheduled.subscription,
                )
        self.time_s = end

    def _push(
        self, delay_s: float, callback: Callable[[], None], period_s: float | None
    ) -> Subscription:
        subscription = Subscription()
        self._schedule(delay_s, callback, period_s, subscription)
        return subscription

    def _schedule(
        self,
        delay_s: float,
        callback: Callable[[], None],
        period_s: float | None,
        subscription: Subscription,
    ) -> None:
        scheduled = _ScheduledCall(
            self.time_s + delay_s,
            next(self.sequence_numbers),
            callback,
            subscription,
            period_s,
        )
        heapq.heappush(self.queue, scheduled)
