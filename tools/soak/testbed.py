"""Store, targets and gateway processes of one soak run."""

from __future__ import annotations

import json
import os
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import time
from typing import TYPE_CHECKING, Any

import attrs
import gevent
from gevent.lock import RLock

from standins.platform_engine import PlatformTargetStandIn
from standins.platform_store import PlatformStoreStandIn
from tools.soak.proxy import Proxy

if TYPE_CHECKING:
    from collections.abc import Callable

REPEATED = "repeated"
HOST = "h.example"
MODEL = "m1"
SERVICES = PLAIN_SERVICE, LLM_SERVICE = "plain-service", "llm-service"
# Enough to serve while two name limits, one rests and one leaves.
PLAIN_TARGETS = 5
REVOKE_S = 5.0
LEASE_S = 3.0
# A workspace whose callers send more than its allowance, in requests.
LIMITED_WORKSPACE, LIMITED_KEY = "w3", "k3"
LIMITED_RATE_PER_S = 10.0
LIMITED_BURST = 10.0
ALLOWANCE_WINDOW_S = 4.0
ALLOWANCE_OVERAGE = 0.1
ALLOWANCE_SLACK = 8.0
DRAIN_S = 2.0
GRACE_S = 6.0
RETRY_RATIO, RETRY_EXTRA, RETRY_WINDOW_S = 0.2, 52, 10
READINESS_PERIOD_S = 0.5
MAX_TARGETS = 300
GATEWAY_PORTS = range(10_000, 32_000)
ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


@attrs.define
class Gateway:
    """One gateway process and its state as seen by the load balancer."""

    name: str
    settings: str
    log: Any
    cut_file: pathlib.Path
    caller_address: str
    readiness_address: str
    process: subprocess.Popen[bytes] | None = None
    ready: bool = False
    start_count: int = 0
    start_lock: RLock = attrs.field(factory=RLock)

    @property
    def last_line(self) -> str:
        """Return the last line of the gateway's log."""
        lines = pathlib.Path(self.log.name).read_text(encoding="utf-8", errors="replace")
        return lines.rstrip().rpartition("\n")[2]

    @property
    def running(self) -> bool:
        """Whether the process is alive."""
        return self.process is not None and self.process.poll() is None


class Testbed:
    """Store, targets and gateways; the callers are separate."""

    def __init__(
        self,
        folder: pathlib.Path,
        gateways: int,
        engines: int = 3,
        records_forwarded: bool = False,
    ) -> None:
        self.folder = folder
        self.gateway_module = (
            "tools.soak.cutgateway" if records_forwarded else "agaterail.gateway"
        )
        self.store = PlatformStoreStandIn()
        # A port that other processes have used lately may still get their requests.
        self.held_ports = _hold_ports(gateways * 6 + 2 * MAX_TARGETS + 2)
        self.ports = iter([sock.getsockname()[1] for sock in self.held_ports])
        store_address = self.store.start(port=next(self.ports))
        self.store_proxy = Proxy(store_address, next(self.ports))
        self.targets: dict[str, PlatformTargetStandIn] = {}
        self.proxies: dict[str, Proxy] = {}
        self.services: dict[str, str] = {}
        self.drained_at: dict[str, float] = {}
        self.version = 0
        self.fatal_share = 0.0
        self.fatal_parts: frozenset[str] = frozenset()
        self.fatal_paths: frozenset[str] = frozenset()
        self.crash_after = 0
        self.repeated_kind = ""
        self.on_crashed: Callable[[str], None] = lambda _instance: None
        self.weights_version = 1
        self.keys = {"k0": "w1", "k1": "w1", "k2": "w2"}
        self.isolated: dict[str, bool] = {}
        self.revoked_at: dict[str, float] = {}
        for number in range(PLAIN_TARGETS):
            self.add_target(f"p-{number}", PLAIN_SERVICE)
        for number in range(engines):
            self.add_target(f"e-{number}", LLM_SERVICE, MODEL)
        self.publish()
        self.gateways = [self._gateway(f"g-{number}") for number in range(gateways)]
        for gateway in self.gateways:
            self.start(gateway)
        self.readiness_poller = gevent.spawn(self._poll_readiness)

    def publish(self) -> None:
        """Publish a new version of the desired state, which adds a route named after it."""
        self.version += 1
        streaming = {"kind": "streaming", "service": LLM_SERVICE, "sticky": True}
        routes = [
            self._route("safe", kind="safe", service=PLAIN_SERVICE),
            self._route("unsafe", kind="unsafe", service=PLAIN_SERVICE),
            self._route("resumed", **streaming, resumable=True),
            self._route("once", **streaming),
        ]
        # Routes of older versions stay, so that a route which was served and later
        # is unknown shows that a gateway went back to an older version.
        routes += [
            self._route(f"v{version}", kind="safe", service=PLAIN_SERVICE, public=True)
            for version in range(1, self.version + 1)
        ]
        workspaces = {
            name: [key for key, owner in self.keys.items() if owner == name]
            for name in ("w1", "w2", *self.isolated)
        }
        desired = {
            "version": self.version,
            "routes": routes,
            "services": [
                {"name": PLAIN_SERVICE, "max_conns": 500},
                {
                    "name": LLM_SERVICE,
                    "max_conns": 500,
                    "engine": {"slots": 8, "models": [{"name": MODEL}]},
                },
            ],
            "limits": {"header_timeout_ms": 1000, "idle_timeout_ms": 5000},
            "tenants": [
                *(
                    {
                        "name": name,
                        "api_keys": keys,
                        "isolated": self.isolated.get(name, name == "w2"),
                    }
                    for name, keys in workspaces.items()
                ),
                {
                    "name": LIMITED_WORKSPACE,
                    "api_keys": [LIMITED_KEY],
                    "rate_per_s": LIMITED_RATE_PER_S,
                    "burst": LIMITED_BURST,
                },
            ],
        }
        self.store.put("keyed.op", "config", json.dumps(desired).encode())

    def revoke(self, key: str) -> None:
        """Revoke an API key."""
        self.keys.pop(key, None)
        self.publish()
        self.revoked_at[key] = time.monotonic()

    def announce_weights(self) -> None:
        """Announce the next weights version."""
        self.weights_version += 1
        for target in self.targets.values():
            target.announced_version = self.weights_version
        value = json.dumps({"model": MODEL, "version": self.weights_version}).encode()
        self.store.put("keyed.op", f"version/{MODEL}", value)

    def add_target(
        self, instance: str, service: str, model: str = "", build: str = "v1"
    ) -> None:
        """Start a target behind a proxy and register it."""
        target = PlatformTargetStandIn(instance, model)
        target.build = build
        target.version = target.announced_version = self.weights_version
        proxy = Proxy(target.start(port=next(self.ports)), next(self.ports))
        self.targets[instance], self.proxies[instance] = target, proxy
        self.services[instance] = service
        target.on_loaded = lambda: self.register(instance)
        target.on_crashed = lambda: self.on_crashed(instance)
        target.crash_parts, target.crash_after = self.fatal_parts, self.crash_after
        target.crash_paths = self.fatal_paths
        self.register(instance)

    def set_repeated(self, kind: str, crash_after: int) -> None:
        """Have targets end at one request of a kind, which its caller repeats."""
        self.repeated_kind, self.crash_after = kind, crash_after
        self.fatal_paths = frozenset({f"/{kind}/{REPEATED}"})
        for target in self.targets.values():
            target.crash_paths, target.crash_after = self.fatal_paths, crash_after

    def set_fatal(self, part: str, crash_after: int) -> None:
        """Have engines end at a part of a prompt, after some events of the answer."""
        self.fatal_parts, self.crash_after = frozenset({part}), crash_after
        for target in self.targets.values():
            target.crash_parts, target.crash_after = self.fatal_parts, crash_after

    def restart(self, instance: str) -> None:
        """Start an engine again that has ended."""
        target, proxy = self.targets[instance], self.proxies[instance]
        if target.leaving:
            return  # it has left; another start would not know what this one said
        target.born += 1
        target.start(port=proxy.target[1])
        proxy.listen(int(proxy.address.rpartition(":")[2]))
        self.register(instance)

    def register(self, instance: str) -> None:
        """Write the entry of a target unless it is draining."""
        if instance in self.drained_at:
            return
        target, proxy = self.targets[instance], self.proxies[instance]
        entry = target.registration(self.services[instance], proxy.address)
        self.store.put("keyed.servers", instance, entry)

    def lapse(self, instance: str) -> None:
        """Remove the entry of a target that goes on serving."""
        self.store.put("keyed.servers", instance, b"")

    def drain(self, instance: str) -> None:
        """Deregister a target, which still serves requests that reach it."""
        self.drained_at[instance] = time.monotonic()
        self.store.put("keyed.servers", instance, b"")

    def start(self, gateway: Gateway) -> None:
        """Start a gateway process unless it is running."""
        # Popen switches greenlets, and two faults may end at the same time.
        with gateway.start_lock:
            if gateway.running:
                return
            gateway.start_count += 1
            gateway.process = subprocess.Popen(
                [sys.executable, "-m", self.gateway_module],
                cwd=ROOT,
                env={
                    **os.environ,
                    "AGATERAIL_NODE_FILE": gateway.settings,
                    "AGATERAIL_CUT_FILE": str(gateway.cut_file),
                },
                stdout=gateway.log,
                stderr=gateway.log,
            )

    def signal(self, gateway: Gateway, number: int) -> None:
        """Send a signal to a gateway process if it is running."""
        if gateway.running:
            assert gateway.process is not None
            gateway.process.send_signal(number)

    def stop(self) -> None:
        """Stop every process and server that this run started."""
        self.readiness_poller.kill()
        for gateway in self.gateways:
            self.signal(gateway, signal.SIGCONT)
            self.signal(gateway, signal.SIGKILL)
            if gateway.process is not None:
                gateway.process.wait()
            gateway.log.close()
        for target in self.targets.values():
            target.stop()
        self.store.stop()
        for sock in self.held_ports:
            sock.close()

    def _route(self, name: str, **fields: Any) -> dict[str, Any]:
        return {
            "name": name,
            "host": HOST,
            "path_prefix": f"/{name}/",
            "timeout_ms": 3000,
            "target_latency_ms": 300,
            "max_attempts": 2,
            "gap_aim_ms": 300,
            **fields,
        }

    def _gateway(self, name: str) -> Gateway:
        listen = {part: f"127.0.0.1:{next(self.ports)}" for part in ("front", "ready")}
        port = next(self.ports)
        settings = {
            "node_name": name,
            "ip": "127.0.0.1",
            "zone": "z1",
            "listen": listen,
            "port_range": [port, port],
            "limits": {"memory_mb": 150, "max_fds": 4100},
            "heartbeat_ms": 1200,
            "bounds": {
                "config_ms": 2000,
                "revoke_ms": int(REVOKE_S * 1e3),
                "drain_ms": int(DRAIN_S * 1e3),
                "grace_s": GRACE_S,
                "lease_ms": int(LEASE_S * 1e3),
                "version_ms": 15000,
                "require_fencing": True,
                "budget_ratio": RETRY_RATIO,
                "budget_extra": RETRY_EXTRA,
                "budget_window_s": RETRY_WINDOW_S,
                "quota_window_s": ALLOWANCE_WINDOW_S,
                "quota_overage": ALLOWANCE_OVERAGE,
                "quota_slack": ALLOWANCE_SLACK,
            },
            "platform": {
                "address": self.store_proxy.address,
                "parts": 16,
                "ttl_min_ms": 1000,
            },
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        log = (self.folder / f"{name}.log").open("ab")
        cut_file = self.folder / f"{name}.cut"
        return Gateway(name, str(path), log, cut_file, listen["front"], listen["ready"])

    def _poll_readiness(self) -> None:
        while True:
            for gateway in self.gateways:
                gevent.spawn(self._probe_readiness, gateway)
            gevent.sleep(READINESS_PERIOD_S)

    def _probe_readiness(self, gateway: Gateway) -> None:
        host, _, port = gateway.readiness_address.rpartition(":")
        try:
            with gevent.Timeout(READINESS_PERIOD_S, TimeoutError):
                sock = gevent.socket.create_connection((host, int(port)))
                sock.sendall(b"GET /agaterail/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                gateway.ready = sock.recv(64).startswith(b"HTTP/1.1 200")
                sock.close()
        except OSError:
            gateway.ready = False  # as for a load balancer, no answer means not ready


def _hold_ports(count: int) -> list[gevent.socket.socket]:
    """Return sockets bound to free ports below the ephemeral port range.

    Servers of this run can still listen at these ports, as they allow the reuse of their
    address; another run can't draw the ports. An outgoing connection of another run could
    take an ephemeral port before the gateway binds it.
    """
    bound: list[gevent.socket.socket] = []
    while len(bound) < count:
        sock = gevent.socket.socket()
        try:
            sock.bind(("127.0.0.1", secrets.choice(GATEWAY_PORTS)))
        except OSError:
            sock.close()  # in use; draw another port
            continue
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.append(sock)
    return bound
