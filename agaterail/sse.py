"""Server-sent events of an engine's stream, numbered by their ``id`` lines."""

from __future__ import annotations

from hashlib import blake2b

import attrs

SEPARATOR = b"\n\n"
ID_PREFIX = b"id: "
FINAL_DATA = b"data: [DONE]"
DIGEST_BYTES = 16
MAX_FRAME_BYTES = 1024 * 1024


def _new_hash() -> blake2b:
    return blake2b(digest_size=DIGEST_BYTES)


@attrs.define
class FrameValidator:
    """Cuts a stream into whole frames and checks their positions.

    Attributes
    ----------
    position
        Position of the next frame that the caller has not seen.
    finished
        The engine's final frame was seen.
    broken
        A frame was missing or had no position, or the runs differ.
    diverged
        Another run did not begin with the frames that were sent before.
    run_id, first_run_id
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
    diverged: bool = False
    partial: bytes = b""
    run_id: bytes = b""
    first_run_id: bytes = b""
    replay_until: int = 0
    replay_digest: bytes | None = None
    sent_hash: blake2b = attrs.field(factory=_new_hash)

    def accept(self, data: bytes) -> bytes:
        """Return the new whole frames in the data, repeats dropped.

        After a missing frame nothing more is returned: a caller must not get
        a stream with a hole in it.
        """
        whole, separator, self.partial = (self.partial + data).rpartition(SEPARATOR)
        # A frame without an end would be kept in memory for as long as it comes.
        self.broken = self.broken or len(self.partial) > MAX_FRAME_BYTES
        if not separator:
            return b""
        replayed: list[bytes] = []
        new: list[bytes] = []
        for frame in whole.split(SEPARATOR):
            if self._accept_frame(frame):
                (replayed if self.position <= self.replay_until else new).append(frame)
            if self.broken:
                break
        if replayed:
            self._join_and_hash(replayed)
        if self._has_diverged():
            self.broken = self.diverged = True
            return b""
        return self._join_and_hash(new) if new else b""

    def for_resume(self) -> FrameValidator:
        """Return the check of the same run, read on from the next position."""
        return attrs.evolve(self, partial=b"", broken=False)

    def for_rerun(self, run_id: bytes) -> FrameValidator:
        """Return the check of another run, whose first frames must be the same."""
        return FrameValidator(
            run_id=run_id,
            first_run_id=self.first_run_id,
            replay_until=self.position,
            replay_digest=self.sent_hash.digest(),
        )

    def _join_and_hash(self, frames: list[bytes]) -> bytes:
        joined = SEPARATOR.join(frames) + SEPARATOR
        if self.run_id != self.first_run_id:
            joined = joined.replace(self.run_id, self.first_run_id)
        self.sent_hash.update(joined)
        return joined

    def _has_diverged(self) -> bool:
        # Another run may sample other tokens. Its rest appended to the first
        # run's beginning would read as one answer that no engine gave.
        if self.replay_digest is None or self.position < self.replay_until:
            return False
        expected, self.replay_digest = self.replay_digest, None
        return self.sent_hash.digest() != expected

    def _accept_frame(self, frame: bytes) -> bool:
        start = b"id: %d\n" % self.position
        if frame.startswith(start) and not self.finished:
            self.position += 1
            self.finished = frame[len(start) :] == FINAL_DATA
            return True
        return self._accept_by_position(frame)

    def _accept_by_position(self, frame: bytes) -> bool:
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
