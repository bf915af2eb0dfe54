"""Callers that reuse connections and record the answers they receive."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

import attrs
import gevent
from gevent import socket

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tools.soak.testbed import Gateway, Testbed

from tools.soak.builds import serving
from tools.soak.connecting import connect
from tools.soak.crashes import FATAL_PART
from tools.soak.testbed import HOST, MODEL, REPEATED

DEADLINE_S = 2.0
MEAN_PAUSE_S = 0.05
REPEAT_S = 0.25
# Both of one workspace.
REPEATING_KEYS = ("k0", "k1")
KINDS = ("safe", "unsafe", "resumed", "once")
MAX_TAKE_UPS = 2
KEYS = ("k0", "k1", "k2")


@attrs.define
class CallerRequest:
    """One request of a caller and its answer.

    Attributes
    ----------
    head_at
        Time at which the head of the answer had arrived; 0 without one.
    resumes
        Id of the request that brought the stream's first event; empty for a new stream.
    after
        Id of the event after which the stream is taken up.
    engines_of_build
        Engines of the stream's build that served when it was taken up.
    is_fatal
        Whether it ends its target.
    is_repeat
        Whether it is the one that its caller repeats.
    """

    request_id: str
    kind: str
    key: str
    gateway: str
    gateway_start: int
    sent_at: float
    raw_answer: bytes = b""
    ended_at: float = 0.0
    head_at: float = 0.0
    complete: bool = False
    resumes: str = ""
    after: int = 0
    engines_of_build: int = 0
    is_fatal: bool = False
    is_repeat: bool = False

    @property
    def status(self) -> int:
        """Return the status code, or 0 without an answer."""
        parts = self.raw_answer.split(b" ", 2)
        return int(parts[1]) if len(parts) > 2 and parts[1].isdigit() else 0

    @property
    def target(self) -> str:
        """Return the target that answered; empty if none did."""
        return self._header(b"server-stamp: s-")

    @property
    def says_leaving(self) -> bool:
        """Return whether the answer says that its target leaves."""
        return self._header(b"server-leaving: ") == "1"

    def _header(self, prefix: bytes) -> str:
        """Return the rest of the header line that begins with a prefix in lower case."""
        for line in self.raw_answer.partition(b"\r\n\r\n")[0].split(b"\r\n"):
            if line.lower().startswith(prefix):
                return line[len(prefix) :].decode()
        return ""

    @property
    def events(self) -> list[bytes]:
        """Return the complete events of a stream."""
        return [item for item in self.raw_answer.split(b"id: ")[1:] if item.count(b"\n") > 2]

    @property
    def builds(self) -> set[str]:
        """Return the builds of the engines that wrote the events."""
        lines = (event.split(b"\n")[1] for event in self.events)
        return {line.removeprefix(b": build ").decode() for line in lines}

    @property
    def last_event(self) -> int:
        """Return the id of the last event that the caller has of the stream."""
        return int(self.events[-1].split(b"\n")[0]) if self.events else self.after


class Caller:
    """Sends one request at a time, over a persistent connection where possible."""

    def __init__(
        self, testbed: Testbed, number: int, seed: int, keys: Sequence[str] = KEYS
    ) -> None:
        self.testbed = testbed
        self.number = number
        self.keys = keys
        self.random = random.Random(seed * 1000 + number)
        self.requests: list[CallerRequest] = []
        self.sock: socket.socket | None = None
        self.gateway: Gateway | None = None

    def run(self) -> None:
        """Send requests until the greenlet is killed."""
        while True:
            request = self.send_request()
            for _ in range(MAX_TAKE_UPS):
                if request is None or request.complete or not request.last_event:
                    break
                request = self.send_request(takes_up=request)
            gevent.sleep(MEAN_PAUSE_S * self.random.random() * 2)

    def send_request(self, takes_up: CallerRequest | None = None) -> CallerRequest | None:
        """Send one request and record its answer.

        Parameters
        ----------
        takes_up
            Request whose stream broke off and is taken up, often at another gateway.
        """
        if not self._connect():
            return None
        assert self.gateway is not None and self.sock is not None
        kind = self._choose_kind()
        name = f"c{self.number}x{len(self.requests)}"
        key = self.random.choice(self.keys)
        request = CallerRequest(
            name, kind, key, self.gateway.name, self.gateway.start_count, time.monotonic()
        )
        if takes_up is not None:
            request.kind, request.key = takes_up.kind, takes_up.key
            request.resumes = takes_up.resumes or takes_up.request_id
            request.after = takes_up.last_event
            request.is_fatal = takes_up.is_fatal
            request.engines_of_build = self._engines_of_build(request.resumes)
        self.requests.append(request)
        try:
            with gevent.Timeout(DEADLINE_S + 1.0, TimeoutError):
                self.sock.sendall(self._encode(request))
                self._read(request)
        except OSError:
            self._disconnect()
        request.ended_at = time.monotonic()
        if not request.complete or b"connection: close" in request.raw_answer[:600].lower():
            self._disconnect()
        return request

    def _choose_kind(self) -> str:
        kind = self.random.choice(KINDS)
        return kind if self.random.random() >= 0.1 else f"v{self.testbed.version}"

    def _path(self, request: CallerRequest) -> str:
        return f"/{request.kind}/{request.request_id}"

    def _engines_of_build(self, resumes: str) -> int:
        first = next(item for item in self.requests if item.request_id == resumes)
        return min((serving(self.testbed, build) for build in first.builds), default=0)

    def _connect(self) -> bool:
        if self.sock is not None and self.random.random() > 0.05:
            return True
        self._disconnect()
        ready = [gateway for gateway in self.testbed.gateways if gateway.ready]
        self.gateway = self.random.choice(ready or self.testbed.gateways)
        host, _, port = self.gateway.caller_address.rpartition(":")
        try:
            self.sock = connect((host, int(port)))
        except OSError:
            return False  # not listening; the next request chooses a gateway again
        return True

    def _disconnect(self) -> None:
        if self.sock is not None:
            self.sock.close()
        self.sock = None

    def _encode(self, request: CallerRequest) -> bytes:
        body = b"" if request.kind == "safe" or request.kind.startswith("v") else b"x" * 300
        lines = [
            f"{'POST' if body else 'GET'} {self._path(request)} HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: {request.request_id}",
            f"Authorization: Bearer {request.key}",
            f"Deadline-Ms: {int(DEADLINE_S * 1e3)}",
            "Tenant: forged",
        ]
        if request.kind in ("resumed", "once"):
            lines += [f"Model: {MODEL}", "Token-Usage: 900,10", self._prompt(request)]
        if request.resumes:
            lines += [f"Resumes: {request.resumes}", f"Last-Event-Id: {request.after}"]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    def _prompt(self, request: CallerRequest) -> str:
        share = self.testbed.fatal_share
        if not request.resumes:
            request.is_fatal = share > 0.0 and self.random.random() < share
        fatal = f"{FATAL_PART}:100," if request.is_fatal else ""
        return f"Prompt-Prefix: ab:600,{fatal}cd:300"

    def _read(self, request: CallerRequest) -> None:
        assert self.sock is not None
        while True:
            data = self.sock.recv(65536)
            if not data:
                self._disconnect()
                return
            request.raw_answer += data
            head, found, body = request.raw_answer.partition(b"\r\n\r\n")
            if not found:
                continue
            request.head_at = request.head_at or time.monotonic()
            if b"chunked" in head.lower():
                request.complete = body.endswith(b"\r\n0\r\n\r\n") or body == b"0\r\n\r\n"
            else:
                length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
                request.complete = len(body) >= length
            if request.complete:
                return


class RepeatingCaller(Caller):
    """Sends one request again and again under new ids, each time to any gateway."""

    def run(self) -> None:
        """Send the request until the greenlet is killed, once it is known."""
        while True:
            if self.testbed.repeated_kind:
                self._disconnect()
                self.send_request()
            gevent.sleep(REPEAT_S)

    def _choose_kind(self) -> str:
        return self.testbed.repeated_kind

    def _path(self, request: CallerRequest) -> str:
        request.is_fatal = request.is_repeat = True
        return f"/{request.kind}/{REPEATED}"

    def _prompt(self, request: CallerRequest) -> str:
        return "Prompt-Prefix: ab:600,cd:300"
