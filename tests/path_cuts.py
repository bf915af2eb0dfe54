"""Cuts of the network paths between one gateway and all targets."""

from __future__ import annotations

import enum

import gevent

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

    def __init__(self, daemon) -> None:
        self.daemon = daemon
        self.kind: CutKind | None = None
        self.spared: set[str] = set()
        self.connects = 0
        self.open: list[tuple[str, TargetConnection]] = []
        daemon.connection_pool.connect = self.connect

    def begin(self, kind: CutKind, spared=()) -> None:
        self.kind, self.spared = kind, set(spared)
        if kind is CutKind.RESET:
            for address, connection in self.open:
                if address not in self.spared:
                    gevent.spawn(self._reset, connection)
        self.open = [(at, item) for at, item in self.open if not item.closed]

    def end(self) -> None:
        self.kind = None

    def connect(self, address, timeout_s, decode, now):
        if self.kind is not None and address not in self.spared:
            self.connects += 1
            if self.kind is CutKind.SILENT:
                gevent.sleep(timeout_s)
                raise TimeoutError("timed out")
            raise ConnectionRefusedError("refused")
        connection = TargetConnection.connect(address, timeout_s, decode, now)
        receive = connection._receive
        connection._receive = lambda deadline: self._receive(address, receive, deadline)
        self.open.append((address, connection))
        return connection

    def _receive(self, address, receive, deadline):
        if self.kind is CutKind.SILENT and address not in self.spared:
            gevent.sleep(max(0.0, deadline - self.daemon.now()))
            raise TimeoutError("timed out")
        return receive(deadline)

    def _reset(self, connection) -> None:
        connection.reusable = False
        if not connection.closed:
            connection.sock.shutdown(2)
