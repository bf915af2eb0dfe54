"""Long polls of the daemons that read the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from returns.result import Success

from agaterail import logs
from agaterail.gateway import peerprotocol
from agaterail.gateway.controlstore import Arrival, Feed, Reading
from agaterail.gateway.demand import is_plausible_rate
from agaterail.gateway.feedtimes import PEER_WAIT_S, REQUIRED_FEEDS, max_silence_s
from agaterail.gateway.peerprotocol import PeerQuery
from agaterail.gateway.peerselector import PeerSelector
from agaterail.util.httpconn import ConnectionsByAddress

if TYPE_CHECKING:
    from agaterail.gateway.daemon import Daemon
    from agaterail.gateway.feedhub import FeedHub
    from agaterail.gateway.peerprotocol import FeedNews, PeerAnswer

logger = logs.get_logger("feeds")

# Added to the wait of a long poll for the round trip and the peer's work.
PEER_TIMEOUT_MARGIN_S = 0.35
OK = 200


class PeerPoller:
    """Polls the readers for new records, one after the other.

    The polls rotate over the readers. One whose connection to the store has gone silent
    answers without new records for a second before it is detected; meanwhile the next
    reader has them.

    Attributes
    ----------
    differences_applied
        Whether the last differences could be applied; otherwise whole documents are
        requested.
    pollers
        Daemons that poll the same readers as this one, as the last answer named them.
    outage_queue
        Daemons to ask next while the store and all readers are out of reach.
    """

    def __init__(self, hub: FeedHub, daemon: Daemon, own_address: str) -> None:
        self.hub = hub
        self.daemon = daemon
        self.own_address = own_address
        self.selector = PeerSelector(poll_count=daemon.random.randrange(1 << 16))
        self.connections = ConnectionsByAddress(PEER_TIMEOUT_MARGIN_S)
        self.differences_applied = True
        self.pollers: tuple[str, ...] = ()
        self.outage_queue: list[str] = []

    def step(self) -> None:
        """Poll one reader, or sleep if this daemon reads the store itself."""
        hub = self.hub
        available = self.available_peers()
        # Readers poll each other too. A version takes a second to reach a reader with a
        # slow link or CPU. Otherwise the daemons that poll this reader would wait for that
        # although another reader already has the version.
        is_reader = self.daemon.membership.is_reader and len(hub.offsets) == len(Feed)
        if not available and hub.store_backoff.in_outage:
            self._poll_in_outage()
            return
        if not available or (hub.reads_directly and not is_reader):
            gevent.sleep(PEER_WAIT_S)
            return
        address = self.selector.pick(available)
        sent_at = self.daemon.now()
        answer = self.poll(address)
        problem = (
            answer if isinstance(answer, str) else self.apply_answer(address, answer, sent_at)
        )
        if not problem:
            self.selector.record_success(address)
            return
        logger.info("Peer poll failed.", peer=address, reason=problem)
        now, left = self.daemon.now(), len(self.available_peers())
        if self.selector.record_failure(address, left - 1, now) and not is_reader:
            self.daemon.membership.readers_stale = True
            hub.wake_direct.set()
            hub.wake_direct.clear()

    def _poll_in_outage(self) -> None:
        """Ask any daemon whether it reads the store; this costs the store no call.

        The store may be out of reach for this daemon and for all readers, and serve the
        others, which read it directly then. One of these is asked again and again until a
        reader has news too.
        """
        address = self._next_in_outage()
        if address:
            sent_at = self.daemon.now()
            answer = self.poll(address)
            if not isinstance(answer, str) and not self.apply_answer(address, answer, sent_at):
                logger.info("Peer reads the store again.", peer=address)
                if address in self.hub.readers:
                    self.selector.reset()
                    return
                self.outage_queue.append(address)
        gevent.sleep(PEER_WAIT_S)

    def _next_in_outage(self) -> str:
        """Return a daemon to ask, each in turn; empty if none is known."""
        if not self.outage_queue:
            readers = [item for item in self.hub.readers if item != self.own_address]
            one = self.daemon.random.sample(readers, min(1, len(readers)))
            self.outage_queue = list(dict.fromkeys([*self.pollers, *one]))
            self.daemon.random.shuffle(self.outage_queue)
        return self.outage_queue.pop() if self.outage_queue else ""

    def poll(self, address: str) -> PeerAnswer | str:
        """Return a peer's answer, or the reason why the poll failed."""
        # After a failed poll, the next peer must answer immediately with what it has.
        wait_s = 0.0 if self.selector.consecutive_failures else PEER_WAIT_S
        base_offsets = self.hub.relay.base_offsets() if self.differences_applied else ()
        demand, sent_at = self.daemon.demand, self.daemon.now()
        offered = demand.next_report(sent_at)
        query = peerprotocol.encode_query(
            PeerQuery(
                self.hub.offsets,
                base_offsets,
                wait_s,
                offered,
                self.own_address,
                self.hub.members.tag,
            )
        )
        called = self.connections.to(address).call(
            "GET", query, timeout_s=wait_s + PEER_TIMEOUT_MARGIN_S
        )
        if not isinstance(called, Success):
            self.connections.drop(address)
            return called.failure().reason
        status, body = called.unwrap()
        if status != OK:
            return f"status {status}"
        if offered is not None:
            demand.record_reported(sent_at, offered)
        decoded = peerprotocol.decode_answer(body)
        return decoded.unwrap() if isinstance(decoded, Success) else str(decoded.failure())

    def apply_answer(self, address: str, answer: PeerAnswer, sent_at: float) -> str:
        """Apply a peer's answer; return why the peer counts as failed, or an empty text."""
        took_s = self.daemon.now() - sent_at
        # Readers look up the list of readers themselves. If two of them copied it from
        # each other, they would keep an outdated list alive and send every daemon that
        # polls them to former readers.
        if answer.readers and not self.daemon.membership.is_reader:
            self.hub.set_readers(answer.readers)
        if answer.members and not self.daemon.membership.is_reader:
            self.hub.members.update(answer.members, self.daemon.now())
        self._apply_demand(answer)
        self.pollers = answer.pollers or self.pollers
        problem = ""
        for feed in Feed:
            news = answer.feeds.get(feed)
            required = feed in REQUIRED_FEEDS
            if news is None:
                if required:
                    problem = f"no {feed.value} from offset {self.hub.offsets[feed]}"
                continue
            # Lower bound of the time of the answer: the peer kept the query for at least
            # the wait that it reports. Its reading was then no older than it reports, so
            # the times below are never too late. Clocks of different hosts are not compared.
            answered_at = sent_at + answer.waited_s
            arrival = Arrival(
                source=address,
                took_s=took_s,
                known_at=answered_at - news.known_s,
                heard_at=answered_at - news.heard_s,
            )
            problem = self._apply_news(feed, news, answered_at, arrival) or problem
            if required and news.heard_s > max_silence_s(feed):
                problem = f"peer last heard of {feed.value} {news.heard_s:.2f} s ago"
            elif required and news.age_s > self.daemon.freshness.denial_bound_s:
                problem = f"peer's reading of {feed.value} is {news.age_s:.2f} s old"
        return problem

    def _apply_demand(self, answer: PeerAnswer) -> None:
        rate = answer.offered_tokens_per_s
        if rate is None:
            return
        if is_plausible_rate(rate):
            self.daemon.demand.record_estimate(rate, self.daemon.now())
        else:
            logger.info("Ignored a peer's estimate of the demand.", rate=rate)

    def _apply_news(
        self, feed: Feed, news: FeedNews, answered_at: float, arrival: Arrival
    ) -> str:
        unpacked = self.hub.relay.feeds[feed].unpack(news.records)
        if feed is Feed.OPERATORS:
            # A difference that does not apply changes nothing; the next poll requests
            # the whole document.
            self.differences_applied = isinstance(unpacked, Success)
        if not isinstance(unpacked, Success):
            return f"{feed.value}: {unpacked.failure()}"
        read_at = answered_at - news.age_s
        reading = Reading(unpacked.unwrap(), news.next_offset, read_at, arrival=arrival)
        self.hub.apply_reading(feed, reading)
        return ""

    def available_peers(self) -> list[str]:
        """Return the readers that may be polled now."""
        return self.selector.available(self.hub.readers, self.own_address, self.daemon.now())
