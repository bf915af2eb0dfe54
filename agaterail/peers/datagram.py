"""Hints between daemons as single UDP datagrams."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import gevent
from gevent.event import AsyncResult
from gevent.server import DatagramServer
from returns.result import Failure, Result, Success

from agaterail.peers import Transport
from agaterail.util.address import Address

if TYPE_CHECKING:
    from typing import Any

QUERY = b"q"
REPLY = b"a"
NOTICE = b"n"
SEQUENCE_BYTES = 4
HEADER_BYTES = 1 + SEQUENCE_BYTES
SEQUENCE_COUNT = 1 << 32
MAX_DATAGRAM_BYTES = 60_000


class DatagramTransport(Transport):
    """One UDP socket for queries, replies and notices."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.server = DatagramServer((address.host, address.port), self._on_datagram)
        self.sequence_numbers = itertools.count()
        self.pending: dict[bytes, AsyncResult] = {}

    def start(self) -> None:
        """Bind the socket and start receiving."""
        self.server.start()

    def stop(self) -> None:
        """Close the socket."""
        self.server.stop()

    def request(self, address: str, data: bytes, timeout_s: float) -> Result[bytes, str]:
        """Send a query and wait for its reply."""
        sequence = (next(self.sequence_numbers) % SEQUENCE_COUNT).to_bytes(
            SEQUENCE_BYTES, "big"
        )
        answer: AsyncResult[bytes] = AsyncResult()
        self.pending[sequence] = answer
        try:
            self._send(QUERY + sequence + data, address)
            return Success(answer.get(timeout=timeout_s))
        except gevent.Timeout:
            return Failure("no answer in time")
        except (OSError, ValueError) as error:
            return Failure(str(error))
        finally:
            self.pending.pop(sequence, None)

    def send(self, address: str, data: bytes) -> None:
        """Send a notice; it is lost if the buffer is full or the port is closed."""
        try:
            self._send(NOTICE + bytes(SEQUENCE_BYTES) + data, address)
        except (OSError, ValueError):
            return

    def _send(self, data: bytes, address: str) -> None:
        if len(data) > MAX_DATAGRAM_BYTES:
            raise ValueError("the message is too large for a datagram")
        parsed = Address.parse(address)
        self.server.sendto(data, (parsed.host, parsed.port))

    def _on_datagram(self, data: bytes, source: Any) -> None:
        kind, sequence, body = data[:1], data[1:HEADER_BYTES], data[HEADER_BYTES:]
        if kind == REPLY:
            reply = self.pending.pop(sequence, None)
            if reply is not None:
                reply.set(body)
            return
        answer = self.receive(str(source), body)
        if kind == QUERY and answer is not None and len(answer) <= MAX_DATAGRAM_BYTES:
            self.server.sendto(REPLY + sequence + answer, source)
