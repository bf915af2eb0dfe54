"""Read timeouts of streams without a timer for each read."""

from __future__ import annotations

import errno
from socket import SHUT_RDWR
from typing import Any

import gevent

TICKS_PER_TIMEOUT = 4


class ReadGuard:
    """Applies a timeout to all reads of one socket with a single timer.

    gevent creates a timer for each read that waits. With one event per read, these timers
    took a sixth of the time spent on a stream. The timer of this class ticks four times
    per timeout and checks whether the same read still waits, so a read without data ends
    after the timeout plus at most a quarter of it.
    """

    def __init__(self, sock: Any, seconds: float) -> None:
        self.sock = sock
        self.waiting = False
        self.ticks = 0
        self.expired = False
        sock.settimeout(None)
        self.timer = gevent.get_hub().loop.timer(
            seconds / TICKS_PER_TIMEOUT, seconds / TICKS_PER_TIMEOUT
        )
        self.timer.start(self.tick)

    def read(self, size: int) -> bytes:
        """Return the next bytes, or empty bytes at the end; raises OSError."""
        self.ticks = 0
        self.waiting = True
        try:
            data = self.sock.recv(size)
        except OSError:
            if not self.expired:
                raise
        finally:
            self.waiting = False
        if self.expired:
            raise TimeoutError(errno.ETIMEDOUT, "no data in time")
        return data

    def tick(self) -> None:
        """Count a tick, and abort a read that has waited longer than the timeout."""
        self.ticks += 1
        if self.waiting and self.ticks > TICKS_PER_TIMEOUT:
            self.expired = True
            self.stop()
            self.sock.shutdown(SHUT_RDWR)

    def stop(self) -> None:
        """Stop and close the timer."""
        self.timer.stop()
        self.timer.close()
