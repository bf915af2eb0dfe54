"""Decode the operators' desired state and the named weights versions."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import attrs
import gevent
from returns.result import Failure, Result, Success

from agaterail import logs
from agaterail.gateway.desired import (
    CallerLimits,
    DesiredState,
    EngineTraits,
    KvStoreSpec,
    RequestKind,
    Route,
    Service,
    ServiceShare,
    Workspace,
)
from agaterail.platform import fields
from agaterail.platform.fields import MalformedError

if TYPE_CHECKING:
    from collections.abc import Callable

    from agaterail.gateway.documents import Document

logger = logs.get_logger("desired")

S_PER_MS = 1e-3
JSON_NULL = b"null"
ROWS_PER_YIELD = 32
REQUEST_KINDS = {
    "safe": RequestKind.SAFE,
    "unsafe": RequestKind.UNSAFE,
    # A kind that is not known here may not be repeated.
    "keyed": RequestKind.UNSAFE,
    "streaming": RequestKind.STREAM,
}


@attrs.frozen
class DesiredWeights:
    """Weights version that the operators want of a model."""

    model: str
    version: int


class DesiredDecoder:
    """Decodes desired states, one version after the other.

    Rows that are as they were in the version before are not decoded again: versions that
    differ in one row of thousands come several a second, and a host with a tenth of a
    core would take half a second for each, in which it answers no caller.
    """

    def __init__(self) -> None:
        self.rows: dict[str, dict[bytes, Any]] = {}

    def decode(self, document: Document) -> Result[DesiredState, str]:
        """Return the desired state of a document; rows that are malformed are left out."""
        try:
            members = _decode_members(document)
            services = self._decode_rows(document, "services", _decode_service)
            return Success(
                DesiredState(
                    version=fields.integer(members, "version"),
                    routes=tuple(self._decode_rows(document, "routes", _decode_route)),
                    services={
                        item.name: item for item in services if isinstance(item, Service)
                    },
                    kv_stores=tuple(
                        item for item in services if isinstance(item, KvStoreSpec)
                    ),
                    workspaces=tuple(
                        self._decode_rows(document, "tenants", _decode_workspace)
                    ),
                    limits=_decode_limits(members),
                )
            )
        except ValueError as error:  # MalformedError and JSON errors
            return Failure(str(error))

    def _decode_rows(
        self, document: Document, name: str, decode: Callable[[dict[str, Any]], Any]
    ) -> list[Any]:
        if document.members.get(name, JSON_NULL) != JSON_NULL:
            raise MalformedError(f"{name} is no list")
        previous = self.rows.get(name, {})
        rows: dict[bytes, Any] = {}
        for number, row in enumerate(document.tables.get(name, ())):
            if row in previous:
                rows[row] = previous[row]
                continue
            rows[row] = _decode_row(name, row, decode)
            if number % ROWS_PER_YIELD == 0:
                # Thousands of new rows take long; requests go on in between.
                gevent.sleep(0.0)
        self.rows[name] = rows
        decoded = (rows[row] for row in document.tables.get(name, ()))
        return [item for item in decoded if item is not None]


def decode_weights(document: Document) -> Result[DesiredWeights, str]:
    """Return the weights that a record names."""
    try:
        members = _decode_members(document)
        return Success(
            DesiredWeights(fields.string(members, "model"), fields.integer(members, "version"))
        )
    except ValueError as error:
        return Failure(str(error))


def _decode_members(document: Document) -> dict[str, Any]:
    return {name: json.loads(text) for name, text in document.members.items()}


def _decode_row(name: str, row: bytes, decode: Callable[[dict[str, Any]], Any]) -> Any:
    """Return what a row says; None if it is malformed."""
    try:
        return decode(fields.json_object(json.loads(row), "the row"))
    except ValueError as error:  # MalformedError and JSON errors
        logger.warning("Left out a row.", table=name, reason=str(error))
        return None


def _decode_route(row: dict[str, Any]) -> Route:
    # The wire's name for a split is a list of services; a route without a
    # split names its only service directly.
    shares = tuple(
        ServiceShare(fields.string(part, "service"), fields.number(part, "weight"))
        for part in (
            fields.json_object(item, "a share") for item in fields.array(row, "traffic_split")
        )
    )
    if not any(share.weight > 0 for share in shares):
        shares = (ServiceShare(fields.string(row, "service"), 1.0),)
    kind = REQUEST_KINDS.get(fields.string(row, "kind"))
    if kind is None:
        raise MalformedError("kind is unknown")
    return Route(
        name=fields.string(row, "name"),
        host=fields.string(row, "host").lower(),
        path_prefix=fields.string(row, "path_prefix").encode(),
        kind=kind,
        shares=shares,
        timeout_s=fields.number(row, "timeout_ms") * S_PER_MS,
        objective_s=fields.number(row, "target_latency_ms") * S_PER_MS,
        gap_objective_s=fields.number(row, "gap_aim_ms", 0.0) * S_PER_MS,
        priority=fields.integer(row, "priority", 0),
        max_attempts=max(1, fields.integer(row, "max_attempts", 1)),
        public=fields.boolean(row, "public"),
        prompted=fields.boolean(row, "sticky"),
        resumable=fields.boolean(row, "resumable"),
    )


def _decode_service(row: dict[str, Any]) -> Service | KvStoreSpec:
    name = fields.string(row, "name")
    if row.get("kv_store_addr"):
        return KvStoreSpec(
            name=name,
            address=fields.string(row, "kv_store_addr"),
            domain=fields.string(row, "zone"),
            link_mbps=fields.number(row, "link_mbps", 0.0),
        )
    engine = row.get("engine")
    return Service(
        name=name,
        max_connections=fields.integer(row, "max_conns", 0),
        engine=None
        if engine is None
        else _decode_engine(fields.json_object(engine, "engine")),
    )


def _decode_engine(row: dict[str, Any]) -> EngineTraits:
    models = (fields.json_object(item, "a model") for item in fields.array(row, "models"))
    return EngineTraits(
        slots=fields.integer(row, "slots", 0),
        kv_tokens=fields.integer(row, "kv_capacity", 0),
        kv_bytes_per_token=fields.number(row, "kv_bytes", 0.0),
        link_mbps=fields.number(row, "link_mbps", 0.0),
        models=tuple(fields.string(item, "name") for item in models),
    )


def _decode_workspace(row: dict[str, Any]) -> Workspace:
    keys = fields.array(row, "api_keys")
    priority = row.get("priority")
    return Workspace(
        name=fields.string(row, "name"),
        api_keys=tuple(key for key in keys if isinstance(key, str) and key),
        priority=None if priority is None else fields.integer(row, "priority"),
        isolated=fields.boolean(row, "isolated"),
    )


def _decode_limits(members: dict[str, Any]) -> CallerLimits:
    row = fields.json_object(members.get("limits") or {}, "limits")
    default = CallerLimits()
    return CallerLimits(
        max_header_bytes=fields.integer(row, "max_header_bytes", default.max_header_bytes),
        max_body_bytes=fields.integer(row, "max_body_bytes", default.max_body_bytes),
        header_timeout_s=fields.number(
            row, "header_timeout_ms", default.header_timeout_s / S_PER_MS
        )
        * S_PER_MS,
        idle_timeout_s=fields.number(row, "idle_timeout_ms", default.idle_timeout_s / S_PER_MS)
        * S_PER_MS,
    )
