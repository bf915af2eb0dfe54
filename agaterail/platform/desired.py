"""Decode the desired state and the weights versions that operators publish."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import gevent
from returns.result import Failure, Result, Success

from agaterail import logs
from agaterail.decisions.allowances import Allowance, CostUnit
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
from agaterail.util.address import Address
from agaterail.util.untrusted import decode_pruned, load_json

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
    # The gateway has no kind for keyed requests; like unsafe ones, they must not run twice.
    "keyed": RequestKind.UNSAFE,
    "streaming": RequestKind.STREAM,
}
COST_UNITS = {"requests": CostUnit.REQUESTS, "tokens": CostUnit.TOKENS}


@attrs.frozen
class DesiredWeights:
    """Weights version that the operators set for a model."""

    model: str
    version: int


class DesiredDecoder:
    """Decodes successive versions of the desired state.

    Rows that are unchanged since the previous version are not decoded again. Versions
    that differ in one of thousands of rows can arrive several times a second. On a host
    with a tenth of a core, decoding all rows takes half a second, during which no caller
    is answered.
    """

    def __init__(self) -> None:
        self.rows: dict[str, dict[bytes, Any]] = {}
        self.allowances: dict[str, Allowance | None] = {}

    def decode(self, document: Document) -> Result[DesiredState, str]:
        """Decode a document; malformed rows are skipped."""
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
                        self._decode_rows(document, "tenants", self._decode_workspace)
                    ),
                    limits=_decode_limits(members),
                )
            )
        except ValueError as error:  # MalformedError and DecodeError
            return Failure(str(error))

    def _decode_rows(
        self, document: Document, name: str, decode: Callable[[dict[str, Any]], Any]
    ) -> list[Any]:
        if document.members.get(name, JSON_NULL) != JSON_NULL:
            raise MalformedError(f"{name} is not a list")
        previous = self.rows.get(name, {})
        rows: dict[bytes, Any] = {}
        for number, row in enumerate(document.tables.get(name, ())):
            if row in previous:
                rows[row] = previous[row]
                continue
            rows[row] = _decode_row(name, row, decode)
            if number % ROWS_PER_YIELD == 0:
                # Decoding thousands of new rows takes long; let requests run in between.
                gevent.sleep(0.0)
        self.rows[name] = rows
        decoded = (rows[row] for row in document.tables.get(name, ()))
        return [item for item in decoded if item is not None]

    def _decode_workspace(self, row: dict[str, Any]) -> Workspace:
        name = fields.string(row, "name")
        keys = fields.array(row, "api_keys")
        priority = row.get("priority")
        return Workspace(
            name=name,
            api_keys=tuple(key for key in keys if isinstance(key, str) and key),
            priority=None if priority is None else fields.integer(row, "priority"),
            isolated=fields.boolean(row, "isolated"),
            allowance=self._decode_allowance(name, row),
        )

    def _decode_allowance(self, name: str, row: dict[str, Any]) -> Allowance | None:
        """Decode a workspace's allowance; a malformed one leaves the former in force."""
        try:
            self.allowances[name] = _decode_allowance(row)
        except MalformedError as error:
            logger.warning("Kept the former allowance.", workspace=name, reason=str(error))
        return self.allowances.get(name)


def decode_weights(document: Document) -> Result[DesiredWeights, str]:
    """Decode the weights version in a record's document."""
    try:
        members = _decode_members(document)
        return Success(
            DesiredWeights(fields.string(members, "model"), fields.integer(members, "version"))
        )
    except ValueError as error:
        return Failure(str(error))


def _decode_members(document: Document) -> dict[str, Any]:
    return {name: decode_pruned(load_json, text) for name, text in document.members.items()}


def _decode_row(name: str, row: bytes, decode: Callable[[dict[str, Any]], Any]) -> Any:
    """Decode one row; return None if it is malformed."""
    try:
        return decode(fields.json_object(decode_pruned(load_json, row), "the row"))
    # Whatever is wrong with a row, the others stay in force.
    except Exception as error:
        logger.warning("Skipped a malformed row.", table=name, reason=repr(error))
        return None


def _decode_route(row: dict[str, Any]) -> Route:
    # "traffic_split" lists services with weights; a route without a split names its
    # only service in "service".
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
            address=str(Address.parse(fields.string(row, "kv_store_addr"))),
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


def _decode_allowance(row: dict[str, Any]) -> Allowance | None:
    rate_per_s = fields.number(row, "rate_per_s", 0.0)
    burst = fields.number(row, "burst", 0.0)
    plain_tokens = fields.integer(row, "plain_tokens", 0)
    unit = COST_UNITS.get(row.get("unit") or "requests")
    if unit is None:
        raise MalformedError("unit is unknown")
    if min(rate_per_s, burst, plain_tokens) < 0:
        raise MalformedError("an allowance is negative")
    if not rate_per_s:
        return None
    return Allowance(rate_per_s=rate_per_s, burst=burst, unit=unit, plain_tokens=plain_tokens)


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
