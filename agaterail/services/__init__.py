"""Interface to services other than model engines."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from returns.result import Result

    from agaterail.util.httpconn import SendError


@attrs.frozen(kw_only=True)
class ServiceRequest:
    """One call as sent to a service."""

    request_id: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    deadline_ms: int
    at_most_once: bool


@attrs.frozen(kw_only=True)
class ServiceReply:
    """Complete answer of a service.

    Attributes
    ----------
    refused
        Whether the service states, in the form that its protocol defines, that the call
        did not run.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    request_id: str
    refused: bool


class Service(abc.ABC):
    """Client of one service."""

    @abc.abstractmethod
    def call(self, request: ServiceRequest) -> Result[ServiceReply, SendError]:
        """Send a call without retries, and return the complete answer."""
