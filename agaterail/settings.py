"""Settings of a daemon, read from flags and environment variables."""

from __future__ import annotations

import difflib
import importlib.util
import pathlib
from typing import TYPE_CHECKING, Any

import attrs
from returns.result import Failure, Result, Success

from agaterail.util.address import Address

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

ENVIRONMENT_PREFIX = "AGATERAIL_"
OTHER_VARIABLES = ("AGATERAIL_AUTHOR",)
LOG_LEVELS = ("debug", "info", "warning", "error")


def _setting(default: Any, parse: Callable[[str], Any], description: str) -> Any:
    return attrs.field(default=default, metadata={"parse": parse, "description": description})


def _parse_address(text: str) -> Address:
    return Address.parse(text)


def _parse_seconds(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise ValueError(f"{text!r} is not a number of seconds") from None
    if not 0 <= value < float("inf"):
        raise ValueError(f"{text!r} is not a finite, non-negative number of seconds")
    return value


def _parse_count(text: str) -> int:
    if not text.isdecimal():
        raise ValueError(f"{text!r} is not a non-negative integer")
    return int(text)


def _parse_boolean(text: str) -> bool:
    lowered = text.lower()
    if lowered in ("true", "1", "yes"):
        return True
    if lowered in ("false", "0", "no"):
        return False
    raise ValueError(f"{text!r} is not true or false")


def _parse_log_level(text: str) -> str:
    if text not in LOG_LEVELS:
        raise ValueError(f"{text!r} is not one of {', '.join(LOG_LEVELS)}")
    return text


def _parse_word(text: str) -> str:
    if not text or text != text.strip():
        raise ValueError("the value is empty or has leading or trailing spaces")
    return text


def _parse_modules(text: str) -> tuple[str, ...]:
    names = tuple(name.strip() for name in text.split(",") if name.strip())
    for name in names:
        if not _module_exists(name):
            raise ValueError(f"module not found: {name!r}")
    return names


def _module_exists(name: str) -> bool:
    try:
        return importlib.util.find_spec(name) is not None
    except (ImportError, ValueError):
        return False


def _parse_file(text: str) -> str:
    try:
        with pathlib.Path(text).open("rb"):
            return text
    except OSError as error:
        raise ValueError(f"{text!r} cannot be read: {error.strerror}") from None


def _optional(parse: Callable[[str], Any]) -> Callable[[str], Any]:
    return lambda text: parse(text) if text else None


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of one daemon; the names of durations end with their unit."""

    listen: Address = _setting(
        Address("127.0.0.1", 8080), _parse_address, "address for callers, IP:port"
    )
    peer_listen: Address = _setting(
        Address("127.0.0.1", 8081),
        _parse_address,
        "address for other daemons, IP:port (TCP and UDP)",
    )
    domain: str = _setting("default", _parse_word, "failure domain of this host")
    log_service: Address = _setting(
        Address("127.0.0.1", 9000), _parse_address, "address of the platform's log, IP:port"
    )
    host_list: Address | None = _setting(
        None, _optional(_parse_address), "address of the platform's host list, IP:port"
    )
    kv_store: Address | None = _setting(
        None, _optional(_parse_address), "address of the KV store, IP:port"
    )
    statsd: Address | None = _setting(
        None, _optional(_parse_address), "address of statsd, IP:port"
    )
    peer_secret: str = _setting("", str, "shared secret of the daemons")
    log_level: str = _setting("info", _parse_log_level, "minimum level of log lines")
    log_json: bool = _setting(False, _parse_boolean, "write log lines as JSON")
    snapshot_interval_s: float = _setting(
        3600.0,
        _parse_seconds,
        "seconds between snapshots of the tables, at most a quarter of the log's retention",
    )
    drain_lag_s: float = _setting(
        5.0,
        _parse_seconds,
        "seconds during which new connections are still served after SIGTERM",
    )
    drain_limit_s: float = _setting(
        120.0, _parse_seconds, "maximum duration of a drain in seconds"
    )
    max_body_bytes: int = _setting(
        32 * 1024 * 1024, _parse_count, "maximum size of a request body in bytes"
    )
    extensions: tuple[str, ...] = _setting(
        (), _parse_modules, "modules with a setup(app) function to load, comma-separated"
    )
    max_in_flight: int = _setting(
        2000, _parse_count, "maximum number of concurrent requests on this daemon"
    )
    max_header_bytes: int = _setting(
        32 * 1024, _parse_count, "maximum size of a request line and its headers in bytes"
    )
    header_timeout_s: float = _setting(
        10.0, _parse_seconds, "timeout in seconds for receiving the headers of a request"
    )
    body_timeout_s: float = _setting(
        30.0, _parse_seconds, "timeout in seconds for receiving the body of a request"
    )
    idle_timeout_s: float = _setting(
        300.0, _parse_seconds, "seconds after which an idle connection of a caller is closed"
    )
    tls_certificate: str | None = _setting(
        None,
        _optional(_parse_file),
        "file with the certificate chain presented to callers (PEM)",
    )
    tls_key: str | None = _setting(
        None, _optional(_parse_file), "file with the private key of --tls-certificate (PEM)"
    )
    peer_tls_certificate: str | None = _setting(
        None,
        _optional(_parse_file),
        "file with the certificate chain presented to other daemons (PEM)",
    )
    peer_tls_key: str | None = _setting(
        None,
        _optional(_parse_file),
        "file with the private key of --peer-tls-certificate (PEM)",
    )
    peer_tls_authority: str | None = _setting(
        None,
        _optional(_parse_file),
        "file with the certificate of the authority that signs the daemons' certificates",
    )

    @classmethod
    def flag_of(cls, name: str) -> str:
        """Return the flag of a setting."""
        return "--" + name.replace("_", "-")

    @classmethod
    def variable_of(cls, name: str) -> str:
        """Return the environment variable of a setting."""
        return ENVIRONMENT_PREFIX + name.upper()


@attrs.frozen
class SettingsProblem:
    """Why a setting is invalid; printed as one line with its flag and variable."""

    flag: str
    variable: str
    reason: str

    def __str__(self) -> str:
        return f"{self.flag} ({self.variable}): {self.reason}"

    @classmethod
    def of(cls, name: str, reason: str) -> SettingsProblem:
        """Return a problem of the setting with the given name."""
        return cls(Settings.flag_of(name), Settings.variable_of(name), reason)


def load(
    flags: Mapping[str, str], environment: Mapping[str, str]
) -> Result[Settings, list[SettingsProblem]]:
    """Read settings; a flag overrides its variable, which overrides the default.

    Returns
    -------
    Result
        The settings, or the problems of all invalid settings.
    """
    fields = attrs.fields_dict(Settings)
    problems = [_unknown_flag(flag, fields) for flag in flags if flag not in fields]
    values: dict[str, Any] = {}
    for name in fields:
        loaded = load_one(name, flags, environment)
        if isinstance(loaded, Success):
            values[name] = loaded.unwrap()
        else:
            problems.append(loaded.failure())
    if problems:
        return Failure(problems)
    return Success(Settings(**values))


def load_one(
    name: str, flags: Mapping[str, str], environment: Mapping[str, str]
) -> Result[Any, SettingsProblem]:
    """Read one setting with the same precedence."""
    field = attrs.fields_dict(Settings)[name]
    text = flags.get(name, environment.get(Settings.variable_of(name)))
    if text is None:
        return Success(field.default)
    try:
        return Success(field.metadata["parse"](text))
    except ValueError as error:
        return Failure(SettingsProblem.of(name, str(error)))


def unknown_variables(environment: Mapping[str, str]) -> list[str]:
    """Return the variables with the prefix that are not settings."""
    known = {Settings.variable_of(name) for name in attrs.fields_dict(Settings)}
    known.update(OTHER_VARIABLES)
    return sorted(
        name
        for name in environment
        if name.startswith(ENVIRONMENT_PREFIX) and name not in known
    )


def describe_setting(field: Any) -> str:
    """Return the flag, variable, description and default of a setting in one line."""
    default = "none" if field.default in (None, "") else str(field.default)
    flag, variable = Settings.flag_of(field.name), Settings.variable_of(field.name)
    return f"{flag} ({variable}): {field.metadata['description']}; default {default}"


def _unknown_flag(name: str, fields: Mapping[str, Any]) -> SettingsProblem:
    matches = difflib.get_close_matches(name, fields, n=1)
    reason = "no such setting"
    if matches:
        reason = f"{reason}; did you mean {Settings.flag_of(matches[0])}?"
    return SettingsProblem.of(name, reason)
