"""Host list over its HTTP protocol (docs/internals/protocols)."""

from __future__ import annotations

import json

from returns.result import Failure, Result, Success

from agaterail.hostlists import Host, HostList, HostRole, HostState
from agaterail.util.address import Address
from agaterail.util.httpconn import HttpConnections

OK = 200


class HttpHostList(HostList):
    """Host list reached by HTTP."""

    def __init__(self, address: Address, timeout_s: float = 1.0) -> None:
        self.connections = HttpConnections(address)
        self.timeout_s = timeout_s

    def fetch(self) -> Result[tuple[Host, ...], str]:
        """Return the hosts, or a sentence that says why there is no answer."""
        answer = self.connections.call("GET", "/hosts", timeout_s=self.timeout_s)
        if not isinstance(answer, Success):
            return Failure(str(answer.failure()))
        status, body = answer.unwrap()
        if status != OK:
            return Failure(f"status {status}")
        try:
            return Success(tuple(_host_of(fields) for fields in json.loads(body)["hosts"]))
        except (ValueError, KeyError, TypeError) as error:
            return Failure(f"malformed list: {error!r}")


def _host_of(fields: dict[str, str]) -> Host:
    return Host(
        fields["address"],
        HostRole(fields["role"]),
        HostState(fields["state"]),
        fields.get("domain", ""),
    )
