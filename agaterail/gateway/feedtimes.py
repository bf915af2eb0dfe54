"""Wait times of reads of the store and of polls of peers."""

from __future__ import annotations

from agaterail.gateway.controlstore import Feed

# How long a read of the store waits for new records. Until a waiting read returns, the
# previous reading is the newest one. A reading is therefore up to two waits old at a
# reader and up to three at the daemons that poll it, well below the age up to which keys
# are accepted; it gets older while a large record is being transferred.
DIRECT_WAITS_S = {
    Feed.OPERATORS: 0.6,
    Feed.TARGETS: 0.6,
    Feed.LEASE: 2.0,
    Feed.CRASHES: 2.0,
    Feed.CACHE_POOL: 2.0,
}
# Feeds that must be current in a peer's answer. The lease is not among them, as no
# request of a caller depends on it.
REQUIRED_FEEDS = frozenset({Feed.OPERATORS, Feed.TARGETS})
# Feeds that a daemon without current peers reads itself.
REQUEST_FEEDS = REQUIRED_FEEDS | {Feed.CRASHES, Feed.CACHE_POOL}
# A feed whose reading is older than this is read once, whatever peers answer: a reader
# that started later than this daemon cannot continue from this daemon's offset, and one
# of a former release does not follow all feeds.
MAX_READING_AGE_S = 6.0
# How long a poll waits at a peer for new records.
PEER_WAIT_S = 0.6
# Allowance for a slow call. A reader with a working connection receives data from the
# store after at most a wait and a slow call; a reader that has not counts as cut off.
# The age of its reading cannot show that, as it also grows while a large record is
# being transferred. All readers may lose the store silently at the same time: after this
# silence and one more poll the store is read directly, which is early enough for the
# bound on when a new desired state is in force.
SLOW_CALL_S = 0.6


def max_silence_s(feed: Feed) -> float:
    """Return how long a working connection of a reader to the store may be silent."""
    return DIRECT_WAITS_S[feed] + SLOW_CALL_S
