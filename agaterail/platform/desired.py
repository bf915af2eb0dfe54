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

MS = 1e-3
NULL = b"null"
ROWS_PER_TURN = 32
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
            found = _members(document)
            services = self._rows(document, "services", _service)
            return Success(
                DesiredState(
                    version=fields.whole(found, "version"),
                    routes=tuple(self._rows(document, "routes", _route)),
                    services={
                        item.name: item for item in services if isinstance(item, Service)
                    },
                    kv_stores=tuple(
                        item for item in services if isinstance(item, KvStoreSpec)
                    ),
                    workspaces=tuple(self._rows(document, "tenants", _workspace)),
                    limits=_limits(found),
                )
            )
        except ValueError as error:  # MalformedError and JSON errors
            return Failure(str(error))

    def _rows(
        self, document: Document, name: str, decode: Callable[[dict[str, Any]], Any]
    ) -> list[Any]:
        if document.members.get(name, NULL) != NULL:
            raise MalformedError(f"{name} is no list")
        former = self.rows.get(name, {})
        rows: dict[bytes, Any] = {}
        for number, row in enumerate(document.tables.get(name, ())):
            if row in former:
                rows[row] = former[row]
                continue
            rows[row] = _decoded_row(name, row, decode)
            if number % ROWS_PER_TURN == 0:
                # Thousands of new rows take long; requests go on in between.
                gevent.sleep(0.0)
        self.rows[name] = rows
        found = (rows[row] for row in document.tables.get(name, ()))
        return [item for item in found if item is not None]


def decode_weights(document: Document) -> Result[NamedWeights, str]:
    """Return the weights that a record names."""
    try:
        found = _members(document)
        return Success(
            NamedWeights(fields.text(found, "model"), fields.whole(found, "version"))
        )
    except ValueError as error:
        return Failure(str(error))


def _members(document: Document) -> dict[str, Any]:
    return {name: json.loads(text) for name, text in document.members.items()}


def _decoded_row(name: str, row: bytes, decode: Callable[[dict[str, Any]], Any]) -> Any:
    """Return what a row says; None if it is malformed."""
    try:
        return decode(fields.table(json.loads(row), "the row"))
    except ValueError as error:  # MalformedError and JSON errors
        logger.warning("Left out a row.", table=name, reason=str(error))
        return None


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
