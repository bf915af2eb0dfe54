"""Select and call the daemons that keep accounts for the whole fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote, unquote

import gevent
from returns.result import Failure, Result, Success

from agaterail import logs
from agaterail.decisions.contacts import FleetContacts
from agaterail.gateway.placement import choose_by_hash
from agaterail.util.httpconn import ConnectionsByAddress

if TYPE_CHECKING:
    from collections.abc import Callable

logger = logs.get_logger("coordinators")

PERIOD_S = 0.1
# Daemons are 1 to 2 ms apart. A request waits no longer than this for an answer.
ASK_TIMEOUT_S = 0.08
PEER_BACKOFF_S = 1.0
CONTACT_PERIOD_S = 0.5
FLEET_SIZE_VALID_S = 15.0
# Peers replace a coordinator that pauses for longer than this.
MAX_PAUSE_S = 0.5
# Daemons estimate the size of the fleet differently and know lists of readers of
# different lengths, which begin alike.
COORDINATORS = 2
CONTACT_PATH = "/allowances/1"


class Coordinators:
    """The daemons that keep accounts for the whole fleet.

    A hash of an account's name selects its coordinator among the first daemons that
    read the platform's store for the others. One that does not answer is replaced.

    Parameters
    ----------
    name
        Name of this process, unique among all processes of all hosts.
    own_address
        Address at which this daemon answers its peers.
    readers
        Returns the addresses of the daemons that may coordinate.
    daemons
        Returns the number of daemons in the fleet.
    now
        Returns the time.

    Attributes
    ----------
    users
        Functions that return whether there are accounts to ask coordinators about.
    on_change
        Functions that are called with the time when accounts may have moved to another
        coordinator. The second argument says whether this host was suspended.
    """

    period_s = PERIOD_S

    def __init__(
        self,
        name: str,
        own_address: str,
        readers: Callable[[], tuple[str, ...]],
        daemons: Callable[[], float],
        now: Callable[[], float],
    ) -> None:
        self.name = name
        self.own_address = own_address
        self.readers = readers
        self.daemons = daemons
        self.now = now
        self.users: list[Callable[[], bool]] = []
        self.on_change: list[Callable[[float, bool], None]] = []
        self.contacts = FleetContacts()
        self.known_readers: frozenset[str] = frozenset()
        self.peers = ConnectionsByAddress(ASK_TIMEOUT_S)
        self.backoff_until: dict[str, float] = {}
        self.stepped_at = now()
        self.contact_at = 0.0
        self.fleet_size = 0.0
        self.sized_at = 0.0

    def step(self) -> None:
        """Follow changes of the coordinators and make contact with them."""
        now = self.now()
        if self.was_suspended:
            # This host was suspended. Another one may have coordinated meanwhile.
            self._notify(now, suspended=True)
        self.stepped_at = now
        self.follow()
        self._record_fleet_size(now)
        self._make_contact(now)

    @property
    def was_suspended(self) -> bool:
        """Return whether this host was suspended and users do not know it yet."""
        return self.now() - self.stepped_at > MAX_PAUSE_S

    def follow(self) -> None:
        """Tell users when accounts may have moved to another coordinator."""
        readers = frozenset(self.readers()[:COORDINATORS])
        if readers != self.known_readers:
            self.known_readers = readers
            self._notify(self.now(), suspended=False)

    def _notify(self, now: float, suspended: bool) -> None:
        for notify in self.on_change:
            notify(now, suspended)

    def of(self, account: str) -> str:
        """Return the address of an account's coordinator; empty if there is none.

        One that does not answer is replaced. Its replacement grants nothing before it
        has seen the same.
        """
        readers, now = self.readers()[:COORDINATORS], self.now()
        answering = [item for item in readers if now >= self.backoff_until.get(item, 0.0)]
        return choose_by_hash(account, answering) if answering else ""

    def replaces(self, account: str, coordinator: str = "") -> bool:
        """Return whether a coordinator replaces another one that is an account's first.

        Parameters
        ----------
        coordinator
            Address of a coordinator; this daemon if empty.
        """
        readers = self.readers()[:COORDINATORS]
        address = coordinator or self.own_address
        return bool(readers) and choose_by_hash(account, readers) != address

    def coordinates(self, account: str) -> bool:
        """Return whether this daemon coordinates an account."""
        return self.of(account) == self.own_address

    def call(
        self, coordinator: str, query: str, body: bytes = b"", timeout_s: float = ASK_TIMEOUT_S
    ) -> Result[tuple[int, bytes], str]:
        """Return the status and body of an answer, or the reason why there is none.

        Parameters
        ----------
        query
            Path and query string.
        body
            Body of the message; empty if the query string says all.
        """
        now = self.now()
        if now < self.backoff_until.get(coordinator, 0.0):
            return Failure("in backoff")
        method = "POST" if body else "GET"
        called = self.peers.to(coordinator).call(method, query, body, timeout_s=timeout_s)
        if isinstance(called, Success):
            return Success(called.unwrap())
        self.record_failure(coordinator, called.failure().reason)
        return Failure(called.failure().reason)

    def record_failure(self, coordinator: str, reason: str) -> None:
        """Replace a coordinator for a while."""
        self.backoff_until[coordinator] = self.now() + PEER_BACKOFF_S
        logger.info("Coordinator did not answer.", peer=coordinator, reason=reason)

    def record_contact(self, daemon: str) -> None:
        """Record that a daemon takes this one for a coordinator."""
        self.contacts.record(daemon, self.now())

    def fleet_fraction(self) -> float:
        """Return the fraction of the fleet's amounts that this daemon may grant."""
        now = self.now()
        return self.contacts.fleet_fraction(self.largest_fleet(), now)

    def heard_fraction(self) -> float:
        """Return the fraction of the fleet that takes this daemon for a coordinator."""
        return self.contacts.heard_fraction(self.largest_fleet(), self.now())

    def largest_fleet(self) -> float:
        """Return the largest number of daemons lately.

        Daemons that lose the platform's store lose their membership, but not their callers.
        """
        self._record_fleet_size(self.now())
        return self.fleet_size

    def _record_fleet_size(self, now: float) -> None:
        daemons = self.daemons()
        if daemons >= self.fleet_size or now - self.sized_at > FLEET_SIZE_VALID_S:
            self.fleet_size, self.sized_at = daemons, now

    def _make_contact(self, now: float) -> None:
        """Tell the coordinators from time to time that this daemon takes them for such."""
        self.record_contact(self.name)
        if now < self.contact_at or not any(has_accounts() for has_accounts in self.users):
            return
        self.contact_at = now + CONTACT_PERIOD_S
        for address in self.readers()[:COORDINATORS]:
            if address != self.own_address:
                gevent.spawn(self.call, address, query_path(CONTACT_PATH, self.name, ()))


def query_path(path: str, daemon: str, rows: tuple[str, ...]) -> str:
    """Return the path and query string of a daemon's message to a coordinator."""
    return f"{path}?" + "&".join([f"daemon={quote(daemon, safe='')}", *rows])


def split_query(query: bytes) -> tuple[str, list[tuple[str, str]]]:
    """Return the daemon of a message and the names and values of its rows.

    Raises
    ------
    ValueError
        If the query string is malformed.
    """
    first, *rest = query.decode("ascii").split("&")
    name, _, daemon = first.partition("=")
    if name != "daemon" or not daemon:
        raise ValueError("daemon parameter is missing")
    rows = []
    for pair in rest:
        name, _, value = pair.partition("=")
        rows.append((name, value))
    return unquote(daemon), rows
