"""Drain one of two daemons under load: ``python -m tools.measure_drain``.

A balancer goes on sending to the draining daemon for its lag. Streams of 20
seconds are in flight, one target leaves during the run, and every stream must
end whole.
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
LAG_S = 3.0
STREAM_S = 20.0
DECODE_MS = 100.0
LONG_TOKENS = int(STREAM_S * 1000 / DECODE_MS)
SHORT_TOKENS = 5
GAP_S = 0.05
SIGNAL_AT_S = 3.0
LEAVE_AT_S = 1.0
LEAVE_BOUND_S = 3.0


def main() -> None:
    """Run and print what each kind of stream came to."""
    parser = argparse.ArgumentParser(prog="tools.measure_drain")
    parser.add_argument("--long", type=int, default=20)
    arguments = parser.parse_args()
    with Fleet("error") as fleet, tempfile.TemporaryDirectory() as folder:
        fleet.start_platform()
        fleet.start_engines(ENGINES, {"decode_ms": DECODE_MS})
        text = tables_toml(fleet.engines, 1, {"weights_version": "v1"}, {})
        apply_tables(fleet, text, folder)
        fleet.start_daemons(2, ["--drain-lag-s", str(LAG_S)])
        _run(fleet, arguments.long)


def _run(fleet: Fleet, long: int) -> None:
    seen: collections.defaultdict[str, list[StreamResult]] = collections.defaultdict(list)
    draining, leaving = fleet.daemons[0], fleet.engines[0]
    jobs = [
        gevent.spawn(_ask, draining.address, number, LONG_TOKENS, seen["long"])
        for number in range(long)
    ]
    started = time.monotonic()
    signalled = left = False
    in_time: int | None = None
    number = long
    while time.monotonic() < started + SIGNAL_AT_S + LAG_S:
        at = time.monotonic() - started
        if at >= LEAVE_AT_S and not left:
            left = True
            fleet.put_host(leaving, "engine", "leaving", "a")
        if at >= LEAVE_AT_S + LEAVE_BOUND_S and in_time is None:
            in_time = _executions(leaving)
        if at >= SIGNAL_AT_S and not signalled:
            signalled = True
            draining.process.send_signal(signal.SIGTERM)
        kind = "during the lag" if signalled else "before"
        jobs.append(gevent.spawn(_ask, draining.address, number, SHORT_TOKENS, seen[kind]))
        number += 1
        gevent.sleep(GAP_S)
    gevent.joinall(jobs)
    status = draining.process.wait(30)
    for kind, streams in seen.items():
        whole = sum(item.complete for item in streams)
        errors = {item.error[:80] for item in streams if not item.complete}
        print(f"{kind}: {len(streams)} streams, {whole} whole, errors {sorted(errors)}")
    late = _executions(leaving) - (in_time or 0)
    print(f"leaving target: {late} new requests later than {LEAVE_BOUND_S:g} s")
    print(
        f"exit status {status}, {time.monotonic() - started - SIGNAL_AT_S:.1f} s after SIGTERM"
    )


def _ask(address: str, number: int, tokens: int, results: list[StreamResult]) -> None:
    messages = ({"role": "user", "content": f"question {number}"},)
    prompt = Prompt(workspace=0, customer=0, messages=messages)
    client = StreamClient(address, api_key_of(0), MODEL)
    results.append(client.ask(prompt, max_tokens=tokens))


def _executions(engine: str) -> int:
    return len(call(engine, "GET", "/journal")["executions"])


if __name__ == "__main__":
    main()
