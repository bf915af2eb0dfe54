"""Measure the cost and size of reports of engine loads at the daemon that gathers them."""

from __future__ import annotations

import random
import sys
import time

from agaterail.decisions.engineloads import DaemonReport, EngineRow, report_period_s
from agaterail.engineloads import messages
from agaterail.engineloads.gatherer import Gatherer
from agaterail.engineloads.messages import LoadQuestion
from agaterail.util.units import MS_PER_S

# Daemons, engines, and engines of which one report tells.
SIZES = ((81, 70, 12), (81, 70, 25), (410, 600, 10), (410, 600, 30))
ROUNDS = 20
BORN = 1_700_000_000_000
SERVICE = "llm"


def main() -> int:
    """Print a line for each size."""
    for daemons, engines, used in SIZES:
        print(measure(daemons, engines, used))
    return 0


def measure(daemons: int, engines: int, used: int) -> str:
    """Return the cost and sizes of a report, without those of HTTP."""
    listed = tuple((f"engine-{number:03}", BORN) for number in range(engines))
    now = [0.0]
    gatherer = Gatherer(lambda _service: listed, lambda: float(daemons), lambda: now[0])
    bodies = [_report(f"host-{number}", engines, used, b"") for number in range(daemons)]
    answers = [_exchange(gatherer, body) for body in bodies]
    tag = messages.decode_answer(answers[-1]).unwrap().tag
    bodies = [_report(f"host-{number}", engines, used, tag) for number in range(daemons)]
    size = len(_exchange(gatherer, bodies[0]))
    period_s = report_period_s(daemons, 1, size)
    began_at = time.process_time()
    for _ in range(ROUNDS):
        for body in bodies:
            now[0] += period_s / daemons
            _exchange(gatherer, body)
    cost_s = (time.process_time() - began_at) / (ROUNDS * daemons)
    return (
        f"{daemons} daemons, {engines} engines, {used} rows: {cost_s * MS_PER_S:.3f} ms a"
        f" report, {cost_s * daemons / period_s:.2%} of a core; report {len(bodies[0])}"
        f" bytes, answer {size} bytes, each {period_s:.2f} s"
    )


def _exchange(gatherer: Gatherer, body: bytes) -> bytes:
    answer = gatherer.answer(messages.decode_question(body).unwrap())
    assert answer is not None
    return messages.encode_answer(answer)


def _report(daemon: str, engines: int, used: int, tag: bytes) -> bytes:
    rng = random.Random(daemon)
    rows = tuple(
        EngineRow(
            instance=f"engine-{number:03}",
            start=BORN,
            streams=rng.randint(0, 3),
            prefill_tokens=rng.randint(0, 9_000),
            kv_tokens=rng.randint(0, 30_000),
            heard_s=rng.random(),
            steps=20,
            sum_log_s=-78.0,
        )
        for number in rng.sample(range(engines), used)
    )
    report = DaemonReport(daemon=daemon, domain="zone-1", period_s=0.5, rows=rows)
    return messages.encode_question(LoadQuestion(SERVICE, tag, report))


if __name__ == "__main__":
    sys.exit(main())
