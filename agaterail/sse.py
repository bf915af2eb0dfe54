"""Server-sent events of an engine's stream, numbered by their ``id`` lines."""

from __future__ import annotations

from hashlib import blake2b

import attrs

SEPARATOR = b"\n\n"
ID_PREFIX = b"id: "
FINAL_DATA = b"data: [DONE]"
DIGEST_BYTES = 16
MAX_REST_BYTES = 1024 * 1024


def _new_hash() -> blake2b:
    return blake2b(digest_size=DIGEST_BYTES)


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
        A frame was missing or had no position, or the runs differ.
    differs
        Another run did not begin with the frames that were sent before.
    own_id, shown_id
        Id of the engine's run in its frames, and the one that the caller saw
        first; after a run elsewhere the caller still sees one completion.
    replay_until
        Position below which frames were sent before and are only compared.
    replay_digest
        Digest of the frames sent before; None when there is nothing to compare.
    """

    position: int = 0
    finished: bool = False
    broken: bool = False
    differs: bool = False
    rest: bytes = b""
    own_id: bytes = b""
    shown_id: bytes = b""
    replay_until: int = 0
    replay_digest: bytes | None = None
    seen: blake2b = attrs.field(factory=_new_hash)

    def accept(self, data: bytes) -> bytes:
        """Return the new whole frames in the data, repeats dropped.

        After a missing frame nothing more is returned: a caller must not get
        a stream with a hole in it.
        """
        whole, separator, self.rest = (self.rest + data).rpartition(SEPARATOR)
        # A frame without an end would be kept in memory for as long as it comes.
        self.broken = self.broken or len(self.rest) > MAX_REST_BYTES
        if not separator:
            return b""
        old: list[bytes] = []
        new: list[bytes] = []
        for frame in whole.split(SEPARATOR):
            if self._accept_frame(frame):
                (old if self.position <= self.replay_until else new).append(frame)
            if self.broken:
                break
        if old:
            self._note(old)
        if self._differs():
            self.broken = self.differs = True
            return b""
        return self._note(new) if new else b""

    def continued(self) -> FrameCheck:
        """Return the check of the same run, read on from the next position."""
        return attrs.evolve(self, rest=b"", broken=False)

    def replayed(self, own_id: bytes) -> FrameCheck:
        """Return the check of another run, whose first frames must be the same."""
        return FrameCheck(
            own_id=own_id,
            shown_id=self.shown_id,
            replay_until=self.position,
            replay_digest=self.seen.digest(),
        )

    def _note(self, frames: list[bytes]) -> bytes:
        joined = SEPARATOR.join(frames) + SEPARATOR
        if self.own_id != self.shown_id:
            joined = joined.replace(self.own_id, self.shown_id)
        self.seen.update(joined)
        return joined

    def _differs(self) -> bool:
        # Another run may sample other tokens. Its rest appended to the first
        # run's beginning would read as one answer that no engine gave.
        if self.replay_digest is None or self.position < self.replay_until:
            return False
        wanted, self.replay_digest = self.replay_digest, None
        return self.seen.digest() != wanted

    def _accept_frame(self, frame: bytes) -> bool:
        start = b"id: %d\n" % self.position
        if frame.startswith(start) and not self.finished:
            self.position += 1
            self.finished = frame[len(start) :] == FINAL_DATA
            return True
        return self._judge_other(frame)

    def _judge_other(self, frame: bytes) -> bool:
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
