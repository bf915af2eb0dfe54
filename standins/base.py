"""Minimal HTTP server that all stand-ins share."""

from __future__ import annotations

import json
import socket
import urllib.parse
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs
from gevent.pywsgi import WSGIHandler, WSGIServer
from gevent.server import _tcp_listener

BACKLOG = 1024
SOCKET_KEY = "standins.socket"
# Estimated size of the Date and Content-Length headers, which the server adds.
SERVER_HEADER_BYTES = 60


@attrs.frozen(kw_only=True)
class Call:
    """One HTTP request to a stand-in."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> dict[str, Any]:
        """Return the body parsed as a JSON object; an empty body gives an empty object."""
        return json.loads(self.body) if self.body else {}


@attrs.frozen
class Answer:
    """Answer of a stand-in; a body that is not ``bytes`` is streamed."""

    status: int = 200
    body: bytes | Iterable[bytes] = b""
    headers: Mapping[str, str] = attrs.field(factory=dict)


def json_answer(fields: object, status: int = 200, **headers: str) -> Answer:
    """Return an answer with JSON-encoded fields and the JSON content type."""
    return Answer(
        status, json.dumps(fields).encode(), {"content-type": "application/json", **headers}
    )


Handler = Callable[[Call], Answer]


class _AbortableHandler(WSGIHandler):
    """Handler that exposes its socket, so that a fault can cut the connection."""

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ


@attrs.define
class Traffic:
    """Number and HTTP size of calls, without streamed bodies."""

    calls: int = 0
    received_bytes: int = 0
    sent_bytes: int = 0


class StandIn:
    """HTTP server with a table of paths and configurable faults.

    ``POST /control`` sets attributes of ``faults`` by name; ``GET /control``
    returns their current values. ``/traffic`` returns the traffic counters.
    """

    def __init__(self, faults: Any = None) -> None:
        self.faults = faults
        self.paths: dict[str, Handler] = {
            "/control": self._control,
            "/traffic": lambda _call: json_answer(attrs.asdict(self.traffic)),
        }
        self.server: WSGIServer | None = None
        self.traffic = Traffic()

    def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Start listening and return the address as IP:port."""
        listener = _tcp_listener((host, port), backlog=BACKLOG, reuse_addr=True)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.server = WSGIServer(
            listener, self._serve, log=None, error_log=None, handler_class=_AbortableHandler
        )
        self.server.start()
        return f"{host}:{self.server.server_port}"

    def stop(self) -> None:
        """Stop listening and cut all connections."""
        if self.server is not None:
            self.server.stop(timeout=0)

    def route(self, call: Call) -> Answer:
        """Answer one call; an exact path takes precedence over the longest prefix."""
        handler = self.paths.get(call.path)
        if handler is None:
            prefixes = [
                path
                for path in self.paths
                if path.endswith("/") and call.path.startswith(path)
            ]
            if not prefixes:
                return json_answer({"error": "no such path"}, 404)
            handler = self.paths[max(prefixes, key=len)]
        return handler(call)

    def _consume_fault(self, fault: str) -> bool:
        """Decrement a counted fault and return whether it applies to this call."""
        remaining = getattr(self.faults, fault)
        if remaining <= 0:
            return False
        setattr(self.faults, fault, remaining - 1)
        return True

    def _control(self, call: Call) -> Answer:
        if call.method == "POST":
            for name, value in call.json().items():
                if not hasattr(self.faults, name):
                    return json_answer({"error": f"no fault {name}"}, 400)
                setattr(self.faults, name, value)
        return json_answer(attrs.asdict(self.faults) if self.faults is not None else {})

    def _serve(self, environ: dict[str, Any], start_response: Callable) -> Iterable[bytes]:
        call = _call_from_environ(environ)
        try:
            answer = self.route(call)
        except ConnectionAbortedError:
            environ[SOCKET_KEY].shutdown(socket.SHUT_RDWR)
            return []
        self.traffic.calls += 1
        self.traffic.received_bytes += _request_bytes(call)
        body = answer.body
        headers = list(answer.headers.items())
        if isinstance(body, bytes):
            headers.append(("content-length", str(len(body))))
            self.traffic.sent_bytes += _answer_bytes(answer, body)
            body = [body]
        start_response(f"{answer.status} -", headers)
        return body


def _request_bytes(call: Call) -> int:
    query = "&".join(f"{name}={value}" for name, value in call.query.items())
    line = len(f"{call.method} {call.path}?{query} HTTP/1.1")
    return line + _header_bytes(call.headers) + len(call.body)


def _answer_bytes(answer: Answer, body: bytes) -> int:
    return (
        len(b"HTTP/1.1 200 -")
        + _header_bytes(answer.headers)
        + SERVER_HEADER_BYTES
        + len(body)
    )


def _header_bytes(headers: Mapping[str, str]) -> int:
    return sum(len(name) + len(value) + len(": \r\n") for name, value in headers.items()) + 4


def _call_from_environ(environ: dict[str, Any]) -> Call:
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    return Call(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        query=dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", ""))),
        headers=headers,
        body=environ["wsgi.input"].read(),
    )
