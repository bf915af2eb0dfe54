"""Weight stores, behind one interface."""

from __future__ import annotations
