"""Which daemons are live, from the platform's list and own observation.

No daemon tells another who is live: the view costs no message of its own, so
its cost does not grow with the number of daemons. Two views may differ; a wrong
one costs a hint, never a wrong answer.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

CALL_WEIGHT = 4
QUERY_WEIGHT = 1
EJECTION_WEIGHT = 8
MIN_FAILURE_SPAN_S = 1.0
FAILURE_RESET_S = 10.0
MIN_EJECTION_S = 10.0
MAX_EJECTION_S = 60.0
DRAIN_TTL_S = 60.0
MAX_CONTACTS = 16


@attrs.define
class Suspicion:
    """Failures of one member since it was last heard of.

    Attributes
    ----------
    since, last
        Monotonic seconds of the first and last failure in a row.
    ejected_until
        Monotonic second until which the member is left out.
    ejection_s
        Length of the last absence.
    """

    since: float
    last: float
    weight: int = 0
    ejected_until: float = 0.0
    ejection_s: float = 0.0


class MemberView:
    """Live daemons as this daemon sees them.

    Attributes
    ----------
    listed
        Routers on the platform's list; None before its first answer.
    contacts
        Members heard of lately, the latest last.
    """

    def __init__(self, own_address: str) -> None:
        self.own_address = own_address
        self.listed: frozenset[str] | None = None
        self.leaving = False
        self.suspicions: dict[str, Suspicion] = {}
        self.drained: dict[str, float] = {}
        self.contacts: collections.OrderedDict[str, None] = collections.OrderedDict()

    def on_list(self, addresses: Iterable[str]) -> None:
        """Take the routers that the platform lists as live."""
        listed = frozenset(addresses)
        if not listed and self.listed:
            # An empty list is a fault of the platform: this daemon lives. To
            # believe it would move every engine's home here at once.
            return
        self.listed = listed
        self.suspicions = {
            key: suspicion for key, suspicion in self.suspicions.items() if key in listed
        }
        self.drained = {key: until for key, until in self.drained.items() if key in listed}

    def on_heard(self, address: str) -> None:
        """Note an answer or a message of a member."""
        self.suspicions.pop(address, None)
        self.contacts.pop(address, None)
        self.contacts[address] = None
        if len(self.contacts) > MAX_CONTACTS:
            self.contacts.popitem(last=False)

    def on_missed(self, address: str, weight: int, now: float) -> None:
        """Note a call or query that a member did not answer.

        Failures must span a second: after a pause of this process all its
        queries time out at once, and that says nothing of the others.
        """
        suspicion = self.suspicions.get(address)
        if suspicion is None:
            suspicion = self.suspicions[address] = Suspicion(now, now)
        if now < suspicion.ejected_until:
            return
        if now - suspicion.last > FAILURE_RESET_S:
            suspicion.since, suspicion.weight = now, 0
        suspicion.last = now
        suspicion.weight += weight
        if suspicion.weight >= EJECTION_WEIGHT and now - suspicion.since >= MIN_FAILURE_SPAN_S:
            suspicion.ejection_s = min(
                MAX_EJECTION_S, max(MIN_EJECTION_S, 2 * suspicion.ejection_s)
            )
            suspicion.ejected_until = now + suspicion.ejection_s
            suspicion.since, suspicion.weight = suspicion.ejected_until, 0

    def on_drain(self, address: str, now: float) -> None:
        """Note a member's word that it leaves, until the list has caught up."""
        self.drained[address] = now + DRAIN_TTL_S

    def live(self, now: float) -> tuple[str, ...]:
        """Return the members, sorted; this daemon is one unless it leaves."""
        found = {address for address in self.listed or () if self._is_live(address, now)}
        if self.leaving:
            found.discard(self.own_address)
        else:
            found.add(self.own_address)
        return tuple(sorted(found))

    def _is_live(self, address: str, now: float) -> bool:
        if self.drained.get(address, now) > now:
            return False
        suspicion = self.suspicions.get(address)
        return suspicion is None or now >= suspicion.ejected_until
