"""One benchmark cell: a policy, a workload and a fault on a fleet of its own."""

from __future__ import annotations

import collections
import json
import os
import signal
import tempfile
import time
from collections.abc import Callable, Iterable, Mapping, Sequence

import attrs
import gevent
from gevent.pool import Group

from standins.load import StreamClient, StreamResult
from tools.bench import figures, probe, tune
from tools.bench.figures import DaemonCounts, EngineCounts, Figures
from tools.bench.workloads import (
    BLOCK_PREFILL_MS,
    BLOCK_TOKENS,
    PROFILES,
    WORKSPACES,
    Arrival,
    Trace,
)
from tools.fleet import (
    MODEL,
    Daemon,
    Fleet,
    api_key_of,
    apply_tables,
    call,
    tables_toml,
    wait_for,
)

ENGINES = 5
DAEMONS = 3
CAPACITY_BLOCKS = 60
PREFILL_MS_PER_TOKEN = BLOCK_PREFILL_MS / BLOCK_TOKENS
# One fifth of the prefill time of a block, as for about 300 MB over a fast network.
TRANSFER_MS_PER_BLOCK = 10.0
MAX_TOKENS = 8
EVENT_DELAY_MS = 100
LOAD_LAG_MS = 200
WARM_UP_REQUESTS = 300
WARM_UP_RATE_PER_S = 100.0
WARM_UP_PREFILL_FACTOR = 0.02
SETTLE_S = 1.0
LATE_PART_START = 0.75
STORE_SLOW_FACTOR = 50.0
ANSWER_MARGIN_S = 5.0
BALANCER_LAG_S = 0.5
DRAIN_LAG_S = 1.0
# Hashing depends on the addresses, so they are the same in each run.
FIRST_PORT = 7400
ORACLE = "oracle"
PROBE_EXTENSION = "tools.bench.probe"
TUNE_EXTENSION = "tools.bench.tune"
ORACLE_EXTENSION = "tools.oracle"
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
KIB_PER_MIB = 1024


@attrs.frozen(kw_only=True)
class Cell:
    """Parameters of one measurement.

    Attributes
    ----------
    fault
        Key in ``FAULTS``.
    pool, route
        Fields of the pool and of the route that override the defaults.
    tune
        Attributes of ``tools.bench.tune.Tuning``, which changes the ``cost`` policy.
    slot
        Number that separates the addresses from those of concurrent fleets.
    """

    workload: str
    policy: str
    seed: int
    seconds: float
    fault: str = "none"
    pool: Mapping[str, object] = attrs.field(factory=dict)
    route: Mapping[str, object] = attrs.field(factory=dict)
    tune: Mapping[str, object] = attrs.field(factory=dict)
    slot: int = 0
    label: str = ""

    @property
    def name(self) -> str:
        """Return the name of the cell in reports and for ``--only``."""
        if self.label:
            return self.label
        return self.policy if self.fault == "none" else f"{self.policy}, {self.fault}"


class Runner:
    """Starts a fleet, sends the trace and collects the figures."""

    def __init__(self, cell: Cell, fleet: Fleet) -> None:
        self.cell = cell
        self.fleet = fleet
        self.profile = PROFILES[cell.workload]
        self.clients: dict[tuple[str, int], StreamClient] = {}
        self.out_of_rotation: set[str] = set()
        self.lateness_ms: list[float] = []

    def run(self) -> Figures:
        """Run the trace, with a fault at half time, and return the figures."""
        self._start()
        trace = Trace(self.profile, self.cell.seed)
        self._warm_up(trace)
        arrivals = trace.arrivals(self.cell.seconds)
        engines, daemons = self._engine_counts(), self._daemon_counts()
        fault_timer = gevent.spawn_later(self.cell.seconds / 2, FAULTS[self.cell.fault], self)
        started = time.monotonic()
        results = self._send(arrivals)
        seconds = time.monotonic() - started
        fault_timer.join()
        result = self._figures(
            results, seconds, engines, self._engine_counts(), daemons, self._daemon_counts()
        )
        late_start_s = self.cell.seconds * LATE_PART_START
        late = [
            item
            for arrival, item in zip(arrivals, results, strict=True)
            if arrival.at_s >= late_start_s
        ]
        return attrs.evolve(result, late_hit_rate=_client_hit_rate(late))

    def _start(self) -> None:
        self.fleet.start_platform()
        engine = {
            "block_tokens": BLOCK_TOKENS,
            "capacity_blocks": CAPACITY_BLOCKS,
            "prefill_ms_per_token": PREFILL_MS_PER_TOKEN,
        }
        self.fleet.set_faults(self.fleet.kv_store, ms_per_block=TRANSFER_MS_PER_BLOCK)
        self.fleet.start_engines(ENGINES, engine)
        with tempfile.TemporaryDirectory() as folder:
            apply_tables(self.fleet, self._tables(), folder)
        self.fleet.start_daemons(DAEMONS, self.flags)
        for engine_address in self.fleet.engines:
            lags = {"event_delay_ms": EVENT_DELAY_MS, "load_lag_ms": LOAD_LAG_MS}
            self.fleet.set_faults(engine_address, **lags)

    @property
    def flags(self) -> list[str]:
        """Return the command-line flags of the daemons."""
        names = [PROBE_EXTENSION]
        if self.cell.tune:
            names.append(TUNE_EXTENSION)
        if self.cell.policy == ORACLE:
            names.append(ORACLE_EXTENSION)
        lag = str(DRAIN_LAG_S)
        return ["--extensions", ",".join(names), "--drain-lag-s", lag]

    def _tables(self) -> str:
        policy = "cost" if self.cell.policy == ORACLE else self.cell.policy
        pool = {
            "block_tokens": BLOCK_TOKENS,
            "prefill_ms_per_token": PREFILL_MS_PER_TOKEN,
            "weights_version": "v1",
            "policy": policy,
            **self.cell.pool,
        }
        route = {
            "deadline_ms": self.profile.deadline_ms,
            "miss_weight": self.profile.miss_weight,
            **self.cell.route,
        }
        return tables_toml(self.fleet.engines, WORKSPACES, pool, route)

    def _warm_up(self, trace: Trace) -> None:
        for engine in self.fleet.engines:
            self.fleet.set_faults(engine, prefill_factor=WARM_UP_PREFILL_FACTOR)
        self._send(trace.warm_up(WARM_UP_REQUESTS, WARM_UP_RATE_PER_S))
        self.lateness_ms.clear()
        for engine in self.fleet.engines:
            self.fleet.set_faults(engine, prefill_factor=1.0)
        if self.cell.fault in PERSISTENT_FAULTS:
            for engine in self.fleet.engines:
                self.fleet.set_faults(engine, **PERSISTENT_FAULTS[self.cell.fault])
        gevent.sleep(SETTLE_S)

    def _send(self, arrivals: Sequence[Arrival]) -> list[StreamResult]:
        started = time.monotonic()
        group = Group()
        requests = []
        for arrival in arrivals:
            gevent.sleep(max(0.0, started + arrival.at_s - time.monotonic()))
            self.lateness_ms.append((time.monotonic() - started - arrival.at_s) * 1e3)
            requests.append(group.spawn(self._send_request, arrival))
        group.join(timeout=self.profile.deadline_ms / 1e3 + ANSWER_MARGIN_S)
        return [
            greenlet.value
            if greenlet.successful()
            else StreamResult(error="no answer in time")
            for greenlet in requests
        ]

    def _send_request(self, arrival: Arrival) -> StreamResult:
        daemons = [
            daemon.address
            for daemon in self.fleet.daemons
            if daemon.address not in self.out_of_rotation
        ]
        address = daemons[arrival.daemon_selector % len(daemons)]
        workspace = arrival.prompt.workspace
        client = self.clients.get((address, workspace))
        if client is None:
            client = StreamClient(address, api_key_of(workspace), MODEL)
            self.clients[address, workspace] = client
        return client.ask(arrival.prompt, MAX_TOKENS)

    def _engine_counts(self) -> list[EngineCounts]:
        counts = []
        for engine in self.fleet.engines:
            journal = call(engine, "GET", "/journal")
            counts.append(
                EngineCounts(
                    prompt_tokens=journal["prompt_tokens"],
                    cached_tokens=journal["cached_tokens"],
                    computed_tokens=journal["computed_tokens"],
                    imported_blocks=journal["imported_blocks"],
                    blocks=call(engine, "GET", "/computed")["blocks"],
                )
            )
        return counts

    def _daemon_counts(self) -> list[DaemonCounts]:
        return [_daemon_counts(daemon) for daemon in self.fleet.daemons]

    def _figures(
        self,
        results: Sequence[StreamResult],
        seconds: float,
        before: Sequence[EngineCounts],
        after: Sequence[EngineCounts],
        daemons_before: Sequence[DaemonCounts],
        daemons_after: Sequence[DaemonCounts],
    ) -> Figures:
        computed = [
            new.computed_tokens - old.computed_tokens
            for old, new in zip(before, after, strict=True)
        ]
        busy = [tokens * PREFILL_MS_PER_TOKEN / 1e3 / self.cell.seconds for tokens in computed]
        deadline = float(self.profile.deadline_ms)
        first = sorted(item.first_token_ms if item.complete else deadline for item in results)
        late = sorted(self.lateness_ms)
        return Figures(
            requests=len(results),
            hit_rate=figures.hit_rate(before, after),
            computed_tokens=sum(computed),
            wasted_tokens=figures.wasted_tokens(before, after, BLOCK_TOKENS),
            imported_blocks=sum(
                new.imported_blocks - old.imported_blocks
                for old, new in zip(before, after, strict=True)
            ),
            first_token_ms=tuple(round(value, 1) for value in first),
            not_whole=sum(not item.complete for item in results),
            errors=collections.Counter(
                _error_kind(item) for item in results if not item.complete
            ),
            reasons=collections.Counter(item.reason for item in results if item.complete),
            late_hit_rate=0.0,
            busiest=max(busy),
            mean_busy=sum(busy) / len(busy),
            late_ms=(figures.percentile(late, 0.99), max(late)),
            **_control_cost(daemons_before, daemons_after, seconds),
        )


def measure(cell: Cell) -> Figures:
    """Measure one cell on a fleet of its own."""
    os.environ[tune.TUNING_VARIABLE] = json.dumps(dict(cell.tune))
    with Fleet(
        log_level="error", host=f"127.77.0.{cell.slot + 1}", first_port=FIRST_PORT
    ) as fleet:
        return Runner(cell, fleet).run()


def _control_cost(
    before: Sequence[DaemonCounts], after: Sequence[DaemonCounts], seconds: float
) -> dict[str, float]:
    # The counters of a restarted daemon start again at zero, so its differences are
    # excluded.
    pairs = [(old, new) for old, new in zip(before, after, strict=True) if old.pid == new.pid]
    count = max(1, len(pairs))
    return {
        "sent_bytes_per_s": sum(new.sent_bytes - old.sent_bytes for old, new in pairs)
        / seconds
        / count,
        "cpu_s": sum(new.cpu_s - old.cpu_s for old, new in pairs) / count,
        "rss_mb": max(new.rss_mb for new in after),
    }


def _daemon_counts(daemon: Daemon) -> DaemonCounts:
    pid = daemon.process.pid
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        resident = next(line for line in file if line.startswith("VmRSS"))
    traffic = call(daemon.address, "GET", probe.PROBE_PATH)
    return DaemonCounts(
        pid=pid,
        cpu_s=(int(fields[11]) + int(fields[12])) / CLOCK_TICKS,
        rss_mb=int(resident.split()[1]) / KIB_PER_MIB,
        sent_bytes=traffic["sent_bytes"],
        sent_messages=traffic["sent_messages"],
    )


def _client_hit_rate(results: Sequence[StreamResult]) -> float:
    prompt = sum(item.prompt_tokens for item in results if item.complete)
    return sum(item.cached_tokens for item in results if item.complete) / max(1, prompt)


def _error_kind(result: StreamResult) -> str:
    try:
        return str(json.loads(result.error)["error"]["code"])
    except (ValueError, KeyError, TypeError):
        return result.error[:60] or "incomplete"


# Faults


def _no_fault(_runner: Runner) -> None:
    return


def _crash_engine(runner: Runner) -> None:
    call(runner.fleet.engines[0], "POST", "/crash")


def _log_down(runner: Runner) -> None:
    runner.fleet.set_faults(runner.fleet.log, down=True)


def _store_down(runner: Runner) -> None:
    runner.fleet.set_faults(runner.fleet.kv_store, down=True)


def _store_slow(runner: Runner) -> None:
    slow = TRANSFER_MS_PER_BLOCK * STORE_SLOW_FACTOR
    runner.fleet.set_faults(runner.fleet.kv_store, ms_per_block=slow)


def _rolling_restart(runner: Runner) -> None:
    for index in range(len(runner.fleet.daemons)):
        _restart(runner, [index], signal.SIGTERM)


def _restart_all(runner: Runner) -> None:
    _restart(runner, range(len(runner.fleet.daemons)), signal.SIGKILL)


def _restart(runner: Runner, indexes: Iterable[int], signal_number: int) -> None:
    old = [runner.fleet.daemons[index] for index in indexes]
    for daemon in old:
        daemon.process.send_signal(signal_number)
    if signal_number == signal.SIGTERM:
        # The platform's load balancer keeps sending new connections until it sees
        # the readiness check fail.
        gevent.sleep(BALANCER_LAG_S)
        runner.out_of_rotation.update(daemon.address for daemon in old)
    for daemon in old:
        while daemon.process.poll() is None:
            gevent.sleep(0.05)
        index = runner.fleet.daemons.index(daemon)
        runner.fleet.daemons[index] = runner.fleet.start_daemon(
            runner.flags, daemon.address, daemon.peer_address
        )
    for daemon in old:
        wait_for(daemon.address, "/readyz")
    runner.out_of_rotation.difference_update(daemon.address for daemon in old)


# What happens at half time. The persistent faults begin after the warm-up instead.
FAULTS: Mapping[str, Callable[[Runner], None]] = {
    "none": _no_fault,
    "crash": _crash_engine,
    "log_down": _log_down,
    "store_down": _store_down,
    "store_slow": _store_slow,
    "rolling_restart": _rolling_restart,
    "restart_all": _restart_all,
    "events_lost_1": _no_fault,
    "events_lost_10": _no_fault,
    "events_lost_30": _no_fault,
    "load_lag_1": _no_fault,
    "load_lag_5": _no_fault,
    "load_counts_cached": _no_fault,
}
PERSISTENT_FAULTS: Mapping[str, Mapping[str, float]] = {
    "events_lost_1": {"event_loss": 0.01},
    "events_lost_10": {"event_loss": 0.10},
    "events_lost_30": {"event_loss": 0.30},
    "load_lag_1": {"load_lag_ms": 1000},
    "load_lag_5": {"load_lag_ms": 5000},
    "load_counts_cached": {"load_counts_cached": True},
}
