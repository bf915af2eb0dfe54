"""Interning of strings that occur in many rows, to save memory."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def intern_string(value: str) -> str:
    """Return the interned copy of a string; values of other types are unchanged."""
    return sys.intern(value) if type(value) is str else value


def intern_strings(values: Iterable[str]) -> tuple[str, ...]:
    """Return a tuple of the interned copies of strings."""
    return tuple([intern_string(value) for value in values])
