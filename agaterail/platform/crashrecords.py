"""Encoding and decoding of the store's records of crashes and quarantines.

The topic keeps the newest record of each key. Reports and survivals of a host share one
of a few keys, so that their number is bounded; verdicts have a key for each part.
"""

from __future__ import annotations

import json
import zlib
from typing import TYPE_CHECKING, Any

from agaterail.decisions.crashevidence import BrokenPrompt, CrashReport, TargetStart
from agaterail.gateway.controlstore import (
    CrashReported,
    PartQuarantined,
    PartsSurvived,
    Quarantine,
)
from agaterail.platform import fields, keyedrecords
from agaterail.util.untrusted import load_json

if TYPE_CHECKING:
    from agaterail.gateway.controlstore import CrashChange, FeedRecord

HOST_KEYS = 64
REPORT_PREFIX = "crash/"
SURVIVAL_PREFIX = "survived/"
VERDICT_PREFIX = "part/"


def encode(change: CrashChange, host: str) -> bytes:
    """Return the content of a record: its key with a length, and its value."""
    slot = zlib.crc32(host.encode()) % HOST_KEYS
    payload: dict[str, Any] | None
    match change:
        case CrashReported():
            key, payload = f"{REPORT_PREFIX}{slot}", _encode_report(change)
        case PartsSurvived():
            key = f"{SURVIVAL_PREFIX}{slot}"
            payload = {"parts": list(change.parts), "at": round(change.written_at, 3)}
        case PartQuarantined():
            key = f"{VERDICT_PREFIX}{change.part}"
            payload = _encode_verdict(change.quarantine)
    value = b"" if payload is None else json.dumps(payload).encode()
    return keyedrecords.encode(key, value)


def decode(record: FeedRecord) -> CrashChange | None:
    """Decode a record; return None if its key is unknown.

    Raises
    ------
    ValueError
        If it is malformed.
    """
    if record.key.startswith(VERDICT_PREFIX) and not record.value:
        part = record.key.removeprefix(VERDICT_PREFIX)
        return PartQuarantined(part, None, record.offset)
    return _decode_value(record)


def _encode_report(change: CrashReported) -> dict[str, Any]:
    report = change.report
    return {
        "by": change.reporter,
        "target": report.start.instance,
        "born": report.start.born,
        "prompts": [[prompt.request, list(prompt.parts)] for prompt in report.prompts],
        "survived": list(report.survived),
        "at": round(change.written_at, 3),
    }


def _encode_verdict(quarantine: Quarantine | None) -> dict[str, Any] | None:
    if quarantine is None:
        return None
    return {
        "crashes": quarantine.crashes,
        "at": round(quarantine.decided_at, 3),
        "requests": list(quarantine.requests),
    }


def _decode_verdict(decoded: dict[str, Any]) -> Quarantine:
    """Decode a verdict; daemons of a former release write the number of crashes alone."""
    return Quarantine(
        fields.integer(decoded, "crashes"),
        decided_at=fields.number(decoded, "at") if "at" in decoded else 0.0,
        requests=_strings(decoded.get("requests", [])),
    )


def _decode_value(record: FeedRecord) -> CrashChange | None:
    decoded = fields.json_object(load_json(record.value), "the record")
    if record.key.startswith(VERDICT_PREFIX):
        part = record.key.removeprefix(VERDICT_PREFIX)
        return PartQuarantined(part, _decode_verdict(decoded), record.offset)
    written_at = fields.number(decoded, "at")
    if record.key.startswith(SURVIVAL_PREFIX):
        return PartsSurvived(_strings(decoded.get("parts")), record.offset, written_at)
    if record.key.startswith(REPORT_PREFIX):
        return _decode_report(decoded, record.offset, written_at)
    return None


def _decode_report(decoded: dict[str, Any], offset: int, written_at: float) -> CrashReported:
    start = TargetStart(fields.string(decoded, "target"), fields.integer(decoded, "born"))
    prompts = tuple(_decode_prompt(row) for row in fields.array(decoded, "prompts"))
    report = CrashReport(start, prompts, _strings(decoded.get("survived")))
    return CrashReported(report, fields.string(decoded, "by"), offset, written_at)


def _decode_prompt(row: object) -> BrokenPrompt:
    match row:
        case [str(request), list(parts)]:
            return BrokenPrompt(request, _strings(parts))
    raise fields.MalformedError("a prompt is not a request and its parts")


def _strings(value: object) -> tuple[str, ...]:
    if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
        raise fields.MalformedError("the parts are not a list of strings")
    return tuple(value)
