"""Type-checked access to the fields of decoded JSON from any writer."""

from __future__ import annotations

import math
from typing import Any

# Range of the integers that messages between daemons can carry.
MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**63 - 1


class MalformedError(ValueError):
    """A required field is missing, or a field has the wrong type."""


def json_object(value: Any, name: str) -> dict[str, Any]:
    """Return the value if it is a JSON object, else raise MalformedError."""
    if not isinstance(value, dict):
        raise MalformedError(f"{name} is not an object")
    return value


def array(value: dict[str, Any], name: str) -> list[Any]:
    """Return a list field; an absent field counts as an empty list."""
    field = value.get(name)
    if field is None:
        return []
    if not isinstance(field, list):
        raise MalformedError(f"{name} is not a list")
    return field


def string(value: dict[str, Any], name: str) -> str:
    """Return a required field that is a non-empty string."""
    field = value.get(name)
    if not isinstance(field, str) or not field:
        raise MalformedError(f"{name} is not a non-empty string")
    return field


def number(value: dict[str, Any], name: str, default: float | None = None) -> float:
    """Return a field that is a finite number; it is required if there is no default."""
    field = value.get(name, default)
    if isinstance(field, bool) or not isinstance(field, (int, float)):
        raise MalformedError(f"{name} is not a number")
    try:
        is_finite = math.isfinite(field)
    except OverflowError:
        is_finite = False
    if not is_finite:
        raise MalformedError(f"{name} is not finite")
    return field


def integer(value: dict[str, Any], name: str, default: int | None = None) -> int:
    """Return a field that is an integer; it is required if there is no default."""
    field = value.get(name, default)
    if isinstance(field, bool) or not isinstance(field, int):
        raise MalformedError(f"{name} is not an integer")
    if not MIN_INTEGER <= field <= MAX_INTEGER:
        raise MalformedError(f"{name} is out of range")
    return field


def boolean(value: dict[str, Any], name: str) -> bool:
    """Return a boolean field; an absent field counts as false."""
    field = value.get(name, False)
    if not isinstance(field, bool):
        raise MalformedError(f"{name} is neither true nor false")
    return field
