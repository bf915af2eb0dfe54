"""Connections whose timeout ends with the connect."""

from __future__ import annotations

from typing import Any

from gevent import socket

CONNECT_TIMEOUT_S = 1.0


def connect(address: tuple[str, int]) -> Any:
    """Return a connection that may pause for as long as it likes.

    The timeout of a connect stays in force for later reads: left there, it would end
    an answer that pauses.

    Raises
    ------
    OSError
        If no connection was made within the timeout.
    """
    sock = socket.create_connection(address, timeout=CONNECT_TIMEOUT_S)
    sock.settimeout(None)
    return sock
