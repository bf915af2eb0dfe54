"""Measure which peers to ask at a start, and how long a real start takes.

``python -m tools.measure_startup`` simulates the start-up logic for several
numbers of asked peers (k) and of answers waited for (l), with stalled and stale
peers; ``python -m tools.measure_startup real ROWS`` starts real daemons.
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
LIMIT_S = 5.0
NEWEST = 100
SCHEMES = ((1, 1), (3, 1), (5, 1), (5, 3), (8, 1), (8, 4), (8, 6), (16, 8), (16, 12))
SIZES = (8, 410)
RESTARTS = 8
OLD_DAEMONS = 2


@attrs.frozen(kw_only=True)
class Peer:
    """A simulated peer; ``answer_s`` is None when it is stalled."""

    answer_s: float | None
    through: int


@attrs.frozen
class Start:
    """One simulated start: seconds until it serves, what it serves, messages."""

    seconds: float
    through: int
    messages: int


def main() -> None:
    """Run the simulation or the real starts."""
    if sys.argv[1:2] == ["real"]:
        _real(int(sys.argv[2]))
        return
    print("members stalled stale   k l  p50_ms p99_ms below_newest messages")
    source = random.Random(SEED)
    for members in SIZES:
        for stalled, stale in ((0.0, 0.2), (0.25, 0.25), (0.5, 0.5)):
            for asked, wanted in SCHEMES:
                _print(source, members, stalled, stale, asked, wanted)


def _print(
    source: random.Random, members: int, stalled: float, stale: float, asked: int, wanted: int
) -> None:
    starts = [
        _start(source, _peers(source, members - 1, stalled, stale), asked, wanted)
        for _ in range(STARTS)
    ]
    times = sorted(start.seconds for start in starts)
    below = sum(start.through < NEWEST for start in starts) / STARTS
    messages = sum(start.messages for start in starts) / STARTS
    print(
        f"{members:7d} {stalled:7.2f} {stale:5.2f} {asked:3d} {wanted}  "
        f"{times[STARTS // 2] * 1e3:6.0f} {times[STARTS * 99 // 100] * 1e3:6.0f} "
        f"{below:12.4f} {messages:8.1f}"
    )


def _peers(source: random.Random, count: int, stalled: float, stale: float) -> dict[str, Peer]:
    peers = {}
    for number in range(count):
        hangs = source.random() < stalled
        old = source.random() < stale
        peers[str(number)] = Peer(
            answer_s=None if hangs else source.lognormvariate(-6.2, 0.8),
            through=NEWEST - source.randint(1, 20) if old else NEWEST,
        )
    return peers


def _start(source: random.Random, peers: dict[str, Peer], asked: int, wanted: int) -> Start:
    """Start with the log down; only the peers can answer."""
    plan = StartupPlan(source, 0.0, asked, wanted)
    plan.log.failed = True
    now, messages = 0.0, 0
    while now < LIMIT_S:
        current = plan.round
        if current is not None:
            for address in sorted(current.pending):
                answer_s = peers[address].answer_s
                if answer_s is not None and now - current.started_at >= answer_s:
                    current.on_answer(address, peers[address].through)
        if plan.decide(-1, now) is Decision.FETCH and plan.round is not None:
            return Start(now, plan.round.floor, messages)
        messages += len(plan.next_round(peers, now))
        now += TICK_S
    return Start(LIMIT_S, -1, messages)


def _real(rows: int) -> None:
    with Fleet("error") as fleet, tempfile.TemporaryDirectory() as folder:
        fleet.start_platform()
        fleet.start_engines(2, {"prefill_ms_per_token": 0.001})
        _apply(fleet, folder, tables_toml(fleet.engines, rows, {}, {}))
        fleet.start_daemons(OLD_DAEMONS)
        _restarts(fleet, "log_up_peers_up", rows)
        fleet.set_faults(fleet.log, down=True)
        _restarts(fleet, "log_down_peers_up", rows)
        fleet.set_faults(fleet.log, down=False)
        for daemon in fleet.daemons:
            daemon.process.kill()
            daemon.process.wait()
        _restarts(fleet, "log_up_peers_dead", rows)


def _apply(fleet: Fleet, folder: str, text: str) -> None:
    from agaterail.cmd.tables import apply

    with open(f"{folder}/tables.toml", "w", encoding="utf-8") as file:
        file.write(text)
    status = apply([folder], fleet.log, "measure", False, in_parts=True)
    if status:
        raise RuntimeError(f"apply failed with {status}")


def _restarts(fleet: Fleet, name: str, rows: int) -> None:
    times = []
    for _ in range(RESTARTS):
        daemon = fleet.start_daemon()
        times.append(_first_answer_s(daemon))
        daemon.process.send_signal(signal.SIGKILL)
        daemon.process.wait()
        fleet.put_host(daemon.peer_address, "router", "gone", "a")
    times.sort()
    print(f"start.{name}.median_ms {rows} {times[len(times) // 2] * 1e3:.0f}")
    print(f"start.{name}.max_ms {rows} {times[-1] * 1e3:.0f}", flush=True)


def _first_answer_s(daemon: Daemon) -> float:
    """Return the seconds from the open port to a first token."""
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
        asked = time.monotonic()
        seen = client.ask(prompt)
        if seen.complete:
            return asked - opened + seen.first_token_ms / 1e3
        if time.monotonic() - opened > 20:
            raise RuntimeError("no request was served in 20 s")
        time.sleep(0.005)


if __name__ == "__main__":
    main()
