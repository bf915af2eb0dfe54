"""Callers that keep connections and note what they got."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

import attrs
import gevent
from gevent import socket

if TYPE_CHECKING:
    from tools.soak.world import Gateway, World

from tools.soak.connecting import connect
from tools.soak.world import HOST, MODEL

TIME_LIMIT_S = 2.0
PAUSE_S = 0.05
KINDS = ("safe", "unsafe", "resumed", "once")


@attrs.define
class Asked:
    """One attempt of a caller and its answer."""

    request_id: str
    kind: str
    key: str
    gateway: str
    start: int
    sent_at: float
    raw: bytes = b""
    ended_at: float = 0.0
    whole: bool = False

    @property
    def status(self) -> int:
        """Return the status; 0 without an answer."""
        parts = self.raw.split(b" ", 2)
        return int(parts[1]) if len(parts) > 2 and parts[1].isdigit() else 0


class Caller:
    """Sends one request after the other, on a kept connection where it can."""

    def __init__(self, world: World, number: int, seed: int) -> None:
        self.world = world
        self.number = number
        self.random = random.Random(seed * 1000 + number)
        self.asked: list[Asked] = []
        self.sock: socket.socket | None = None
        self.gateway: Gateway | None = None

    def run(self) -> None:
        """Call until killed."""
        while True:
            self.step()
            gevent.sleep(PAUSE_S * self.random.random() * 2)

    def step(self) -> None:
        """Make one request."""
        if not self._connect():
            return
        assert self.gateway is not None and self.sock is not None
        kind = self.random.choice(KINDS)
        if self.random.random() < 0.1:
            kind = f"v{self.world.version}"
        name = f"c{self.number}x{len(self.asked)}"
        key = self.random.choice(["k0", "k1", "k2"])
        asked = Asked(
            name, kind, key, self.gateway.name, self.gateway.starts, time.monotonic()
        )
        self.asked.append(asked)
        try:
            with gevent.Timeout(TIME_LIMIT_S + 1.0, TimeoutError):
                self.sock.sendall(self._encode(asked))
                self._read(asked)
        except OSError:
            self._drop()
        asked.ended_at = time.monotonic()
        if not asked.whole or b"connection: close" in asked.raw[:600].lower():
            self._drop()

    def _connect(self) -> bool:
        if self.sock is not None and self.random.random() > 0.05:
            return True
        self._drop()
        ready = [gateway for gateway in self.world.gateways if gateway.ready]
        self.gateway = self.random.choice(ready or self.world.gateways)
        host, _, port = self.gateway.front.rpartition(":")
        try:
            self.sock = connect((host, int(port)))
        except OSError:
            return False  # nobody listens; another gateway is tried next time
        return True

    def _drop(self) -> None:
        if self.sock is not None:
            self.sock.close()
        self.sock = None

    def _encode(self, asked: Asked) -> bytes:
        body = b"" if asked.kind == "safe" or asked.kind.startswith("v") else b"x" * 300
        lines = [
            f"{'POST' if body else 'GET'} /{asked.kind}/{asked.request_id} HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: {asked.request_id}",
            f"Authorization: Bearer {asked.key}",
            f"Deadline-Ms: {int(TIME_LIMIT_S * 1e3)}",
            "Tenant: forged",
        ]
        if asked.kind in ("resumed", "once"):
            lines += [f"Model: {MODEL}", "Token-Usage: 900,10", "Prompt-Prefix: ab:600,cd:300"]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    def _read(self, asked: Asked) -> None:
        assert self.sock is not None
        while True:
            data = self.sock.recv(65536)
            if not data:
                self._drop()
                return
            asked.raw += data
            head, found, body = asked.raw.partition(b"\r\n\r\n")
            if not found:
                continue
            if b"chunked" in head.lower():
                asked.whole = body.endswith(b"\r\n0\r\n\r\n") or body == b"0\r\n\r\n"
            else:
                length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
                asked.whole = len(body) >= length
            if asked.whole:
                return
