"""Answers without end, and a server of its own process that sends them.

Run as ``python -m tests.endless_answers``; it prints a port for each answer and ends with
its standard input.
"""

from __future__ import annotations

import contextlib
import json
import resource
import socket
import subprocess
import sys
import threading

import attrs

from agaterail.bytelimits.answers import AnswerPart

REPEATED_BYTES = 32 * 1024
REQUEST_END = b"\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: r1\r\n"
OTHER = b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: other\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
LONG = b"Content-Length: 1000000000000\r\n\r\n"


@attrs.frozen
class EndlessAnswer:
    """An answer that begins with some bytes and goes on with others forever."""

    part: AnswerPart
    begin: bytes
    unit: bytes
    is_stream: bool = False

    @property
    def repeated(self) -> bytes:
        return self.unit * max(1, REPEATED_BYTES // len(self.unit))


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


STREAM = OK + CHUNKED
ENDLESS = {
    "status line": EndlessAnswer(AnswerPart.HEAD, b"HTTP/1.1 200 ", b"x"),
    "blank lines": EndlessAnswer(AnswerPart.HEAD, b"", b"\r\n"),
    "header name": EndlessAnswer(AnswerPart.HEAD, OK, b"x"),
    "header value": EndlessAnswer(AnswerPart.HEAD, OK + b"X: ", b"x"),
    "header lines": EndlessAnswer(AnswerPart.HEADERS, OK, b"X: y\r\n"),
    "informational heads": EndlessAnswer(
        AnswerPart.INFORMATIONAL, b"", b"HTTP/1.1 102 Processing\r\n\r\n"
    ),
    "late answers": EndlessAnswer(
        AnswerPart.SKIPPED, b"", OTHER + b"Content-Length: 2\r\n\r\nhi"
    ),
    "late answer's body": EndlessAnswer(AnswerPart.SKIPPED_BODY, OTHER + LONG, b"x"),
    "body with length": EndlessAnswer(AnswerPart.BODY, OK + LONG, b"x"),
    "body without length": EndlessAnswer(AnswerPart.BODY, OK + b"\r\n", b"x"),
    "body in chunks": EndlessAnswer(AnswerPart.BODY, OK + CHUNKED, chunk(b"x" * 1024)),
    "chunk size": EndlessAnswer(AnswerPart.FRAMING, OK + CHUNKED, b"0"),
    "chunk extension": EndlessAnswer(AnswerPart.FRAMING, OK + CHUNKED + b"5;a=", b"x"),
    "chunk extensions": EndlessAnswer(
        AnswerPart.FRAMING, OK + CHUNKED, b"1;a=" + b"x" * 1024 + b"\r\ny\r\n"
    ),
    "trailer": EndlessAnswer(AnswerPart.FRAMING, OK + CHUNKED + b"0\r\nX: ", b"x"),
    "trailers": EndlessAnswer(AnswerPart.HEADERS, OK + CHUNKED + b"0\r\n", b"X: y\r\n"),
    "event": EndlessAnswer(
        AnswerPart.EVENT, STREAM + chunk(b"id: 1\ndata: "), chunk(b"x" * 99), True
    ),
    "comments": EndlessAnswer(AnswerPart.NO_EVENT, STREAM, chunk(b": x\n\n"), True),
    "blank lines in a stream": EndlessAnswer(
        AnswerPart.NO_EVENT, STREAM, chunk(b"\n" * 512), True
    ),
    "an event again and again": EndlessAnswer(
        AnswerPart.NO_EVENT, STREAM, chunk(b"id: 1\ndata: x\n\n"), True
    ),
}


def send_forever(sock, answer):
    """Read the head of a request and send an answer until the connection is closed."""
    with contextlib.suppress(OSError), contextlib.closing(sock):
        request = b""
        while REQUEST_END not in request:
            data = sock.recv(65536)
            if not data:
                return
            request += data
        sock.sendall(answer.begin)
        while True:
            sock.sendall(answer.repeated)


def listen(answer):
    """Send an answer to each connection; return the port."""
    listener = socket.create_server(("127.0.0.1", 0))

    def accept_forever():
        while True:
            sock, _ = listener.accept()
            threading.Thread(target=send_forever, args=(sock, answer), daemon=True).start()

    threading.Thread(target=accept_forever, daemon=True).start()
    return listener.getsockname()[1]


def resident_bytes():
    """Return the resident memory of this process."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


class EndlessServers:
    """The servers of all answers, in a process of their own."""

    def __init__(self):
        command = [sys.executable, "-m", "tests.endless_answers"]
        self.process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self.ports = json.loads(self.process.stdout.readline())

    def address(self, name):
        return f"127.0.0.1:{self.ports[name]}"

    def stop(self):
        self.process.stdin.close()
        self.process.stdout.close()
        self.process.wait()


if __name__ == "__main__":
    print(json.dumps({name: listen(answer) for name, answer in ENDLESS.items()}), flush=True)
    sys.stdin.read()
