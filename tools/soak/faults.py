"""Seeded injection of faults."""

from __future__ import annotations

import random
import signal
import time
from typing import TYPE_CHECKING

import gevent

from tools.soak.checks import FaultInterval
from tools.soak.proxy import Mode
from tools.soak.testbed import REVOKE_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from tools.soak.testbed import Gateway, Testbed

MAX_CONCURRENT_FAULTS = 3
SETTLE_S = 0.4


class FaultInjector:
    """Starts and ends faults at random, up to ``MAX_CONCURRENT_FAULTS`` at a time."""

    def __init__(self, testbed: Testbed, seed: int, in_rounds: bool = False) -> None:
        self.testbed = testbed
        self.in_rounds = in_rounds
        self.pending_kinds: list[Callable[[], None]] = []
        self.random = random.Random(seed)
        self.intervals: list[FaultInterval] = []
        self.replacement_count = 0
        self.kinds: list[Callable[[], None]] = [
            self.kill,
            self.freeze,
            self.stop,
            self.stop,
            self.reload,
            self.store_fault,
            self.store_fault,
            self.store_cut,
            self.cut_and_revoke,
            self.target_fault,
            self.target_fault,
            self.target_cut,
            self.replace_target,
            self.publish,
            self.revoke,
            self.weights,
            self.weights,
        ]

    def run(self, seconds: float) -> None:
        """Inject faults for a duration and wait until the last ones have ended."""
        until = time.monotonic() + seconds
        running: list[gevent.Greenlet] = []
        while time.monotonic() < until:
            running = [item for item in running if not item.ready()]
            if len(running) < MAX_CONCURRENT_FAULTS:
                running.append(gevent.spawn(self._next_kind()))
            gevent.sleep(self.random.uniform(0.1, 0.8))
        gevent.joinall(running)

    def _next_kind(self) -> Callable[[], None]:
        """Return the next kind of fault.

        With ``in_rounds``, every kind is injected once before any repeats.
        """
        if not self.in_rounds:
            return self.random.choice(self.kinds)
        if not self.pending_kinds:
            kinds = [*self.kinds, self.kill_order_lease_holder]
            self.pending_kinds = self.random.sample(kinds, len(kinds))
        return self.pending_kinds.pop()

    def kill(self) -> None:
        """Kill a gateway and restart it."""
        gateway = self.random.choice(self.testbed.gateways)
        self._kill(gateway)

    def kill_order_lease_holder(self) -> None:
        """Kill the gateway that sent the last order while engines still need orders."""
        testbed = self.testbed
        testbed.announce_weights()
        gevent.sleep(self.random.uniform(1.5, 2.5))
        orders = [order for target in testbed.targets.values() for order in target.order_log]
        holder = max(orders)[1] if orders else ""
        for gateway in testbed.gateways:
            if gateway.name == holder:
                self._kill(gateway)

    def freeze(self) -> None:
        """Suspend a gateway process with SIGSTOP."""
        gateway = self.random.choice(self.testbed.gateways)
        with _FaultRecorder(self, f"freeze {gateway.name}"):
            self.testbed.signal(gateway, signal.SIGSTOP)
            gevent.sleep(self.random.uniform(0.3, 5.0))
            self.testbed.signal(gateway, signal.SIGCONT)

    def stop(self) -> None:
        """Stop a gateway gracefully with SIGTERM and restart it."""
        gateway = self.random.choice(self.testbed.gateways)
        process = gateway.process
        with _FaultRecorder(self, f"stop {gateway.name}"):
            self.testbed.signal(gateway, signal.SIGTERM)
            while process is not None and process.poll() is None:
                gevent.sleep(0.05)
            self.testbed.start(gateway)
            gevent.sleep(1.0)

    def reload(self) -> None:
        """Have a gateway reload its settings."""
        self.testbed.signal(self.random.choice(self.testbed.gateways), signal.SIGHUP)

    def store_fault(self) -> None:
        """Make the store fail, answer slowly or lose the answers to writes."""
        store = self.testbed.store
        with _FaultRecorder(self, "store fault"):
            name, value = self.random.choice(
                [("down", True), ("delay_s", 0.3), ("lose_writes", True)]
            )
            before = getattr(store, name)
            setattr(store, name, value)
            gevent.sleep(self.random.uniform(0.3, 4.0))
            setattr(store, name, before and type(before)())
            if self.random.random() < 0.3:
                store.expire("keyed.op")

    def store_cut(self) -> None:
        """Disturb the connections to the store."""
        self._cut("store cut", self.testbed.store_proxy)

    def cut_and_revoke(self) -> None:
        """Revoke a key while the store is unreachable for longer than keys stay valid."""
        if "k1" not in self.testbed.keys:
            return
        with _FaultRecorder(self, "store cut, key revoked"):
            self.testbed.store_proxy.set_mode(Mode.SILENT)
            self.testbed.revoke("k1")
            gevent.sleep(REVOKE_S + self.random.uniform(0.5, 2.0))
            self.testbed.store_proxy.set_mode(Mode.PASS)

    def target_cut(self) -> None:
        """Disturb the connections to a target."""
        name = self.random.choice(list(self.testbed.proxies))
        self._cut(f"target cut {name}", self.testbed.proxies[name])

    def target_fault(self) -> None:
        """Make a target misbehave."""
        name = self.random.choice(list(self.testbed.targets))
        target = self.testbed.targets[name]
        fault, value = self.random.choice(
            [
                ("refuse", True),
                ("hang", True),
                ("error", True),
                ("doubled", True),
                ("break_after", 4),
            ]
        )
        with _FaultRecorder(self, f"target {fault} {name}"):
            setattr(target, fault, value)
            gevent.sleep(self.random.uniform(0.3, 2.5))
            setattr(target, fault, None if fault == "break_after" else False)

    def replace_target(self) -> None:
        """Start a new target and then drain an existing one."""
        testbed = self.testbed
        names = [name for name in testbed.targets if name not in testbed.drained_at]
        name = self.random.choice(names)
        self.replacement_count += 1
        model = testbed.targets[name].model
        testbed.add_target(
            f"{name[0]}-new-{self.replacement_count}", testbed.services[name], model
        )
        gevent.sleep(SETTLE_S)
        testbed.drain(name)

    def publish(self) -> None:
        """Publish one to three versions of the desired state in quick succession."""
        for _ in range(self.random.randint(1, 3)):
            self.testbed.publish()
            gevent.sleep(self.random.uniform(0.0, 0.3))

    def revoke(self) -> None:
        """Revoke one key; the others stay valid for the whole run."""
        if "k1" in self.testbed.keys and self.random.random() < 0.5:
            self.testbed.revoke("k1")

    def weights(self) -> None:
        """Announce a new weights version."""
        self.testbed.announce_weights()

    def _kill(self, gateway: Gateway) -> None:
        with _FaultRecorder(self, f"kill {gateway.name}"):
            self.testbed.signal(gateway, signal.SIGKILL)
            gevent.sleep(self.random.uniform(0.1, 0.8))
            self.testbed.start(gateway)
            gevent.sleep(1.0)

    def _cut(self, name: str, proxy: object) -> None:
        with _FaultRecorder(self, name):
            mode = self.random.choice([mode for mode in Mode if mode is not Mode.PASS])
            proxy.set_mode(mode)  # type: ignore[attr-defined]
            gevent.sleep(self.random.uniform(0.2, 3.0))
            proxy.set_mode(Mode.PASS)  # type: ignore[attr-defined]


class _FaultRecorder:
    """Records the interval of a fault, extended by ``SETTLE_S`` after its end."""

    def __init__(self, injector: FaultInjector, name: str) -> None:
        self.injector = injector
        self.name = name
        self.start = 0.0

    def __enter__(self) -> None:
        self.start = time.monotonic()

    def __exit__(self, *_: object) -> None:
        end = time.monotonic() + SETTLE_S
        self.injector.intervals.append(FaultInterval(self.name, self.start, end))
