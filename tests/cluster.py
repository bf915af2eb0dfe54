"""Daemons in one process on a manual clock, for tests and measurements."""

from __future__ import annotations

import random
from collections.abc import Callable

from returns.result import Result, Success

from agaterail import editing
from agaterail.application import Application
from agaterail.controllers.snapshots import SnapshotsController
from agaterail.controllers.startup import StartupController
from agaterail.controllers.tables import tables_controller
from agaterail.hostlists import Host, HostList, HostRole, HostState
from agaterail.logstore.memory import MemoryLogStore
from agaterail.peers import Peers
from agaterail.peers.memory import MemoryNetwork, MemoryTransport
from agaterail.records import TABLES_STREAM
from agaterail.settings import Settings
from agaterail.tables import NO_VERSION
from agaterail.tables_reader import TablesReader
from agaterail.timers import ManualTimerService
from agaterail.util.address import Address

CONTROLLER_MODULES = (
    "agaterail.controllers.tables",
    "agaterail.controllers.hosts",
    "agaterail.controllers.startup",
    "agaterail.controllers.snapshots",
)


def address_of(number: int) -> str:
    return f"10.0.{number // 250}.{number % 250 + 1}:1"


def run_inline(function: Callable[..., None], *arguments: object) -> None:
    function(*arguments)


class FixedHostList(HostList):
    def __init__(self, count: int) -> None:
        self.hosts = tuple(
            Host(address_of(number), HostRole.ROUTER, HostState.LIVE, "a")
            for number in range(count)
        )

    def fetch(self) -> Result[tuple[Host, ...], str]:
        return Success(self.hosts)


class Cluster:
    """Daemons in one process that share a log, a network and a manual clock."""

    def __init__(
        self, count: int = 4, seed: int = 0, log: MemoryLogStore | None = None
    ) -> None:
        self.log = log or MemoryLogStore()
        self.network = MemoryNetwork()
        self.timers = ManualTimerService()
        self.random = random.Random(seed)
        self.count = count
        self.apps: dict[int, Application] = {}
        self.paused: set[int] = set()

    def start(self, number: int) -> Application:
        own = address_of(number)
        transport = MemoryTransport(self.network, own)
        app = Application(
            Settings(peer_listen=Address.parse(own), snapshot_interval_s=600.0),
            timers=self.timers,
            log_store=self.log,
            host_list=FixedHostList(self.count),
            peers=Peers(own, transport, MemoryTransport(self.network, own), "s"),
            modules=CONTROLLER_MODULES,
        )
        startup = app.controllers["startup"]
        assert isinstance(startup, StartupController)
        startup.spawn = run_inline
        startup.random = random.Random(self.random.random())
        tables_controller(app).random = random.Random(self.random.random())
        snapshots = app.controllers["snapshots"]
        assert isinstance(snapshots, SnapshotsController)
        snapshots.schedule.random = random.Random(self.random.random())
        transport.start()
        self.apps[number] = app
        self.paused.discard(number)
        return app

    def kill(self, number: int) -> None:
        self.apps.pop(number).peers.calls.stop()
        self.paused.discard(number)

    def pause(self, number: int) -> None:
        self.apps[number].peers.calls.stop()
        self.paused.add(number)

    def resume(self, number: int) -> None:
        self.paused.discard(number)
        self.apps[number].peers.calls.start()

    def step(self, number: int) -> None:
        if number in self.apps and number not in self.paused:
            for name in ("tables", "hosts", "startup", "snapshots"):
                self.apps[number].controllers[name].reconcile()

    def run(self, seconds: float, pause_s: float = 0.5) -> None:
        for _ in range(int(seconds / pause_s)):
            self.timers.advance(pause_s)
            for number in sorted(self.apps):
                self.step(number)

    def newest_peer_offset(self, number: int) -> int:
        """Return the newest offset served by any other daemon that is not paused."""
        return max(
            (
                app.tables.through
                for other, app in self.apps.items()
                if other != number and other not in self.paused
            ),
            default=NO_VERSION,
        )

    def log_is_replayable(self) -> bool:
        """Whether a new reader reaches the end of the log without help from peers.

        Faults of the log are switched off during the check.
        """
        reader = TablesReader(self.log)
        down, stale = self.log.down, self.log.stale_records
        self.log.down, self.log.stale_records = False, 0
        reached_end = isinstance(editing.read_to_end(reader), Success)
        self.log.down, self.log.stale_records = down, stale
        return reached_end

    def log_end(self) -> int:
        return self.log.next_offset.get(TABLES_STREAM, 0)

    def log_start(self) -> int:
        records = self.log.streams.get(TABLES_STREAM, [])
        return records[0].offset if records else self.log_end()

    def gapless_daemons(self) -> set[int]:
        """Return the daemons that can continue reading the log without a gap."""
        return {
            number
            for number, app in self.apps.items()
            if tables_controller(app).reader.tables.through + 1 >= self.log_start()
            and app.tables.through != NO_VERSION
        }
