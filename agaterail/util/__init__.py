"""General-purpose helpers."""

from __future__ import annotations
