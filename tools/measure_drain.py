"""Drain one of two daemons under load: ``python -m tools.measure_drain``.

The load balancer keeps sending to the draining daemon during the drain lag.
Streams of 20 seconds are in flight, one target leaves during the run, and every
stream must be complete.
"""

from __future__ import annotations

from agaterail.util import greenlets

greenlets.patch()

import argparse
import collections
import signal
import tempfile
import time

import gevent

from standins.load import Prompt, StreamClient, StreamResult
from tools.fleet import MODEL, Fleet, api_key_of, apply_tables, call, tables_toml

ENGINES = 3
DRAIN_LAG_S = 3.0
STREAM_S = 20.0
DECODE_MS = 100.0
LONG_TOKENS = int(STREAM_S * 1000 / DECODE_MS)
SHORT_TOKENS = 5
REQUEST_INTERVAL_S = 0.05
SIGNAL_AT_S = 3.0
LEAVE_AT_S = 1.0
LEAVE_BOUND_S = 3.0


def main() -> None:
    """Run the drain and print the results of each kind of stream."""
    parser = argparse.ArgumentParser(prog="tools.measure_drain")
    parser.add_argument("--long", type=int, default=20)
    arguments = parser.parse_args()
    with Fleet("error") as fleet, tempfile.TemporaryDirectory() as folder:
        fleet.start_platform()
        fleet.start_engines(ENGINES, {"decode_ms": DECODE_MS})
        text = tables_toml(fleet.engines, 1, {"weights_version": "v1"}, {})
        apply_tables(fleet, text, folder)
        fleet.start_daemons(2, ["--drain-lag-s", str(DRAIN_LAG_S)])
        _run(fleet, arguments.long)


def _run(fleet: Fleet, long_streams: int) -> None:
    results: collections.defaultdict[str, list[StreamResult]] = collections.defaultdict(list)
    draining, leaving = fleet.daemons[0], fleet.engines[0]
    jobs = [
        gevent.spawn(_stream, draining.address, number, LONG_TOKENS, results["long"])
        for number in range(long_streams)
    ]
    started = time.monotonic()
    signalled = left = False
    executions_at_bound: int | None = None
    number = long_streams
    while time.monotonic() < started + SIGNAL_AT_S + DRAIN_LAG_S:
        elapsed_s = time.monotonic() - started
        if elapsed_s >= LEAVE_AT_S and not left:
            left = True
            fleet.put_host(leaving, "engine", "leaving", "a")
        if elapsed_s >= LEAVE_AT_S + LEAVE_BOUND_S and executions_at_bound is None:
            executions_at_bound = _execution_count(leaving)
        if elapsed_s >= SIGNAL_AT_S and not signalled:
            signalled = True
            draining.process.send_signal(signal.SIGTERM)
        kind = "during the lag" if signalled else "before"
        jobs.append(
            gevent.spawn(_stream, draining.address, number, SHORT_TOKENS, results[kind])
        )
        number += 1
        gevent.sleep(REQUEST_INTERVAL_S)
    gevent.joinall(jobs)
    status = draining.process.wait(30)
    for kind, streams in results.items():
        whole = sum(item.complete for item in streams)
        errors = {item.error[:80] for item in streams if not item.complete}
        print(f"{kind}: {len(streams)} streams, {whole} whole, errors {sorted(errors)}")
    late_executions = _execution_count(leaving) - (executions_at_bound or 0)
    print(f"leaving target: {late_executions} new requests later than {LEAVE_BOUND_S:g} s")
    print(
        f"exit status {status}, {time.monotonic() - started - SIGNAL_AT_S:.1f} s after SIGTERM"
    )


def _stream(address: str, number: int, tokens: int, results: list[StreamResult]) -> None:
    messages = ({"role": "user", "content": f"question {number}"},)
    prompt = Prompt(workspace=0, customer=0, messages=messages)
    client = StreamClient(address, api_key_of(0), MODEL)
    results.append(client.ask(prompt, max_tokens=tokens))


def _execution_count(engine: str) -> int:
    return len(call(engine, "GET", "/journal")["executions"])


if __name__ == "__main__":
    main()
