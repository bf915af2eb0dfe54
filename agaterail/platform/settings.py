"""The settings file that the platform provides to each process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
from returns.result import Failure, Result, Success

from agaterail.decisions.allowances import Tolerance
from agaterail.gateway.hostsettings import (
    DEFAULT_TOLERANCE,
    Bounds,
    HostSettings,
    StoreSettings,
)
from agaterail.gateway.retrybudget import RetryBudgetLimits
from agaterail.platform import fields
from agaterail.platform.fields import MalformedError
from agaterail.util.address import Address
from agaterail.util.untrusted import load_json

if TYPE_CHECKING:
    from collections.abc import Mapping

S_PER_MS = 1e-3


@attrs.frozen
class SettingsFileProblem:
    """Why a settings file cannot be used."""

    path: str
    reason: str

    def __str__(self) -> str:
        """Return one line for the operator."""
        return f"The settings file {self.path} cannot be used: {self.reason}."


def read_settings(path: str) -> Result[HostSettings, SettingsFileProblem]:
    """Read the settings file, JSON that is rendered from the deploy file's template."""
    try:
        with open(path, encoding="utf-8") as file:
            decoded = load_json(file.read())
    except (OSError, ValueError) as error:
        return Failure(SettingsFileProblem(path, str(error)))
    try:
        return Success(decode_settings(fields.json_object(decoded, "the file")))
    except MalformedError as error:
        return Failure(SettingsFileProblem(path, str(error)))


def decode_settings(decoded: Mapping[str, Any]) -> HostSettings:
    """Build the settings from a decoded file; unknown fields are ignored.

    Raises
    ------
    MalformedError
        If a required field is missing or a field has the wrong type.
    """
    root = dict(decoded)
    listen = fields.json_object(root.get("listen"), "listen")
    limits = fields.json_object(root.get("limits"), "limits")
    return HostSettings(
        host=fields.string(root, "node_name"),
        ip=fields.string(root, "ip"),
        domain=fields.string(root, "zone"),
        caller_listen=_address(listen, "front"),
        ready_listen=_address(listen, "ready"),
        memory_mb=fields.number(limits, "memory_mb"),
        link_mbps=fields.number(limits, "link_mbps", 0.0),
        max_descriptors=fields.integer(limits, "max_fds"),
        peer_ports=_port_range(root),
        heartbeat_s=fields.number(root, "heartbeat_ms") * S_PER_MS,
        bounds=_bounds(fields.json_object(root.get("bounds"), "bounds")),
        store=_store(fields.json_object(root.get("platform"), "platform")),
    )


def _port_range(root: dict[str, Any]) -> tuple[int, int]:
    decoded = fields.array(root, "port_range")
    if len(decoded) != 2 or not all(isinstance(port, int) for port in decoded):
        raise MalformedError("port_range is not a pair of ports")
    return decoded[0], decoded[1]


def _bounds(bounds: dict[str, Any]) -> Bounds:
    return Bounds(
        config_s=fields.number(bounds, "config_ms") * S_PER_MS,
        revoke_s=fields.number(bounds, "revoke_ms", 0.0) * S_PER_MS or None,
        drain_s=fields.number(bounds, "drain_ms") * S_PER_MS,
        grace_s=fields.number(bounds, "grace_s"),
        lease_s=fields.number(bounds, "lease_ms", 3000.0) * S_PER_MS,
        version_s=fields.number(bounds, "version_ms", 15000.0) * S_PER_MS,
        clock_skew_s=fields.number(bounds, "skew_max_ms", 5000.0) * S_PER_MS,
        fenced=fields.boolean(bounds, "require_fencing"),
        retries=RetryBudgetLimits(
            ratio=fields.number(bounds, "budget_ratio"),
            extra=fields.number(bounds, "budget_extra"),
            window_s=fields.number(bounds, "budget_window_s"),
        ),
        allowances=Tolerance(
            window_s=fields.number(bounds, "quota_window_s", DEFAULT_TOLERANCE.window_s),
            overage=fields.number(bounds, "quota_overage", DEFAULT_TOLERANCE.overage),
            slack=fields.number(bounds, "quota_slack", DEFAULT_TOLERANCE.slack),
        ),
    )


def _store(platform: dict[str, Any]) -> StoreSettings:
    return StoreSettings(
        address=_address(platform, "address"),
        parts=fields.integer(platform, "parts"),
        member_ttl_min_s=fields.number(platform, "ttl_min_ms", 1000.0) * S_PER_MS,
    )


def _address(decoded: dict[str, Any], name: str) -> Address:
    try:
        return Address.parse(fields.string(decoded, name))
    except ValueError as error:
        raise MalformedError(f"{name}: {error}") from error
