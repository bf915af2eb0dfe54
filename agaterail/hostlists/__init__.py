"""Interface to the platform's list of hosts, which lags behind their actual state."""

from __future__ import annotations

import abc
import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from returns.result import Result


class HostState(enum.Enum):
    """State of a host, as last known to the platform."""

    LIVE = "live"
    LEAVING = "leaving"


class HostRole(enum.Enum):
    """What runs on a host."""

    ROUTER = "router"
    ENGINE = "engine"
    SERVICE = "service"


@attrs.frozen
class Host:
    """One entry of the list; ``address`` is the address of the process on the host."""

    address: str
    role: HostRole
    state: HostState
    domain: str


class HostList(abc.ABC):
    """Client of the platform's host list."""

    @abc.abstractmethod
    def fetch(self) -> Result[tuple[Host, ...], str]:
        """Return the hosts, or the reason why the call failed."""
