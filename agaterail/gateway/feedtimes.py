"""How long reads of the store and questions to peers wait."""

from __future__ import annotations

from agaterail.gateway.controlstore import Feed

# Waits of a daemon that reads the store itself. While a read waits, the one before
# it counts, so that a reading is up to two waits old at a reader and up to three at
# those that ask it, well below the age up to which keys are accepted; longer while a
# large record is on its way.
DIRECT_WAITS_S = {Feed.OPERATORS: 0.6, Feed.TARGETS: 0.6, Feed.LEASE: 2.0}
# Feeds whose age makes a peer's answer useless. Who holds the lease is no news that
# callers wait for.
REQUIRED_FEEDS = frozenset({Feed.OPERATORS, Feed.TARGETS})
# How long a question waits at a peer for news.
PEER_WAIT_S = 0.6
# A reader on a sound connection hears of the store after a wait and a slow call at
# most; one that has not is as good as cut off. The age of its reading says nothing of
# that: it grows while a large record is on its way. All readers can be cut off at the
# same moment without a word: after that silence and one more question the store is
# read directly, before a new desired state must be in force.
SLOW_CALL_S = 0.6


def max_silence_s(feed: Feed) -> float:
    """Return for how long a reader on a sound connection may hear nothing."""
    return DIRECT_WAITS_S[feed] + SLOW_CALL_S
