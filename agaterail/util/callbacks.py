"""Callbacks that stand for none."""

from __future__ import annotations


def do_nothing() -> None:
    """Return at once."""
