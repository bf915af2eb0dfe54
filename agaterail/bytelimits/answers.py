"""Bounds of everything in an answer that a faulty sender may never end."""

from __future__ import annotations

import collections
import enum

import attrs

from agaterail.util.units import BYTES_PER_MB

# Part of the host's memory that one answer may take that is read before it is relayed.
BODY_MEMORY_FRACTION = 1 / 16
# Work on one connection, in bytes, after which other connections get their turn. Each
# read counts as if it had brought this many more bytes.
TURN_BYTES = 16 * 1024
READ_COST_BYTES = 1024
# A whole turn of tiny chunks takes milliseconds. Proper senders write each as it comes, so
# that few are read at once; after more of them than this, others get several turns.
MIN_BODY_FRACTION = 0.75
FLOOD_PAUSE_S = 0.005
# Bytes of framing that each byte of a body may have. Signed chunks have some tens.
FRAMING_PER_BODY_BYTE = 32
# Small events cost time rather than memory, so each counts as if it were longer. Comments
# are also relayed.
COMMENT_COST_BYTES = 2048
REPEATED_EVENT_COST_BYTES = 512


class AnswerPart(enum.Enum):
    """Part of an answer that has a bound of its own."""

    HEAD = "head"
    HEADERS = "headers"
    INFORMATIONAL = "informational"
    SKIPPED = "skipped"
    SKIPPED_BODY = "skipped_body"
    BODY = "body"
    FRAMING = "framing"
    EVENT = "event"
    NO_EVENT = "no_event"
    AFTER_END = "after_end"


@attrs.frozen
class Bound:
    """Largest size of one part of an answer.

    Attributes
    ----------
    limit
        Largest proper value.
    unit
        What the limit counts.
    reason
        Why no proper answer exceeds it.
    """

    limit: int
    unit: str
    reason: str


BOUNDS = {
    AnswerPart.HEAD: Bound(
        64 * 1024,
        "bytes of blank lines, status line and headers, and of informational heads",
        "servers commonly reject requests whose heads exceed 8 to 64 KB",
    ),
    AnswerPart.HEADERS: Bound(
        256, "header and trailer lines of an answer", "answers have some tens of headers"
    ),
    AnswerPart.INFORMATIONAL: Bound(
        16, "informational heads (1xx) before an answer", "one for each step of the target"
    ),
    AnswerPart.SKIPPED: Bound(
        16, "answers to former requests", "each former request has one or two"
    ),
    AnswerPart.SKIPPED_BODY: Bound(
        8 * BYTES_PER_MB,
        "body bytes of answers to former requests",
        "as large as an answer that a small host reads whole",
    ),
    AnswerPart.BODY: Bound(
        32 * BYTES_PER_MB,
        "body bytes of an answer that is read whole; less on hosts with little memory",
        "long answers are streams, which have no bound in all",
    ),
    AnswerPart.FRAMING: Bound(
        64 * 1024,
        "bytes of chunk sizes, extensions and trailers that go with no body",
        "chunk sizes have some bytes, extensions and trailers are hardly used",
    ),
    AnswerPart.EVENT: Bound(
        1024 * 1024, "bytes of one event", "an event holds a few tokens, or one answer"
    ),
    AnswerPart.NO_EVENT: Bound(
        4 * BYTES_PER_MB,
        "bytes of comments, blank lines and repeated events without a new event",
        "comments are keep-alive signs; a target may send again what it sent before",
    ),
    AnswerPart.AFTER_END: Bound(
        0, "bytes after the end of an answer", "each request has one answer"
    ),
}


class AnswerBoundExceeded(ConnectionError):  # noqa: N818
    """A part of an answer exceeds its bound, so that the answer is broken.

    Attributes
    ----------
    part
        The part.
    """

    def __init__(self, part: AnswerPart) -> None:
        bound = BOUNDS[part]
        super().__init__(f"{part.value} exceeds its bound: {bound.unit}")
        self.part = part


def check_bound(part: AnswerPart, value: int) -> None:
    """Check the size of a part of an answer.

    Raises
    ------
    AnswerBoundExceeded
        If the size exceeds the part's bound.
    """
    if value > BOUNDS[part].limit:
        raise AnswerBoundExceeded(part)


def max_body_bytes(memory_mb: float) -> int:
    """Return the largest answer that a host with some memory reads whole."""
    share = int(memory_mb * BYTES_PER_MB * BODY_MEMORY_FRACTION)
    return min(BOUNDS[AnswerPart.BODY].limit, share)


@attrs.define
class AnswerMeter:
    """Counts what arrives on one connection from sending a request to its answer's end.

    Parsers report neither unfinished headers nor what is no body. Therefore raw bytes
    are counted; the end of a head starts the count anew, and bytes of a body lower it.

    Attributes
    ----------
    framing_bytes
        Raw bytes that were neither part of a complete head nor justified by a body.
    body_bytes
        Bytes of bodies in the current read.
    has_head
        Whether a head ended in the current read.
    headers
        Header and trailer lines of the current answer.
    informational
        Informational heads.
    skipped, skipped_body_bytes
        Answers to former requests, and the bytes of their bodies.
    is_flood
        Whether the latest read was large, and framing to a large part.
    turn_bytes
        Work since other connections had their turn, in bytes.
    """

    framing_bytes: int = 0
    body_bytes: int = 0
    has_head: bool = False
    headers: int = 0
    informational: int = 0
    skipped: int = 0
    skipped_body_bytes: int = 0
    is_flood: bool = False
    turn_bytes: int = 0

    def begin_request(self) -> None:
        """Start counting for another request."""
        self.framing_bytes = self.informational = 0
        self.skipped = self.skipped_body_bytes = 0

    def begin_answer(self) -> None:
        """Start counting the headers of another answer."""
        self.headers = 0

    def add_header(self) -> None:
        """Count a header or trailer line."""
        self.headers += 1
        check_bound(AnswerPart.HEADERS, self.headers)

    def add_informational(self) -> None:
        """Count an informational head, which is no progress."""
        self.informational += 1
        check_bound(AnswerPart.INFORMATIONAL, self.informational)

    def add_skipped(self) -> None:
        """Count an answer to a former request."""
        self.skipped += 1
        check_bound(AnswerPart.SKIPPED, self.skipped)

    def add_skipped_body(self, size: int) -> None:
        """Count a part of the body of an answer to a former request."""
        self.skipped_body_bytes += size
        check_bound(AnswerPart.SKIPPED_BODY, self.skipped_body_bytes)

    def end_read(self, size: int, part: AnswerPart) -> None:
        """Count the raw bytes of a read that was parsed.

        Parameters
        ----------
        part
            What the bytes belong to that are no body.
        """
        if self.has_head:
            self.has_head = False
            self.framing_bytes = 0
        else:
            left = self.framing_bytes + size - self.body_bytes * FRAMING_PER_BODY_BYTE
            self.framing_bytes = max(0, left)
        self.is_flood = size >= TURN_BYTES and self.body_bytes < size * MIN_BODY_FRACTION
        self.body_bytes = 0
        check_bound(part, self.framing_bytes)

    def turn_pause_s(self, size: int) -> float | None:
        """Count a read of some bytes; return for how long others are to run now, if at all.

        A read with data at hand does not wait, so a fast sender would keep the others
        from running.
        """
        self.turn_bytes += size + READ_COST_BYTES
        if self.turn_bytes < TURN_BYTES:
            return None
        self.turn_bytes = 0
        return FLOOD_PAUSE_S if self.is_flood else 0.0


class BoundCounts:
    """Number of answers that exceeded each bound in this process."""

    def __init__(self) -> None:
        self.counts: collections.Counter[AnswerPart] = collections.Counter()

    def record(self, error: BaseException) -> str | None:
        """Count an error; return the part that exceeded its bound, None for others."""
        if not isinstance(error, AnswerBoundExceeded):
            return None
        self.counts[error.part] += 1
        return error.part.value


exceeded_bounds = BoundCounts()
