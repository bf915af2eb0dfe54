"""Detect that a caller closed its connection while it waits for an answer."""

from __future__ import annotations

import _socket
from typing import Any

import gevent

READ_EVENT = 1
TLS_ALERT = b"\x15"


class CallerLeft(gevent.GreenletExit):
    """The caller closed its connection.

    Raised in the greenlet of the request, which stops at once, whatever it is waiting
    for. A filter that must clean up catches the exception and re-raises it.

    Attributes
    ----------
    outcome
        Outcome of the request.
    """

    outcome = "caller_left"


class CallerEnded(CallerLeft):
    """The caller's connection was ended, as too much was held for it or for too long.

    Attributes
    ----------
    outcome
        Outcome of the request.
    """

    def __init__(self, outcome: str) -> None:
        super().__init__(outcome)
        self.outcome = outcome


class CallerWatch:
    """Kills the greenlet of a request when its caller disconnects.

    A caller that closes only its sending side counts as disconnected. The two cases are
    indistinguishable until something is written, and until then the engine would
    compute an answer that nobody reads.
    """

    def __init__(self, sock: Any) -> None:
        self.sock = sock
        self.greenlet = gevent.getcurrent()
        self.watcher = gevent.get_hub().loop.io(sock.fileno(), READ_EVENT)
        self.watcher.start(self._on_readable)

    def stop(self) -> None:
        """Stop watching."""
        watcher, self.watcher = self.watcher, None
        if watcher is not None:
            watcher.stop()
            watcher.close()

    def _on_readable(self) -> None:
        # Either the connection was closed or the caller pipelines its next request,
        # which stays in the kernel's buffer.
        self.stop()
        if _is_closed(self.sock.fileno()):
            self.greenlet.kill(CallerLeft, block=False)


def _is_closed(fileno: int) -> bool:
    alias = _socket.socket(fileno=fileno)
    try:
        data = alias.recv(1, _socket.MSG_PEEK | _socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        alias.detach()
    return data in (b"", TLS_ALERT)
