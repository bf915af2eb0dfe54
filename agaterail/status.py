"""Status of a daemon for operators, served on the peer port."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import attrs

from agaterail.peers import peer_message
from agaterail.tables import PoolKind

if TYPE_CHECKING:
    from agaterail.application import Application


@peer_message
@attrs.frozen
class StatusQuery:
    """Asks a daemon for its status."""


@peer_message
@attrs.frozen
class StatusAnswer:
    """Status of a daemon as a JSON object; its fields depend on the loaded modules."""

    report: str


def build_report(app: Application) -> dict[str, Any]:
    """Return the status of the application, and the home of each engine."""
    homes = {
        entry.address: app.homes.home_of(entry.address)
        for versioned in app.tables.pools.values()
        if versioned.row.kind is PoolKind.ENGINE
        for entry in versioned.row.targets
    }
    return {**app.status(), "engine_homes": homes}


def setup(app: Application) -> None:
    """Register the handler of status queries."""

    def answer(_sender: str, _query: StatusQuery) -> StatusAnswer:
        return StatusAnswer(json.dumps(build_report(app), default=str))

    app.peers.handle(StatusQuery, answer)
