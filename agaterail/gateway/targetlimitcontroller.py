"""Keep the limits that targets name together with the other daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote, unquote

from agaterail.decisions.ratelimits import PermitLedger, PermitRequest, granted_fraction
from agaterail.gateway.coordinators import query_path, split_query
from agaterail.gateway.targetcoordination import TargetCoordination, parse_thousandths
from agaterail.util.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from agaterail.gateway.coordinators import Coordinators
    from agaterail.gateway.metrics import GatewayMetrics
    from agaterail.gateway.targets import Target

PATH = b"/target-permits/1"
# Who decides on a permit.
COORDINATOR = "coordinator"
REPLACEMENT = "replacement"
SLOT = "slot"


class TargetLimitController(TargetCoordination[PermitRequest, PermitLedger]):
    """Decides whether a request may be sent to a target that names a limit.

    Parameters
    ----------
    coordinators
        The daemons that grant permits for targets.
    metrics
        Counts the decisions.
    has_limits
        Returns whether any target names a limit.
    now
        Returns the time.
    number
        Returns a random number from 0 to 1.
    """

    def __init__(
        self,
        coordinators: Coordinators,
        metrics: GatewayMetrics,
        has_limits: Callable[[], bool],
        now: Callable[[], float],
        number: Callable[[], float],
    ) -> None:
        super().__init__(coordinators, PermitLedger(), now)
        self.metrics = metrics
        self.number = number
        coordinators.users.append(has_limits)

    def admit(self, target: Target) -> bool:
        """Return whether a request may be sent to a target now.

        If not, the target gets no requests until a permit may be available.
        """
        limit = target.rate_limit
        if limit is None:
            return True
        asked_at = self.now()
        demand = PermitRequest(limit.rate_per_s, asked_at - limit.heard_at)
        answer = self.ask(target.instance, demand)
        now, permits = self.now(), target.permits
        if answer is None:
            source = SLOT
            daemons = self.coordinators.largest_fleet()
            admitted = permits.take_slot(limit, daemons, self.number(), now)
        else:
            source = REPLACEMENT if answer.replaces else COORDINATOR
            admitted = permits.record_answer(answer.wait_s, asked_at, now)
        permits.source = source
        self.metrics.permits.labels(source, "granted" if admitted else "denied").inc()
        return admitted

    def encode(self, target: str, demand: PermitRequest) -> str:
        """Return the path and query string of a question."""
        return encode_query(self.coordinators.name, target, demand)

    def decode(self, query: bytes) -> tuple[str, str, PermitRequest]:
        """Return the daemon, the target and the demand of a question."""
        return decode_query(query)

    def grant(self, target: str, demand: PermitRequest) -> float:
        """Return the seconds until there is a permit, by this daemon's accounts."""
        fraction = granted_fraction(self.coordinators.heard_fraction())
        replaces = self.coordinators.replaces(target)
        return self.ledger.grant(target, demand, fraction, replaces, self.now())


def encode_query(daemon: str, target: str, demand: PermitRequest) -> str:
    """Return the path and query string of a request for a permit."""
    numbers = f"{demand.rate_per_s * MS_PER_S:.0f}:{max(0.0, demand.age_s) * MS_PER_S:.0f}"
    row = f"target={quote(target, safe='')}:{numbers}"
    return query_path(PATH.decode(), daemon, (row,))


def decode_query(query: bytes) -> tuple[str, str, PermitRequest]:
    """Parse a request for a permit.

    Raises
    ------
    ValueError
        If the query string is malformed.
    """
    daemon, rows = split_query(query)
    [(name, value)] = rows
    target, rate, age = value.split(":")
    if name != "target" or not target:
        raise ValueError("target is missing")
    demand = PermitRequest(parse_thousandths(rate), parse_thousandths(age))
    return daemon, unquote(target), demand
