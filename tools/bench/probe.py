"""Daemon extension that reports over HTTP how much was sent to the peers."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import attrs
from returns.result import Result, Success

from agaterail.exchange import Reply
from agaterail.filters import Filter

if TYPE_CHECKING:
    from agaterail import errors
    from agaterail.application import Application
    from agaterail.exchange import Exchange
    from agaterail.filters import Proceed

PROBE_PATH = "/probe"


@attrs.frozen
class Traffic:
    """Bytes and messages that a daemon has sent to its peers since its start."""

    sent_bytes: int = 0
    sent_messages: int = 0


class ProbeFilter(Filter):
    """Outermost filter, which answers ``PROBE_PATH`` and passes on all other requests."""

    order = 0

    def __init__(self, app: Application) -> None:
        self.app = app

    def handle(self, exchange: Exchange, proceed: Proceed) -> Result[Reply, errors.Failure]:
        """Answer ``PROBE_PATH`` with the traffic, or proceed."""
        if exchange.path != PROBE_PATH:
            return proceed(exchange)
        peers = self.app.peers
        traffic = Traffic(peers.sent_bytes, peers.sent_messages)
        return Success(
            Reply(status=200, headers={}, body=json.dumps(attrs.asdict(traffic)).encode())
        )


def setup(app: Application) -> None:
    """Register the filter."""
    app.add_filter(ProbeFilter(app))
