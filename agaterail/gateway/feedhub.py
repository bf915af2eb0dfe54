"""Keeps the feeds of the platform's store current, directly or through peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent.event

from agaterail import logs
from agaterail.decisions.fleetmembers import FleetMembers
from agaterail.gateway.controlstore import NEVER, DesiredPublished, Feed, LeaseChanged
from agaterail.gateway.directfollower import DirectFollower
from agaterail.gateway.peerpoller import PeerPoller
from agaterail.gateway.peerresponder import PeerResponder
from agaterail.gateway.relay import Relay
from agaterail.gateway.storebackoff import MAX_BACKOFF_S, StoreBackoff
from agaterail.util.address import Address
from agaterail.util.greenlets import run_forever

if TYPE_CHECKING:
    from collections.abc import Sequence

    from agaterail.gateway.controlstore import Arrival, Change, Reading
    from agaterail.gateway.daemon import Daemon

logger = logs.get_logger("feeds")

# A registration lapses after three heartbeats without a write. The first of them was due
# up to one heartbeat before the outage.
SHORTEST_OUTAGE_HEARTBEATS = 2.0
# Name in the log of the loop that reads all feeds from peers.
FROM_PEERS = "all from peers"


class FeedHub:
    """One daemon's copy of all feeds.

    A few daemons, the readers, read the store: those that hold the first partition of
    one of the fleet's first topics. The others long-poll a reader, which answers as soon
    as there are new records. The number of calls to the store therefore stays constant
    from tens of daemons on. A daemon that cannot poll any peer reads the store itself.

    Attributes
    ----------
    offsets
        Next offset of each feed; all records before it are in force.
    read_at
        Time up to which all changes of each feed are known.
    new_records
        Pulsed when records arrive, to answer waiting peers.
    wake_direct
        Pulsed when direct reads may be due, to end their sleep.
    store_backoff
        Backoff of the direct reads of all feeds.
    store_answered
        Pulsed when the store answers again after a failed read.
    readers
        Addresses of the daemons that read the store.
    members
        The daemons of the fleet, as readers found them.
    """

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon
        self.relay = Relay()
        self.offsets: dict[Feed, int] = {}
        self.read_at = dict.fromkeys(Feed, NEVER)
        self.new_records = gevent.event.Event()
        self.wake_direct = gevent.event.Event()
        self.store_backoff = StoreBackoff()
        self.store_answered = gevent.event.Event()
        self.readers: tuple[str, ...] = ()
        self.members = FleetMembers()
        daemon.store.on_data = lambda feed: self.relay.feeds[feed].record_contact(daemon.now())
        address = Address(daemon.settings.ip, daemon.settings.peer_ports[0])
        self.peer_responder = PeerResponder(self, address, daemon.peer_limits, daemon.now)
        self.poller = PeerPoller(self, daemon, str(address))

    def start(self) -> None:
        """Start to follow the feeds and to answer peers."""
        self.peer_responder.server.start()
        steps = [(feed.value, DirectFollower(self, feed).step) for feed in Feed]
        for name, step in (*steps, (FROM_PEERS, self.poller.step)):
            self.daemon.greenlets.spawn(
                run_forever,
                step,
                logger,
                "Following a feed failed unexpectedly.",
                MAX_BACKOFF_S,
                feed=name,
            )

    @property
    def reads_directly(self) -> bool:
        """Return whether this daemon reads the store itself."""
        return (
            self.daemon.membership.is_reader
            or self.daemon.now() < self.poller.selector.direct_until
            or len(self.offsets) < len(Feed)
            or not self.poller.available_peers()
        )

    def targets_age_s(self) -> float:
        """Return the age of the newest reading of the targets."""
        return self.daemon.now() - self.read_at[Feed.TARGETS]

    def apply_reading(self, feed: Feed, reading: Reading) -> None:
        """Apply a reading from the store or a peer."""
        if feed is Feed.OPERATORS and reading.records:
            self.peer_responder.log_stats()
        at_start = feed not in self.offsets and self.read_at[feed] == NEVER
        if feed is Feed.TARGETS and not at_start:
            self._detect_outage(reading)
        self._share_with_peers(feed, reading)
        changes = self.daemon.store.decode(feed, reading.records)
        now = self.daemon.now()
        previous_read_at, previous_offset = self.read_at[feed], self.offsets.get(feed)
        next_offset = reading.next_offset
        self.offsets[feed] = max(next_offset, self.offsets.get(feed, next_offset))
        self.read_at[feed] = max(self.read_at[feed], reading.read_at)
        if feed is Feed.LEASE:
            self._apply_lease(changes, now, previous_offset, previous_read_at)
        elif feed is Feed.CRASHES:
            self.daemon.quarantine.apply(changes, next_offset, reading.listed)
        elif feed is Feed.CACHE_POOL:
            self.daemon.cache_pool.apply(changes, next_offset)
        elif feed is Feed.TARGETS and reading.listed:
            keys = [record.key for record in reading.records]
            self.daemon.state.apply_listing(changes, next_offset, now, reading.arrival, keys)
        else:
            self.daemon.state.apply(changes, now, at_start, reading.arrival, previous_read_at)
            self._observe_delay(changes, reading.arrival)
        if feed is Feed.OPERATORS:
            self.daemon.cache_pool.refresh()
        if feed is Feed.OPERATORS and reading.read_at != NEVER:
            self.daemon.freshness.confirm(reading.read_at)

    def _detect_outage(self, reading: Reading) -> None:
        """Begin a grace period if registrations may have lapsed before this reading.

        Only a gap in the readings counts, whoever made them: while this daemon alone lost
        the store, peers told it of the targets, and a removal means that the target left.
        """
        gap_s = reading.read_at - self.read_at[Feed.TARGETS]
        if gap_s < SHORTEST_OUTAGE_HEARTBEATS * self.daemon.settings.heartbeat_s:
            return
        registry = self.daemon.registry
        logger.info(
            "Registrations may have lapsed.",
            gap_s=round(gap_s, 3),
            source=reading.arrival.source,
            grace_s=registry.lapse_grace_s,
        )
        registry.store_returned(self.daemon.now())

    def _share_with_peers(self, feed: Feed, reading: Reading) -> None:
        """Offer records to peers before they are decoded here."""
        relayed_feed = self.relay.feeds[feed]
        relayed_feed.add_reading(reading)
        relayed_feed.record_contact(reading.arrival.heard_at)
        if reading.records:
            self.new_records.set()
            self.new_records.clear()

    def set_readers(self, readers: tuple[str, ...]) -> None:
        """Set the list of readers; a daemon that is new on it starts to read at once."""
        own = self.poller.own_address
        starts_reading = own in readers and own not in self.readers
        self.readers = readers
        if starts_reading:
            self.wake_direct.set()
            self.wake_direct.clear()

    def reset(self, feed: Feed) -> None:
        """Drop the offset of a feed, so that the next read is a listing."""
        self.offsets.pop(feed, None)

    def _observe_delay(self, changes: Sequence[Change], arrival: Arrival) -> None:
        """Observe how much later than on the first daemon a desired state is in force."""
        if any(isinstance(change, DesiredPublished) for change in changes):
            delay_s = max(0.0, self.daemon.now() - arrival.known_at)
            self.daemon.metrics.in_force.observe(delay_s)

    def _apply_lease(
        self,
        changes: Sequence[Change],
        now: float,
        previous_offset: int | None,
        previous_read_at: float,
    ) -> None:
        records = [change for change in changes if isinstance(change, LeaseChanged)]
        newest = records[-1].entry if records else None
        is_new = (
            records and previous_offset is not None and records[-1].offset >= previous_offset
        )
        written_after = previous_read_at if is_new else NEVER
        self.daemon.weights.on_lease(newest, self.offsets[Feed.LEASE], now, written_after)
