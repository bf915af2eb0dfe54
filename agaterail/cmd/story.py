"""The ``story`` command: trace one request through the log lines of several hosts."""

from __future__ import annotations

import pathlib
import sys
from typing import TYPE_CHECKING

from agaterail.requesttrace import parse_log_lines, trace_request

if TYPE_CHECKING:
    from collections.abc import Sequence

EXIT_NOT_FOUND = 1
EXIT_USAGE = 2


def print_trace(request_id: str, paths: Sequence[str], around_s: float) -> int:
    """Print the trace of a request; return the exit status."""
    if not request_id:
        print("A request id is required.", file=sys.stderr)
        return EXIT_USAGE
    texts = read_logs(paths)
    if texts is None:
        return EXIT_USAGE
    found = trace_request(parse_log_lines(texts), request_id, around_s)
    if not found:
        print(f"No log lines found for request {request_id}.", file=sys.stderr)
        return EXIT_NOT_FOUND
    for line in found:
        print(line)
    return 0


def read_logs(paths: Sequence[str]) -> list[str] | None:
    """Return the lines of log files or standard input; None if a file is unreadable."""
    if not paths:
        return sys.stdin.read().splitlines()
    texts: list[str] = []
    for path in paths:
        try:
            texts += pathlib.Path(path).read_text("utf-8", "replace").splitlines()
        except OSError as error:
            print(f"{path}: {error.strerror}", file=sys.stderr)
            return None
    return texts
