"""Non-blocking output of log lines."""

from __future__ import annotations

import errno
import os


class LogSink:
    """File-like object that writes log lines without blocking.

    If the log collector stops reading, the pipe fills up, and a blocking write would
    stall every request of the process. Lines that do not fit are dropped and counted;
    the count is written once the collector reads again.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.dropped = 0
        self.dropped_total = 0
        self.partial_line = b""
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write the text, or drop and count it."""
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
        """Do nothing, since there is no buffer to flush."""

    def _drop(self) -> None:
        self.dropped += 1
        self.dropped_total += 1

    def _flush_partial_line(self) -> bool:
        rest = self.partial_line
        return self._write(rest) and not self.partial_line

    def _write(self, data: bytes) -> bool:
        """Write as much as fits; return whether anything was written."""
        try:
            written = os.write(self.descriptor, data)
        except OSError as error:
            if error.errno not in (errno.EAGAIN, errno.EPIPE):
                raise
            # The pipe is full or has no reader.
            return False
        # The next write completes a partly written line first, so lines stay intact.
        self.partial_line = data[written:]
        return True
