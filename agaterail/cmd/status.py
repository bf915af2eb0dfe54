"""The ``status`` command: query a running daemon."""

from __future__ import annotations

import json
import os
import sys
from typing import TYPE_CHECKING, Any

from returns.result import Result, Success

from agaterail import settings_rules
from agaterail.status import StatusQuery
from agaterail.util.untrusted import load_json

if TYPE_CHECKING:
    from collections.abc import Mapping

    from agaterail.settings import Settings

EXIT_FAILED = 1
EXIT_USAGE = 2
TIMEOUT_S = 5.0
INDENT = "  "


def status(peer: str, as_json: bool, flags: Mapping[str, str]) -> int:
    """Print the status of the daemon at ``peer``; return the exit status."""
    all_flags = {**flags, "peer_listen": peer} if peer else dict(flags)
    loaded = settings_rules.load(all_flags, os.environ)
    if not isinstance(loaded, Success):
        for problem in loaded.failure():
            print(problem, file=sys.stderr)
        return EXIT_USAGE
    answer = _query_status(loaded.unwrap())
    if not isinstance(answer, Success):
        address = loaded.unwrap().peer_listen
        print(f"The daemon at {address} did not answer: {answer.failure()}", file=sys.stderr)
        return EXIT_FAILED
    report = load_json(answer.unwrap().report)
    if as_json:
        print(json.dumps(report))
    else:
        print("\n".join(format_report(report)))
    return 0


def format_report(report: Mapping[str, Any], indent: str = "") -> list[str]:
    """Format a report as one line per value, nested by indentation."""
    lines: list[str] = []
    for name, value in report.items():
        if isinstance(value, dict):
            lines.append(f"{indent}{name}:" + ("" if value else " none"))
            lines += format_report(value, indent + INDENT)
        elif isinstance(value, list):
            lines.append(f"{indent}{name}: {len(value)}")
            lines += [f"{indent}{INDENT}{item}" for item in value]
        else:
            lines.append(f"{indent}{name}: {_format_value(value)}")
    return lines


def _format_value(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return f"{value:.3f}" if isinstance(value, float) else str(value)


def _query_status(chosen: Settings) -> Result[Any, str]:
    from agaterail.peers import Peers
    from agaterail.peers.grpc import GrpcTransport
    from agaterail.peers.memory import MemoryNetwork, MemoryTransport

    calls = GrpcTransport(chosen.peer_listen, chosen)
    # A short-lived client: it listens on no port and receives no hints.
    peers = Peers("status", calls, MemoryTransport(MemoryNetwork(), ""), chosen.peer_secret)
    try:
        return peers.call(str(chosen.peer_listen), StatusQuery(), TIMEOUT_S)
    finally:
        calls.stop()
