"""Readiness endpoint that tells the load balancer whether to send new connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agaterail.gateway.desired import CallerLimits
from agaterail.gateway.httpserver import HttpServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from agaterail.gateway.httpserver import CallerConnection
    from agaterail.gateway.inbound import InboundRequest
    from agaterail.util.address import Address

READY = 200
NOT_READY = 503
NOT_FOUND = 404


def make_readiness_server(
    address: Address, path: bytes, ready: Callable[[], bool], now: Callable[[], float]
) -> HttpServer:
    """Return a bound server for the readiness path that is not started yet.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """

    def handle(inbound: InboundRequest, caller: CallerConnection) -> None:
        if inbound.path != path:
            caller.send_answer(NOT_FOUND, [], b"")
            return
        caller.send_answer(READY if ready() else NOT_READY, [], b"")

    return HttpServer(address, handle, CallerLimits, now)
