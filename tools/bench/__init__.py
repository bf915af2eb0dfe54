"""Benchmark of the routing policies on real daemons with stand-in engines."""

from __future__ import annotations
