"""Local view of the live daemons, from the platform's list and observed failures.

Daemons do not gossip about membership. The view takes no messages of its own,
so its cost does not grow with the number of daemons. Views may differ; a wrong
view costs a cache hint but never causes a wrong answer.
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
    """Consecutive failures of one member since it last answered.

    Attributes
    ----------
    since, last
        Monotonic times of the first and the last failure in a row, in seconds.
    ejected_until
        Monotonic time until which the member is not considered live.
    ejection_s
        Duration of the last ejection.
    """

    since: float
    last: float
    weight: int = 0
    ejected_until: float = 0.0
    ejection_s: float = 0.0


class MemberView:
    """Live daemons as seen by this daemon.

    Attributes
    ----------
    listed
        Daemons on the platform's list; None before its first answer.
    contacts
        Members heard from recently, the most recent last.
    """

    def __init__(self, own_address: str) -> None:
        self.own_address = own_address
        self.listed: frozenset[str] | None = None
        self.leaving = False
        self.suspicions: dict[str, Suspicion] = {}
        self.drained: dict[str, float] = {}
        self.contacts: collections.OrderedDict[str, None] = collections.OrderedDict()

    def on_list(self, addresses: Iterable[str]) -> None:
        """Update the daemons that the platform lists as live."""
        listed = frozenset(addresses)
        if not listed and self.listed:
            # An empty list is a fault of the platform, since this daemon is
            # live. Accepting it would move the homes of all engines here.
            return
        self.listed = listed
        self.suspicions = {
            key: suspicion for key, suspicion in self.suspicions.items() if key in listed
        }
        self.drained = {key: until for key, until in self.drained.items() if key in listed}

    def on_message_received(self, address: str) -> None:
        """Record an answer or message from a member and clear its failures."""
        self.suspicions.pop(address, None)
        self.contacts.pop(address, None)
        self.contacts[address] = None
        if len(self.contacts) > MAX_CONTACTS:
            self.contacts.popitem(last=False)

    def on_unanswered(self, address: str, weight: int, now: float) -> None:
        """Record a call or query that a member did not answer.

        The member is ejected once its failures reach ``EJECTION_WEIGHT`` and
        span ``MIN_FAILURE_SPAN_S``; repeated ejections get longer. The span
        matters because after a pause of this process all its queries time out
        at once, which says nothing about the other members.
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
        """Record a member's drain notice, which overrides the platform's list.

        It is kept for ``DRAIN_TTL_S`` or until the list drops the member.
        """
        self.drained[address] = now + DRAIN_TTL_S

    def live(self, now: float) -> tuple[str, ...]:
        """Return the live members, sorted; includes this daemon unless it is leaving."""
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
