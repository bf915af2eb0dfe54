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

QUESTION = b"q"
ANSWER = b"a"
NOTICE = b"n"
NUMBER_BYTES = 4
HEAD_BYTES = 1 + NUMBER_BYTES
MAX_NUMBER = 1 << 32
MAX_DATAGRAM_BYTES = 60_000


class DatagramTransport(Transport):
    """One socket for questions, answers and notices."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.server = DatagramServer((address.host, address.port), self._on_datagram)
        self.numbers = itertools.count()
        self.waiting: dict[bytes, AsyncResult] = {}

    def start(self) -> None:
        """Bind the socket and receive."""
        self.server.start()

    def stop(self) -> None:
        """Close the socket."""
        self.server.stop()

    def ask(self, address: str, data: bytes, timeout_s: float) -> Result[bytes, str]:
        """Send a question and wait for its answer."""
        number = (next(self.numbers) % MAX_NUMBER).to_bytes(NUMBER_BYTES, "big")
        answer: AsyncResult[bytes] = AsyncResult()
        self.waiting[number] = answer
        try:
            self._send(QUESTION + number + data, address)
            return Success(answer.get(timeout=timeout_s))
        except gevent.Timeout:
            return Failure("no answer in time")
        except (OSError, ValueError) as error:
            return Failure(str(error))
        finally:
            self.waiting.pop(number, None)

    def tell(self, address: str, data: bytes) -> None:
        """Send a notice; a full buffer or a closed port loses it."""
        try:
            self._send(NOTICE + bytes(NUMBER_BYTES) + data, address)
        except (OSError, ValueError):
            return

    def _send(self, data: bytes, address: str) -> None:
        if len(data) > MAX_DATAGRAM_BYTES:
            raise ValueError("the message is too large for a datagram")
        place = Address.parse(address)
        self.server.sendto(data, (place.host, place.port))

    def _on_datagram(self, data: bytes, source: Any) -> None:
        kind, number, body = data[:1], data[1:HEAD_BYTES], data[HEAD_BYTES:]
        if kind == ANSWER:
            waiting = self.waiting.pop(number, None)
            if waiting is not None:
                waiting.set(body)
            return
        answer = self.receive(str(source), body)
        if kind == QUESTION and answer is not None and len(answer) <= MAX_DATAGRAM_BYTES:
            self.server.sendto(ANSWER + number + answer, source)
