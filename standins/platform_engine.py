"""Stand-in for the platform's targets: model engines and plain services."""

from __future__ import annotations

import contextlib
import json
import time
from collections.abc import Callable
from typing import Any

import attrs
import gevent
from gevent import select, socket
from gevent.server import StreamServer

REASONS = {200: "OK", 202: "Accepted", 421: "Misdirected Request", 503: "Unavailable"}
LINE_END = b"\r\n"
MS_PER_S = 1e3
# SO_LINGER enabled with a timeout of 0, so that closing a socket sends a reset.
LINGER_RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"


@attrs.define
class Run:
    """One request that a target started to execute."""

    request_id: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    weights: int
    started_at: float
    outcome: str = "open"
    ended_at: float = 0.0

    def end(self, outcome: str) -> None:
        """Record the outcome and the time of the end."""
        self.outcome, self.ended_at = outcome, time.monotonic()


@attrs.frozen
class Notice:
    """What a target said of itself in the head of one answer."""

    at: float
    request_id: str
    kind: str
    value: float


class PlatformTargetStandIn:
    """Target that records the requests it executes.

    Faults are attributes: ``refuse`` answers 503 with the header ``Not-Run``,
    ``hang`` executes requests without answering, ``break_after`` closes a stream
    in the middle of the event with that number (only one that it began itself with
    ``break_begun_only``), ``error`` answers 500,
    ``doubled`` sends every answer to a plain request twice, and ``pause_before``
    sends nothing for ``pause_s`` before the event with that number, or before
    the head of the answer if 0. With ``newer_each_time``, each request for other
    weights is refused and followed by a load. ``rate_limit`` is named in all answers;
    ``rest_s`` is asked for with each 503, and ``leaving`` is said in all answers.
    ``brittle`` is named in all answers, and a target with ``room`` refuses the requests
    beyond that number; with more than ``brittle`` refusals in a second it falls over.

    With ``undelimited``, answers have neither a length nor chunks and end with their
    connection; ``cut_after`` closes such a stream after that number of bytes of its last
    event, ``reset`` resets the connection in place of each end. With ``cut_head``, the
    connection closes after that number of bytes of the answer's head.

    A prompt with one of ``crash_parts``, or a request for one of ``crash_paths``, ends the
    target after ``crash_after`` events of its answer, or before the head if negative;
    ``on_crashed`` is called then. The answer to a plain request breaks off after
    ``crash_after`` bytes, those of its head included.

    Attributes
    ----------
    arrivals
        Times and ids of the requests that arrived, also of those that were refused.
    notices
        What was said in which answer.
    build
        Version of its software. Each event names it in a comment.
    born
        Time of its start, in its registration and its reports.
    event_padding
        Bytes that are added to the text of each event.
    answer_repeats
        How often an answer to a plain request repeats its text.
    ends
        Times at which a request ended it, and the ids of these requests.
    built_at
        Monotonic time from which it has the build.
    """

    def __init__(self, instance: str, model: str = "", events: int = 8) -> None:
        self.instance = instance
        self.model = model
        self.events = events
        self.answer_repeats = 20
        self.event_padding = 0
        self.build = "v1"
        self.born = 1
        self.built_at = time.monotonic()
        self.version = 1
        self.announced_version = 1
        self.work_s = 0.01
        self.event_s = 0.01
        self.load_s = 0.2
        self.refuse = self.hang = self.error = self.doubled = False
        self.break_after: int | None = None
        self.break_begun_only = False
        self.pause_before: int | None = None
        self.pause_s = 1.3
        self.on_loaded: Callable[[], object] = lambda: None
        self.newer_each_time = False
        self.rate_limit: float | None = None
        self.rest_s: float | None = None
        self.leaving = False
        self.brittle: int | None = None
        self.room: int | None = None
        self.undelimited = self.reset = False
        self.cut_after: int | None = None
        self.cut_head: int | None = None
        self.crash_parts: frozenset[str] = frozenset()
        self.crash_paths: frozenset[str] = frozenset()
        self.ends: list[tuple[float, str]] = []
        self.crash_after = 0
        self.on_crashed: Callable[[], object] = lambda: None
        self.sockets: set[socket.socket] = set()
        self.refusals: list[float] = []
        self.falls = 0
        self.arrivals: list[tuple[float, str]] = []
        self.notices: list[Notice] = []
        self.loading = False
        self.orders = 0
        self.fence = -1
        self.order_log: list[tuple[float, str, int, int]] = []
        self.runs: list[Run] = []
        self.server: StreamServer | None = None

    def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Start listening and return the address."""
        self.server = StreamServer((host, port), self._serve)
        self.server.start()
        return f"{host}:{self.server.server_port}"

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.stop(timeout=0)

    def crash(self) -> None:
        """End all runs and connections and stop listening."""
        if self.server is None or not self.server.started:
            return  # another prompt has just ended it
        self.stop()
        for run in self.runs:
            if run.outcome == "open":
                run.end("crashed")
        for sock in list(self.sockets):
            # Closed elsewhere, a socket would not end the read that waits for it.
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self.on_crashed()

    def _crash_under(self, run: Run) -> None:
        if self.server is not None and self.server.started:
            self.ends.append((time.monotonic(), run.request_id))
        self.crash()

    def _is_fatal(self, run: Run) -> bool:
        """Return whether a run ends the target."""
        if run.path in self.crash_paths:
            return True
        prompt = run.headers.get("prompt-prefix", "")
        parts = {item.partition(":")[0].strip() for item in prompt.split(",")}
        return bool(parts & self.crash_parts)

    def registration(self, service: str, address: str) -> bytes:
        """Return the entry that the target writes to register itself."""
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        return json.dumps(
            {
                "service": service,
                "address": address,
                "zone": "z1",
                "version": self.build,
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "models": models if self.model else [],
                "seq_no": 1,
                "born": self.born,
            }
        ).encode()

    def _serve(self, sock: socket.socket, _address: Any) -> None:
        file = sock.makefile("rb")
        self.sockets.add(sock)
        try:
            while True:
                line = file.readline()
                if not line.strip():
                    return
                method, path, _ = line.decode("latin-1").split(" ", 2)
                headers: dict[str, str] = {}
                while (line := file.readline()) != LINE_END:
                    if not line:
                        return  # connection closed within the head: not a request
                    name, _, value = line.decode("latin-1").partition(":")
                    name, value = name.strip().lower(), value.strip()
                    # Repeated fields are joined into a list, as HTTP specifies, so
                    # that a value injected by a caller next to the gateway's is visible.
                    headers[name] = f"{headers[name]}, {value}" if name in headers else value
                length = int(headers.get("content-length", "0"))
                body = file.read(length)
                if len(body) < length or not self._answer(sock, method, path, headers, body):
                    return
        except OSError:
            return  # the gateway or an injected fault closed the connection
        finally:
            self.sockets.discard(sock)
            sock.close()

    def _answer(
        self, sock: socket.socket, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> bool:
        if path == "/agaterail/report":
            return self._send_json(sock, 200, self._report())
        expected = headers.get("expect-instance")
        if expected not in (None, self.instance):
            return self._send(sock, 421, {"Instance-Id": self.instance})
        if path == "/agaterail/order":
            return self._send(sock, self._order(json.loads(body)), {})
        request_id = headers.get("request-id", "")
        self.arrivals.append((time.monotonic(), request_id))
        version = headers.get("expect-version")
        if version not in (None, str(self.version)):
            held = self.version
            self.version += self.newer_each_time
            return self._send(sock, 421, {"Weight-Versions": str(held)})
        running = sum(run.outcome == "open" for run in self.runs)
        if self.refuse or self.loading or (self.room is not None and running >= self.room):
            self._count_refusal()
            return self._send(sock, 503, {"Not-Run": "1", "Request-Id": request_id})
        run = Run(
            headers.get("request-id", ""),
            method,
            path,
            headers,
            body,
            self.version,
            time.monotonic(),
        )
        self.runs.append(run)
        gevent.sleep(self.work_s)
        if self.hang:
            gevent.sleep(30.0)
            return False
        if self.pause_before == 0 and self._client_disconnects(sock, run):
            return False
        answer_headers = {"Request-Id": run.request_id, "Server-Stamp": f"s-{self.instance}"}
        if self.cut_head is not None:
            run.end("cut")
            framing = {} if self.undelimited else {"Content-Length": "0"}
            sock.sendall(self._head(200, {**answer_headers, **framing})[: self.cut_head])
            return False
        if self.error:
            run.end("error")
            return self._send(sock, 500, answer_headers, b"failed")
        if self.model:
            return self._stream(sock, run, answer_headers)
        answer = f"{self.instance} {run.request_id}".encode() * self.answer_repeats
        if self._is_fatal(run):
            framing = {} if self.undelimited else {"Content-Length": str(len(answer))}
            whole = self._head(200, {**answer_headers, **framing})
            sock.sendall((whole + answer)[: max(0, self.crash_after)])
            self._crash_under(run)
            return False
        run.end("whole")
        if self.undelimited:
            sock.sendall(self._head(200, answer_headers) + answer)
            return not self._end_undelimited(sock)
        for _ in range(2 if self.doubled else 1):
            self._send(sock, 200, answer_headers, answer)
        return True

    def _count_refusal(self) -> None:
        now = time.monotonic()
        self.refusals = [at for at in self.refusals if at > now - 1.0] + [now]
        if self.brittle is not None and len(self.refusals) > self.brittle:
            self.falls += 1
            self.refusals.clear()

    def _stream(self, sock: socket.socket, run: Run, answer_headers: dict[str, str]) -> bool:
        first = int(run.headers.get("last-event-id") or 0) + 1
        head = {
            **answer_headers,
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        if self.undelimited:
            del head["Transfer-Encoding"]
        head["Weight-Versions"] = str(self.version)
        fatal_at = first + self.crash_after if self._is_fatal(run) else None
        if fatal_at is not None and fatal_at < first:
            self._crash_under(run)
            return False
        sock.sendall(self._head(200, head))
        break_after = None if self.break_begun_only and first > 1 else self.break_after
        for number in range(first, self.events + 1):
            gevent.sleep(self.event_s)
            if run.outcome == "crashed":
                return False
            if fatal_at == number:
                self._crash_under(run)
                return False
            if self.pause_before == number and self._client_disconnects(sock, run):
                return False
            event = b"id: %d\n: build %s\ndata: %s-%d%s\n\n" % (
                number,
                self.build.encode(),
                run.request_id.encode(),
                number,
                b"." * self.event_padding,
            )
            if break_after == number:
                run.end("broken")
                sock.sendall(b"%x\r\n%b" % (len(event), event[:-5]))
                return False
            if self.undelimited:
                is_last = number == self.events
                sock.sendall(event[: self.cut_after] if is_last else event)
                continue
            sock.sendall(b"%x\r\n%b\r\n" % (len(event), event))
        if not self.undelimited:
            sock.sendall(b"0\r\n\r\n")
        run.end("whole")
        return not self._end_undelimited(sock)

    def _end_undelimited(self, sock: socket.socket) -> bool:
        """End an answer without a length, by a reset if that is set."""
        if self.undelimited and self.reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        return self.undelimited

    def _client_disconnects(self, sock: socket.socket, run: Run) -> bool:
        """Pause and return whether the client closed the connection meanwhile."""
        # Unlike select, poll takes descriptors of any number.
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN)
        if not poll.poll(self.pause_s * MS_PER_S):
            return False
        run.end("left")
        return True

    def _report(self) -> dict[str, Any]:
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        return {
            "stage": "both",
            "models": models if self.model else [],
            "busy": self.loading,
            "seq_no": self.orders,
            "waiting": 0,
            "born": self.born,
            "running": sum(run.outcome == "open" for run in self.runs[-20:]),
        }

    def _order(self, order: dict[str, Any]) -> int:
        self.order_log.append(
            (time.monotonic(), order["holder"], order["fence"], order["version"])
        )
        if order["fence"] < self.fence:
            return 412
        self.fence = order["fence"]
        if order["version"] == self.version:
            return 200
        if order["version"] > self.announced_version:
            return 400
        if self.loading or order.get("expect", self.orders) != self.orders:
            return 409
        self.orders += 1
        self.loading = True
        gevent.spawn_later(self.load_s, self._finish_load, order["version"])
        return 202

    def _finish_load(self, version: int) -> None:
        self.loading = False
        self.version = version
        self.on_loaded()

    def _send_json(self, sock: socket.socket, status: int, fields: Any) -> bool:
        return self._send(sock, status, {}, json.dumps(fields).encode())

    def _send(
        self, sock: socket.socket, status: int, headers: dict[str, str], body: bytes = b""
    ) -> bool:
        all_headers = {**headers, "Content-Length": str(len(body))}
        sock.sendall(self._head(status, all_headers) + body)
        return True

    def _head(self, status: int, headers: dict[str, str]) -> bytes:
        lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        said = {
            "Server-Limit": self.rate_limit,
            "Server-Leaving": 1 if self.leaving else None,
            "Server-Brittle": self.brittle,
            "Retry-After": self.rest_s if status == 503 else None,
        }
        for name, value in said.items():
            if value is not None:
                lines.append(f"{name}: {value}")
                request_id = headers.get("Request-Id", "")
                self.notices.append(Notice(time.monotonic(), request_id, name, value))
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
