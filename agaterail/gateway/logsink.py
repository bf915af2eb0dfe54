"""Log lines to standard output that never hold the daemon up."""

from __future__ import annotations

import errno
import os


class LogSink:
    """File-like object that writes lines without waiting.

    A reader that stops reading fills the pipe; a blocking write would then stop
    every request of the process. Lines that do not fit are counted, and the
    count is written in their place once the reader is back.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.dropped = 0
        self.dropped_total = 0
        self.partial_line = b""
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write text, or count it as dropped."""
        data = text.encode("utf-8", "replace")
        if self.partial_line and not self._flush_partial_line():
            self._drop()
            return len(text)
        if self.dropped:
            notice = b'{"event": "Log lines dropped.", "count": %d}\n' % self.dropped
            data = notice + data
        if self._write(data):
            self.dropped = 0
        else:
            self._drop()
        return len(text)

    def flush(self) -> None:
        """Do nothing: nothing is kept back that could be written."""

    def _drop(self) -> None:
        self.dropped += 1
        self.dropped_total += 1

    def _flush_partial_line(self) -> bool:
        rest = self.partial_line
        return self._write(rest) and not self.partial_line

    def _write(self, data: bytes) -> bool:
        """Write what fits; tells whether any of it did."""
        try:
            written = os.write(self.descriptor, data)
        except OSError as error:
            if error.errno not in (errno.EAGAIN, errno.EPIPE):
                raise
            # Nobody reads, or the pipe is full.
            return False
        # A line that was begun is ended later, so that lines stay whole.
        self.partial_line = data[written:]
        return True
