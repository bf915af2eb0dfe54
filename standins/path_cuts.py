"""Cuts of the network paths between one gateway and all targets."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable
from socket import SHUT_RDWR
from typing import Any

import gevent

from agaterail.gateway.daemon import Daemon
from agaterail.gateway.targetconnection import TargetConnection


class CutKind(enum.Enum):
    """What becomes of the connections between the gateway and the targets."""

    RESET = "open connections are reset and new ones refused"
    SILENT = "open connections hang and new ones too"
    NEW_ONLY = "open connections live on and new ones are refused"


class PathCut:
    """Stands between one daemon and the targets.

    Attributes
    ----------
    kind
        The cut in force; None if there is none.
    spared
        Addresses of targets that are reached all the same.
    connects
        Number of connects that failed by the cut.
    """

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon
        self.kind: CutKind | None = None
        self.spared: set[str] = set()
        self.connects = 0
        self.open: list[tuple[str, TargetConnection]] = []
        daemon.connection_pool.connect = self.connect

    def begin(self, kind: CutKind, spared: Iterable[str] = ()) -> None:
        """Cut the paths."""
        self.kind, self.spared = kind, set(spared)
        self.open = [(at, item) for at, item in self.open if not item.closed]
        if kind is CutKind.RESET:
            for address, connection in self.open:
                if address not in self.spared:
                    gevent.spawn(_reset, connection)

    def end(self) -> None:
        """Restore the paths."""
        self.kind = None

    def connect(
        self, address: str, timeout_s: float, decode: Any, now: Callable[[], float]
    ) -> TargetConnection:
        """Open a connection unless the path is cut.

        Raises
        ------
        OSError
            If the path is cut or the target does not accept the connection.
        """
        if self.kind is not None and address not in self.spared:
            self.connects += 1
            if self.kind is CutKind.SILENT:
                gevent.sleep(timeout_s)
                raise TimeoutError("timed out")
            raise ConnectionRefusedError("refused")
        connection = TargetConnection.connect(address, timeout_s, decode, now)
        receive = connection._receive

        def receive_unless_cut(deadline: float) -> bool:
            if self.kind is CutKind.SILENT and address not in self.spared:
                gevent.sleep(max(0.0, deadline - self.daemon.now()))
                raise TimeoutError("timed out")
            return receive(deadline)

        connection._receive = receive_unless_cut  # type: ignore[method-assign]
        self.open.append((address, connection))
        return connection


def _reset(connection: TargetConnection) -> None:
    connection.reusable = False
    if not connection.closed:
        connection.sock.shutdown(SHUT_RDWR)
