"""The platform's lagging list of hosts, behind one interface."""

from __future__ import annotations

import abc
import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from returns.result import Result


class HostState(enum.Enum):
    """State of a host as the platform last knew it."""

    LIVE = "live"
    LEAVING = "leaving"


class HostRole(enum.Enum):
    """What runs on a host."""

    ROUTER = "router"
    ENGINE = "engine"
    SERVICE = "service"


@attrs.frozen
class Host:
    """One line of the list; ``address`` is where the host's process is reached."""

    address: str
    role: HostRole
    state: HostState
    domain: str


class HostList(abc.ABC):
    """Client of the platform's host list."""

    @abc.abstractmethod
    def fetch(self) -> Result[tuple[Host, ...], str]:
        """Return the hosts, or a sentence that says why there is no answer."""
