"""The settings file that the platform gives to each process."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import attrs
from returns.result import Failure, Result, Success

from agaterail.gateway.hostsettings import Bounds, HostSettings, StoreSettings
from agaterail.gateway.retrybudget import RetryBudgetLimits
from agaterail.platform import fields
from agaterail.platform.fields import MalformedError
from agaterail.util.address import Address

if TYPE_CHECKING:
    from collections.abc import Mapping

MS = 1e-3


@attrs.frozen
class SettingsFileProblem:
    """Why a settings file cannot be used."""

    path: str
    reason: str

    def __str__(self) -> str:
        """Return one line for the operator."""
        return f"The settings file {self.path} cannot be used: {self.reason}."


def read_settings(path: str) -> Result[HostSettings, SettingsFileProblem]:
    """Read the settings file, which the deploy file's template writes as JSON."""
    try:
        with open(path, encoding="utf-8") as file:
            decoded = json.load(file)
    except (OSError, ValueError) as error:
        return Failure(SettingsFileProblem(path, str(error)))
    try:
        return Success(decode_settings(fields.table(decoded, "the file")))
    except MalformedError as error:
        return Failure(SettingsFileProblem(path, str(error)))


def decode_settings(found: Mapping[str, Any]) -> HostSettings:
    """Return the settings of a decoded file; unknown fields are left out.

    Raises
    ------
    MalformedError
        If a needed field is missing or of another type.
    """
    whole = dict(found)
    listen = fields.table(whole.get("listen"), "listen")
    limits = fields.table(whole.get("limits"), "limits")
    return HostSettings(
        host=fields.text(whole, "node_name"),
        ip=fields.text(whole, "ip"),
        domain=fields.text(whole, "zone"),
        caller_listen=_address(listen, "front"),
        ready_listen=_address(listen, "ready"),
        memory_mb=fields.number(limits, "memory_mb"),
        link_mbps=fields.number(limits, "link_mbps", 0.0),
        max_descriptors=fields.whole(limits, "max_fds"),
        peer_ports=_port_range(whole),
        heartbeat_s=fields.number(whole, "heartbeat_ms") * MS,
        bounds=_bounds(fields.table(whole.get("bounds"), "bounds")),
        store=_store(fields.table(whole.get("platform"), "platform")),
    )


def _port_range(whole: dict[str, Any]) -> tuple[int, int]:
    found = fields.rows(whole, "port_range")
    if len(found) != 2 or not all(isinstance(port, int) for port in found):
        raise MalformedError("port_range is no pair of ports")
    return found[0], found[1]


def _bounds(bounds: dict[str, Any]) -> Bounds:
    return Bounds(
        config_s=fields.number(bounds, "config_ms") * MS,
        revoke_s=fields.number(bounds, "revoke_ms", 0.0) * MS or None,
        drain_s=fields.number(bounds, "drain_ms") * MS,
        grace_s=fields.number(bounds, "grace_s"),
        lease_s=fields.number(bounds, "lease_ms", 3000.0) * MS,
        version_s=fields.number(bounds, "version_ms", 15000.0) * MS,
        clock_skew_s=fields.number(bounds, "skew_max_ms", 5000.0) * MS,
        fenced=fields.flag(bounds, "require_fencing"),
        retries=RetryBudgetLimits(
            ratio=fields.number(bounds, "budget_ratio"),
            extra=fields.number(bounds, "budget_extra"),
            window_s=fields.number(bounds, "budget_window_s"),
        ),
    )


def _store(platform: dict[str, Any]) -> StoreSettings:
    return StoreSettings(
        address=_address(platform, "address"),
        parts=fields.whole(platform, "parts"),
        member_ttl_min_s=fields.number(platform, "ttl_min_ms", 1000.0) * MS,
    )


def _address(found: dict[str, Any], name: str) -> Address:
    try:
        return Address.parse(fields.text(found, name))
    except ValueError as error:
        raise MalformedError(f"{name}: {error}") from error
