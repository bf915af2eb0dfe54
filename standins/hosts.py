"""Stand-in for the platform's host list, which may lag behind."""

from __future__ import annotations

import collections
import time

import attrs

from standins.base import Answer, Call, StandIn, json_answer

MAX_VERSIONS = 1000


@attrs.define
class HostsFaults:
    """Faults that can be configured; ``lag_ms`` is the age of the returned list."""

    down: bool = False
    lag_ms: int = 0


@attrs.frozen
class HostsVersion:
    """Snapshot of the list after one change."""

    published_at: float
    number: int
    hosts: list[dict[str, str]]


class HostsStandIn(StandIn):
    """Host list that ``POST /hosts`` changes."""

    def __init__(self) -> None:
        super().__init__(HostsFaults())
        self.faults: HostsFaults
        self.versions = collections.deque([HostsVersion(0.0, 0, [])], maxlen=MAX_VERSIONS)
        self.started_ns = time.monotonic_ns()
        self.reads = 0
        self.read_bytes = 0
        self.paths["/hosts"] = self._hosts
        self.paths["/stats"] = self._stats

    def put(self, address: str, role: str, state: str = "live", domain: str = "a") -> None:
        """Add, change or (state ``gone``) remove one host."""
        newest = self.versions[-1]
        hosts = [host for host in newest.hosts if host["address"] != address]
        if state != "gone":
            hosts.append({"address": address, "role": role, "state": state, "domain": domain})
        self.versions.append(HostsVersion(time.monotonic(), newest.number + 1, hosts))

    def _hosts(self, call: Call) -> Answer:
        if self.faults.down:
            return Answer(503)
        if call.method == "POST":
            self.put(**call.json())
            return json_answer({})
        self.reads += 1
        visible_until = time.monotonic() - self.faults.lag_ms / 1e3
        visible = [
            version for version in self.versions if version.published_at <= visible_until
        ]
        version = visible[-1] if visible else self.versions[0]
        etag = f'"{self.started_ns}-{version.number}"'
        if call.headers.get("if-none-match") == etag:
            return Answer(304, b"", {"etag": etag})
        answer = json_answer({"hosts": version.hosts}, etag=etag)
        self.read_bytes += len(answer.body) if isinstance(answer.body, bytes) else 0
        return answer

    def _stats(self, _call: Call) -> Answer:
        return json_answer({"reads": self.reads, "read_bytes": self.read_bytes})
