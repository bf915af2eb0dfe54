"""Unit conversion factors."""

from __future__ import annotations

MS_PER_S = 1e3
