"""Pass records of crashes on from daemon to daemon while the store does not take them."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

import gevent
from returns.result import Success

from agaterail import logs
from agaterail.gateway import crashprotocol
from agaterail.util.httpconn import ConnectionsByAddress

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from agaterail.gateway.controlstore import CrashChange
    from agaterail.gateway.httpserver import CallerConnection
    from agaterail.gateway.inbound import InboundRequest

logger = logs.get_logger("quarantine")

# With so many copies by each daemon that a record is new to, it reaches all but some 0.03%
# of a fleet, whatever its size.
FANOUT = 8
CALL_TIMEOUT_S = 0.3
MAX_SEEN = 1024
DIGEST_BYTES = 12
OK, BAD_REQUEST = 200, 400


class CrashGossip:
    """Sends records to some other daemons, which pass on what is new to them.

    Parameters
    ----------
    known_daemons
        Returns addresses of the other daemons.
    apply
        Applies records of another daemon.

    Attributes
    ----------
    seen
        Digests of the records that were sent or received, the latest at the end.
    """

    def __init__(
        self,
        known_daemons: Callable[[], Sequence[str]],
        apply: Callable[[Sequence[CrashChange]], None],
        rng: random.Random,
    ) -> None:
        self.known_daemons = known_daemons
        self.apply = apply
        self.rng = rng
        self.seen: dict[bytes, None] = {}
        self.peers = ConnectionsByAddress(CALL_TIMEOUT_S)

    def spread(self, changes: Sequence[CrashChange]) -> list[CrashChange]:
        """Send records that are new to this daemon to some others, and return them."""
        fresh = [change for change in changes if self._is_new(change)]
        known = self.known_daemons()
        if not fresh or not known:
            return fresh
        chosen = self.rng.sample(list(known), min(FANOUT, len(known)))
        logger.info("Crash records passed on.", count=len(fresh), peers=len(chosen))
        body = crashprotocol.encode(fresh)
        for address in chosen:
            gevent.spawn(self._send, address, body)
        return fresh

    def handle(self, inbound: InboundRequest, caller: CallerConnection) -> None:
        """Take another daemon's records over and pass on those that are new."""
        decoded = crashprotocol.decode(inbound.body)
        if not isinstance(decoded, Success):
            logger.info("Malformed crash records.", reason=decoded.failure())
            caller.send_answer(BAD_REQUEST, [], b"")
            return
        caller.send_answer(OK, [], b"")
        fresh = self.spread(decoded.unwrap())
        if fresh:
            self.apply(fresh)

    def _is_new(self, change: CrashChange) -> bool:
        encoded = crashprotocol.encode([change])
        digest = blake2b(encoded, digest_size=DIGEST_BYTES).digest()
        if digest in self.seen:
            return False
        self.seen[digest] = None
        if len(self.seen) > MAX_SEEN:
            del self.seen[next(iter(self.seen))]
        return True

    def _send(self, address: str, body: bytes) -> None:
        try:
            peer = self.peers.to(address)
        except ValueError:
            return
        path = crashprotocol.PATH.decode()
        called = peer.call("POST", path, body, timeout_s=CALL_TIMEOUT_S, fresh=True)
        if not isinstance(called, Success):
            self.peers.drop(address)
