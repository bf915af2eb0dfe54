"""Keep the limits that targets name together with the other daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote, unquote

import msgspec
from returns.result import Success

from agaterail import logs
from agaterail.decisions.ratelimits import PermitLedger, PermitRequest
from agaterail.gateway.coordinators import COORDINATORS, query_path, split_query
from agaterail.util.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from agaterail.decisions.ratelimits import RateLimit
    from agaterail.gateway.coordinators import Coordinators
    from agaterail.gateway.metrics import GatewayMetrics
    from agaterail.gateway.targets import Target

logger = logs.get_logger("targets")

PATH = b"/target-permits/1"
OK = 200
# A daemon of a former build grants no permits, but coordinates allowances.
UNSUPPORTED_BACKOFF_S = 5.0
MAX_THOUSANDTHS = 10**12

_DECODER = msgspec.msgpack.Decoder(float | None)


class TargetLimitController:
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
        self.coordinators = coordinators
        self.metrics = metrics
        self.now = now
        self.number = number
        self.ledger = PermitLedger()
        self.unsupported_until: dict[str, float] = {}
        coordinators.users.append(has_limits)
        coordinators.on_change.append(self._drop_accounts)

    def admit(self, target: Target) -> bool:
        """Return whether a request may be sent to a target now.

        If not, the target gets no requests until a permit may be available.
        """
        limit = target.rate_limit
        if limit is None:
            return True
        asked_at = self.now()
        wait_s = self._ask(target.instance, limit)
        now, permits = self.now(), target.permits
        if wait_s is None:
            source = "slot"
            daemons = self.coordinators.largest_fleet()
            admitted = permits.take_slot(limit, daemons, self.number(), now)
        else:
            source = "coordinator"
            admitted = permits.record_answer(wait_s, asked_at, now)
        self.metrics.permits.labels(source, "granted" if admitted else "denied").inc()
        return admitted

    def answer(self, query: bytes) -> bytes:
        """Answer a peer's request for a permit.

        Raises
        ------
        ValueError
            If the query is malformed.
        """
        daemon, target, demand = decode_query(query)
        self.coordinators.record_contact(daemon)
        return msgspec.msgpack.encode(self._grant(target, demand))

    def _ask(self, instance: str, limit: RateLimit) -> float | None:
        """Return a coordinator's answer, or None if there is none."""
        demand = PermitRequest(limit.rate_per_s, self.now() - limit.heard_at)
        for _ in range(COORDINATORS):
            coordinator = self.coordinators.of(instance)
            if not coordinator:
                return None
            if coordinator == self.coordinators.own_address:
                return self._grant(instance, demand)
            if self.now() < self.unsupported_until.get(coordinator, 0.0):
                return None
            query = encode_query(self.coordinators.name, instance, demand)
            called = self.coordinators.call(coordinator, query)
            if isinstance(called, Success):
                return self._decode(coordinator, *called.unwrap())
        return None

    def _decode(self, coordinator: str, status: int, body: bytes) -> float | None:
        reason = f"status {status}"
        if status == OK:
            try:
                return _DECODER.decode(body)
            except msgspec.MsgspecError as error:
                reason = str(error)
        self.unsupported_until[coordinator] = self.now() + UNSUPPORTED_BACKOFF_S
        logger.info("Coordinator grants no permits.", peer=coordinator, reason=reason)
        return None

    def _grant(self, target: str, demand: PermitRequest) -> float | None:
        """Return the wait for a permit, or None if this daemon does not grant it."""
        self.coordinators.follow()
        if not self.coordinators.coordinates(target):
            return None
        fraction = self.coordinators.fleet_fraction()
        replaces = self.coordinators.replaces(target)
        return self.ledger.grant(target, demand, fraction, replaces, self.now())

    def _drop_accounts(self, _now: float, suspended: bool) -> None:
        """Drop the accounts that another coordinator may have kept meanwhile."""
        kept = () if suspended else filter(self.coordinators.coordinates, self.ledger.accounts)
        self.ledger.keep_only(list(kept))


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
    demand = PermitRequest(_parse_thousandths(rate), _parse_thousandths(age))
    return daemon, unquote(target), demand


def _parse_thousandths(text: str) -> float:
    number = int(text)
    if not 0 <= number <= MAX_THOUSANDTHS:
        raise ValueError("number is implausible")
    return number / MS_PER_S
