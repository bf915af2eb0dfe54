"""HTTP client for the host list (docs/internals/protocols)."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from agaterail.hostlists import Host, HostList, HostRole, HostState
from agaterail.util.address import Address
from agaterail.util.httpconn import HttpConnections
from agaterail.util.untrusted import load_json

HTTP_OK = 200
HTTP_NOT_MODIFIED = 304


class HttpHostList(HostList):
    """Client of the host list over HTTP; unchanged lists are not transferred again."""

    def __init__(self, address: Address, timeout_s: float = 1.0) -> None:
        self.connections = HttpConnections(address)
        self.timeout_s = timeout_s
        self.etag = ""
        self.hosts: tuple[Host, ...] = ()

    def fetch(self) -> Result[tuple[Host, ...], str]:
        """Return the hosts, or the reason why the call failed."""
        # A list of 1,000 hosts has 80 KB. Fetching it every second in full would use 16
        # times a daemon's budget for control traffic.
        headers = {"if-none-match": self.etag} if self.etag else {}
        sent = self.connections.send(
            "GET", "/hosts", headers=headers, timeout_s=self.timeout_s
        )
        if not isinstance(sent, Success):
            return Failure(str(sent.failure()))
        response = sent.unwrap()
        try:
            body = response.read()
        except Exception as error:  # parse errors and socket errors
            response.discard()
            return Failure(str(error))
        if response.status_code == HTTP_NOT_MODIFIED and self.etag:
            return Success(self.hosts)
        if response.status_code != HTTP_OK:
            return Failure(f"status {response.status_code}")
        try:
            hosts = tuple(_parse_host(fields) for fields in load_json(body)["hosts"])
        except (ValueError, KeyError, TypeError) as error:
            return Failure(f"malformed list: {error!r}")
        self.hosts = hosts
        self.etag = response.get("etag", "") or ""
        return Success(hosts)


def _parse_host(fields: dict[str, str]) -> Host:
    return Host(
        fields["address"],
        HostRole(fields["role"]),
        HostState(fields["state"]),
        fields.get("domain", ""),
    )
