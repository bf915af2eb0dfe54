"""Reports of engine loads and the answers to them."""

from __future__ import annotations

from typing import Annotated, Any

import attrs
import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

from agaterail.decisions.engineloads import DaemonReport, EngineRow
from agaterail.util.units import MS_PER_S
from agaterail.util.untrusted import DecodeError, MsgpackDecoder

# The version in the path changes with the format. Daemons of another release answer 404.
PATH = b"/engine-loads/1"
TAG_BYTES = 4
MAX_ROWS = 2048
MAX_ENGINES = 8192
MAX_MS = 3_600_000
# Logarithms of the times of a step, in seconds, lie between these bounds.
MAX_LOG = 10.0
PER_MILLE = 1000.0

_Name = Annotated[str, Meta(min_length=1, max_length=256)]
_Ms = Annotated[int, Meta(ge=0, le=MAX_MS)]
_Start = Annotated[int, Meta(ge=0, le=10**15)]
_Requests = Annotated[int, Meta(ge=0, le=4096)]
_Tokens = Annotated[int, Meta(ge=0, le=10**8)]
_Count = Annotated[int, Meta(ge=0, le=MAX_ENGINES)]
_Tag = Annotated[bytes, Meta(max_length=TAG_BYTES)]
_Codes = Annotated[bytes, Meta(max_length=MAX_ENGINES)]

_NO_LIST = msgspec.msgpack.encode(None)
_Row = tuple[
    _Name,
    _Start,
    _Requests,
    _Tokens,
    _Tokens,
    _Ms | None,
    _Ms,
    Annotated[int, Meta(ge=0, le=100_000)],
    Annotated[int, Meta(ge=-(10**9), le=10**9)],
]
_ROW_DECODER: MsgpackDecoder[_Row] = MsgpackDecoder(_Row)
_ROWS_DECODER: MsgpackDecoder[list[_Row]] = MsgpackDecoder(list[_Row])
_REPORT_DECODER: MsgpackDecoder[Any] = MsgpackDecoder(
    tuple[
        _Name,
        _Name,
        _Name,
        Annotated[int, Meta(ge=1, le=60_000)],
        _Tag,
        msgspec.Raw,
    ]
)
_RAW_ROWS_DECODER: MsgpackDecoder[list[msgspec.Raw]] = MsgpackDecoder(
    Annotated[list[msgspec.Raw], Meta(max_length=MAX_ROWS)]
)
_ANSWER_DECODER: MsgpackDecoder[Any] = MsgpackDecoder(
    tuple[
        _Tag,
        Annotated[tuple[tuple[_Name, _Start], ...], Meta(max_length=MAX_ENGINES)] | None,
        _Codes,
        _Codes,
        _Codes,
        _Codes,
        _Codes,
        tuple[tuple[_Count, _Count, _Count], ...],
        _Ms,
        Annotated[int, Meta(ge=0, le=1000)],
    ]
)


@attrs.frozen
class LoadQuestion:
    """A daemon's report, by which it asks for the figures of the others.

    Attributes
    ----------
    tag
        Tag of the list of engines that the daemon knows; empty if it knows none.
    refused
        Why rows of the report were left out.
    """

    service: str
    tag: bytes
    report: DaemonReport
    refused: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class LoadAnswer:
    """Figures of the engines of a service by the reports of the other daemons.

    The figures are bytes, with one code of the module ``scales`` for each engine.

    Attributes
    ----------
    tag
        Tag of the list of engines.
    engines
        Ids and starts of the engines; None if the asker knows the list with the tag.
    silent
        Index of each engine that is silent to daemons, their number and that of their
        failure domains.
    age_s
        Mean age of the reports in seconds.
    fraction
        Fraction of the other daemons that have reported.
    """

    tag: bytes
    engines: tuple[tuple[str, int], ...] | None
    streams: bytes
    prefill_tokens: bytes
    kv_tokens: bytes
    heard: bytes
    paces: bytes
    silent: tuple[tuple[int, int, int], ...]
    age_s: float
    fraction: float

    @property
    def count(self) -> int:
        """Return the number of engines."""
        return len(self.streams)

    @property
    def is_consistent(self) -> bool:
        """Return whether all figures are there for each engine."""
        lengths = {
            len(codes)
            for codes in (self.prefill_tokens, self.kv_tokens, self.heard, self.paces)
        }
        if self.engines is not None:
            lengths.add(len(self.engines))
        return lengths == {self.count} and all(row[0] < self.count for row in self.silent)


def encode_question(question: LoadQuestion) -> bytes:
    """Return the body of a daemon's report."""
    report = question.report
    rows = [_row_values(row) for row in report.rows[:MAX_ROWS]]
    period_ms = round(report.period_s * MS_PER_S)
    return msgspec.msgpack.encode(
        (report.daemon, report.domain, question.service, period_ms, question.tag, rows)
    )


def decode_question(body: bytes) -> Result[LoadQuestion, str]:
    """Return the report in a body without its implausible rows, or why it is malformed."""
    try:
        daemon, domain, service, period_ms, tag, raw_rows = _REPORT_DECODER.decode(body)
        decoded, refused = _decode_rows(raw_rows)
    except DecodeError as error:
        return Failure(str(error))
    rows: dict[str, EngineRow] = {}
    for values in decoded:
        if values[0] in rows:
            refused.append("two rows on one engine")
        elif abs(values[-1]) > values[-2] * MAX_LOG * PER_MILLE:
            refused.append("times of steps are implausible")
        else:
            rows[values[0]] = _make_row(values)
    report = DaemonReport(
        daemon=daemon,
        domain=domain,
        period_s=period_ms / MS_PER_S,
        rows=tuple(rows.values()),
    )
    return Success(LoadQuestion(service, tag, report, tuple(refused)))


def encode_answer(answer: LoadAnswer) -> bytes:
    """Return the body of an answer."""
    return msgspec.msgpack.encode(
        (
            answer.tag,
            answer.engines,
            answer.streams,
            answer.prefill_tokens,
            answer.kv_tokens,
            answer.heard,
            answer.paces,
            answer.silent,
            min(MAX_MS, round(answer.age_s * MS_PER_S)),
            round(answer.fraction * PER_MILLE),
        )
    )


def decode_answer(body: bytes) -> Result[LoadAnswer, str]:
    """Return the answer in a body, or why it is malformed."""
    try:
        tag, engines, streams, prefill, kv, heard, paces, silent, age_ms, per_mille = (
            _ANSWER_DECODER.decode(body)
        )
    except DecodeError as error:
        return Failure(str(error))
    answer = LoadAnswer(
        tag=tag,
        engines=engines,
        streams=streams,
        prefill_tokens=prefill,
        kv_tokens=kv,
        heard=heard,
        paces=paces,
        silent=silent,
        age_s=age_ms / MS_PER_S,
        fraction=per_mille / PER_MILLE,
    )
    return Success(answer) if answer.is_consistent else Failure("lengths differ")


def figures_size(answer: LoadAnswer, body: bytes) -> int:
    """Return the size of an answer without its list of engines, which is rarely sent."""
    if answer.engines is None:
        return len(body)
    return len(body) - len(msgspec.msgpack.encode(answer.engines)) + len(_NO_LIST)


def _row_values(row: EngineRow) -> tuple[object, ...]:
    heard_ms = round(row.heard_s * MS_PER_S) if row.heard_s * MS_PER_S <= MAX_MS else None
    return (
        row.instance,
        row.start,
        row.streams,
        row.prefill_tokens,
        row.kv_tokens,
        heard_ms,
        min(MAX_MS, round(row.waiting_s * MS_PER_S)),
        row.steps,
        round(row.sum_log_s * PER_MILLE),
    )


def _decode_rows(raw: msgspec.Raw) -> tuple[list[_Row], list[str]]:
    """Return the values of the rows, and why others are refused."""
    raw_rows = _RAW_ROWS_DECODER.decode(raw)
    try:
        return _ROWS_DECODER.decode(raw), []
    except DecodeError:
        rows, refused = [], []
        for raw_row in raw_rows:
            try:
                rows.append(_ROW_DECODER.decode(raw_row))
            except DecodeError as error:
                refused.append(str(error))
        return rows, refused


def _make_row(values: _Row) -> EngineRow:
    instance, start, streams, prefill, kv, heard_ms, waiting_ms, steps, log_sum = values
    return EngineRow(
        instance=instance,
        start=start,
        streams=streams,
        prefill_tokens=prefill,
        kv_tokens=kv,
        heard_s=float("inf") if heard_ms is None else heard_ms / MS_PER_S,
        waiting_s=waiting_ms / MS_PER_S,
        steps=steps,
        sum_log_s=log_sum / PER_MILLE,
    )
