"""Decode callers' requests and targets' answers; encode requests to targets."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from agaterail.gateway.inbound import AnswerHead, Notice, PromptPart
from agaterail.platform import names
from agaterail.util.answerheads import check_single

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping, Sequence

    from agaterail.gateway.inbound import AttemptHead, InboundRequest

PROMPT_PART = re.compile(r"([0-9A-Fa-f]+):(\d{1,12})")
DECIMAL = re.compile(rb"\d{1,15}")
DECIMAL_FRACTION = re.compile(rb"\d{1,6}(\.\d{1,20})?")
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d{1,6})")
S_PER_MS = 1e-3
MAX_SHOWN = 40  # characters of a malformed value


def decode_request(inbound: InboundRequest) -> Result[InboundRequest, str]:
    """Decode the headers of a caller's request into its fields.

    A single-valued header that is duplicated or invalid makes the request malformed:
    router and target might interpret it differently.
    """
    by_name: dict[bytes, bytes] = {}
    for name, value in inbound.headers:
        lower = name.lower()
        if lower in names.SINGLE_VALUED and lower in by_name:
            return Failure(f"The header {lower.decode('latin-1')} comes twice.")
        by_name[lower] = value
    host = by_name.get(b"host", b"").decode("latin-1").lower()
    inbound.host = host.rsplit(":", 1)[0] if host.rpartition(":")[2].isdigit() else host
    inbound.request_id = by_name.get(names.REQUEST_ID, b"").decode("latin-1")
    inbound.model = by_name.get(names.MODEL, b"").decode("latin-1")
    inbound.last_event_id = by_name.get(names.LAST_EVENT_ID, b"").decode("latin-1")
    inbound.resumes = by_name.get(names.RESUMES, b"").decode("latin-1")
    authorization = by_name.get(names.AUTHORIZATION, b"").decode("latin-1")
    if authorization.startswith(names.BEARER):
        inbound.api_key = authorization[len(names.BEARER) :].strip()
    deadline_ms = by_name.get(names.DEADLINE)
    if deadline_ms is not None:
        if not DECIMAL.fullmatch(deadline_ms):
            return Failure("The time limit is no whole number of milliseconds.")
        inbound.time_limit_s = int(deadline_ms) * S_PER_MS
    return _decode_prompt(inbound, by_name)


def encode_attempt(inbound: InboundRequest, head: AttemptHead) -> bytes:
    """Encode the request line and headers of a request to a target."""
    lines = [inbound.method + b" " + inbound.target + b" HTTP/1.1"]
    lines.extend(_end_to_end_lines(inbound.headers, names.ROUTER_ONLY))
    router_headers = [
        (b"Deadline-Ms", str(max(1, int(head.time_left_s / S_PER_MS)))),
        (b"Expect-Instance", head.instance),
        (b"Tenant", head.workspace),
        (b"Last-Event-Id", head.last_event_id),
        (b"Cache-Salt", head.cache_scope),
        (b"Kv-Fetch", head.fetch_from),
        (b"Kv-Save", head.save_to),
        (b"Expect-Version", "" if head.weights_version is None else str(head.weights_version)),
        (b"Request-Priority", "" if head.priority is None else str(head.priority)),
    ]
    lines.extend(
        name + b": " + value.encode("latin-1") for name, value in router_headers if value
    )
    return _with_framing(lines, inbound)


def encode_relayed(
    inbound: InboundRequest,
    target: bytes,
    time_left_s: float,
    last_event_id: str,
    lines: Sequence[bytes],
) -> bytes:
    """Encode the request line and headers of a request that another daemon forwards.

    Parameters
    ----------
    target
        Path and query at that daemon.
    lines
        Further header lines.
    """
    encoded = [inbound.method + b" " + target + b" HTTP/1.1"]
    changed = {names.DEADLINE, names.LAST_EVENT_ID}
    encoded.extend(_end_to_end_lines(inbound.headers, changed))
    encoded.append(b"Deadline-Ms: %d" % max(1, int(time_left_s / S_PER_MS)))
    if last_event_id:
        encoded.append(b"Last-Event-Id: " + last_event_id.encode("latin-1"))
    return _with_framing([*encoded, *lines], inbound)


def decode_answer_head(status: int, headers: Sequence[tuple[bytes, bytes]]) -> AnswerHead:
    """Decode the status and headers of a target's answer.

    Raises
    ------
    MalformedHead
        If a header comes twice of which an answer has one.
    """
    check_single(headers, names.SINGLE_IN_ANSWERS)
    by_name = {name.lower(): value for name, value in headers}
    passed_on = tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in names.HOP_BY_HOP and name.lower() != names.INSTANCE
    )
    keep_alive = KEEP_ALIVE_TIMEOUT.search(by_name.get(names.KEEP_ALIVE, b"").lower())
    version = by_name.get(names.WEIGHTS_VERSION, b"").strip()
    malformed: dict[Notice, str] = {}
    rate_limit = _decode_notice(headers, by_name, Notice.RATE_LIMIT, malformed)
    retry_after = _decode_notice(headers, by_name, Notice.RETRY_AFTER, malformed)
    leaving = _decode_notice(headers, by_name, Notice.LEAVING, malformed)
    bearable = _decode_notice(headers, by_name, Notice.BRITTLE, malformed)
    return AnswerHead(
        status=status,
        not_run=names.NOT_RUN in by_name or status == 421,
        request_id=by_name.get(names.REQUEST_ID, b"").decode("latin-1"),
        headers=passed_on,
        has_server_stamp=names.SERVER_STAMP in by_name,
        keep_alive_s=None if keep_alive is None else float(keep_alive.group(1)),
        retry_after_s=retry_after,
        weights_version=int(version) if DECIMAL.fullmatch(version) else None,
        instance=by_name.get(names.INSTANCE, b"").decode("latin-1"),
        rate_limit_per_s=rate_limit,
        leaving=leaving == 1.0,
        bearable_refusals=bearable,
        malformed=tuple(malformed.items()),
    )


def encode_failure_headers(request_id: str, retry_after_s: float | None) -> list[bytes]:
    """Return the header lines of an error answer that the gateway generates itself."""
    lines = []
    if request_id:
        lines.append(b"Request-Id: " + request_id.encode("latin-1"))
    if retry_after_s is not None:
        lines.append(b"Retry-After: %.3f" % max(0.0, retry_after_s))
    return lines


def _end_to_end_lines(
    headers: Sequence[tuple[bytes, bytes]], left_out: Collection[bytes]
) -> list[bytes]:
    """Return the header lines of a request to pass on."""
    options = _connection_options(headers)
    lines = []
    for name, value in headers:
        lower = name.lower()
        if lower in names.HOP_BY_HOP or lower in left_out:
            continue
        if lower not in options or lower in names.SINGLE_VALUED:
            lines.append(name + b": " + value)
    return lines


def _with_framing(lines: list[bytes], inbound: InboundRequest) -> bytes:
    if inbound.body or inbound.method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"Content-Length: %d" % len(inbound.body))
    return b"\r\n".join(lines) + b"\r\n\r\n"


def _connection_options(headers: Iterable[tuple[bytes, bytes]]) -> frozenset[bytes]:
    options: set[bytes] = set()
    for name, value in headers:
        if name.lower() == names.CONNECTION:
            options.update(option.strip().lower() for option in value.split(b","))
    return frozenset(options)


def _decode_prompt(
    inbound: InboundRequest, by_name: dict[bytes, bytes]
) -> Result[InboundRequest, str]:
    usage = by_name.get(names.TOKEN_USAGE)
    if usage is not None:
        prompt_tokens, comma, output_tokens = usage.partition(b",")
        if (
            not comma
            or not DECIMAL.fullmatch(prompt_tokens)
            or not DECIMAL.fullmatch(output_tokens)
        ):
            return Failure("The announced tokens are no pair of numbers.")
        inbound.prompt_tokens, inbound.output_tokens = int(prompt_tokens), int(output_tokens)
    prompt_prefix = by_name.get(names.PROMPT_PREFIX)
    if prompt_prefix is None:
        return Success(inbound)
    parts = []
    for entry in prompt_prefix.decode("latin-1").split(","):
        matched = PROMPT_PART.fullmatch(entry.strip())
        if matched is None:
            return Failure("The parts of the prompt cannot be read.")
        parts.append(PromptPart(matched.group(1), int(matched.group(2))))
    inbound.prompt = tuple(parts)
    return Success(inbound)


def _decode_notice(
    headers: Sequence[tuple[bytes, bytes]],
    by_name: Mapping[bytes, bytes],
    notice: Notice,
    malformed: dict[Notice, str],
) -> float | None:
    """Return the number of a notice, or None if it is absent or malformed."""
    header = names.NOTICES[notice]
    value = by_name.get(header)
    if value is None:
        return None
    values = {item.strip() for name, item in headers if name.lower() == header}
    if len(values) > 1 or not DECIMAL_FRACTION.fullmatch(value.strip()):
        malformed[notice] = b", ".join(sorted(values)).decode("latin-1")[:MAX_SHOWN]
        return None
    return float(value)
