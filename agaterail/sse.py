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
    """Splits a stream into frames and checks that none is missing.

    Attributes
    ----------
    position
        Position of the next frame that the caller has not seen.
    finished
        Whether the engine's final frame was received.
    broken
        Whether a frame was missing, too large or without a position, or a rerun differs.
    diverged
        Whether a rerun did not begin with the frames that were already sent.
    run_id, first_run_id
        Id of the current run in the engine's frames, and that of the first run. The
        latter replaces the former, so that the caller sees one completion even after a
        rerun.
    replay_until
        Position below which frames were already sent and are only compared.
    replay_digest
        Digest of the frames already sent; None if there is nothing to compare.
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
        """Return the new complete frames in the data, without repeated ones.

        Nothing more is returned after a missing frame, because a caller must not get a
        stream with a gap.
        """
        complete, separator, self.partial = (self.partial + data).rpartition(SEPARATOR)
        # Without this limit, an unterminated frame would be buffered for as long as it
        # grows.
        self.broken = self.broken or len(self.partial) > MAX_FRAME_BYTES
        if not separator:
            return b""
        replayed: list[bytes] = []
        new: list[bytes] = []
        for frame in complete.split(SEPARATOR):
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
        """Return a validator that continues the same run at the next position."""
        return attrs.evolve(self, partial=b"", broken=False)

    def for_rerun(self, run_id: bytes) -> FrameValidator:
        """Return a validator of another run, which must begin with the same frames."""
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
        # Another run may sample different tokens. Its remainder, appended to the frames
        # of the first run, would form an answer that no engine generated.
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
