"""Find daemons that forward requests while this one has no path to a service."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import attrs
import gevent
import gevent.event
from returns.result import Success

from agaterail import logs
from agaterail.decisions.relays import RelayCandidates
from agaterail.errors import ErrorKind
from agaterail.gateway import relayprotocol
from agaterail.gateway.connectionpool import ConnectionPool
from agaterail.gateway.relayprotocol import RelayOrigin, RelayStatus
from agaterail.gateway.targets import Registration, Target
from agaterail.util.httpconn import ConnectionsByAddress

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Sequence

    from agaterail.gateway.inbound import AnswerHead, InboundRequest
    from agaterail.gateway.relayprotocol import RelayRefusal

logger = logs.get_logger("relays")

PERIOD_S = 0.5
# Daemons are 1 to 2 ms apart. A request waits no longer than this for an answer.
MAX_WAIT_S = 0.1
# A busy daemon may still forward.
ASK_TIMEOUT_S = 0.3
# Candidates of a service are kept current for this long after the last request.
WANTED_S = 5.0
# A daemon of a former release answers 404.
UNSUPPORTED_S = 5.0
MAX_NAMED = 64
MAX_ROUNDS = 4
OK = 200


@attrs.define
class ServiceRelays:
    """The daemons that may forward to one service.

    Attributes
    ----------
    wanted_at
        Time of the last request that needed one.
    asking
        Set when a daemon answers that it reaches all targets, or all questions have ended;
        None if none are under way.
    reasons
        Why each daemon that was asked does not forward; empty if it does.
    """

    candidates: RelayCandidates = attrs.field(factory=RelayCandidates)
    wanted_at: float = float("-inf")
    asking: gevent.event.Event | None = None
    reasons: dict[str, str] = attrs.field(factory=dict)


class RelayController:
    """Chooses the daemons that forward this daemon's requests.

    Parameters
    ----------
    own_address
        Address at which this daemon answers its peers.
    known_daemons
        Returns addresses of other daemons.
    readers
        Returns the daemons that read the platform's store for the others.
    fraction
        Returns the fraction of a service's targets that this daemon reaches itself.
    decode
        Decodes the heads of targets' answers.
    encode_relayed
        Encodes the heads of requests that another daemon forwards.

    Attributes
    ----------
    named
        Daemons that others named in their answers, the latest at the end.
    peers
        Daemons that were asked to forward, by address, as targets of requests.
    verified
        Daemons that are asked again after a failure.
    """

    period_s = PERIOD_S

    def __init__(
        self,
        own_address: str,
        known_daemons: Callable[[], Sequence[str]],
        readers: Callable[[], Sequence[str]],
        fraction: Callable[[str], float],
        decode: Callable[..., AnswerHead],
        encode_relayed: Callable[..., bytes],
        now: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.own_address = own_address
        self.known_daemons = known_daemons
        self.readers = readers
        self.fraction = fraction
        self.encode_relayed = encode_relayed
        self.now = now
        self.rng = rng
        self.pool = ConnectionPool(relayprotocol.decoder_of_heads(decode), now)
        self.connections = ConnectionsByAddress(ASK_TIMEOUT_S)
        self.services: dict[str, ServiceRelays] = {}
        self.named: dict[str, None] = {}
        self.peers: dict[str, Target] = {}
        self.verified: set[str] = set()

    def choose(self, service: str, excluded: Collection[str]) -> Target | None:
        """Return a daemon that forwards to a service, asking for one if necessary."""
        relays = self.services.setdefault(service, ServiceRelays())
        relays.wanted_at = self.now()
        found = self._least_loaded(service, excluded)
        if found is not None:
            return found
        if relays.asking is None:
            self._ask(service, relays)
        if relays.asking is not None:
            relays.asking.wait(MAX_WAIT_S)
        return self._least_loaded(service, excluded)

    def others_reach_more(self, service: str) -> bool:
        """Return whether another daemon lately said that it reaches more of a service."""
        relays = self.services.get(service)
        if relays is None:
            return False
        return bool(relays.candidates.usable(self.fraction(service), self.now()))

    def encode(
        self,
        inbound: InboundRequest,
        service: str,
        time_left_s: float,
        last_event_id: str,
        tried: Collection[str],
        build: str = "",
    ) -> bytes:
        """Encode the head of a request for the daemon that forwards it."""
        origin = RelayOrigin(self.own_address, service, frozenset(tried), build)
        target = origin.prefix + inbound.target
        lines = relayprotocol.origin_lines(origin)
        return self.encode_relayed(inbound, target, time_left_s, last_event_id, lines)

    def record_forwarded(self, service: str, address: str) -> None:
        """Record that a daemon forwards to a service."""
        relays = self.services.setdefault(service, ServiceRelays())
        relays.candidates.record_forwarded(address, self.now())

    def record_refusal(self, service: str, address: str, refusal: RelayRefusal) -> None:
        """Record that a daemon did not run a request that it was to forward."""
        relays = self.services.setdefault(service, ServiceRelays())
        if refusal is relayprotocol.UNSUPPORTED:
            relays.candidates.record_denial(address, self.now(), UNSUPPORTED_S)
        elif refusal.kind is ErrorKind.NO_TARGET:
            # Other kinds tell of the request or of the targets.
            relays.candidates.record_denial(address, self.now())

    def record_failure(self, service: str, address: str) -> None:
        """Record that a daemon could not be reached or broke off, and ask it again.

        The target behind it may have broken off instead.
        """
        relays = self.services.setdefault(service, ServiceRelays())
        relays.candidates.record_denial(address, self.now())
        if address not in self.verified:
            self.verified.add(address)
            gevent.spawn(self._verify, service, relays, address)

    def _verify(self, service: str, relays: ServiceRelays, address: str) -> None:
        try:
            self._ask_one(service, relays, address)
        finally:
            self.verified.discard(address)

    def step(self) -> None:
        """Keep candidates of the services that need them current."""
        now = self.now()
        for service, relays in list(self.services.items()):
            if now - relays.wanted_at > WANTED_S:
                del self.services[service]
            elif relays.asking is None:
                self._ask(service, relays)
        if not self.services and self.peers:
            self._drop_peers()
        self.pool.close_stale()

    def _drop_peers(self) -> None:
        for peer in self.peers.values():
            peer.gone = True
            self.pool.drop(peer)
        self.peers.clear()
        self.named.clear()

    def _least_loaded(self, service: str, excluded: Collection[str]) -> Target | None:
        candidates = self.services[service].candidates
        found = candidates.usable(self.fraction(service), self.now(), excluded)
        peers = [self._peer(address) for address in found]
        return min(peers, key=lambda peer: (peer.in_flight, self.rng.random()), default=None)

    def _peer(self, address: str) -> Target:
        if address not in self.peers:
            registration = Registration(
                instance=address, service="", address=address, domain="", ready=True
            )
            self.peers[address] = Target(registration=registration)
        return self.peers[address]

    def _ask(self, service: str, relays: ServiceRelays) -> None:
        """Begin to ask some daemons whether they forward to a service."""
        own_fraction, now = self.fraction(service), self.now()
        # All daemons know the readers, and many may lose their paths at once.
        relays.candidates.spared = frozenset(self.readers())
        asked = relays.candidates.to_ask(own_fraction, self._known(), self.rng, now)
        if asked:
            relays.asking = gevent.event.Event()
            gevent.spawn(self._ask_in_rounds, service, relays, asked)

    def _known(self) -> list[str]:
        known = dict.fromkeys(itertools.chain(self.known_daemons(), self.named))
        known.pop(self.own_address, None)
        return list(known)

    def _ask_in_rounds(self, service: str, relays: ServiceRelays, asked: list[str]) -> None:
        """Ask daemons, and then those that they named, until enough forward."""
        assert relays.asking is not None
        try:
            for _ in range(MAX_ROUNDS):
                gevent.joinall(
                    [gevent.spawn(self._ask_one, service, relays, item) for item in asked]
                )
                asked = relays.candidates.others_to_ask(
                    self.fraction(service), self._known(), self.rng, self.now()
                )
                if not asked:
                    break
        finally:
            relays.asking.set()
            relays.asking = None

    def _ask_one(self, service: str, relays: ServiceRelays, address: str) -> None:
        status = self._question(service, address)
        now, candidates, reason = self.now(), relays.candidates, status.reason
        if reason:
            candidates.record_denial(address, now)
        else:
            candidates.record_reaches(address, status.fraction, now)
            if relays.asking is not None and status.fraction == 1.0:
                relays.asking.set()
        self._record_named(status.daemons)
        if relays.reasons.get(address) != reason:
            relays.reasons[address] = reason
            logger.info(
                "Daemon does not forward." if reason else "Daemon forwards.",
                peer=address,
                service=service,
                reason=reason,
                fraction=round(status.fraction, 3),
            )

    def _question(self, service: str, address: str) -> RelayStatus:
        """Ask a daemon whether it forwards to a service."""
        query = relayprotocol.encode_query(service, self.own_address)
        try:
            connections = self.connections.to(address)
        except ValueError as error:
            return RelayStatus(f"malformed address: {error}")
        called = connections.call("GET", query, timeout_s=ASK_TIMEOUT_S)
        if not isinstance(called, Success):
            self.connections.drop(address)
            return RelayStatus(called.failure().reason)
        status, body = called.unwrap()
        if status != OK:
            return RelayStatus(f"status {status}")
        decoded = relayprotocol.decode_status(body)
        if not isinstance(decoded, Success):
            return RelayStatus(f"malformed answer: {decoded.failure()}")
        return decoded.unwrap()

    def _record_named(self, addresses: Sequence[str]) -> None:
        for address in addresses:
            self.named.pop(address, None)
            self.named[address] = None
        while len(self.named) > MAX_NAMED:
            del self.named[next(iter(self.named))]
