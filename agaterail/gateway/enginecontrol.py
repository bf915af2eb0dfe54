"""Control calls to engines: reading their state and ordering weight loads."""

from __future__ import annotations

import abc
import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from returns.result import Result

    from agaterail.gateway.targets import Target


@attrs.frozen(kw_only=True)
class EngineReport:
    """State of an engine, a few hundred milliseconds old.

    Attributes
    ----------
    loading
        Whether an order is being carried out.
    orders_accepted
        Number of orders accepted since the engine's start.
    born
        Start time as a Unix timestamp in milliseconds; 0 if the engine does not name it.
    leaving
        Whether the engine says that it leaves.
    """

    loading: bool
    orders_accepted: int
    waiting: int
    running: int
    weights: dict[str, int]
    born: int = 0
    leaving: bool = False


class InFlightPolicy(enum.Enum):
    """What happens to the running requests of an engine that changes its weights."""

    FINISH_FIRST = "finish_first"
    CONTINUE = "go_on"


@attrs.frozen(kw_only=True)
class WeightsOrder:
    """Order to load a version of a model.

    Attributes
    ----------
    after_orders
        Number of accepted orders that the engine must report for this one to apply.
    """

    model: str
    version: int
    host: str
    fencing: int
    after_orders: int
    in_flight_policy: InFlightPolicy = InFlightPolicy.FINISH_FIRST


class OrderOutcome(enum.Enum):
    """Result of an order."""

    ACCEPTED = "accepted"
    ALREADY_LOADED = "holds"
    BUSY = "busy"  # another order is in progress or was accepted meanwhile
    FENCED = "fenced"  # a higher fencing number was used
    UNKNOWN_VERSION = "unknown_version"
    OTHER_TARGET = "other_target"
    UNANSWERED = "unanswered"  # may be accepted now or later


class EngineControl(abc.ABC):
    """Calls to engines; each call is sent once, without retries."""

    @abc.abstractmethod
    def report(self, target: Target) -> Result[EngineReport, str]:
        """Read an engine's state."""

    @abc.abstractmethod
    def order(self, target: Target, order: WeightsOrder) -> OrderOutcome:
        """Send an order."""
