"""Measure how many peers to query at a start, and how long a real start takes.

``python -m tools.measure_startup`` simulates the start-up logic for several
numbers of queried peers (k) and sufficient answers (l), with stalled and stale
peers. ``python -m tools.measure_startup real ROWS`` starts real daemons with
this number of routes.
"""

from __future__ import annotations

from agaterail.util import greenlets

greenlets.patch()

import random
import signal
import socket
import sys
import tempfile
import time

import attrs

from agaterail.startup import Decision, StartupPlan
from agaterail.util.address import Address
from tools.fleet import Daemon, Fleet, api_key_of, tables_toml

SEED = 11
STARTS = 1000
TICK_S = 0.005
START_LIMIT_S = 5.0
NEWEST_OFFSET = 100
SCHEMES = ((1, 1), (3, 1), (5, 1), (5, 3), (8, 1), (8, 4), (8, 6), (16, 8), (16, 12))
MEMBER_COUNTS = (8, 410)
RESTARTS = 8
RUNNING_DAEMONS = 2


@attrs.frozen(kw_only=True)
class SimulatedPeer:
    """A simulated peer; ``answer_s`` is None if it is stalled and never answers."""

    answer_s: float | None
    through: int


@attrs.frozen
class SimulatedStart:
    """Time until a simulated start serves, the offset it serves, and its messages."""

    seconds: float
    through: int
    messages: int


def main() -> None:
    """Run the simulation or the real starts."""
    if sys.argv[1:2] == ["real"]:
        _measure_real_starts(int(sys.argv[2]))
        return
    print("members stalled stale   k l  p50_ms p99_ms below_newest messages")
    rng = random.Random(SEED)
    for members in MEMBER_COUNTS:
        for stalled, stale in ((0.0, 0.2), (0.25, 0.25), (0.5, 0.5)):
            for peers_per_round, sufficient_answers in SCHEMES:
                _print_scheme(
                    rng, members, stalled, stale, peers_per_round, sufficient_answers
                )


def _print_scheme(
    rng: random.Random,
    members: int,
    stalled: float,
    stale: float,
    peers_per_round: int,
    sufficient_answers: int,
) -> None:
    starts = [
        _simulate_start(
            rng,
            _random_peers(rng, members - 1, stalled, stale),
            peers_per_round,
            sufficient_answers,
        )
        for _ in range(STARTS)
    ]
    times = sorted(start.seconds for start in starts)
    below_newest = sum(start.through < NEWEST_OFFSET for start in starts) / STARTS
    messages = sum(start.messages for start in starts) / STARTS
    print(
        f"{members:7d} {stalled:7.2f} {stale:5.2f} {peers_per_round:3d} {sufficient_answers}  "
        f"{times[STARTS // 2] * 1e3:6.0f} {times[STARTS * 99 // 100] * 1e3:6.0f} "
        f"{below_newest:12.4f} {messages:8.1f}"
    )


def _random_peers(
    rng: random.Random, count: int, stalled: float, stale: float
) -> dict[str, SimulatedPeer]:
    peers = {}
    for number in range(count):
        is_stalled = rng.random() < stalled
        is_stale = rng.random() < stale
        peers[str(number)] = SimulatedPeer(
            answer_s=None if is_stalled else rng.lognormvariate(-6.2, 0.8),
            through=NEWEST_OFFSET - rng.randint(1, 20) if is_stale else NEWEST_OFFSET,
        )
    return peers


def _simulate_start(
    rng: random.Random,
    peers: dict[str, SimulatedPeer],
    peers_per_round: int,
    sufficient_answers: int,
) -> SimulatedStart:
    """Simulate a start while the log is down, so that only peers can answer."""
    plan = StartupPlan(rng, 0.0, peers_per_round, sufficient_answers)
    plan.log.failed = True
    now, messages = 0.0, 0
    while now < START_LIMIT_S:
        current = plan.round
        if current is not None:
            for address in sorted(current.pending):
                answer_s = peers[address].answer_s
                if answer_s is not None and now - current.started_at >= answer_s:
                    current.on_answer(address, peers[address].through)
        if plan.decide(-1, now) is Decision.FETCH and plan.round is not None:
            return SimulatedStart(now, plan.round.floor, messages)
        messages += len(plan.next_round(peers, now))
        now += TICK_S
    return SimulatedStart(START_LIMIT_S, -1, messages)


def _measure_real_starts(rows: int) -> None:
    with Fleet("error") as fleet, tempfile.TemporaryDirectory() as folder:
        fleet.start_platform()
        fleet.start_engines(2, {"prefill_ms_per_token": 0.001})
        _apply(fleet, folder, tables_toml(fleet.engines, rows, {}, {}))
        fleet.start_daemons(RUNNING_DAEMONS)
        _measure_restarts(fleet, "log_up_peers_up", rows)
        fleet.set_faults(fleet.log, down=True)
        _measure_restarts(fleet, "log_down_peers_up", rows)
        fleet.set_faults(fleet.log, down=False)
        for daemon in fleet.daemons:
            daemon.process.kill()
            daemon.process.wait()
        _measure_restarts(fleet, "log_up_peers_dead", rows)


def _apply(fleet: Fleet, folder: str, text: str) -> None:
    from agaterail.cmd.tables import apply

    with open(f"{folder}/tables.toml", "w", encoding="utf-8") as file:
        file.write(text)
    status = apply([folder], fleet.log, "measure", False, in_parts=True)
    if status:
        raise RuntimeError(f"applying the tables failed with exit status {status}")


def _measure_restarts(fleet: Fleet, name: str, rows: int) -> None:
    times = []
    for _ in range(RESTARTS):
        daemon = fleet.start_daemon()
        times.append(_first_token_s(daemon))
        daemon.process.send_signal(signal.SIGKILL)
        daemon.process.wait()
        fleet.put_host(daemon.peer_address, "router", "gone", "a")
    times.sort()
    print(f"start.{name}.median_ms {rows} {times[len(times) // 2] * 1e3:.0f}")
    print(f"start.{name}.max_ms {rows} {times[-1] * 1e3:.0f}", flush=True)


def _first_token_s(daemon: Daemon) -> float:
    """Return the seconds from the open port to the first token of a request."""
    address = Address.parse(daemon.address)
    while True:
        try:
            socket.create_connection((address.host, address.port), 0.2).close()
            break
        except OSError:
            time.sleep(0.002)
    opened = time.monotonic()
    from standins.load import StreamClient, Workload

    prompt = next(iter(Workload(SEED, workspaces=1).prompts(1)))
    client = StreamClient(daemon.address, api_key_of(0), "atlas")
    while True:
        sent_at = time.monotonic()
        result = client.ask(prompt)
        if result.complete:
            return sent_at - opened + result.first_token_ms / 1e3
        if time.monotonic() - opened > 20:
            raise RuntimeError("no request was served within 20 s after the port opened")
        time.sleep(0.005)


if __name__ == "__main__":
    main()
