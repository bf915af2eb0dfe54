"""Developer tools: demo, measurements, test runner and build."""

from __future__ import annotations
