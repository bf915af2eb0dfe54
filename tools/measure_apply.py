"""Measure how long an edit takes to be in force on real daemons.

``python -m tools.measure_apply [DAEMONS] [EDITS]`` prints one ``name value``
pair per line.
"""

from __future__ import annotations

from agaterail.util import greenlets

greenlets.patch()

import random
import sys
import tempfile
import time

import attrs
import gevent
from returns.result import Success

from agaterail import editing
from agaterail.controllers.startup import OffsetAnswer, OffsetQuery
from agaterail.controllers.tables import LONG_POLL_S
from agaterail.logstore.http import HttpLogStore
from agaterail.peers import Peers
from agaterail.peers.datagram import DatagramTransport
from agaterail.records import Action, Change, Edit
from agaterail.tables import Route, TableName
from agaterail.tables_reader import TablesReader
from agaterail.util.address import Address
from tools.fleet import MODEL, Fleet, apply_tables, call, digest_of, tables_toml

DAEMONS = 8
EDITS = 60
WORKSPACES = 8
SEED = 5
IDLE_S = 20.0
OUTAGE_S = 3.0
OUTAGES = 5
POLL_INTERVAL_S = 0.002
IN_FORCE_TIMEOUT_S = 20.0
TARGET_DAEMONS = 410


def main() -> None:
    """Start a fleet and run the measurement."""
    daemons = int(sys.argv[1]) if len(sys.argv) > 1 else DAEMONS
    edits = int(sys.argv[2]) if len(sys.argv) > 2 else EDITS
    with Fleet("error") as fleet, tempfile.TemporaryDirectory() as folder:
        fleet.start_platform()
        fleet.start_engines(2, {})
        apply_tables(fleet, tables_toml(fleet.engines, WORKSPACES, {}, {}), folder)
        fleet.start_daemons(daemons)
        Measurement(fleet, random.Random(SEED)).run(edits)


@attrs.frozen
class EditTimes:
    """Seconds until an edit was accepted, and until all daemons served it."""

    accepted_s: float
    in_force_s: float


class Measurement:
    """Submits edits from this process and polls the offsets that the daemons serve."""

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.random = rng
        self.log = HttpLogStore(Address.parse(fleet.log))
        self.reader = TablesReader(self.log)
        editing.read_to_end(self.reader)
        own = fleet.next_address()
        transport = DatagramTransport(Address.parse(own))
        self.peers = Peers(own, transport, transport, "demo-secret")
        self.peers.start()

    def run(self, edits: int) -> None:
        """Measure and print all figures."""
        count = len(self.fleet.daemons)
        before = self._log_stats()
        started = time.monotonic()
        time.sleep(IDLE_S)
        idle = self._log_rates(before, started)
        print(f"idle.log_reads_per_daemon_s {idle['reads'] / count:.3f}")
        print(f"idle.log_bytes_per_daemon_s {idle['read_bytes'] / count:.1f}")
        before, started = self._log_stats(), time.monotonic()
        times = [self._measure_edit(number) for number in range(edits)]
        busy = self._log_rates(before, started)
        _print_percentiles("apply.accepted_ms", [item.accepted_s for item in times])
        _print_percentiles("apply.in_force_ms", [item.in_force_s for item in times])
        print(f"apply.edits_per_s {edits * busy['per_s']:.2f}")
        per_edit = count * edits * busy["per_s"]
        print(f"apply.log_reads_per_daemon_edit {busy['reads'] / per_edit:.2f}")
        print(f"apply.log_bytes_per_daemon_edit {busy['read_bytes'] / per_edit:.0f}")
        print(f"target.idle_log_reads_per_s {TARGET_DAEMONS / LONG_POLL_S:.0f}")
        _print_percentiles(
            "outage.in_force_after_return_ms",
            [self._measure_outage(n) for n in range(OUTAGES)],
        )
        self.peers.stop()

    def _measure_edit(self, number: int) -> EditTimes:
        gevent.sleep(self.random.uniform(0.02, 0.1))
        started = time.monotonic()
        offset = self._submit(f"edit-{number}")
        accepted_s = time.monotonic() - started
        self._wait_for_all(offset)
        return EditTimes(accepted_s, time.monotonic() - started)

    def _measure_outage(self, number: int) -> float:
        """Submit an edit while the log is down; return the time since its recovery."""
        self.fleet.set_faults(self.fleet.log, down=True)
        submitted = gevent.spawn(self._submit, f"outage-{number}")
        gevent.sleep(OUTAGE_S + self.random.uniform(0, 2))
        self.fleet.set_faults(self.fleet.log, down=False)
        started = time.monotonic()
        self._wait_for_all(submitted.get())
        return time.monotonic() - started

    def _submit(self, edit_id: str) -> int:
        editing.read_to_end(self.reader)
        current = self.reader.tables.routes["assistant-0"]
        row = attrs.evolve(current.row, priority=(current.row.priority + 1) % 10)
        assert isinstance(row, Route)
        assert row.models == (MODEL,)
        assert row.callers == (digest_of("key-0"),)
        change = Change(
            table=TableName.ROUTES,
            name=row.name,
            action=Action.PUT,
            expected_version=current.version,
            route=row,
        )
        edit = Edit(edit_id=edit_id, author="measure", changes=(change,))
        result = editing.submit(self.log, self.reader, edit, gevent.sleep)
        return result.unwrap().tables.through

    def _wait_for_all(self, offset: int) -> None:
        deadline = time.monotonic() + IN_FORCE_TIMEOUT_S
        waits = [
            gevent.spawn(self._wait_for_daemon, daemon.peer_address, offset, deadline)
            for daemon in self.fleet.daemons
        ]
        gevent.joinall(waits, raise_error=True)

    def _wait_for_daemon(self, address: str, offset: int, deadline: float) -> None:
        while time.monotonic() < deadline:
            answer = self.peers.query(address, OffsetQuery(), 0.1)
            if isinstance(answer, Success):
                served = answer.unwrap()
                if isinstance(served, OffsetAnswer) and served.through >= offset:
                    return
            gevent.sleep(POLL_INTERVAL_S)
        raise RuntimeError(f"{address} timed out before it served offset {offset}")

    def _log_stats(self) -> dict:
        return call(self.fleet.log, "GET", "/stats")

    def _log_rates(self, before: dict, started: float) -> dict[str, float]:
        seconds = time.monotonic() - started
        after = self._log_stats()
        rates = {
            name: (after[name] - before[name]) / seconds for name in ("reads", "read_bytes")
        }
        return {**rates, "per_s": 1 / seconds}


def _print_percentiles(name: str, seconds: list[float]) -> None:
    ordered = sorted(seconds)
    for fraction in (0.5, 0.99):
        value = ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]
        print(f"{name}.p{fraction * 100:.0f} {value * 1e3:.1f}", flush=True)


if __name__ == "__main__":
    main()
