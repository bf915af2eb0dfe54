"""Bound on the time of each read of a stream."""

from __future__ import annotations

import errno
from socket import SHUT_RDWR
from typing import Any

import gevent

TICKS_PER_TIMEOUT = 4


class ReadGuard:
    """Bounds all reads of one socket with a single timer.

    gevent makes a timer for each read that waits; with one event a read these
    took a sixth of a stream's time. This timer ticks four times in the bound
    and looks whether the same read still waits, so that a read without data
    ends after the bound and at most a quarter more.
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
        """Return the next bytes, or nothing at the end; raises OSError."""
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
        """End the read that has waited for too many ticks."""
        self.ticks += 1
        if self.waiting and self.ticks > TICKS_PER_TIMEOUT:
            self.expired = True
            self.stop()
            self.sock.shutdown(SHUT_RDWR)

    def stop(self) -> None:
        """Stop the timer."""
        self.timer.stop()
        self.timer.close()
