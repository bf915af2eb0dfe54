"""Pool of idle keep-alive connections to targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agaterail import logs
from agaterail.bytelimits.answers import AnswerPart, exceeded_bounds
from agaterail.gateway.targetconnection import TargetConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    from agaterail.gateway.inbound import AnswerHead
    from agaterail.gateway.targets import Target

logger = logs.get_logger("targets")

# If the target closes an idle connection while a request is on its way, it is unknown
# whether the request ran. Connections are therefore reused only for this fraction of
# the announced keep-alive timeout, a smaller one for at-most-once requests.
IDEMPOTENT_KEEP_ALIVE_FRACTION = 0.8
AT_MOST_ONCE_KEEP_ALIVE_FRACTION = 0.5
# Targets that announce no timeout usually close idle connections after a few seconds.
DEFAULT_KEEP_ALIVE_S = 2.0
# On an idle connection to a host that lost power, a request waits until it times out,
# and an at-most-once request is lost, since it cannot be retried. So an idle connection
# is reused only if the target sent data within this time. Otherwise a new connection
# is made, whose handshake shows within a millisecond that the target is up.
IDEMPOTENT_MAX_SILENCE_S = 1.0
AT_MOST_ONCE_MAX_SILENCE_S = 0.25
CONFIRM_AFTER_S = 0.2


class ConnectionPool:
    """Idle connections by target; the most recently used one is reused first.

    A connection on which an answer without a request id came carries idempotent requests
    only: a late copy of a refusal would make an at-most-once request that runs look refused.

    Attributes
    ----------
    connect
        Opens a connection.
    on_connected, on_connect_failed
        Called with the target, and after a failure with the error.
    on_ended_early
        Called with the id of a target that closed an idle connection before it was due.
    """

    def __init__(self, decode: Callable[..., AnswerHead], now: Callable[[], float]) -> None:
        self.decode = decode
        self.now = now
        self.connect = TargetConnection.connect
        self.on_connected: Callable[[Target], None] = lambda _target: None
        self.on_connect_failed: Callable[[Target, OSError], None] = lambda *_: None
        self.on_ended_early: Callable[[str], None] = lambda _instance: None
        self.idle: dict[str, list[TargetConnection]] = {}
        self.opened = 0

    def acquire(
        self, target: Target, idempotent: bool, connect_timeout_s: float
    ) -> TargetConnection:
        """Return an idle connection that still looks usable, or a new one.

        Raises
        ------
        OSError
            If the connection could not be established; nothing was sent.
        """
        keep_alive_fraction = _keep_alive_fraction(idempotent)
        is_alive = self._sends(target, idempotent)
        idle = self.idle.get(target.instance, [])
        fitting = [item for item in idle if _fits(item, idempotent)] if is_alive else []
        for connection in reversed(fitting):
            idle.remove(connection)
            if self._is_within_idle_limit(
                connection, keep_alive_fraction
            ) and not connection.is_stale(keep_alive_fraction):
                return connection
            self._discard(target.instance, connection)
        return self.open(target, connect_timeout_s)

    def open(self, target: Target, connect_timeout_s: float) -> TargetConnection:
        """Return a new connection.

        Raises
        ------
        OSError
            If the connection could not be established.
        """
        self.opened += 1
        try:
            connection = self.connect(target.address, connect_timeout_s, self.decode, self.now)
        except OSError as error:
            self.on_connect_failed(target, error)
            raise
        connection.on_data = lambda: self._record_data(target, connection)
        self._record_heard(target)
        self.on_connected(target)
        return connection

    def has_live(self, target: Target, idempotent: bool) -> bool:
        """Return whether ``acquire`` needs no new connection."""
        keep_alive_fraction = _keep_alive_fraction(idempotent)
        return self._sends(target, idempotent) and any(
            _fits(connection, idempotent)
            and self._is_within_idle_limit(connection, keep_alive_fraction)
            and not connection.is_stale(keep_alive_fraction)
            for connection in self.idle.get(target.instance, [])
        )

    def release(self, target: Target, connection: TargetConnection, idempotent: bool) -> None:
        """Return a connection to the pool after its answer was read completely.

        Parameters
        ----------
        idempotent
            Whether the request was idempotent.
        """
        if connection.finish():
            if target.gone or not _fits(connection, idempotent):
                connection.close()
                return
            self.idle.setdefault(target.instance, []).append(connection)
        elif connection.has_extra_data:
            exceeded_bounds.counts[AnswerPart.AFTER_END] += 1
            logger.info("Target sent data after its answer.", target=target.instance)

    def release_unused(self, target: Target, connection: TargetConnection) -> None:
        """Return a connection to the pool on which nothing was sent since ``acquire``."""
        if target.gone:
            connection.close()
            return
        connection.idle_since = self.now()
        self.idle.setdefault(target.instance, []).append(connection)

    def drop(self, target: Target) -> None:
        """Close the idle connections to a target that is gone."""
        for connection in self.idle.pop(target.instance, []):
            connection.close()

    def close_stale(self) -> None:
        """Close idle connections that can no longer be reused."""
        for instance, idle in list(self.idle.items()):
            usable = []
            for connection in idle:
                if self._is_within_idle_limit(
                    connection, IDEMPOTENT_KEEP_ALIVE_FRACTION
                ) and not connection.is_stale(IDEMPOTENT_KEEP_ALIVE_FRACTION):
                    usable.append(connection)
                else:
                    self._discard(instance, connection)
            self.idle[instance] = usable
            if not usable:
                del self.idle[instance]

    def _discard(self, instance: str, connection: TargetConnection) -> None:
        connection.close()
        if connection.ended_early:
            self.on_ended_early(instance)

    def _record_data(self, target: Target, connection: TargetConnection) -> None:
        """Record data, which shows that a target runs since the connection was opened."""
        self._record_heard(target)
        target.data_at = target.heard_at
        since = target.unconfirmed_since
        if since is not None and connection.opened_at < since:
            # What arrives at once may have been sent before the target ended.
            target.confirm(self.now() - CONFIRM_AFTER_S)

    def _record_heard(self, target: Target) -> None:
        target.heard_at = self.now()

    def _sends(self, target: Target, idempotent: bool) -> bool:
        """Return whether a target sent data lately."""
        max_silence_s = IDEMPOTENT_MAX_SILENCE_S if idempotent else AT_MOST_ONCE_MAX_SILENCE_S
        return self.now() - target.heard_at < max_silence_s

    def _is_within_idle_limit(
        self, connection: TargetConnection, keep_alive_fraction: float
    ) -> bool:
        if connection.keep_alive_s is not None:
            return True
        return self.now() - connection.idle_since < DEFAULT_KEEP_ALIVE_S * keep_alive_fraction


def _fits(connection: TargetConnection, idempotent: bool) -> bool:
    """Return whether a connection may carry a request of a kind."""
    return idempotent or not connection.had_unnamed_answer


def _keep_alive_fraction(idempotent: bool) -> float:
    return IDEMPOTENT_KEEP_ALIVE_FRACTION if idempotent else AT_MOST_ONCE_KEEP_ALIVE_FRACTION
