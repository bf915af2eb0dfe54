"""Measure the overhead of the daemon over direct connections to the same engines.

First, phases of 100 requests/s alternate between the engines directly and one
daemon; the difference of the first-token times is the overhead. Then long
answers are streamed through the daemon at two levels of concurrency, and its
processor time is read from /proc.
"""

from __future__ import annotations

from agaterail.util import greenlets

greenlets.patch()

import argparse
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence

import attrs
import gevent
from returns.result import Success

from agaterail.util.address import Address
from agaterail.util.httpconn import HttpConnections
from standins.load import StreamClient, StreamResult, Workload
from tools.fleet import MODEL, Daemon, Fleet, api_key_of, apply_tables, tables_toml

SEED = 11
ENGINES = 4
WORKSPACES = 8
RATE_PER_S = 100
PHASES = 6
PHASE_S = 5.0
ENGINE = {
    "block_tokens": 100,
    "capacity_blocks": 20_000,
    "prefill_ms_per_token": 0.0001,
    "decode_ms": 1.0,
    "max_running": 512,
}
POOL = {"block_tokens": 100, "prefill_ms_per_token": 0.0001, "weights_version": "v1"}
ROUTE = {"deadline_ms": 60_000}
STREAM_TOKENS = 400
STREAM_SECONDS = 8.0
STREAMS = (8, 64)
CHUNK_MARKER = b'"delta": {"content"'
END_MARKER = b"data: [DONE]\n\n"


@attrs.frozen
class StreamingResult:
    """Totals of all streams at one level of concurrency."""

    streams: int
    broken: int
    events: int
    seconds: float
    cpu_s: float


def main() -> None:
    """Print the added first-token time and the events per second of a core.

    The exit status is 1 if any stream is broken.
    """
    parser = argparse.ArgumentParser(prog="overhead")
    parser.add_argument("--only", choices=["first-token", "events"], default="")
    only = parser.parse_args().only
    with Fleet("info") as fleet, tempfile.TemporaryDirectory() as folder:
        fleet.daemon_output = subprocess.DEVNULL
        fleet.start_platform()
        fleet.start_engines(ENGINES, ENGINE)
        apply_tables(fleet, tables_toml(fleet.engines, WORKSPACES, POOL, ROUTE), folder)
        fleet.start_daemons(1)
        broken = 0
        if only != "events":
            broken += _measure_first_token(fleet)
        if only != "first-token":
            broken += sum(_measure_events(fleet, streams) for streams in STREAMS)
    sys.exit(1 if broken else 0)


def _measure_first_token(fleet: Fleet) -> int:
    workload = Workload(SEED, WORKSPACES, instruction_tokens=400, history_tokens=600)
    daemon = fleet.daemons[0]
    direct: list[StreamResult] = []
    routed: list[StreamResult] = []
    _send_phase([daemon.address], workload, 1.0)  # warm-up: opens connections
    cpu_s, started = 0.0, 0.0
    for _ in range(PHASES // 2):
        direct += _send_phase(fleet.engines, workload, PHASE_S)
        before = _cpu_s(daemon)
        routed += _send_phase([daemon.address], workload, PHASE_S)
        cpu_s += _cpu_s(daemon) - before
        started += PHASE_S
    for name, results in (("direct", direct), ("routed", routed)):
        print(f"first token, {name}: {_summary(results)}")
    for fraction in (0.5, 0.99):
        added = _quantile(routed, fraction) - _quantile(direct, fraction)
        print(f"added first token p{fraction * 100:.0f}: {added:.2f} ms")
    print(f"daemon CPU: {cpu_s / len(routed) * 1e3:.2f} ms a request")
    return sum(not item.complete for item in (*direct, *routed))


def _send_phase(
    addresses: Sequence[str], workload: Workload, seconds: float
) -> list[StreamResult]:
    clients = [
        [StreamClient(address, api_key_of(number), MODEL) for number in range(WORKSPACES)]
        for address in addresses
    ]
    sent: list[gevent.Greenlet] = []
    start = time.monotonic()
    for number, prompt in enumerate(workload.prompts(int(seconds * RATE_PER_S))):
        gevent.sleep(max(0.0, start + number / RATE_PER_S - time.monotonic()))
        client = clients[number % len(clients)][prompt.workspace]
        sent.append(gevent.spawn(client.ask, prompt))
    gevent.joinall(sent)
    return [greenlet.get() for greenlet in sent]


def _measure_events(fleet: Fleet, streams: int) -> int:
    daemon = fleet.daemons[0]
    workload = Workload(SEED, WORKSPACES, instruction_tokens=100, history_tokens=100)
    end = time.monotonic() + STREAM_SECONDS
    before, started = _cpu_s(daemon), time.monotonic()
    streamers = [
        gevent.spawn(_stream_until, end, daemon.address, number % WORKSPACES, workload)
        for number in range(streams)
    ]
    gevent.joinall(streamers)
    results = [greenlet.get() for greenlet in streamers]
    result = StreamingResult(
        streams,
        sum(broken for _, broken in results),
        sum(events for events, _ in results),
        time.monotonic() - started,
        _cpu_s(daemon) - before,
    )
    print(
        f"{result.streams} streams: {result.events / result.seconds:.0f} events/s, "
        f"daemon at {result.cpu_s / result.seconds:.2f} cores, "
        f"{result.events / result.cpu_s:.0f} events per second of a core, "
        f"{result.broken} broken"
    )
    return result.broken


def _stream_until(
    end: float, address: str, workspace: int, workload: Workload
) -> tuple[int, int]:
    connections = HttpConnections(Address.parse(address))
    headers = {"authorization": f"Bearer {api_key_of(workspace)}"}
    events = broken = 0
    while time.monotonic() < end:
        fields = {
            "model": MODEL,
            "messages": list(workload.prompt(workspace, 0).messages),
            "stream": True,
            "max_tokens": STREAM_TOKENS,
        }
        body = json.dumps(fields).encode()
        sent = connections.send("POST", "/v1/chat/completions", body, headers, 60.0)
        if not isinstance(sent, Success):
            broken += 1
            continue
        chunks, tail = 0, b""
        response = sent.unwrap()
        while part := response.read_available():
            chunks += part.count(CHUNK_MARKER)
            tail = (tail + part)[-len(END_MARKER) :]
        broken += chunks != STREAM_TOKENS or tail != END_MARKER
        events += chunks
    return events, broken


def _cpu_s(daemon: Daemon) -> float:
    text = pathlib.Path(f"/proc/{daemon.process.pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _summary(results: list[StreamResult]) -> str:
    whole = sum(item.complete for item in results)
    quantiles = ", ".join(
        f"p{q * 100:.0f} {_quantile(results, q):.2f} ms" for q in (0.5, 0.99)
    )
    return f"{quantiles}, whole {whole} of {len(results)}"


def _quantile(results: list[StreamResult], fraction: float) -> float:
    times = sorted(item.first_token_ms for item in results)
    return times[int(len(times) * fraction)]


if __name__ == "__main__":
    main()
