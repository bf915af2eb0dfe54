"""HTTP client for services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from agaterail.services import Service, ServiceReply, ServiceRequest
from agaterail.util.httpconn import ExchangeBroken, HttpConnections, SendError

if TYPE_CHECKING:
    from agaterail.util.address import Address

FORWARDED_HEADERS = ("content-type", "etag", "location", "cache-control")


class HttpService(Service):
    """Client of one service over HTTP."""

    def __init__(self, address: Address) -> None:
        self.connections = HttpConnections(address)

    def call(self, request: ServiceRequest) -> Result[ServiceReply, SendError]:
        """Send a call without retries, and return the complete answer."""
        headers = {**request.headers, "x-request-id": request.request_id}
        sent = self.connections.send(
            request.method,
            request.path,
            request.body,
            headers,
            timeout_s=request.deadline_ms / 1e3,
            fresh=request.at_most_once,
        )
        if not isinstance(sent, Success):
            return Failure(sent.failure())
        response = sent.unwrap()
        try:
            body = response.read()
        except Exception as error:  # parse errors and socket errors
            response.discard()
            return Failure(ExchangeBroken(str(error), isinstance(error, TimeoutError)))
        if not response.message_complete:
            response.discard()
            return Failure(ExchangeBroken("body cut short"))
        return Success(
            ServiceReply(
                status=response.status_code,
                headers={
                    name: str(response[name]) for name in FORWARDED_HEADERS if name in response
                },
                body=body,
                request_id=str(response.get("x-request-id", "")),
                refused=response.get("x-not-run") == "true",
            )
        )
