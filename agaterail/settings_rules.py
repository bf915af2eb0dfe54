"""Validation of settings that depend on each other."""

from __future__ import annotations

import ipaddress
import ssl
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from agaterail import settings
from agaterail.settings import Settings, SettingsProblem

if TYPE_CHECKING:
    from collections.abc import Mapping

REQUIRED_TOGETHER = (
    ("tls_certificate", "tls_key"),
    ("peer_tls_certificate", "peer_tls_key"),
    ("peer_tls_certificate", "peer_tls_authority"),
)


def load(
    flags: Mapping[str, str], environment: Mapping[str, str]
) -> Result[Settings, list[SettingsProblem]]:
    """Read settings and validate them, first individually and then in combination.

    Returns
    -------
    Result
        The settings, or the problems found.
    """
    return settings.load(flags, environment).bind(_check_rules)


def _check_rules(chosen: Settings) -> Result[Settings, list[SettingsProblem]]:
    problems = [
        *_missing_counterparts(chosen),
        *_unusable_files(chosen),
        *_missing_secret(chosen),
    ]
    return Failure(problems) if problems else Success(chosen)


def _missing_counterparts(chosen: Settings) -> list[SettingsProblem]:
    problems: list[SettingsProblem] = []
    for first, second in REQUIRED_TOGETHER:
        for given, missing in ((first, second), (second, first)):
            if getattr(chosen, given) and not getattr(chosen, missing):
                reason = f"required together with {Settings.flag_of(given)}"
                problems.append(SettingsProblem.of(missing, reason))
    return problems


def _unusable_files(chosen: Settings) -> list[SettingsProblem]:
    problems: list[SettingsProblem] = []
    for name, certificate, key, authority in (
        ("tls_certificate", chosen.tls_certificate, chosen.tls_key, None),
        (
            "peer_tls_certificate",
            chosen.peer_tls_certificate,
            chosen.peer_tls_key,
            chosen.peer_tls_authority,
        ),
    ):
        if not certificate or not key:
            continue
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        try:
            context.load_cert_chain(certificate, key)
            if authority:
                context.load_verify_locations(authority)
        except (OSError, ValueError) as error:
            reason = f"the TLS files cannot be used: {error}"
            problems.append(SettingsProblem.of(name, reason))
    return problems


def _missing_secret(chosen: Settings) -> list[SettingsProblem]:
    loopback = ipaddress.ip_address(chosen.peer_listen.host).is_loopback
    if chosen.peer_secret or loopback:
        return []
    # Without a secret, anyone who reaches the port could pose as a daemon and answer hints
    # and calls. A loopback address is reachable only by processes of this host.
    reason = f"required unless {Settings.flag_of('peer_listen')} is a loopback address"
    return [SettingsProblem.of("peer_secret", reason)]
