"""Slopes of cost by size, for docs/CAPACITY.md."""

from __future__ import annotations
