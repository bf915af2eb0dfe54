"""Calls between daemons over gRPC."""

from __future__ import annotations

from concurrent import futures
from typing import TYPE_CHECKING

import grpc
import grpc.experimental.gevent as grpc_gevent
from gevent.lock import BoundedSemaphore
from returns.result import Failure, Result, Success

from agaterail.peers import BUSY, Transport

if TYPE_CHECKING:
    from agaterail.util.address import Address

METHOD = "/agaterail.Peers/Call"
WORKERS = 8
MAX_CALLS_IN_FLIGHT = 4
MAX_MESSAGE_BYTES = 32 * 1024 * 1024
OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.enable_http_proxy", 0),
    ("grpc.so_reuseport", 0),
)


class GrpcTransport(Transport):
    """One server and a channel per peer.

    With client and server in one process under gevent, calls run into their
    deadlines once about twenty are in flight, although the peer answers; four
    at a time ran without a loss, so more wait their turn here.
    """

    def __init__(self, address: Address) -> None:
        grpc_gevent.init_gevent()
        self.address = address
        self.channels: dict[str, grpc.Channel] = {}
        self.in_flight = BoundedSemaphore(MAX_CALLS_IN_FLIGHT)
        self.server: grpc.Server | None = None

    def start(self) -> None:
        """Bind the port and serve.

        Raises
        ------
        RuntimeError
            If the address cannot be bound.
        """
        handler = grpc.unary_unary_rpc_method_handler(self._serve)
        service, _, method = METHOD.strip("/").partition("/")
        server = grpc.server(futures.ThreadPoolExecutor(WORKERS), options=OPTIONS)
        server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(service, {method: handler}),)
        )
        server.add_insecure_port(str(self.address))
        server.start()
        self.server = server

    def stop(self) -> None:
        """Stop serving at once."""
        if self.server is not None:
            self.server.stop(0)
        for channel in self.channels.values():
            channel.close()

    def ask(self, address: str, data: bytes, timeout_s: float) -> Result[bytes, str]:
        """Call a peer and wait for its answer."""
        if not self.in_flight.acquire(timeout=timeout_s):
            return Failure(BUSY)
        try:
            answer = self._channel(address).unary_unary(METHOD)(data, timeout=timeout_s)
        except grpc.RpcError as error:
            return Failure(str(error.code()))
        finally:
            self.in_flight.release()
        return Success(answer) if answer else Failure("refused")

    def tell(self, address: str, data: bytes) -> None:
        """Call a peer and ignore the answer."""
        self.ask(address, data, 1.0)

    def _channel(self, address: str) -> grpc.Channel:
        channel = self.channels.get(address)
        if channel is None:
            channel = self.channels[address] = grpc.insecure_channel(address, options=OPTIONS)
        return channel

    def _serve(self, data: bytes, context: grpc.ServicerContext) -> bytes:
        return self.receive(context.peer(), data) or b""
