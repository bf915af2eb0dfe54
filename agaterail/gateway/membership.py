"""Membership of one daemon in the fleet, by the partitions that the platform assigns."""

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

# A member that misses three joins loses its partitions. The period is short in a small
# fleet, so that a dead holder of the lease is replaced soon. In a larger fleet it grows,
# to keep the joins of all members together at about 20 per second or less.
JOIN_PERIOD_S = 0.8
MAX_JOIN_PERIOD_S = 2.0
MEMBERS_PER_PERIOD = 8
JOINS_IN_TTL = 3.1
# Number of daemons that read the store for the others: at least two, so that one may
# die, and one for each 24 daemons, as each polling daemon costs a reader 0.3 ms of CPU
# time per second.
MIN_READERS = 2
POLLERS_PER_READER = 24
MAX_READERS = 8
# Shortest time between two lookups of the readers.
READER_LOOKUP_PERIOD_S = 2.0
# A former reader goes on reading for this long, since the other daemons poll it until
# they know the new readers. Without it, after each change of the fleet all daemons got
# stale readings and read the store directly for a second.
READER_GRACE_S = 5.0
UNKNOWN_GENERATION = -1
# Lower bound of the share from which the fleet size is estimated: smaller shares give no
# plausible estimate. Caps the estimate at 1,000 daemons.
MIN_SHARE = 0.001
FIRST_RANK = 0
ADDRESS_SEPARATOR = "@"
LINK_SEPARATOR = "~"
DOMAIN_SEPARATOR = "!"
# A link of this bandwidth receives a large desired state in well under a second and
# sends it to all polling daemons in the same time. Faster links are not preferred further.
SUFFICIENT_LINK_MBPS = 50.0


def member_name(
    host: str, address: str, boot: str, link_mbps: float = 0.0, domain: str = ""
) -> str:
    """Return a member's name, which contains its address, link and failure domain."""
    process = f"{host}.{boot}{DOMAIN_SEPARATOR}{domain}"
    return f"{process}{LINK_SEPARATOR}{link_mbps:.0f}{ADDRESS_SEPARATOR}{address}"


def address_of(member: str) -> str:
    """Return the address in a member's name, or an empty text if there is none."""
    return member.rpartition(ADDRESS_SEPARATOR)[2] if ADDRESS_SEPARATOR in member else ""


def link_of(member: str) -> float:
    """Return the link bandwidth in a member's name in Mbit/s, or 0 if there is none."""
    link = member.rpartition(ADDRESS_SEPARATOR)[0].rpartition(LINK_SEPARATOR)[2]
    return float(link) if link.isdecimal() else 0.0


def domain_of(member: str) -> str:
    """Return the failure domain in a member's name; empty if there is none."""
    process = member.rpartition(ADDRESS_SEPARATOR)[0].rpartition(LINK_SEPARATOR)[0]
    return process.rpartition(DOMAIN_SEPARATOR)[2] if DOMAIN_SEPARATOR in process else ""


def reader_count(daemons: float) -> int:
    """Return how many daemons read the store in a fleet of this size."""
    return min(MAX_READERS, max(MIN_READERS, math.ceil(daemons / POLLERS_PER_READER)))


def choose_readers(members: Mapping[int, str], daemons: float) -> tuple[str, ...]:
    """Return the distinct addresses of the daemons that read the store.

    One member often holds several partitions. Counted twice, it would be the only
    reader, and its failure would cut off all daemons. Members with fast links go first:
    through readers with slow links a large desired state took a second to reach the
    reader and another second to reach the daemons that poll it, although there were
    daemons with fast links.

    Parameters
    ----------
    members
        Names of the members by the number of a partition that each holds.
    """
    names = [name for _, name in sorted(members.items()) if address_of(name)]
    names.sort(key=lambda name: -min(link_of(name), SUFFICIENT_LINK_MBPS))
    addresses = dict.fromkeys(map(address_of, names))
    return tuple(addresses)[: reader_count(daemons)]


class MembershipController:
    """Joins the fleet periodically and tracks this daemon's share of the partitions.

    The platform assigns a partition to another member only after this one has been
    silent for the time to live, counted from the arrival of its last join. This daemon
    counts from before the join is sent, so it gives up its share earlier.

    Attributes
    ----------
    valid_until
        Time until which the share is valid.
    reader_until
        End of the grace period in which a former reader goes on reading.
    readers_stale
        Whether polls of the known readers failed, so that they must be looked up again.
    ranks
        Topics whose first partition this daemon holds.
    last_lookup
        Generation and time of the last lookup of the readers; the generation is unknown
        if the lookup did not find all of them.
    """

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon
        self.generation = 0
        self.valid_until = 0.0
        self.reader_until = 0.0
        self.readers_stale = False
        self.ranks: frozenset[int] = frozenset()
        self.period_s = JOIN_PERIOD_S
        self.last_lookup = (UNKNOWN_GENERATION, float("-inf"))
        self.address = f"{daemon.settings.ip}:{daemon.settings.peer_ports[0]}"
        self.member = member_name(
            daemon.settings.host,
            self.address,
            daemon.boot,
            daemon.settings.link_mbps,
            daemon.settings.domain,
        )

    @property
    def leads(self) -> bool:
        """Return whether this daemon is first in line for the lease."""
        return self.rank == FIRST_RANK

    @property
    def rank(self) -> int | None:
        """Return this daemon's place in line for the lease; None if it has none."""
        return min(self.ranks, default=None)

    @property
    def is_reader(self) -> bool:
        """Return whether this daemon reads the store for others."""
        return self._is_listed or self.daemon.now() < self.reader_until

    @property
    def _is_listed(self) -> bool:
        is_member = self.daemon.budget.share > 0.0
        return self.leads or (is_member and self.address in self.daemon.feeds.readers)

    def step(self) -> None:
        """Renew the membership once, and refresh the list of readers if it is due."""
        if self.daemon.stopping:
            return
        if self._is_listed:
            self.reader_until = self.daemon.now() + READER_GRACE_S
        sent_at = self.daemon.now()
        ttl_s = max(self.period_s * JOINS_IN_TTL, self.daemon.settings.store.member_ttl_min_s)
        answer = self.daemon.store.join(self.member, ttl_s, self.generation)
        if isinstance(answer, Success):
            self.daemon.feeds.store_backoff.record_contact(sent_at)
            self._apply_membership(answer.unwrap(), sent_at + ttl_s)
            self._refresh_readers(self.daemon.now())
        elif self.daemon.now() >= self.valid_until and self.daemon.budget.share:
            logger.warning("Fleet membership expired.", reason=answer.failure().kind.value)
            self.daemon.budget.give_up_share(self.daemon.now())
            self.ranks = frozenset()

    def leave(self) -> None:
        """Give up the share and leave the fleet."""
        self.daemon.budget.give_up_share(self.daemon.now())
        self.ranks = frozenset()
        left = self.daemon.store.leave(self.member)
        if not isinstance(left, Success):
            logger.info("Leaving the fleet failed.", reason=left.failure().kind.value)

    def _apply_membership(self, found: Membership, valid_until: float) -> None:
        if found.generation != self.generation:
            logger.info(
                "Fleet membership changed.",
                generation=found.generation,
                share=round(found.share, 4),
                ranks=sorted(found.ranks),
            )
        self.generation = found.generation
        self.valid_until = valid_until
        self.daemon.budget.set_share(found.share, valid_until, self.daemon.now())
        self.ranks = found.ranks
        if found.share:
            daemons = 1.0 / max(MIN_SHARE, found.share)
            self.daemon.set_fleet_size(daemons)
            self.period_s = min(
                MAX_JOIN_PERIOD_S,
                JOIN_PERIOD_S * max(1.0, daemons / MEMBERS_PER_PERIOD),
            )

    def _refresh_readers(self, now: float) -> None:
        """Look up the readers, unless this daemon can rely on the lists of its peers."""
        hub = self.daemon.feeds
        generation, at = self.last_lookup
        # Former readers look them up too. Otherwise two of them that knew only of each
        # other were polled by the whole fleet, which got stale readings and read the
        # store directly.
        was_reader = now < self.reader_until
        needs_lookup = bool(self.ranks) or was_reader or self.readers_stale or not hub.readers
        if not needs_lookup or now - at < READER_LOOKUP_PERIOD_S:
            return
        if generation == self.generation and not self.readers_stale:
            return
        found = self.daemon.store.members()
        if not isinstance(found, Success):
            return
        daemons, members = self.daemon.rules.daemons, found.unwrap()
        hub.set_readers(choose_readers(members, daemons))
        names = filter(address_of, members.values())
        hub.members.update({address_of(name): domain_of(name) for name in names}, now)
        self.readers_stale = False
        # During a rebalance few partitions have an owner. An incomplete list is looked up
        # again: with a single reader on it, the loss of that reader would cut off all
        # daemons.
        complete = len(hub.readers) >= reader_count(daemons)
        self.last_lookup = (self.generation if complete else UNKNOWN_GENERATION, now)
