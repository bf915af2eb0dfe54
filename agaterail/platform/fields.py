"""Type-checked access to the fields of decoded JSON from any writer."""

from __future__ import annotations

from typing import Any


class MalformedError(ValueError):
    """A required field is missing, or a field has the wrong type."""


def json_object(value: Any, name: str) -> dict[str, Any]:
    """Return the value if it is a JSON object, else raise MalformedError."""
    if not isinstance(value, dict):
        raise MalformedError(f"{name} is not an object")
    return value


def array(value: dict[str, Any], name: str) -> list[Any]:
    """Return a list field; an absent field counts as an empty list."""
    found = value.get(name)
    if found is None:
        return []
    if not isinstance(found, list):
        raise MalformedError(f"{name} is not a list")
    return found


def string(value: dict[str, Any], name: str) -> str:
    """Return a required field that is a non-empty string."""
    found = value.get(name)
    if not isinstance(found, str) or not found:
        raise MalformedError(f"{name} is not a non-empty string")
    return found


def number(value: dict[str, Any], name: str, default: float | None = None) -> float:
    """Return a field that is a finite number; it is required if there is no default."""
    found = value.get(name, default)
    if isinstance(found, bool) or not isinstance(found, (int, float)):
        raise MalformedError(f"{name} is not a number")
    if found != found or abs(found) == float("inf"):
        raise MalformedError(f"{name} is not finite")
    return found


def integer(value: dict[str, Any], name: str, default: int | None = None) -> int:
    """Return a field that is an integer; it is required if there is no default."""
    found = value.get(name, default)
    if isinstance(found, bool) or not isinstance(found, int):
        raise MalformedError(f"{name} is not an integer")
    return found


def boolean(value: dict[str, Any], name: str) -> bool:
    """Return a boolean field; an absent field counts as false."""
    found = value.get(name, False)
    if not isinstance(found, bool):
        raise MalformedError(f"{name} is neither true nor false")
    return found
