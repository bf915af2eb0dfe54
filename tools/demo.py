"""Start stand-ins and three daemons, send streaming requests and print the results."""

from __future__ import annotations

from agaterail.util import greenlets

greenlets.patch()

import collections
import sys
import tempfile
import time

import gevent
from gevent.pool import Pool as GreenletPool

from standins.load import StreamClient, StreamResult, Workload
from tools.fleet import MODEL, Fleet, api_key_of, apply_tables, tables_toml

REQUESTS = 300
CONCURRENCY = 24
ENGINES = 5
DAEMONS = 3
WORKSPACES = 8
DAEMON_FLAGS = ("--drain-lag-s", "0")
SEED = 7
ENGINE = {"block_tokens": 100, "capacity_blocks": 600, "prefill_ms_per_token": 0.05}
POOL = {"block_tokens": 100, "prefill_ms_per_token": 0.05, "weights_version": "v1"}


def main() -> None:
    """Run the demo; exit 0 only if every stream was complete and in order."""
    started = time.monotonic()
    with Fleet() as fleet, tempfile.TemporaryDirectory() as folder:
        fleet.start_platform()
        fleet.start_engines(ENGINES, ENGINE)
        apply_tables(fleet, tables_toml(fleet.engines, WORKSPACES, POOL, {}), folder)
        fleet.start_daemons(DAEMONS, DAEMON_FLAGS)
        results = _send_requests(fleet)
    _print_results(results, time.monotonic() - started)
    sys.exit(0 if all(item.complete for item in results) else 1)


def _send_requests(fleet: Fleet) -> list[StreamResult]:
    workload = Workload(SEED, workspaces=WORKSPACES)
    clients = {
        (daemon.address, workspace): StreamClient(daemon.address, api_key_of(workspace), MODEL)
        for daemon in fleet.daemons
        for workspace in range(WORKSPACES)
    }
    senders = GreenletPool(CONCURRENCY)
    sent: list[gevent.Greenlet] = []
    for number, prompt in enumerate(workload.prompts(REQUESTS)):
        daemon = fleet.daemons[number % len(fleet.daemons)]
        sent.append(senders.spawn(clients[daemon.address, prompt.workspace].ask, prompt))
    senders.join()
    return [greenlet.get() for greenlet in sent]


def _print_results(results: list[StreamResult], seconds: float) -> None:
    for number, item in enumerate(results):
        state = "whole" if item.complete else f"FAILED {item.error[:100]}"
        print(
            f"request {number:3d}: {state}, {item.tokens} tokens, "
            f"first token {item.first_token_ms:.0f} ms, cached {item.cached_tokens}/"
            f"{item.prompt_tokens}, target {item.target}, reason {item.reason}"
        )
    complete = [item for item in results if item.complete]
    prompt_tokens = sum(item.prompt_tokens for item in complete)
    hit_rate = sum(item.cached_tokens for item in complete) / max(1, prompt_tokens)
    first = sorted(item.first_token_ms for item in complete) or [0.0]
    reasons = collections.Counter(item.reason for item in results)
    print(f"whole streams: {len(complete)} of {len(results)}")
    print(f"prefix hit rate: {hit_rate:.3f}")
    for quantile in (0.5, 0.95, 0.99):
        print(f"first token p{quantile * 100:.0f}: {first[int(len(first) * quantile)]:.0f} ms")
    print("reasons: " + ", ".join(f"{name} {count}" for name, count in reasons.most_common()))
    print(f"took {seconds:.1f} s")


if __name__ == "__main__":
    main()
