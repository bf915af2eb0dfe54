"""Texts that stand in many rows, kept once."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def text(value: str) -> str:
    """Return the one copy of an equal text."""
    return sys.intern(value) if type(value) is str else value


def texts(values: Iterable[str]) -> tuple[str, ...]:
    """Return the texts as a tuple of their one copies."""
    return tuple([text(value) for value in values])
