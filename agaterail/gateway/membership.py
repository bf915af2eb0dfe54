"""Place of one daemon in the fleet, as the platform deals its partitions."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from returns.result import Success

from agaterail import logs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from agaterail.gateway.controlstore import Membership
    from agaterail.gateway.daemon import Daemon

logger = logs.get_logger("fleet")

# A member that is silent for three joins loses its partitions. Short in a small
# fleet, so that a dead holder of the lease is replaced soon; in a larger one the
# joins of all together are kept at some 20 a second and less.
JOIN_PERIOD_S = 0.8
MAX_JOIN_PERIOD_S = 2.0
MEMBERS_PER_PERIOD = 8
JOINS_IN_TTL = 3.1
# Daemons that read the store for the others: two, so that one may die, and one
# for each 24 more, as each question takes a reader 0.3 ms a second.
MIN_READERS = 2
POLLERS_PER_READER = 24
MAX_READERS = 8
# Who the readers are is looked up at most so often.
READER_LOOKUP_PERIOD_S = 2.0
# A daemon goes on reading for so long after it was a reader: the others ask it until
# they have learned who reads now. Without it each change of the fleet had all daemons
# find an old reading and read the store for a second.
READER_GRACE_S = 5.0
UNKNOWN_GENERATION = -1
# Shares bound estimates only where they are sensible.
MIN_SHARE = 0.002
FIRST_RANK = 0
ADDRESS_SEPARATOR = "@"
LINK_SEPARATOR = "~"
# A link that brings a large desired state in well under a second and passes it on to
# all askers in as much; more of it is no reason to prefer a daemon as a reader.
SUFFICIENT_LINK_MBPS = 50.0


def member_name(host: str, address: str, boot: str, link_mbps: float = 0.0) -> str:
    """Return a member's name, which says where its peers reach it, and how fast."""
    return f"{host}.{boot}{LINK_SEPARATOR}{link_mbps:.0f}{ADDRESS_SEPARATOR}{address}"


def address_of(member: str) -> str:
    """Return the address in a member's name; empty if there is none."""
    return member.rpartition(ADDRESS_SEPARATOR)[2] if ADDRESS_SEPARATOR in member else ""


def link_of(member: str) -> float:
    """Return the link in a member's name in Mbit/s; 0 if there is none."""
    link = member.rpartition(ADDRESS_SEPARATOR)[0].rpartition(LINK_SEPARATOR)[2]
    return float(link) if link.isdecimal() else 0.0


def reader_count(daemons: float) -> int:
    """Return how many daemons read the store in a fleet of this size."""
    return min(MAX_READERS, max(MIN_READERS, math.ceil(daemons / POLLERS_PER_READER)))


def choose_readers(members: Mapping[int, str], daemons: float) -> tuple[str, ...]:
    """Return the addresses of the daemons that read the store, no two the same.

    One member often holds several partitions; counted twice, it would be the only
    reader, and its death or deafness would be that of all. Those with ample links go
    first: a large desired state took a second to reach a reader with a slow one, and
    another to reach its askers, while there were daemons with fast ones.

    Parameters
    ----------
    members
        Names by the number of a partition that each holds.
    """
    names = [name for _, name in sorted(members.items()) if address_of(name)]
    names.sort(key=lambda name: -min(link_of(name), SUFFICIENT_LINK_MBPS))
    addresses = dict.fromkeys(map(address_of, names))
    return tuple(addresses)[: reader_count(daemons)]


class MembershipController:
    """Joins the fleet now and then and notes the share that this daemon holds.

    The platform deals a partition to another member only after this one has
    been silent for the time to live, counted from the arrival of its last
    join. Counted here from before the sending, the share ends earlier.
    """

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon
        self.generation = 0
        self.valid_until = 0.0
        self.reader_until = 0.0
        # The known readers have no news: others read now, it seems.
        self.readers_stale = False
        self.ranks: frozenset[int] = frozenset()
        self.period_s = JOIN_PERIOD_S
        self.last_lookup = (UNKNOWN_GENERATION, float("-inf"))
        self.address = f"{daemon.settings.ip}:{daemon.settings.peer_ports[0]}"
        self.member = member_name(
            daemon.settings.host, self.address, daemon.boot, daemon.settings.link_mbps
        )

    @property
    def leads(self) -> bool:
        """Tell whether it is first on this daemon to give orders."""
        return FIRST_RANK in self.ranks

    @property
    def is_reader(self) -> bool:
        """Tell whether this daemon reads the store for others."""
        return self._is_listed or self.daemon.now() < self.reader_until

    @property
    def _is_listed(self) -> bool:
        is_member = self.daemon.budget.share > 0.0
        return self.leads or (is_member and self.address in self.daemon.feeds.readers)

    def step(self) -> None:
        """Join once, and schedule the next time."""
        if self.daemon.stopping:
            return
        if self._is_listed:
            self.reader_until = self.daemon.now() + READER_GRACE_S
        sent_at = self.daemon.now()
        ttl_s = max(self.period_s * JOINS_IN_TTL, self.daemon.settings.store.member_ttl_min_s)
        answer = self.daemon.store.join(self.member, ttl_s, self.generation)
        if isinstance(answer, Success):
            self._apply_membership(answer.unwrap(), sent_at + ttl_s)
        elif self.daemon.now() >= self.valid_until and self.daemon.budget.share:
            logger.warning("Share of the fleet lost.", reason=answer.failure().kind.value)
            self.daemon.budget.share = 0.0
            self.ranks = frozenset()
        self._refresh_readers(self.daemon.now())

    def leave(self) -> None:
        """Leave the fleet."""
        self.daemon.budget.share = 0.0
        self.ranks = frozenset()
        left = self.daemon.store.leave(self.member)
        if not isinstance(left, Success):
            logger.info("The fleet was not told.", reason=left.failure().kind.value)

    def _apply_membership(self, found: Membership, valid_until: float) -> None:
        if found.generation != self.generation:
            logger.info(
                "Share of the fleet.",
                generation=found.generation,
                share=round(found.share, 4),
                ranks=sorted(found.ranks),
            )
        self.generation = found.generation
        self.valid_until = valid_until
        self.daemon.budget.share = found.share
        self.ranks = found.ranks
        if found.share:
            daemons = 1.0 / max(MIN_SHARE, found.share)
            self.daemon.set_fleet_size(daemons)
            self.period_s = min(
                MAX_JOIN_PERIOD_S,
                JOIN_PERIOD_S * max(1.0, daemons / MEMBERS_PER_PERIOD),
            )

    def _refresh_readers(self, now: float) -> None:
        """Find out who reads the store, where it is on this daemon to know."""
        hub = self.daemon.feeds
        generation, at = self.last_lookup
        # Two former readers that knew of none but each other were asked by the whole
        # fleet, which found old readings and read the store.
        was_reader = now < self.reader_until
        needs_lookup = bool(self.ranks) or was_reader or self.readers_stale or not hub.readers
        if not needs_lookup or now - at < READER_LOOKUP_PERIOD_S:
            return
        if generation == self.generation and not self.readers_stale:
            return
        found = self.daemon.store.members()
        if not isinstance(found, Success):
            return
        daemons = self.daemon.rules.daemons
        hub.set_readers(choose_readers(found.unwrap(), daemons))
        self.readers_stale = False
        # While partitions are dealt anew, few of them have an owner. Was one reader
        # all that was found and not looked up again, its loss cut all from news.
        complete = len(hub.readers) >= reader_count(daemons)
        self.last_lookup = (self.generation if complete else UNKNOWN_GENERATION, now)
