"""Loopback TCP proxy between gateways and the store or a target."""

from __future__ import annotations

import enum
from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer

from tools.soak.connecting import connect

CHUNK_BYTES = 65536
# SO_LINGER enabled with a timeout of 0, so that closing a socket sends a reset.
LINGER_RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"


class Mode(enum.Enum):
    """How the proxy treats connections."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"  # connections stay open, but no data is forwarded
    ANSWERS_LOST = "answers_lost"  # requests are forwarded, answers are not
    REFUSE = "refuse"  # new and open connections are reset


class Proxy:
    """Listens on behalf of one target and forwards data according to the mode."""

    def __init__(self, target: str, listen_port: int = 0) -> None:
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.mode = Mode.PASS
        self.delay_s = 0.15
        self.open_sockets: set[Any] = set()
        self.listen(listen_port)
        self.address = f"127.0.0.1:{self.server.server_port}"

    def listen(self, port: int) -> None:
        """Begin to listen."""
        self.server = StreamServer(("127.0.0.1", port), self._serve)
        self.server.start()

    def close(self) -> None:
        """Refuse connections, as a host does on which the target has ended."""
        self.server.stop(timeout=0)

    def set_mode(self, mode: Mode) -> None:
        """Change the mode; ``Mode.REFUSE`` also resets open connections."""
        self.mode = mode
        if mode is Mode.REFUSE:
            self.reset_all()

    def reset_all(self) -> None:
        """Reset all open connections."""
        for sock in list(self.open_sockets):
            _reset(sock)

    def _serve(self, client: Any, _address: Any) -> None:
        if self.mode is Mode.REFUSE:
            _reset(client)
            return
        try:
            upstream = connect(self.target)
        except OSError:
            _reset(client)
            return
        self.open_sockets |= {client, upstream}
        directions = [
            gevent.spawn(self._forward, client, upstream, False),
            gevent.spawn(self._forward, upstream, client, True),
        ]
        gevent.joinall(directions, count=1)
        gevent.killall(directions)
        self.open_sockets -= {client, upstream}
        _reset(upstream) if self.mode is Mode.REFUSE else upstream.close()
        client.close()

    def _forward(self, source: Any, sink: Any, is_answer: bool) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                if self.mode is Mode.DELAY:
                    gevent.sleep(self.delay_s)
                while self.mode is Mode.SILENT or (
                    is_answer and self.mode is Mode.ANSWERS_LOST
                ):
                    gevent.sleep(0.05)
                sink.sendall(data)
        except OSError:
            return  # one side closed its connection; ``_serve`` closes the other


def _reset(sock: Any) -> None:
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    except OSError:
        return  # already closed
    sock.close()
