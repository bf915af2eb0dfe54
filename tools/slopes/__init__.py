"""Slopes of cost against size, for docs/CAPACITY.md."""

from __future__ import annotations
