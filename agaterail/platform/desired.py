"""Decode the operators' desired state and the named weights versions."""

from __future__ import annotations

import json
from typing import Any

import attrs
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

logger = logs.get_logger("desired")

MS = 1e-3
KINDS = {
    "safe": RequestKind.SAFE,
    "unsafe": RequestKind.UNSAFE,
    # A kind that is not known here may not be repeated.
    "keyed": RequestKind.UNSAFE,
    "streaming": RequestKind.STREAM,
}


@attrs.frozen
class NamedWeights:
    """Weights version that the operators want of a model."""

    model: str
    version: int


def decode_desired(value: bytes) -> Result[DesiredState, str]:
    """Return the desired state in a record's value; rows that are malformed are left out."""
    try:
        found = fields.table(json.loads(value), "the desired state")
        return Success(
            DesiredState(
                version=fields.whole(found, "version"),
                routes=tuple(_rows(found, "routes", _route)),
                services={
                    item.name: item
                    for item in _rows(found, "services", _service)
                    if isinstance(item, Service)
                },
                kv_stores=tuple(
                    item
                    for item in _rows(found, "services", _service)
                    if isinstance(item, KvStoreSpec)
                ),
                workspaces=tuple(_rows(found, "tenants", _workspace)),
                limits=_limits(found),
            )
        )
    except ValueError as error:  # MalformedError and JSON errors
        return Failure(str(error))


def decode_weights(value: bytes) -> Result[NamedWeights, str]:
    """Return the weights that a record names."""
    try:
        found = fields.table(json.loads(value), "the version")
        return Success(
            NamedWeights(fields.text(found, "model"), fields.whole(found, "version"))
        )
    except ValueError as error:
        return Failure(str(error))


def _rows(found: dict[str, Any], name: str, decode: Any) -> list[Any]:
    decoded = []
    for place, row in enumerate(fields.rows(found, name)):
        try:
            decoded.append(decode(fields.table(row, "the row")))
        except MalformedError as error:
            logger.warning("Left out a row.", table=name, row=place, reason=str(error))
    return decoded


def _route(row: dict[str, Any]) -> Route:
    # The wire's name for a split is a list of services; a route without a
    # split names its only service directly.
    shares = tuple(
        ServiceShare(fields.text(part, "service"), fields.number(part, "weight"))
        for part in (
            fields.table(item, "a share") for item in fields.rows(row, "traffic_split")
        )
    )
    if not any(share.weight > 0 for share in shares):
        shares = (ServiceShare(fields.text(row, "service"), 1.0),)
    kind = KINDS.get(fields.text(row, "kind"))
    if kind is None:
        raise MalformedError("kind is unknown")
    return Route(
        name=fields.text(row, "name"),
        host=fields.text(row, "host").lower(),
        path_prefix=fields.text(row, "path_prefix").encode(),
        kind=kind,
        shares=shares,
        timeout_s=fields.number(row, "timeout_ms") * MS,
        objective_s=fields.number(row, "target_latency_ms") * MS,
        gap_objective_s=fields.number(row, "gap_aim_ms", 0.0) * MS,
        priority=fields.whole(row, "priority", 0),
        max_attempts=max(1, fields.whole(row, "max_attempts", 1)),
        public=fields.flag(row, "public"),
        prompted=fields.flag(row, "sticky"),
        resumable=fields.flag(row, "resumable"),
    )


def _service(row: dict[str, Any]) -> Service | KvStoreSpec:
    name = fields.text(row, "name")
    if row.get("kv_store_addr"):
        return KvStoreSpec(
            name=name,
            address=fields.text(row, "kv_store_addr"),
            domain=fields.text(row, "zone"),
            link_mbps=fields.number(row, "link_mbps", 0.0),
        )
    engine = row.get("engine")
    return Service(
        name=name,
        max_connections=fields.whole(row, "max_conns", 0),
        engine=None if engine is None else _engine(fields.table(engine, "engine")),
    )


def _engine(row: dict[str, Any]) -> EngineTraits:
    models = (fields.table(item, "a model") for item in fields.rows(row, "models"))
    return EngineTraits(
        slots=fields.whole(row, "slots", 0),
        kv_tokens=fields.whole(row, "kv_capacity", 0),
        kv_bytes_per_token=fields.number(row, "kv_bytes", 0.0),
        link_mbps=fields.number(row, "link_mbps", 0.0),
        models=tuple(fields.text(item, "name") for item in models),
    )


def _workspace(row: dict[str, Any]) -> Workspace:
    keys = fields.rows(row, "api_keys")
    priority = row.get("priority")
    return Workspace(
        name=fields.text(row, "name"),
        api_keys=tuple(key for key in keys if isinstance(key, str) and key),
        priority=None if priority is None else fields.whole(row, "priority"),
        isolated=fields.flag(row, "isolated"),
    )


def _limits(found: dict[str, Any]) -> CallerLimits:
    row = fields.table(found.get("limits") or {}, "limits")
    default = CallerLimits()
    return CallerLimits(
        max_header_bytes=fields.whole(row, "max_header_bytes", default.max_header_bytes),
        max_body_bytes=fields.whole(row, "max_body_bytes", default.max_body_bytes),
        header_timeout_s=fields.number(row, "header_timeout_ms", default.header_timeout_s / MS)
        * MS,
        idle_timeout_s=fields.number(row, "idle_timeout_ms", default.idle_timeout_s / MS) * MS,
    )
