"""Connections whose timeout applies only to the connect."""

from __future__ import annotations

from typing import Any

from gevent import socket

CONNECT_TIMEOUT_S = 1.0


def connect(address: tuple[str, int]) -> Any:
    """Return a connection without a read timeout.

    A connect timeout also applies to later reads on the socket, so it is cleared after
    the connect; otherwise it would cut an answer that pauses.

    Raises
    ------
    OSError
        If no connection was established within ``CONNECT_TIMEOUT_S``.
    """
    sock = socket.create_connection(address, timeout=CONNECT_TIMEOUT_S)
    sock.settimeout(None)
    return sock
