"""Server for the queries of peers."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import attrs

from agaterail import logs
from agaterail.gateway import peerprotocol
from agaterail.gateway.demand import FleetDemand
from agaterail.gateway.feedtimes import PEER_WAIT_S, REQUIRED_FEEDS, max_silence_s
from agaterail.gateway.httpserver import HttpServer
from agaterail.util.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from agaterail.gateway.desired import CallerLimits
    from agaterail.gateway.feedhub import FeedHub
    from agaterail.gateway.httpserver import CallerConnection
    from agaterail.gateway.inbound import InboundRequest
    from agaterail.util.address import Address

logger = logs.get_logger("feeds")

OK, BAD_REQUEST, NOT_FOUND = 200, 400, 404
# Answers from this size on take more than a few packets, so their heads are sent first.
LARGE_ANSWER_BYTES = 4096
MAX_POLLERS = 64
POLLERS_IN_ANSWER = 3


@attrs.define
class AnswerStats:
    """Number, size and encoding time of the answers to peers.

    Attributes
    ----------
    size, largest
        Bytes of all answers and of the largest.
    encode_s
        Seconds spent on encoding.
    """

    answers: int = 0
    size: int = 0
    largest: int = 0
    encode_s: float = 0.0

    def add(self, size: int, encode_s: float) -> None:
        """Add one answer to the totals."""
        self.answers += 1
        self.size += size
        self.largest = max(self.largest, size)
        self.encode_s += encode_s


class PeerResponder:
    """Listens for peers and answers their queries.

    Attributes
    ----------
    pollers
        Addresses of the daemons that have polled lately, the last one at the end.
    handlers
        Functions by path that return the body of the answer to a query string.
    prefix_handlers
        Functions by the start of a path that answer requests themselves.
    """

    def __init__(
        self,
        hub: FeedHub,
        address: Address,
        limits: Callable[[], CallerLimits],
        now: Callable[[], float],
    ) -> None:
        self.hub = hub
        self.now = now
        self.stats = AnswerStats()
        self.fleet_demand = FleetDemand()
        self.pollers: dict[str, None] = {}
        self.handlers: dict[bytes, Callable[[bytes], bytes]] = {
            peerprotocol.PATH: self._answer_poll
        }
        self.prefix_handlers: dict[bytes, Callable[[InboundRequest, CallerConnection], None]]
        self.prefix_handlers = {}
        self.server = HttpServer(address, self.handle, limits, now)

    def handle(self, inbound: InboundRequest, caller: CallerConnection) -> None:
        """Answer one request of a peer."""
        path, _, query = inbound.target.partition(b"?")
        handler = self.handlers.get(path)
        if handler is None:
            self._handle_by_prefix(inbound, caller)
            return
        try:
            body = handler(query)
        except ValueError:
            caller.send_answer(BAD_REQUEST, [], b"")
            return
        send = (
            caller.send_answer if len(body) < LARGE_ANSWER_BYTES else caller.send_large_answer
        )
        send(OK, [], body)

    def _handle_by_prefix(self, inbound: InboundRequest, caller: CallerConnection) -> None:
        for prefix, handle in self.prefix_handlers.items():
            if inbound.target.startswith(prefix):
                handle(inbound, caller)
                return
        caller.send_answer(NOT_FOUND, [], b"")

    def _answer_poll(self, query: bytes) -> bytes:
        peer_query = peerprotocol.decode_query(query)
        received_at = self.now()
        if peer_query.offered is not None:
            self.fleet_demand.add(peer_query.offered, received_at)
        self._record_poller(peer_query.sender)
        if not self.hub.relay.has_new_records(peer_query.offsets) and not self._is_stale():
            self.hub.new_records.wait(min(peer_query.wait_s, PEER_WAIT_S))
        now = self.now()
        body = peerprotocol.encode_answer(
            self.hub.relay,
            peer_query,
            self.hub.readers,
            now,
            now - received_at,
            self.fleet_demand.tokens_per_s(now),
            self._some_pollers(peer_query.sender),
            self.hub.members,
        )
        self.stats.add(len(body), self.now() - now)
        return body

    def _record_poller(self, address: str) -> None:
        if not address:
            return
        # Removed first, so that the dict is ordered by the time of the last poll.
        self.pollers.pop(address, None)
        self.pollers[address] = None
        if len(self.pollers) > MAX_POLLERS:
            del self.pollers[next(iter(self.pollers))]

    def _some_pollers(self, asking: str) -> tuple[str, ...]:
        """Return the daemons that have polled last and are no readers themselves."""
        left_out = {asking, *self.hub.readers}
        others = (address for address in reversed(self.pollers) if address not in left_out)
        return tuple(itertools.islice(others, POLLERS_IN_ANSWER))

    def log_stats(self) -> None:
        """Log and reset the totals, once per new desired state."""
        stats, self.stats = self.stats, AnswerStats()
        if stats.answers:
            logger.info(
                "Answers sent to peers.",
                answers=stats.answers,
                size=stats.size,
                largest=stats.largest,
                encode_ms=round(stats.encode_s * MS_PER_S, 1),
            )

    def _is_stale(self) -> bool:
        """Return whether the store has been silent for too long to wait for new records."""
        now = self.now()
        return any(
            now - relayed_feed.heard_at > max_silence_s(feed)
            for feed, relayed_feed in self.hub.relay.feeds.items()
            if feed in REQUIRED_FEEDS
        )
