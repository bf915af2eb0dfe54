"""Server-sent events of an engine's stream, numbered by their ``id`` lines."""

from __future__ import annotations

import attrs

SEPARATOR = b"\n\n"
ID_PREFIX = b"id: "
FINAL_DATA = b"data: [DONE]"


@attrs.define
class FrameCheck:
    """Cuts a stream into whole frames and checks their positions.

    Attributes
    ----------
    position
        Position of the next frame that the caller has not seen.
    finished
        The engine's final frame was seen.
    broken
        A frame was missing or had no position.
    """

    position: int = 0
    finished: bool = False
    broken: bool = False
    rest: bytes = b""

    def accept(self, data: bytes) -> bytes:
        """Return the new whole frames in the data, repeats dropped.

        After a missing frame nothing more is returned: a caller must not get
        a stream with a hole in it.
        """
        whole, separator, self.rest = (self.rest + data).rpartition(SEPARATOR)
        if not separator:
            return b""
        frames: list[bytes] = []
        for frame in whole.split(SEPARATOR):
            if self._accept_frame(frame):
                frames.append(frame)
            if self.broken:
                break
        if not frames:
            return b""
        return SEPARATOR.join(frames) + SEPARATOR

    def _accept_frame(self, frame: bytes) -> bool:
        line, _, data = frame.partition(b"\n")
        number = line[len(ID_PREFIX) :]
        if not line.startswith(ID_PREFIX) or not number.isdigit():
            self.broken = True
            return False
        position = int(number)
        if position < self.position or self.finished:
            return False
        if position > self.position:
            self.broken = True
            return False
        self.position += 1
        self.finished = data == FINAL_DATA
        return True
