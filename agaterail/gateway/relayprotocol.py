"""Messages by which a daemon without a path has another one forward its requests.

The daemon that forwards treats the request as that of a caller of its own: it looks up
route and API key in its own desired state and charges allowances. It never passes the
request on to a third daemon.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING
from urllib.parse import quote, unquote

import attrs
import msgspec
from returns.result import Failure, Result, Success

from agaterail.errors import ErrorKind
from agaterail.gateway.inbound import AnswerHead
from agaterail.util.answerheads import check_single
from agaterail.util.untrusted import DecodeError, MsgpackDecoder

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from agaterail.gateway.inbound import InboundRequest

# The version in the paths changes with the format. Daemons of another release answer 404.
STATUS_PATH = b"/relay-status/1"
REQUEST_PREFIX = b"/relayed/1"
# A daemon of a release that knows no builds must not go on with a stream.
RESUMED_PREFIX = b"/relayed/2"
REQUEST_PREFIXES = (REQUEST_PREFIX, RESUMED_PREFIX)
FROM_HEADER = b"relay-from"
SERVICE_HEADER = b"relay-service"
TRIED_HEADER = b"relay-tried"
OUTCOME_HEADER = b"relay-outcome"
BUILD_HEADER = b"relay-build"
START_HEADER = b"relay-start"
FORWARDED = b"forwarded"
NOT_RUN = b"not-run"
MAX_SENDS = 100
MAX_ADDRESSES = 16
MAX_TRIED = 16
DECIMAL = re.compile(rb"\d{1,15}")


@attrs.frozen
class RelayStatus:
    """A daemon's answer whether it forwards requests to a service.

    Attributes
    ----------
    reason
        Why it does not forward; empty if it does.
    fraction
        Fraction of the service's targets that it reaches.
    daemons
        Addresses of other daemons that it knows.
    """

    reason: str
    fraction: float = 0.0
    daemons: tuple[str, ...] = ()


@attrs.frozen
class RelayOrigin:
    """Where a forwarded request came from.

    Attributes
    ----------
    address
        Address of the daemon that passed it on; empty if it gave none.
    service
        Service that it chose among those of the route.
    tried
        Targets that were tried already.
    build
        Id of the build that began the stream; empty if it has not begun.
    """

    address: str
    service: str = ""
    tried: frozenset[str] = frozenset()
    build: str = ""

    @property
    def prefix(self) -> bytes:
        """Return the start of the path under which the request is passed on."""
        return RESUMED_PREFIX if self.build else REQUEST_PREFIX


@attrs.frozen
class RelayRefusal:
    """The forwarding daemon surely did not run the request.

    Attributes
    ----------
    kind
        Why not.
    sends
        Number of targets that it sent the request to and that refused it.
    """

    kind: ErrorKind
    sends: int = 0


# What an answer without an outcome means: the daemon never took the request over.
UNSUPPORTED = RelayRefusal(ErrorKind.NO_TARGET)


@attrs.frozen(kw_only=True)
class RelayedHead(AnswerHead):
    """Head of an answer that another daemon forwarded.

    Attributes
    ----------
    refusal
        Why the request did not run; None if it may have run.
    target
        Id of the target that ran it; empty if that is not known.
    build
        Id of the build of that target; empty if that is not known.
    start
        Start time of that target; 0 if it is not known.
    """

    refusal: RelayRefusal | None = None
    target: str = ""
    build: str = ""
    start: int = 0


_STATUS_DECODER: MsgpackDecoder[RelayStatus] = MsgpackDecoder(RelayStatus)


def encode_query(service: str, sender: str) -> str:
    """Return the path and query string of a question whether a daemon forwards."""
    return f"{STATUS_PATH.decode()}?service={quote(service, safe='')}&from={sender}"


def decode_query(query: bytes) -> tuple[str, str]:
    """Return the service of a question and the address of the daemon that asks.

    Raises
    ------
    ValueError
        If the query string is malformed.
    """
    pairs = dict(pair.split("=", 1) for pair in query.decode("ascii").split("&"))
    if not pairs.get("service"):
        raise ValueError("service is missing")
    return unquote(pairs["service"]), pairs.get("from", "")


def encode_status(status: RelayStatus) -> bytes:
    """Return the body of an answer to a question."""
    return msgspec.msgpack.encode(status)


def decode_status(body: bytes) -> Result[RelayStatus, str]:
    """Return the answer in a body, or why it is malformed."""
    try:
        found = _STATUS_DECODER.decode(body)
    except DecodeError as error:
        return Failure(str(error))
    return Success(attrs.evolve(found, daemons=found.daemons[:MAX_ADDRESSES]))


def origin_lines(origin: RelayOrigin) -> list[bytes]:
    """Return the header lines that a daemon adds to a request that it passes on."""
    lines = [
        FROM_HEADER + b": " + origin.address.encode(),
        SERVICE_HEADER + b": " + origin.service.encode("latin-1"),
    ]
    if origin.tried:
        tried = ",".join(sorted(origin.tried)[:MAX_TRIED])
        lines.append(TRIED_HEADER + b": " + tried.encode("latin-1"))
    return lines + _build_lines(origin.build)


def take_origin(inbound: InboundRequest) -> RelayOrigin:
    """Turn a forwarded request into the caller's and return where it came from."""
    prefix = next(item for item in REQUEST_PREFIXES if inbound.target.startswith(item))
    inbound.target = inbound.target.removeprefix(prefix)
    added = (FROM_HEADER, SERVICE_HEADER, TRIED_HEADER, BUILD_HEADER)
    found = {name.lower(): value.decode("latin-1") for name, value in inbound.headers}
    inbound.headers = [pair for pair in inbound.headers if pair[0].lower() not in added]
    tried = found.get(TRIED_HEADER, "").split(",")[:MAX_TRIED]
    return RelayOrigin(
        address=found.get(FROM_HEADER, ""),
        service=found.get(SERVICE_HEADER, ""),
        tried=frozenset(filter(None, tried)),
        build=unquote(found.get(BUILD_HEADER, "")),
    )


def forwarded_lines(target: str = "", build: str = "", start: int = 0) -> list[bytes]:
    """Return the header lines that mark an answer as forwarded from a target."""
    lines = [OUTCOME_HEADER + b": " + FORWARDED + b" " + target.encode("latin-1")]
    if start:
        lines.append(START_HEADER + b": %d" % start)
    return lines + _build_lines(build)


def refusal_lines(refusal: RelayRefusal) -> list[bytes]:
    """Return the header lines that say that the request did not run."""
    words = [NOT_RUN, refusal.kind.value.encode(), b"%d" % refusal.sends]
    return [OUTCOME_HEADER + b": " + b" ".join(words)]


def decoder_of_heads(
    decode: Callable[[int, Sequence[tuple[bytes, bytes]]], AnswerHead],
) -> Callable[..., AnswerHead]:
    """Return a function that decodes the heads of forwarded answers.

    Parameters
    ----------
    decode
        Decodes the heads of targets' answers.
    """

    def decode_relayed(status: int, headers: Sequence[tuple[bytes, bytes]]) -> AnswerHead:
        added = (OUTCOME_HEADER, BUILD_HEADER, START_HEADER)
        check_single(headers, added)
        found = {name.lower(): value for name, value in headers}
        others = [pair for pair in headers if pair[0].lower() not in added]
        refusal, target = _decode_outcome(found.get(OUTCOME_HEADER))
        known = attrs.asdict(decode(status, others), recurse=False)
        known["not_run"] = refusal is not None
        start = found.get(START_HEADER, b"")
        return RelayedHead(
            **known,
            refusal=refusal,
            target=target,
            build=unquote(found.get(BUILD_HEADER, b"").decode("latin-1")),
            start=int(start) if DECIMAL.fullmatch(start) else 0,
        )

    return decode_relayed


def _build_lines(build: str) -> list[bytes]:
    return [BUILD_HEADER + b": " + quote(build, safe="").encode()] if build else []


def _decode_outcome(outcome: bytes | None) -> tuple[RelayRefusal | None, str]:
    """Return why the request did not run, or None and the target that may have run it."""
    if outcome is None:
        return UNSUPPORTED, ""
    word, _, rest = outcome.decode("latin-1").partition(" ")
    kind, _, sends = rest.partition(" ")
    if word != NOT_RUN.decode() or not sends.isdecimal():
        return None, rest.strip() if word == FORWARDED.decode() else ""
    return _decode_refusal(kind, int(sends)), ""


def _decode_refusal(kind: str, sends: int) -> RelayRefusal:
    try:
        return RelayRefusal(ErrorKind(kind), min(MAX_SENDS, sends))
    except ValueError:
        # A kind of a later release.
        return RelayRefusal(ErrorKind.NO_TARGET, min(MAX_SENDS, sends))
