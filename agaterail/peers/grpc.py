"""Calls between daemons over gRPC."""

from __future__ import annotations

import errno
import os
import pathlib
from concurrent import futures
from typing import TYPE_CHECKING

# The gRPC core writes log lines to stderr by default; failures are returned instead.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")

import attrs
import grpc
import grpc.experimental.gevent as grpc_gevent
from gevent.lock import BoundedSemaphore
from returns.result import Failure, Result, Success

from agaterail.peers import TOO_MANY_CALLS, Transport

if TYPE_CHECKING:
    from agaterail.settings import Settings
    from agaterail.util.address import Address

METHOD = "/agaterail.Peers/Call"
SERVER_THREADS = 8
MAX_CALLS_IN_FLIGHT = 4
MAX_MESSAGE_BYTES = 32 * 1024 * 1024
OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.enable_http_proxy", 0),
    ("grpc.so_reuseport", 0),
)


@attrs.frozen
class TlsFiles:
    """Contents of the TLS files with which daemons authenticate each other."""

    certificate: bytes
    key: bytes
    authority: bytes

    @classmethod
    def read(cls, settings: Settings) -> TlsFiles | None:
        """Read the files named in the settings; return None unless all are set."""
        paths = (
            settings.peer_tls_certificate,
            settings.peer_tls_key,
            settings.peer_tls_authority,
        )
        if not all(paths):
            return None
        return cls(*(pathlib.Path(path or "").read_bytes() for path in paths))


class GrpcTransport(Transport):
    """One server, and one channel per peer.

    With client and server in one process under gevent, calls time out once about twenty
    are in flight, although the peer answers. With four in flight none times out, so
    further calls wait until one of them ends.

    Parameters
    ----------
    settings
        Settings that name the TLS files. Without these files, calls are authenticated
        by the shared secret but not encrypted.
    """

    def __init__(self, address: Address, settings: Settings | None = None) -> None:
        grpc_gevent.init_gevent()
        self.address = address
        self.tls = TlsFiles.read(settings) if settings is not None else None
        self.channels: dict[str, grpc.Channel] = {}
        self.in_flight = BoundedSemaphore(MAX_CALLS_IN_FLIGHT)
        self.server: grpc.Server | None = None

    def start(self) -> None:
        """Bind the port and start serving.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        handler = grpc.unary_unary_rpc_method_handler(self._serve)
        service, _, method = METHOD.strip("/").partition("/")
        server = grpc.server(futures.ThreadPoolExecutor(SERVER_THREADS), options=OPTIONS)
        server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(service, {method: handler}),)
        )
        try:
            self._bind(server)
        except RuntimeError as error:
            raise OSError(errno.EADDRINUSE, f"{self.address} cannot be bound") from error
        server.start()
        self.server = server

    def stop(self) -> None:
        """Stop serving immediately and close the channels."""
        if self.server is not None:
            self.server.stop(0)
        for channel in self.channels.values():
            channel.close()

    def request(self, address: str, data: bytes, timeout_s: float) -> Result[bytes, str]:
        """Call a peer and wait for its answer."""
        if not self.in_flight.acquire(timeout=timeout_s):
            return Failure(TOO_MANY_CALLS)
        try:
            answer = self._channel(address).unary_unary(METHOD)(data, timeout=timeout_s)
        except grpc.RpcError as error:
            return Failure(str(error.code()))
        finally:
            self.in_flight.release()
        return Success(answer) if answer else Failure("refused")

    def send(self, address: str, data: bytes) -> None:
        """Call a peer and discard the answer."""
        self.request(address, data, 1.0)

    def _channel(self, address: str) -> grpc.Channel:
        channel = self.channels.get(address)
        if channel is None:
            channel = self.channels[address] = self._connect(address)
        return channel

    def _connect(self, address: str) -> grpc.Channel:
        if self.tls is None:
            return grpc.insecure_channel(address, options=OPTIONS)
        credentials = grpc.ssl_channel_credentials(
            self.tls.authority, self.tls.key, self.tls.certificate
        )
        return grpc.secure_channel(address, credentials, options=OPTIONS)

    def _bind(self, server: grpc.Server) -> None:
        if self.tls is None:
            server.add_insecure_port(str(self.address))
            return
        credentials = grpc.ssl_server_credentials(
            [(self.tls.key, self.tls.certificate)],
            self.tls.authority,
            require_client_auth=True,
        )
        server.add_secure_port(str(self.address), credentials)

    def _serve(self, data: bytes, context: grpc.ServicerContext) -> bytes:
        return self.receive(context.peer(), data) or b""
