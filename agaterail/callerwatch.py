"""Notice that a caller has closed its connection while it waits."""

from __future__ import annotations

import _socket
from typing import Any

import gevent

READ_EVENT = 1
TLS_ALERT = b"\x15"


class CallerLeft(gevent.GreenletExit):
    """The caller closed its connection.

    Thrown into the request's greenlet, so that whatever it waits for, it stops
    at once; a filter that must clean up catches it and raises it again.
    """


class CallerWatch:
    """Ends the greenlet of a request when its caller leaves.

    A caller that closes only its sending side is taken for one that left: the
    two look alike until something is written, and the engine would go on
    computing for nobody meanwhile.
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
        # Either the end of the connection or the next request of a caller
        # that sends ahead; the latter stays in the kernel's buffer.
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
