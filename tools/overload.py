"""Offer one daemon 1, 2 and 4 times what its engines can do: ``python -m tools.overload``.

Goodput counts streams that came whole with the first token before the deadline.
Every refusal is checked against the engines' own journals.
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

from standins.load import Prompt, Seen, StreamClient, Workload
from tools.fleet import MODEL, Fleet, api_key_of, apply_tables, call, tables_toml

ENGINES = 4
WORKSPACES = 8
LARGE = 0
LARGE_SHARE = 0.6
PROMPT_TOKENS = 1000
PREFILL_MS_PER_TOKEN = 0.1
MAX_TOKENS = 8
DEADLINE_MS = 3000
SMALL_RATE = 0.1
PERCENTILE = 0.95


@attrs.define
class Asked:
    """One request and what its caller got."""

    workspace: int
    seen: Seen


@attrs.frozen(kw_only=True)
class Phase:
    """Result of one phase.

    Attributes
    ----------
    goodput
        Whole answers in time, a second.
    untrue
        Refusals said to be not run whose request is in an engine's journal.
    small_p95_ms
        95th percentile of the first token of the small workspaces.
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
    """Return the requests a second that the engines can prefill."""
    return ENGINES * 1000.0 / (PROMPT_TOKENS * PREFILL_MS_PER_TOKEN)


def main() -> None:
    """Run the phases and print one row for each."""
    parser = argparse.ArgumentParser(prog="tools.overload")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=8.0)
    arguments = parser.parse_args()
    with Fleet("error") as fleet, tempfile.TemporaryDirectory() as folder:
        _start(fleet, folder)
        runner = Runner(fleet, arguments.seed, arguments.seconds)
        print(f"seed {arguments.seed}, {arguments.seconds:g} s, {capacity():g} requests/s")
        runner.run("warm-up", 0.5 * capacity(), _mixed)
        phases = [
            runner.run("1x", capacity(), _mixed),
            runner.run("2x", 2 * capacity(), _mixed),
            runner.run("4x", 4 * capacity(), _mixed),
            runner.run("small alone", SMALL_RATE * capacity(), _small),
            runner.run("small, flood 4x", (4 + SMALL_RATE) * capacity(), _flood),
        ]
        for phase in phases:
            print(", ".join(f"{name} {_text(value)}" for name, value in _fields(phase)))
        print(f"goodput 4x / 1x: {phases[2].goodput / phases[0].goodput:.2f}")
        ratio = phases[4].small_p95_ms / phases[3].small_p95_ms
        print(f"small p95 flooded / alone: {ratio:.2f}")


class Runner:
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

    def run(self, name: str, rate: float, choose: object) -> Phase:
        """Offer requests at a rate, with exponential gaps, and judge the answers."""
        asked: list[Asked] = []
        jobs = []
        end = time.monotonic() + self.seconds
        due = time.monotonic()
        while due < end:
            gevent.sleep(max(0.0, due - time.monotonic()))
            workspace = choose(self.random)  # type: ignore[operator]
            jobs.append(gevent.spawn(self._ask, workspace, asked))
            due += self.random.expovariate(rate)
        gevent.joinall(jobs)
        return _judge(name, asked, self._executions(), self.seconds)

    def _ask(self, workspace: int, asked: list[Asked]) -> None:
        self.workload.asked += 1
        name = f"w{workspace}q{self.workload.asked} "
        text = (name * PROMPT_TOKENS)[: PROMPT_TOKENS * 4]
        prompt = Prompt(
            workspace=workspace, customer=0, messages=({"role": "user", "content": text},)
        )
        asked.append(Asked(workspace, self.clients[workspace].ask(prompt, MAX_TOKENS)))

    def _executions(self) -> set[str]:
        ran: set[str] = set()
        for engine in self.fleet.engines:
            journal = call(engine, "GET", "/journal")["executions"]
            ran.update(name.partition(".")[0] for name in journal)
        return ran


def _start(fleet: Fleet, folder: str) -> None:
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


def _mixed(rng: random.Random) -> int:
    return LARGE if rng.random() < LARGE_SHARE else rng.randrange(1, WORKSPACES)


def _small(rng: random.Random) -> int:
    return rng.randrange(1, WORKSPACES)


def _flood(rng: random.Random) -> int:
    return _small(rng) if rng.random() < SMALL_RATE / (4 + SMALL_RATE) else LARGE


def _judge(name: str, asked: list[Asked], ran: set[str], seconds: float) -> Phase:
    good = [
        item for item in asked if item.seen.whole and item.seen.first_token_ms <= DEADLINE_MS
    ]
    refused = [item for item in asked if item.seen.outcome == "not_run"]
    small = [item for item in asked if item.workspace != LARGE]
    first = [item.seen.first_token_ms for item in small if item.seen.whole]
    return Phase(
        name=name,
        offered=len(asked),
        goodput=len(good) / seconds,
        refused=len(refused),
        failed=len(asked) - len(refused) - sum(item.seen.whole for item in asked),
        untrue=sum(item.seen.request_id in ran for item in refused),
        small_p95_ms=_percentile(first),
        small_refused=sum(item.seen.outcome == "not_run" for item in small),
        refusal_p95_ms=_percentile([item.seen.total_ms for item in refused]),
    )


def _percentile(values: list[float]) -> float:
    ordered = sorted(values)
    return ordered[int(PERCENTILE * (len(ordered) - 1))] if ordered else 0.0


def _fields(phase: Phase) -> list[tuple[str, object]]:
    return [(field.name, getattr(phase, field.name)) for field in attrs.fields(Phase)]


def _text(value: object) -> str:
    return f"{value:.1f}" if isinstance(value, float) else str(value)


if __name__ == "__main__":
    main()
