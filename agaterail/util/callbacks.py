"""Default values for optional callbacks."""

from __future__ import annotations


def do_nothing() -> None:
    """Do nothing, as the default of an optional callback."""
