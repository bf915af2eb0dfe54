"""In-process transport, for tests."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from agaterail.peers import Transport


class MemoryNetwork:
    """Network of one test, with links that can be blocked.

    Attributes
    ----------
    blocked_links
        Pairs of sender and receiver whose messages are lost.
    """

    def __init__(self) -> None:
        self.transports: dict[str, MemoryTransport] = {}
        self.blocked_links: set[tuple[str, str]] = set()
        self.messages = 0


class MemoryTransport(Transport):
    """Transport that calls the receiver directly."""

    def __init__(self, network: MemoryNetwork, address: str) -> None:
        self.network = network
        self.address = address

    def start(self) -> None:
        """Start receiving."""
        self.network.transports[self.address] = self

    def stop(self) -> None:
        """Stop receiving."""
        self.network.transports.pop(self.address, None)

    def request(self, address: str, data: bytes, timeout_s: float) -> Result[bytes, str]:
        """Deliver a message and return its answer synchronously."""
        receiver = self._receiver(address)
        if receiver is None:
            return Failure("no answer")
        answer = receiver.receive(self.address, data)
        if answer is None or (address, self.address) in self.network.blocked_links:
            return Failure("no answer")
        return Success(answer)

    def send(self, address: str, data: bytes) -> None:
        """Deliver a message that gets no answer."""
        receiver = self._receiver(address)
        if receiver is not None:
            receiver.receive(self.address, data)

    def _receiver(self, address: str) -> MemoryTransport | None:
        self.network.messages += 1
        if (self.address, address) in self.network.blocked_links:
            return None
        return self.network.transports.get(address)
