"""Texts that stand in many rows, kept once."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def intern_string(value: str) -> str:
    """Return the one copy of an equal text."""
    return sys.intern(value) if type(value) is str else value


def intern_strings(values: Iterable[str]) -> tuple[str, ...]:
    """Return the texts as a tuple of their one copies."""
    return tuple([intern_string(value) for value in values])
