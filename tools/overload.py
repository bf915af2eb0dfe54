"""Offer one daemon 1, 2 and 4 times its engines' capacity: ``python -m tools.overload``.

Goodput counts complete streams whose first token arrived before the deadline.
Every refusal is checked against the journals of the engines.
"""

from __future__ import annotations

from agaterail.util import greenlets

greenlets.patch()

import argparse
import random
import tempfile
import time

import attrs
import gevent

from standins.load import Prompt, StreamClient, StreamResult, Workload
from tools.fleet import MODEL, Fleet, api_key_of, apply_tables, call, tables_toml

ENGINES = 4
WORKSPACES = 8
LARGE_WORKSPACE = 0
LARGE_WORKSPACE_SHARE = 0.6
PROMPT_TOKENS = 1000
PREFILL_MS_PER_TOKEN = 0.1
MAX_TOKENS = 8
DEADLINE_MS = 3000
SMALL_LOAD_FRACTION = 0.1
PERCENTILE = 0.95


@attrs.define
class CallerResult:
    """Result of one request for its caller."""

    workspace: int
    stream: StreamResult


@attrs.frozen(kw_only=True)
class Phase:
    """Result of one phase.

    Attributes
    ----------
    goodput
        Complete streams with the first token before the deadline, per second.
    untrue
        Refusals reported as not run although an engine's journal has the request.
    small_p95_ms
        95th percentile of the time to first token in the small workspaces.
    """

    name: str
    offered: int
    goodput: float
    refused: int
    failed: int
    untrue: int
    small_p95_ms: float
    small_refused: int
    refusal_p95_ms: float


def capacity() -> float:
    """Return how many requests per second the engines can prefill."""
    return ENGINES * 1000.0 / (PROMPT_TOKENS * PREFILL_MS_PER_TOKEN)


def main() -> None:
    """Run the phases and print one line for each."""
    parser = argparse.ArgumentParser(prog="tools.overload")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=8.0)
    arguments = parser.parse_args()
    with Fleet("error") as fleet, tempfile.TemporaryDirectory() as folder:
        _start_fleet(fleet, folder)
        runner = LoadRunner(fleet, arguments.seed, arguments.seconds)
        print(f"seed {arguments.seed}, {arguments.seconds:g} s, {capacity():g} requests/s")
        runner.run("warm-up", 0.5 * capacity(), _choose_mixed)
        phases = [
            runner.run("1x", capacity(), _choose_mixed),
            runner.run("2x", 2 * capacity(), _choose_mixed),
            runner.run("4x", 4 * capacity(), _choose_mixed),
            runner.run("small alone", SMALL_LOAD_FRACTION * capacity(), _choose_small),
            runner.run(
                "small, flood 4x", (4 + SMALL_LOAD_FRACTION) * capacity(), _choose_flood
            ),
        ]
        for phase in phases:
            print(
                ", ".join(f"{name} {_format_value(value)}" for name, value in _fields(phase))
            )
        print(f"goodput 4x / 1x: {phases[2].goodput / phases[0].goodput:.2f}")
        ratio = phases[4].small_p95_ms / phases[3].small_p95_ms
        print(f"small p95 flooded / alone: {ratio:.2f}")


class LoadRunner:
    """Open-loop load on the first daemon of a fleet."""

    def __init__(self, fleet: Fleet, seed: int, seconds: float) -> None:
        self.fleet = fleet
        self.random = random.Random(seed)
        self.seconds = seconds
        self.workload = Workload(seed, WORKSPACES)
        self.clients = [
            StreamClient(fleet.daemons[0].address, api_key_of(number), MODEL)
            for number in range(WORKSPACES)
        ]

    def run(self, name: str, rate: float, choose_workspace: object) -> Phase:
        """Offer requests with exponential gaps at a mean rate and summarize the results."""
        results: list[CallerResult] = []
        jobs = []
        end = time.monotonic() + self.seconds
        due = time.monotonic()
        while due < end:
            gevent.sleep(max(0.0, due - time.monotonic()))
            workspace = choose_workspace(self.random)  # type: ignore[operator]
            jobs.append(gevent.spawn(self._ask, workspace, results))
            due += self.random.expovariate(rate)
        gevent.joinall(jobs)
        return _summarize(name, results, self._executions(), self.seconds)

    def _ask(self, workspace: int, results: list[CallerResult]) -> None:
        self.workload.question_count += 1
        name = f"w{workspace}q{self.workload.question_count} "
        text = (name * PROMPT_TOKENS)[: PROMPT_TOKENS * 4]
        prompt = Prompt(
            workspace=workspace, customer=0, messages=({"role": "user", "content": text},)
        )
        results.append(
            CallerResult(workspace, self.clients[workspace].ask(prompt, MAX_TOKENS))
        )

    def _executions(self) -> set[str]:
        ran: set[str] = set()
        for engine in self.fleet.engines:
            journal = call(engine, "GET", "/journal")["executions"]
            ran.update(name.partition(".")[0] for name in journal)
        return ran


def _start_fleet(fleet: Fleet, folder: str) -> None:
    fleet.start_platform()
    block_tokens = PROMPT_TOKENS // 10
    fleet.start_engines(
        ENGINES,
        {"prefill_ms_per_token": PREFILL_MS_PER_TOKEN, "block_tokens": block_tokens},
    )
    pool = {
        "weights_version": "v1",
        "block_tokens": block_tokens,
        "prefill_ms_per_token": PREFILL_MS_PER_TOKEN,
    }
    route = {"deadline_ms": DEADLINE_MS}
    apply_tables(fleet, tables_toml(fleet.engines, WORKSPACES, pool, route), folder)
    fleet.start_daemons(1)


def _choose_mixed(rng: random.Random) -> int:
    return (
        LARGE_WORKSPACE
        if rng.random() < LARGE_WORKSPACE_SHARE
        else rng.randrange(1, WORKSPACES)
    )


def _choose_small(rng: random.Random) -> int:
    return rng.randrange(1, WORKSPACES)


def _choose_flood(rng: random.Random) -> int:
    return (
        _choose_small(rng)
        if rng.random() < SMALL_LOAD_FRACTION / (4 + SMALL_LOAD_FRACTION)
        else LARGE_WORKSPACE
    )


def _summarize(name: str, results: list[CallerResult], ran: set[str], seconds: float) -> Phase:
    good = [
        item
        for item in results
        if item.stream.complete and item.stream.first_token_ms <= DEADLINE_MS
    ]
    refused = [item for item in results if item.stream.outcome == "not_run"]
    small = [item for item in results if item.workspace != LARGE_WORKSPACE]
    first = [item.stream.first_token_ms for item in small if item.stream.complete]
    return Phase(
        name=name,
        offered=len(results),
        goodput=len(good) / seconds,
        refused=len(refused),
        failed=len(results) - len(refused) - sum(item.stream.complete for item in results),
        untrue=sum(item.stream.request_id in ran for item in refused),
        small_p95_ms=_percentile(first),
        small_refused=sum(item.stream.outcome == "not_run" for item in small),
        refusal_p95_ms=_percentile([item.stream.total_ms for item in refused]),
    )


def _percentile(values: list[float]) -> float:
    ordered = sorted(values)
    return ordered[int(PERCENTILE * (len(ordered) - 1))] if ordered else 0.0


def _fields(phase: Phase) -> list[tuple[str, object]]:
    return [(field.name, getattr(phase, field.name)) for field in attrs.fields(Phase)]


def _format_value(value: object) -> str:
    return f"{value:.1f}" if isinstance(value, float) else str(value)


if __name__ == "__main__":
    main()
