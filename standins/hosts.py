"""Stand-in for the platform's lagging list of hosts."""

from __future__ import annotations

import collections
import time

import attrs

from standins.base import Answer, Call, StandIn, json_answer

MAX_VERSIONS = 1000


@attrs.define
class HostsFaults:
    """Switchable faults; ``lag_ms`` is the age of the list that is shown."""

    down: bool = False
    lag_ms: int = 0


class HostsStandIn(StandIn):
    """List of hosts that is changed by ``POST /hosts``."""

    def __init__(self) -> None:
        super().__init__(HostsFaults())
        self.faults: HostsFaults
        self.versions: collections.deque[tuple[float, list[dict[str, str]]]] = (
            collections.deque([(0.0, [])], maxlen=MAX_VERSIONS)
        )
        self.paths["/hosts"] = self._hosts

    def put(self, address: str, role: str, state: str = "live", domain: str = "a") -> None:
        """Add or change one host."""
        hosts = [host for host in self.versions[-1][1] if host["address"] != address]
        if state != "gone":
            hosts.append({"address": address, "role": role, "state": state, "domain": domain})
        self.versions.append((time.monotonic(), hosts))

    def _hosts(self, call: Call) -> Answer:
        if self.faults.down:
            return Answer(503)
        if call.method == "POST":
            self.put(**call.json())
            return json_answer({})
        shown_at = time.monotonic() - self.faults.lag_ms / 1e3
        hosts = [hosts for at, hosts in self.versions if at <= shown_at]
        return json_answer({"hosts": hosts[-1] if hosts else []})
