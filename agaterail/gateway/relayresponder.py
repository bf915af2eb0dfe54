"""Forward the requests of other daemons that have no path to a service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agaterail import logs
from agaterail.errors import ErrorKind
from agaterail.gateway import relayprotocol
from agaterail.gateway.relayprotocol import RelayRefusal, RelayStatus

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from agaterail.gateway.httpserver import CallerConnection
    from agaterail.gateway.inbound import InboundRequest
    from agaterail.gateway.metrics import GatewayMetrics
    from agaterail.gateway.relayprotocol import RelayOrigin

logger = logs.get_logger("relays")

UNAVAILABLE = 503
# Requests of other daemons in flight. Their callers come after this daemon's own.
MAX_FORWARDED = 64
NAMED_DAEMONS = 8
# A daemon that sends nothing for this long has its paths back or uses others.
FORGET_S = 5.0
UNAVAILABLE_HERE = RelayRefusal(ErrorKind.NO_TARGET)


class RelayResponder:
    """Answers daemons that ask for forwarding, and forwards their requests.

    Parameters
    ----------
    handle
        Answers a request as one of this daemon's own callers, without passing it on.
    obstacle
        Returns why this daemon cannot forward to a service; empty if it can.
    is_stopping
        Returns whether this daemon takes no new requests of other daemons.
    fraction
        Returns the fraction of a service's targets that this daemon reaches.
    known_daemons
        Returns addresses of other daemons.

    Attributes
    ----------
    in_flight
        Number of requests that are being forwarded.
    served
        Time of the latest request of each daemon that this one forwards for.
    """

    def __init__(
        self,
        handle: Callable[[InboundRequest, CallerConnection, RelayOrigin], None],
        obstacle: Callable[[str], str],
        is_stopping: Callable[[], bool],
        fraction: Callable[[str], float],
        known_daemons: Callable[[], Sequence[str]],
        metrics: GatewayMetrics,
        now: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.handle_request = handle
        self.obstacle = obstacle
        self.is_stopping = is_stopping
        self.fraction = fraction
        self.known_daemons = known_daemons
        self.metrics = metrics
        self.now = now
        self.rng = rng
        self.in_flight = 0
        self.served: dict[str, float] = {}

    def answer(self, query: bytes) -> bytes:
        """Answer whether this daemon forwards to a service.

        Raises
        ------
        ValueError
            If the query is malformed.
        """
        service, sender = relayprotocol.decode_query(query)
        reason = self._refusal() or self.obstacle(service)
        others = [item for item in self.known_daemons() if item != sender]
        named = self.rng.sample(others, min(NAMED_DAEMONS, len(others)))
        return relayprotocol.encode_status(
            RelayStatus(reason, self.fraction(service), tuple(named))
        )

    def handle(self, inbound: InboundRequest, caller: CallerConnection) -> None:
        """Forward one request of another daemon."""
        origin = relayprotocol.take_origin(inbound)
        reason = self._refusal()
        if reason:
            self.metrics.forwarded.labels(reason).inc()
            caller.extra_lines = relayprotocol.refusal_lines(UNAVAILABLE_HERE)
            caller.send_answer(UNAVAILABLE, [], b"")
            return
        self._record_origin(origin.address)
        self.metrics.forwarded.labels("taken").inc()
        caller.extra_lines = relayprotocol.forwarded_lines()
        self.in_flight += 1
        try:
            self.handle_request(inbound, caller, origin)
        finally:
            self.in_flight -= 1

    def step(self) -> None:
        """Log the daemons that no longer need forwarding."""
        now = self.now()
        for origin, at in list(self.served.items()):
            if now - at > FORGET_S:
                del self.served[origin]
                logger.info("Stopped forwarding for another daemon.", origin=origin)

    def _refusal(self) -> str:
        """Return why this daemon takes no request of another one; empty if it does."""
        if self.is_stopping():
            return "stopping"
        return "full" if self.in_flight >= MAX_FORWARDED else ""

    def _record_origin(self, origin: str) -> None:
        if origin not in self.served:
            logger.info("Forwarding for another daemon.", origin=origin)
        self.served[origin] = self.now()
