"""Status of a daemon for operators, asked for over the peer port."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import attrs

from agaterail.peers import peer_message

if TYPE_CHECKING:
    from agaterail.application import Application


@peer_message
@attrs.frozen
class StatusQuery:
    """Asks a daemon for its status."""


@peer_message
@attrs.frozen
class StatusAnswer:
    """Status of a daemon as a JSON object, which differs by its parts."""

    report: str


def setup(app: Application) -> None:
    """Answer status queries."""

    def answer(_sender: str, _query: StatusQuery) -> StatusAnswer:
        return StatusAnswer(json.dumps(app.status(), default=str))

    app.peers.handle(StatusQuery, answer)
