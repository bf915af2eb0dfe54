"""Log lines to standard output that never hold the daemon up."""

from __future__ import annotations

import errno
import os

# Lines kept while the reader of the output is slow: some seconds of a busy
# daemon, 2 MB at most.
MAX_LINES = 4000
MAX_LINE_BYTES = 512 * 4


class LogSink:
    """File-like object that writes lines without waiting.

    A reader that stops reading fills the pipe; a blocking write would then stop
    every request of the process. Lines that do not fit are counted, and the
    count is written in their place once the reader is back.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.dropped = 0
        self.rest = b""
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write text, or count it as dropped."""
        data = text.encode("utf-8", "replace")
        if self.rest and not self._flush_rest():
            self.dropped += 1
            return len(text)
        if self.dropped:
            note = b'{"event": "Log lines dropped.", "count": %d}\n' % self.dropped
            data = note + data
            self.dropped = 0
        self._write(data)
        return len(text)

    def flush(self) -> None:
        """Do nothing: nothing is kept back that could be written."""

    def _flush_rest(self) -> bool:
        rest, self.rest = self.rest, b""
        self._write(rest)
        return not self.rest

    def _write(self, data: bytes) -> None:
        try:
            written = os.write(self.descriptor, data)
        except OSError as error:
            if error.errno not in (errno.EAGAIN, errno.EPIPE):
                raise
            # Nobody reads, or the pipe is full.
            self.dropped += 1
            return
        # A line that was begun is ended later, so that lines stay whole.
        self.rest = data[written:]
