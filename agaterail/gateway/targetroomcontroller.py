"""Keep the refusals of brittle targets few, together with the other daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote, unquote

import attrs
import gevent

from agaterail.decisions.rooms import RoomLedger
from agaterail.gateway.coordinators import query_path, split_query
from agaterail.gateway.targetcoordination import TargetCoordination, parse_thousandths
from agaterail.util.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from agaterail.gateway.coordinators import Coordinators
    from agaterail.gateway.metrics import GatewayMetrics
    from agaterail.gateway.targets import Target

PATH = b"/target-room/1"
REFUSED = "refused"
ASKED = "asked"


@attrs.frozen
class RoomRequest:
    """A daemon's question whether a brittle target has room.

    Attributes
    ----------
    bearable_per_s
        Refusals in a second that the target bears from all daemons together.
    refused
        Whether it turned a request of the daemon away. Nothing is granted then.
    """

    bearable_per_s: float
    refused: bool = False


class TargetRoomController(TargetCoordination[RoomRequest, RoomLedger]):
    """Decides whether a request may be sent to a target that says that it is brittle.

    Parameters
    ----------
    coordinators
        The daemons that keep the accounts of targets.
    metrics
        Counts the decisions.
    has_brittle
        Returns whether any target is brittle.
    now
        Returns the time.

    Attributes
    ----------
    own
        Accounts of this daemon's own requests, used while no coordinator answers.
    """

    def __init__(
        self,
        coordinators: Coordinators,
        metrics: GatewayMetrics,
        has_brittle: Callable[[], bool],
        now: Callable[[], float],
    ) -> None:
        super().__init__(coordinators, RoomLedger(), now)
        self.metrics = metrics
        self.own = RoomLedger()
        coordinators.users.append(has_brittle)

    def admit(self, target: Target) -> bool:
        """Return whether a request may be sent to a target now.

        If not, the target gets no requests until it may have room.
        """
        if target.brittle is None:
            return True
        bearable = target.brittle.rate_per_s
        answer = self.ask(target.instance, RoomRequest(bearable))
        if answer is None:
            source = "own"
            share = bearable / max(1.0, self.coordinators.largest_fleet())
            wait_s = self.own.grant(target.instance, share, self.now())
        else:
            source, wait_s = "coordinator", answer.wait_s
        if wait_s > 0.0:
            target.permits.deny(wait_s, self.now())
        self.metrics.rooms.labels(source, "denied" if wait_s else "granted").inc()
        return not wait_s

    def record_refusal(self, target: Target) -> None:
        """Tell the coordinator that a target had no room for a request."""
        if target.brittle is None:
            return
        bearable = target.brittle.rate_per_s
        share = bearable / max(1.0, self.coordinators.largest_fleet())
        self.own.refuse(target.instance, share, self.now())
        gevent.spawn(self.ask, target.instance, RoomRequest(bearable, refused=True))

    def encode(self, target: str, demand: RoomRequest) -> str:
        """Return the path and query string of a question."""
        return encode_query(self.coordinators.name, target, demand)

    def decode(self, query: bytes) -> tuple[str, str, RoomRequest]:
        """Return the daemon, the target and the demand of a question."""
        return decode_query(query)

    def grant(self, target: str, demand: RoomRequest) -> float:
        """Return the seconds until the target may have room, by this daemon's accounts."""
        # A coordinator of a part of the fleet only may not use up what the target bears.
        bearable = demand.bearable_per_s * self.coordinators.fleet_fraction()
        if demand.refused:
            self.ledger.refuse(target, bearable, self.now())
            return 0.0
        return self.ledger.grant(target, bearable, self.now())


def encode_query(daemon: str, target: str, demand: RoomRequest) -> str:
    """Return the path and query string of a question."""
    number = f"{demand.bearable_per_s * MS_PER_S:.0f}"
    row = f"{REFUSED if demand.refused else ASKED}={quote(target, safe='')}:{number}"
    return query_path(PATH.decode(), daemon, (row,))


def decode_query(query: bytes) -> tuple[str, str, RoomRequest]:
    """Parse a question.

    Raises
    ------
    ValueError
        If the query string is malformed.
    """
    daemon, rows = split_query(query)
    [(name, value)] = rows
    target, bearable = value.split(":")
    if name not in (REFUSED, ASKED) or not target:
        raise ValueError("target is missing")
    return daemon, unquote(target), RoomRequest(parse_thousandths(bearable), name == REFUSED)
