"""Desired states with thousands of routes, as operators write them."""

from __future__ import annotations

import json
import random

from tests.gateway_fleet import PLAIN, make_desired, route_row

NAME_CHARACTERS = "abcdefghijklmnopqrstuvwxyz0123456789"


def make_rows(count, seed=1):
    """Return rows of routes with distinct names and paths."""
    chance = random.Random(seed)
    return [
        route_row(
            f"r-{number}-{''.join(chance.choices(NAME_CHARACTERS, k=7))}",
            f"/{''.join(chance.choices(NAME_CHARACTERS, k=8))}/",
            PLAIN,
            "safe",
        )
        for number in range(count)
    ]


def make_state(version, rows):
    """Return the record of a desired state with these routes added to the default ones."""
    desired = make_desired(version)
    desired["routes"] += rows
    return json.dumps(desired, separators=(",", ":")).encode()


def with_row_changed(rows, index):
    """Return the rows with a changed timeout in one of them."""
    return [
        {**row, "timeout_ms": row["timeout_ms"] + 1} if number == index else row
        for number, row in enumerate(rows)
    ]
