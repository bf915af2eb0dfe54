"""Stand-ins and daemons as local processes."""

from __future__ import annotations

import hashlib
import json
import os
import pathlib
import socket
import subprocess
import sys
import time
from collections.abc import Mapping, Sequence
from types import TracebackType

import attrs
from returns.result import Success

from agaterail.util.address import Address
from agaterail.util.httpconn import HttpConnections

ROOT = pathlib.Path(__file__).resolve().parent.parent
DOMAINS = ("a", "b", "c")
START_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 5.0
FIRST_PORT = 10_000
LAST_PORT = 32_000
PORTS_PER_FLEET = 40
MODEL = "atlas"


def api_key_of(workspace: int) -> str:
    """Return the API key of a workspace in the demo and the measurements."""
    return f"key-{workspace}"


def digest_of(api_key: str) -> str:
    """Return the digest that identifies an API key in a route."""
    return hashlib.sha256(api_key.encode()).hexdigest()


@attrs.define
class Daemon:
    """Addresses and process of one daemon."""

    address: str
    peer_address: str
    process: subprocess.Popen


class Fleet:
    """Processes that are started for one run and stopped together.

    Parameters
    ----------
    host, first_port
        IP address of engines and daemons, and the port after which their ports
        start, for runs that need the same addresses every time because
        placement hashes them. By default, free ports are used.
    """

    def __init__(
        self, log_level: str = "warning", host: str = "127.0.0.1", first_port: int = 0
    ) -> None:
        self.processes: list[subprocess.Popen] = []
        self.log_level = log_level
        self.daemon_output: int | None = None
        self.log = ""
        self.hosts = ""
        self.kv_store = ""
        self.engines: list[str] = []
        self.services: list[str] = []
        self.daemons: list[Daemon] = []
        self.host = host
        self.fixed_ports = first_port > 0
        self.last_port = first_port or free_port_base()

    def __enter__(self) -> Fleet:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.stop()

    def stop(self) -> None:
        """Stop all processes of the fleet, the daemons before the platform."""
        daemons = [daemon.process for daemon in self.daemons]
        self._terminate(daemons)
        self._terminate([process for process in self.processes if process not in daemons])

    def _terminate(self, processes: Sequence[subprocess.Popen]) -> None:
        for process in processes:
            process.terminate()
        end = time.monotonic() + STOP_TIMEOUT_S
        for process in processes:
            try:
                process.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def start_stand_in(
        self,
        kind: str,
        properties: Mapping[str, object] | None = None,
        address: str = "127.0.0.1:0",
    ) -> str:
        """Start one stand-in and return its address."""
        command = [sys.executable, "-m", "standins", kind, "--listen", address]
        for name, value in (properties or {}).items():
            command += ["--set", f"{name}={value}"]
        process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)
        self.processes.append(process)
        assert process.stdout is not None
        return process.stdout.readline().strip()

    def start_platform(self) -> None:
        """Start the log, the host list and the KV store."""
        self.log = self.start_stand_in("log")
        self.hosts = self.start_stand_in("hosts")
        self.kv_store = self.start_stand_in("kvstore")

    def start_engines(self, count: int, properties: Mapping[str, object]) -> None:
        """Start engines and add them to the host list."""
        for number in range(count):
            wanted = self.next_address() if self.fixed_ports else "127.0.0.1:0"
            address = self.start_stand_in("engine", properties, wanted)
            self.engines.append(address)
            self.put_host(address, "engine", "live", DOMAINS[number % len(DOMAINS)])

    def start_daemons(self, count: int, flags: Sequence[str] = ()) -> None:
        """Start daemons and wait until they are ready."""
        for _ in range(count):
            self.daemons.append(self.start_daemon(flags))
        for daemon in self.daemons:
            wait_for(daemon.address, "/readyz")

    def start_daemon(
        self, flags: Sequence[str] = (), address: str = "", peer_address: str = ""
    ) -> Daemon:
        """Start one daemon without waiting until it is ready."""
        number = len(self.daemons)
        address = address or self.next_address()
        peer_address = peer_address or self.next_address()
        command = [
            sys.executable, "-m", "agaterail", "serve",
            "--listen", address,
            "--peer-listen", peer_address,
            "--domain", DOMAINS[number % len(DOMAINS)],
            "--log-service", self.log,
            "--host-list", self.hosts,
            "--kv-store", self.kv_store,
            "--peer-secret", "demo-secret",
            "--log-level", self.log_level,
            *flags,
        ]  # fmt: skip
        environment = {**os.environ, "PYTHONPATH": str(ROOT)}
        process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stderr=self.daemon_output
        )
        self.processes.append(process)
        self.put_host(peer_address, "router", "live", DOMAINS[number % len(DOMAINS)])
        return Daemon(address, peer_address, process)

    def next_address(self) -> str:
        """Return an address with a port that the fleet does not use yet."""
        self.last_port += 1
        while not self.fixed_ports and not is_free(self.last_port):
            self.last_port += 1
        return f"{self.host}:{self.last_port}"

    def put_host(self, address: str, role: str, state: str, domain: str) -> None:
        """Add, change or remove one host in the host list."""
        fields = {"address": address, "role": role, "state": state, "domain": domain}
        call(self.hosts, "POST", "/hosts", fields)

    def set_faults(self, address: str, **faults: object) -> None:
        """Configure faults of a stand-in by name."""
        call(address, "POST", "/control", faults)


def call(address: str, method: str, path: str, fields: object = None) -> dict:
    """Call a stand-in and return its JSON answer."""
    body = b"" if fields is None else json.dumps(fields).encode()
    answer = HttpConnections(Address.parse(address)).call(method, path, body, timeout_s=10.0)
    if not isinstance(answer, Success):
        raise RuntimeError(f"{address}{path}: {answer.failure()}")
    return json.loads(answer.unwrap()[1])


def wait_for(address: str, path: str, timeout_s: float = START_TIMEOUT_S) -> None:
    """Wait until a GET request is answered with status 200."""
    connections = HttpConnections(Address.parse(address))
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        answer = connections.call("GET", path, timeout_s=1.0)
        if isinstance(answer, Success) and answer.unwrap()[0] == 200:
            return
        time.sleep(0.05)
    raise RuntimeError(f"{address}{path} was not answered with 200 within {timeout_s} s")


def free_port_base() -> int:
    """Return a port at which to start the search for free ports.

    It lies below the ephemeral port range, because an outgoing connection could
    take an ephemeral port between the check and the bind.
    """
    return FIRST_PORT + os.getpid() * PORTS_PER_FLEET % (LAST_PORT - FIRST_PORT)


def is_free(port: int) -> bool:
    """Whether a loopback port can currently be bound for both TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def tables_toml(
    engines: Sequence[str],
    workspaces: int,
    pool: Mapping[str, object],
    route: Mapping[str, object],
) -> str:
    """Return a table file with one engine pool and a route per workspace."""
    lines = ["[pools.assistant]", 'kind = "engine"', f'model = "{MODEL}"']
    entries = [
        f'{{address = "{address}", domain = "{DOMAINS[number % len(DOMAINS)]}"}}'
        for number, address in enumerate(engines)
    ]
    lines.append(f"targets = [{', '.join(entries)}]")
    lines += [f"{name} = {_toml(value)}" for name, value in pool.items()]
    for workspace in range(workspaces):
        lines += [
            "",
            f"[routes.assistant-{workspace}]",
            f'workspace = "workspace-{workspace}"',
            f'callers = ["{digest_of(api_key_of(workspace))}"]',
            f'models = ["{MODEL}"]',
            'pool = "assistant"',
        ]
        lines += [f"{name} = {_toml(value)}" for name, value in route.items()]
    return "\n".join(lines) + "\n"


def apply_tables(fleet: Fleet, text: str, folder: str) -> None:
    """Write a table file and apply it with ``agaterail apply``."""
    file = pathlib.Path(folder) / "tables.toml"
    file.write_text(text, encoding="utf-8")
    command = [sys.executable, "-m", "agaterail", "apply", str(file)]
    command += ["--log-service", fleet.log, "--author", "fleet"]
    environment = {**os.environ, "PYTHONPATH": str(ROOT)}
    subprocess.run(command, check=True, cwd=ROOT, env=environment, stdout=subprocess.DEVNULL)


def _toml(value: object) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    return f'"{value}"' if isinstance(value, str) else str(value)
