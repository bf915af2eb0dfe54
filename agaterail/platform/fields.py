"""Typed access to fields of decoded JSON, which may come from any writer."""

from __future__ import annotations

from typing import Any


class MalformedError(ValueError):
    """A message lacks a field or has one of another type."""


def json_object(value: Any, name: str) -> dict[str, Any]:
    """Return a JSON object or complain."""
    if not isinstance(value, dict):
        raise MalformedError(f"{name} is no object")
    return value


def array(value: dict[str, Any], name: str) -> list[Any]:
    """Return a list field; an absent one is empty."""
    found = value.get(name)
    if found is None:
        return []
    if not isinstance(found, list):
        raise MalformedError(f"{name} is no list")
    return found


def string(value: dict[str, Any], name: str) -> str:
    """Return a field that must be text and not empty."""
    found = value.get(name)
    if not isinstance(found, str) or not found:
        raise MalformedError(f"{name} is no text")
    return found


def number(value: dict[str, Any], name: str, default: float | None = None) -> float:
    """Return a field that must be a finite number."""
    found = value.get(name, default)
    if isinstance(found, bool) or not isinstance(found, (int, float)):
        raise MalformedError(f"{name} is no number")
    if found != found or abs(found) == float("inf"):
        raise MalformedError(f"{name} is not finite")
    return found


def integer(value: dict[str, Any], name: str, default: int | None = None) -> int:
    """Return a field that must be a whole number."""
    found = value.get(name, default)
    if isinstance(found, bool) or not isinstance(found, int):
        raise MalformedError(f"{name} is no whole number")
    return found


def boolean(value: dict[str, Any], name: str) -> bool:
    """Return a field that must be true or false; absent means false."""
    found = value.get(name, False)
    if not isinstance(found, bool):
        raise MalformedError(f"{name} is neither true nor false")
    return found
