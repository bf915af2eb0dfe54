"""Unit conversion factors."""

from __future__ import annotations

MS_PER_S = 1e3
BYTES_PER_MB = 1024 * 1024
