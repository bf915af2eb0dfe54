"""Kept connections to targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agaterail.gateway.targetconnection import TargetConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    from agaterail.gateway.inbound import AnswerHead
    from agaterail.gateway.targets import Target

# A kept connection that its target is about to close may break while a request
# is on its way, and nobody knows then whether it ran. For requests that must
# not run twice only the first part of the announced time is used.
IDEMPOTENT_KEEP_ALIVE_FRACTION = 0.8
AT_MOST_ONCE_KEEP_ALIVE_FRACTION = 0.5
# Targets that announce no time close idle connections after seconds as a rule.
DEFAULT_KEEP_ALIVE_S = 2.0
# A target without power answers nothing, and a request on a kept connection to
# it waits in vain; one that must not run twice is lost with that. So a kept
# connection is used only if the target was heard of lately. A new one proves
# by its handshake, a millisecond, that somebody is there.
IDEMPOTENT_MAX_SILENCE_S = 1.0
AT_MOST_ONCE_MAX_SILENCE_S = 0.25


class ConnectionPool:
    """Idle connections by target, the last used first."""

    def __init__(self, decode: Callable[..., AnswerHead], now: Callable[[], float]) -> None:
        self.decode = decode
        self.now = now
        self.idle: dict[str, list[TargetConnection]] = {}
        self.opened = 0

    def acquire(
        self, target: Target, idempotent: bool, connect_timeout_s: float
    ) -> TargetConnection:
        """Return a kept connection that still looks sound, or a new one.

        Raises
        ------
        OSError
            If no connection was made; nothing was sent then.
        """
        keep_alive_fraction = (
            IDEMPOTENT_KEEP_ALIVE_FRACTION if idempotent else AT_MOST_ONCE_KEEP_ALIVE_FRACTION
        )
        max_silence_s = IDEMPOTENT_MAX_SILENCE_S if idempotent else AT_MOST_ONCE_MAX_SILENCE_S
        is_alive = self.now() - target.heard_at < max_silence_s
        idle = self.idle.get(target.instance, [])
        while idle and is_alive:
            connection = idle.pop()
            if self._is_within_idle_limit(
                connection, keep_alive_fraction
            ) and not connection.is_stale(keep_alive_fraction):
                return connection
            connection.close()
        self.opened += 1
        connection = TargetConnection.connect(
            target.address, connect_timeout_s, self.decode, self.now
        )
        connection.on_data = lambda: self._record_heard(target)
        self._record_heard(target)
        return connection

    def release(self, target: Target, connection: TargetConnection) -> None:
        """Keep a connection whose answer was read whole."""
        if connection.finish():
            if target.gone:
                connection.close()
                return
            self.idle.setdefault(target.instance, []).append(connection)

    def release_unused(self, target: Target, connection: TargetConnection) -> None:
        """Keep a connection on which nothing was sent since it was taken."""
        connection.idle_since = self.now()
        self.idle.setdefault(target.instance, []).append(connection)

    def drop(self, target: Target) -> None:
        """Close the idle connections to a target that is gone."""
        for connection in self.idle.pop(target.instance, []):
            connection.close()

    def close_stale(self) -> None:
        """Close idle connections that will not be used again."""
        for instance, idle in list(self.idle.items()):
            usable = []
            for connection in idle:
                if self._is_within_idle_limit(
                    connection, IDEMPOTENT_KEEP_ALIVE_FRACTION
                ) and not connection.is_stale(IDEMPOTENT_KEEP_ALIVE_FRACTION):
                    usable.append(connection)
                else:
                    connection.close()
            self.idle[instance] = usable
            if not usable:
                del self.idle[instance]

    def _record_heard(self, target: Target) -> None:
        target.heard_at = self.now()

    def _is_within_idle_limit(
        self, connection: TargetConnection, keep_alive_fraction: float
    ) -> bool:
        if connection.keep_alive_s is not None:
            return True
        return self.now() - connection.idle_since < DEFAULT_KEEP_ALIVE_S * keep_alive_fraction
