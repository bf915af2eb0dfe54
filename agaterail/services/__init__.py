"""Plain services beside the engines, behind one interface."""

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
    """Whole answer of a service.

    Attributes
    ----------
    refused
        The service says, in the form its protocol defines, that it did not run.
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
        """Send a call once and return the whole answer."""
