"""Ask the coordinator of a target whether a request may be sent to it."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING, Generic, TypeVar

import attrs
import msgspec
from returns.result import Success

from agaterail import logs
from agaterail.gateway.coordinators import COORDINATORS
from agaterail.util.units import MS_PER_S
from agaterail.util.untrusted import DecodeError, MsgpackDecoder

if TYPE_CHECKING:
    from collections.abc import Callable

    from agaterail.decisions.ratelimits import PermitLedger
    from agaterail.decisions.rooms import RoomLedger
    from agaterail.gateway.coordinators import Coordinators

logger = logs.get_logger("targets")

OK = 200
# A daemon of a former build coordinates other accounts only.
UNSUPPORTED_BACKOFF_S = 5.0
MAX_THOUSANDTHS = 10**12

Demand = TypeVar("Demand")
Ledger = TypeVar("Ledger", bound="PermitLedger | RoomLedger")
_DECODER: MsgpackDecoder[float | None] = MsgpackDecoder(float | None)


@attrs.frozen
class CoordinatorAnswer:
    """A coordinator's answer to a question.

    Attributes
    ----------
    wait_s
        Seconds until a request may be sent.
    replaces
        Whether the coordinator replaces the target's first one.
    """

    wait_s: float
    replaces: bool


class TargetCoordination(abc.ABC, Generic[Demand, Ledger]):
    """Accounts of targets that one daemon per target keeps for the whole fleet.

    Parameters
    ----------
    coordinators
        The daemons that keep the accounts.
    ledger
        The accounts that this daemon keeps.
    now
        Returns the time.

    Attributes
    ----------
    unsupported_until
        Time until which each daemon of a former build is not asked.
    """

    def __init__(
        self, coordinators: Coordinators, ledger: Ledger, now: Callable[[], float]
    ) -> None:
        self.ledger = ledger
        self.coordinators = coordinators
        self.now = now
        self.unsupported_until: dict[str, float] = {}
        coordinators.on_change.append(self._drop_accounts)

    @abc.abstractmethod
    def encode(self, target: str, demand: Demand) -> str:
        """Return the path and query string of a question."""

    @abc.abstractmethod
    def decode(self, query: bytes) -> tuple[str, str, Demand]:
        """Return the daemon, the target and the demand of a question.

        Raises
        ------
        ValueError
            If the query string is malformed.
        """

    @abc.abstractmethod
    def grant(self, target: str, demand: Demand) -> float:
        """Return the seconds until a request may be sent, by this daemon's accounts."""

    def answer(self, query: bytes) -> bytes:
        """Answer a peer's question.

        Raises
        ------
        ValueError
            If the query is malformed.
        """
        daemon, target, demand = self.decode(query)
        self.coordinators.record_contact(daemon)
        return msgspec.msgpack.encode(self.grant_as_coordinator(target, demand))

    def ask(self, target: str, demand: Demand) -> CoordinatorAnswer | None:
        """Return a coordinator's answer, or None if there is none."""
        for _ in range(COORDINATORS):
            coordinator = self.coordinators.of(target)
            if not coordinator:
                return None
            replaces = self.coordinators.replaces(target, coordinator)
            if coordinator == self.coordinators.own_address:
                wait_s = self.grant_as_coordinator(target, demand)
                return _answer(wait_s, replaces)
            if self.now() < self.unsupported_until.get(coordinator, 0.0):
                return None
            called = self.coordinators.call(coordinator, self.encode(target, demand))
            if isinstance(called, Success):
                return _answer(self._decode(coordinator, *called.unwrap()), replaces)
        return None

    def grant_as_coordinator(self, target: str, demand: Demand) -> float | None:
        """Return the wait until a request may be sent, or None if another one decides."""
        self.coordinators.follow()
        if not self.coordinators.coordinates(target):
            return None
        return self.grant(target, demand)

    def _decode(self, coordinator: str, status: int, body: bytes) -> float | None:
        reason = f"status {status}"
        if status == OK:
            try:
                return _DECODER.decode(body)
            except DecodeError as error:
                reason = str(error)
        self.unsupported_until[coordinator] = self.now() + UNSUPPORTED_BACKOFF_S
        logger.info("Coordinator grants no permits.", peer=coordinator, reason=reason)
        return None

    def _drop_accounts(self, _now: float, suspended: bool) -> None:
        """Drop the accounts that another coordinator may have kept meanwhile."""
        accounts = () if suspended else self.ledger.accounts
        self.ledger.keep_only(list(filter(self.coordinators.coordinates, accounts)))


def _answer(wait_s: float | None, replaces: bool) -> CoordinatorAnswer | None:
    return None if wait_s is None else CoordinatorAnswer(wait_s, replaces)


def parse_thousandths(text: str) -> float:
    """Return a number that a question gives in thousandths.

    Raises
    ------
    ValueError
        If it is malformed or implausible.
    """
    number = int(text)
    if not 0 <= number <= MAX_THOUSANDTHS:
        raise ValueError("number is implausible")
    return number / MS_PER_S
