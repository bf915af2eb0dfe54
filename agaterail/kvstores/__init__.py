"""Stores of kept KV cache, behind one interface."""

from __future__ import annotations
