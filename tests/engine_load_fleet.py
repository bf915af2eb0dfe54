"""A fleet of daemons on a manual clock that exchange loads of engines."""

from __future__ import annotations

import enum
import random

import attrs
import gevent
from returns.result import Failure, Success

from agaterail.engineloads.controller import EngineLoadController
from agaterail.engineloads.gatherer import Gatherer
from agaterail.engineloads.messages import PATH
from agaterail.engineloads.ownloads import OwnEngineLoads
from agaterail.engineloads.view import FleetEngineLoads
from agaterail.gateway.coordinators import Coordinators
from agaterail.gateway.inbound import InboundRequest
from agaterail.gateway.metrics import GatewayMetrics
from agaterail.gateway.targets import Registration, Target
from agaterail.util.httpconn import ConnectFailed, ExchangeBroken

SERVICE = "llm"
TICK_S = 0.1
DOMAINS = ("z1", "z2", "z3")


class State(enum.Enum):
    """How a daemon takes the reports of others."""

    UP = "up"
    DEAD = "dead"
    FROZEN = "frozen"
    FORMER_BUILD = "former build"
    MALFORMED = "malformed"


class Caller:
    """The connection of a report, which keeps its answer."""

    def __init__(self) -> None:
        self.status = 0
        self.body = b""

    def send_answer(self, status, _lines, body) -> None:
        self.status, self.body = status, body


@attrs.define(eq=False, slots=False)
class FleetDaemon:
    """One daemon of the fleet: its parts that concern loads of engines."""

    fleet: EngineLoadFleet
    number: int

    def __attrs_post_init__(self) -> None:
        fleet = self.fleet
        self.address = f"10.0.0.{self.number}:1"
        self.domain = DOMAINS[self.number % len(DOMAINS)]
        self.state = State.UP
        self.backlog: list[bytes] = []
        self.received = 0
        self.sent_bytes: list[int] = []
        self.readers: tuple[str, ...] | None = None
        self.targets = {name: fleet.make_target(name) for name in fleet.starts}
        self.coordinators = Coordinators(
            name=f"d-{self.number}",
            own_address=self.address,
            readers=lambda: fleet.readers if self.readers is None else self.readers,
            daemons=lambda: float(fleet.size),
            now=fleet.now,
        )
        self.coordinators.peers = _Peers(self)
        self.view = FleetEngineLoads(
            lambda name: self.targets[name].start if name in self.targets else None, fleet.now
        )
        self.own = OwnEngineLoads()
        self.metrics = GatewayMetrics()
        self.controller = EngineLoadController(
            self.coordinators,
            self.view,
            self.own,
            Gatherer(self.engines_of, self.coordinators.largest_fleet, fleet.now),
            self.domain,
            services=lambda: (SERVICE,),
            targets_of=lambda _service: list(self.targets.values()),
            reports=self.metrics.load_reports,
            now=fleet.now,
            number=random.Random(self.number).random,
        )

    def engines_of(self, service):
        return tuple(sorted(self.fleet.starts.items())) if service == SERVICE else ()

    def begin(self, engine, tokens=1000) -> None:
        """Send a prompt to an engine."""
        target = self.targets[engine]
        target.begin_request(self.fleet.now())
        target.prefill_tokens += tokens
        target.kv_tokens += tokens + 100

    def hear(self, *engines) -> None:
        """Receive bytes from engines."""
        for engine in engines:
            target = self.targets[engine]
            target.heard_at = target.data_at = self.fleet.now()

    def step(self) -> None:
        self.coordinators.step()
        self.controller.step()

    def handle(self, body: bytes) -> tuple[int, bytes]:
        self.received += 1
        caller = Caller()
        inbound = InboundRequest(method=b"POST", target=PATH, headers=[], body=body)
        self.controller.handle(inbound, caller)
        return caller.status, caller.body

    def exchange(self, body: bytes):
        """Return the outcome of a call that another daemon makes to this one."""
        if self.state is State.DEAD:
            return Failure(ConnectFailed("refused"))
        if self.state is State.FROZEN:
            self.backlog.append(body)
            return Failure(ExchangeBroken("timed out", timed_out=True))
        if self.state is State.FORMER_BUILD:
            self.received += 1
            return Success((404, b""))
        status, answer = self.handle(body)
        return Success((status, b"\xc1" if self.state is State.MALFORMED else answer))

    def thaw(self) -> None:
        """Go on, and handle first what arrived while this daemon was frozen."""
        self.state = State.UP
        for body in self.backlog:
            self.handle(body)
        self.backlog = []


class _Peers:
    """Connections of one daemon to the others."""

    def __init__(self, daemon: FleetDaemon) -> None:
        self.daemon = daemon

    def to(self, address: str) -> _Peer:
        return _Peer(self.daemon, address)


@attrs.frozen
class _Peer:
    daemon: FleetDaemon
    address: str

    def call(self, method, path, body=b"", **_arguments):
        fleet = self.daemon.fleet
        if (self.daemon.address, self.address) in fleet.cut:
            return Failure(ExchangeBroken("timed out", timed_out=True))
        assert (method, path) == ("POST", PATH.decode())
        outcome = fleet.by_address[self.address].exchange(body)
        answer = outcome.unwrap()[1] if isinstance(outcome, Success) else b""
        self.daemon.sent_bytes.append(len(body) + len(answer))
        return outcome


class EngineLoadFleet:
    """Daemons that report to the one that gathers.

    Attributes
    ----------
    size
        Number of daemons as the daemons know it.
    readers
        Addresses of the daemons that may gather.
    cut
        Pairs of addresses between which nothing passes.
    """

    def __init__(self, daemons: int = 9, engines: int = 6) -> None:
        self.time = 1000.0
        self.size = daemons
        self.cut: set[tuple[str, str]] = set()
        self.starts = {f"e-{number}": 1 for number in range(engines)}
        self.readers: tuple[str, ...] = ()
        self.daemons = [FleetDaemon(self, number) for number in range(daemons)]
        self.by_address = {daemon.address: daemon for daemon in self.daemons}
        self.readers = tuple(daemon.address for daemon in self.daemons[:2])

    def now(self) -> float:
        return self.time

    def make_target(self, name: str) -> Target:
        registration = Registration(
            instance=name,
            service=SERVICE,
            address="10.0.1.1:1",
            domain="z1",
            ready=True,
            born=self.starts[name],
        )
        return Target(registration=registration)

    def restart(self, engine: str) -> None:
        """Start an engine anew under its id; all daemons learn of it."""
        self.starts[engine] += 1
        for daemon in self.daemons:
            daemon.targets[engine] = self.make_target(engine)

    def advance(self, seconds: float) -> None:
        end = self.time + seconds - TICK_S / 2.0
        while self.time < end:
            self.time += TICK_S
            for daemon in self.daemons:
                if daemon.state not in (State.DEAD, State.FROZEN):
                    daemon.step()
            gevent.sleep(0)

    @property
    def gatherer(self) -> FleetDaemon:
        """Return the daemon to which the last one reports."""
        return self.by_address[self.daemons[-1].controller.exchanges[SERVICE].gatherer]

    @property
    def asker(self) -> FleetDaemon:
        """Return a daemon that never gathers."""
        return self.daemons[-1]
