"""Measure the log appends of claims: ``python -m tools.claims_arithmetic``.

One and eight daemons are measured as real processes. The appends of 410 daemons
are computed from the claim rate of a partition, by a formula whose results are
printed beside the measured appends.
"""

from __future__ import annotations

from agaterail.util import greenlets

greenlets.patch()

import argparse
import math
import random
import tempfile
import time

import attrs
import gevent
from returns.result import Success

from agaterail.claims import PARTITIONS
from agaterail.controllers.claims import BATCH_DELAY_S
from agaterail.util.address import Address
from agaterail.util.httpconn import HttpConnections
from tools.fleet import Fleet, api_key_of, apply_tables, call, digest_of

TARGET_DAEMONS = 410
TARGET_REQUESTS_PER_S = 790
NON_IDEMPOTENT_SHARES = (0.05, 0.1, 0.3)
SETTLE_S = 1.5


@attrs.frozen(kw_only=True)
class RunResult:
    """Claims and appends of one run."""

    daemons: int
    claims_per_s: float
    appends_per_s: float
    completed: int
    other: int
    p50_ms: float
    p95_ms: float
    executions: int


def computed_appends_per_s(claims_per_s: float, records_per_claim: int = 2) -> float:
    """Return the appends per second of all partitions.

    Claims and outcomes arrive at the owner of the partition at random times. One
    append contains everything that arrives within the batch delay, so a
    partition appends at most once per delay, and at lower rates once for each
    delay in which something arrives.
    """
    entries = records_per_claim * claims_per_s / PARTITIONS
    return PARTITIONS * entries / (1.0 + entries * BATCH_DELAY_S)


def main() -> None:
    """Print the measured and the computed appends."""
    parser = argparse.ArgumentParser(prog="tools.claims_arithmetic")
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    for daemons, offered in ((1, 20), (1, 100), (8, 20), (8, 100)):
        measured = measure(daemons, offered, arguments.seconds, arguments.seed)
        computed = computed_appends_per_s(measured.claims_per_s)
        print(
            f"{daemons} daemons: {measured.claims_per_s:.0f} claims/s,"
            f" {measured.appends_per_s:.0f} appends/s (computed {computed:.0f}),"
            f" answered in p50 {measured.p50_ms:.0f} p95 {measured.p95_ms:.0f} ms,"
            f" {measured.completed} completed, {measured.other} other,"
            f" {measured.executions} executions"
        )
    for share in NON_IDEMPOTENT_SHARES:
        rate = share * TARGET_REQUESTS_PER_S
        print(
            f"{TARGET_DAEMONS} daemons, {share:.0%} of {TARGET_REQUESTS_PER_S}/s"
            f" non-idempotent ({rate:.0f} claims/s):"
            f" {computed_appends_per_s(rate):.0f} appends/s"
        )
    print(f"bound at any rate: {PARTITIONS / BATCH_DELAY_S:.0f} appends/s")


def measure(daemons: int, rate: float, seconds: float, seed: int) -> RunResult:
    """Send calls with idempotency keys through all daemons and count the appends."""
    with Fleet("error") as fleet, tempfile.TemporaryDirectory() as folder:
        fleet.start_platform()
        service = fleet.start_stand_in("service")
        fleet.services.append(service)
        apply_tables(fleet, _tables(service), folder)
        fleet.start_daemons(daemons)
        time.sleep(SETTLE_S)
        before = call(fleet.log, "GET", "/stats")["appends"]
        answers = _send(fleet, rate, seconds, random.Random(seed))
        time.sleep(SETTLE_S)
        appends = call(fleet.log, "GET", "/stats")["appends"] - before
        executions = len(call(service, "GET", "/journal")["executions"])
    times = sorted(ms for status, ms in answers if status == 200)
    return RunResult(
        daemons=daemons,
        claims_per_s=len(answers) / seconds,
        appends_per_s=appends / seconds,
        completed=len(times),
        other=len(answers) - len(times),
        p50_ms=_percentile(times, 0.5),
        p95_ms=_percentile(times, 0.95),
        executions=executions,
    )


def _send(
    fleet: Fleet, rate: float, seconds: float, rng: random.Random
) -> list[tuple[int, float]]:
    connections = [HttpConnections(Address.parse(item.address)) for item in fleet.daemons]
    answers: list[tuple[int, float]] = []
    jobs: list[gevent.Greenlet] = []
    next_send_at = time.monotonic()
    end = next_send_at + seconds
    while next_send_at < end:
        gevent.sleep(max(0.0, next_send_at - time.monotonic()))
        jobs.append(gevent.spawn(_post_booking, rng.choice(connections), len(jobs), answers))
        next_send_at += rng.expovariate(rate)
    gevent.joinall(jobs)
    return answers


def _post_booking(
    connections: HttpConnections, number: int, answers: list[tuple[int, float]]
) -> None:
    headers = {
        "authorization": f"Bearer {api_key_of(0)}",
        "idempotency-key": f"key-{number}",
    }
    started = time.monotonic()
    answer = connections.call("POST", "/booking/swap", b"x", headers, timeout_s=10.0)
    status = answer.unwrap()[0] if isinstance(answer, Success) else 0
    answers.append((status, (time.monotonic() - started) * 1e3))


def _tables(service: str) -> str:
    return "\n".join(
        [
            "[pools.booking]",
            'kind = "service"',
            f'targets = [{{address = "{service}", domain = "a"}}]',
            "[routes.booking]",
            'workspace = "workspace-0"',
            f'callers = ["{digest_of(api_key_of(0))}"]',
            'pool = "booking"',
            'path_prefix = "/booking"',
            'at_most_once_methods = ["POST"]',
            "",
        ]
    )


def _percentile(values: list[float], fraction: float) -> float:
    return values[math.floor(fraction * (len(values) - 1))] if values else 0.0


if __name__ == "__main__":
    main()
