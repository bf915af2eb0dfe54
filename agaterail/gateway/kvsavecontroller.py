"""Follow the KV stores on a few daemons and decide which prompts are saved."""

from __future__ import annotations

import functools
import json
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, quote

import gevent
from returns.result import Success

from agaterail import logs
from agaterail.gateway.kvstoreindex import KvStoreIndex, SaveQuery
from agaterail.gateway.placement import choose_by_hash
from agaterail.util.greenlets import run_forever
from agaterail.util.httpconn import ConnectionsByAddress

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from agaterail.gateway.kvstoreindex import CacheFeed

logger = logs.get_logger("kept")

PATH = b"/kept"
# Events arrive in batches, and a read returns with the first event. A pause after each
# read limits the reads to four per second per store. A save takes longer than the pause.
READ_WAIT_S = 0.8
READ_PAUSE_S = 0.25
RETRY_PAUSE_S = 1.0
IDLE_PAUSE_S = 0.5
# Daemons are 1 to 2 ms apart, and a prompt must not wait for an unresponsive one.
# Without an answer the prompt is saved, which only costs memory in the store.
ASK_TIMEOUT_S = 0.05
PEER_BACKOFF_S = 1.0
# Time for which the answer that a prompt need not be saved is cached. Only the daemon
# that cached it notices an eviction up to this much later.
SKIP_TTL_S = 3.0
MAX_SKIP_ENTRIES = 4096
OK = 200


class KvSaveController:
    """Decides for each prompt whether its engine saves it to a KV store.

    The daemons that read the platform's store for the others also follow the events of the
    KV stores. A hash of the prompt's deepest shared part selects the one of them to ask, so
    that a single daemon decides on each part. A KV store allows only a few readers of its
    events, and each of a hundred daemons sees a part too rarely to know by itself that
    another one has saved it.

    Parameters
    ----------
    feed
        Where the events come from.
    own_address
        Address at which this daemon answers its peers.
    readers
        Returns the addresses of the daemons that follow the stores.
    now
        Returns the time in seconds.
    """

    def __init__(
        self,
        feed: CacheFeed,
        own_address: str,
        readers: Callable[[], tuple[str, ...]],
        now: Callable[[], float],
    ) -> None:
        self.feed = feed
        self.own_address = own_address
        self.readers = readers
        self.now = now
        self.indexes: dict[str, KvStoreIndex] = {}
        self.next_numbers: dict[str, int] = {}
        self.skip_until: dict[tuple[str, str, str], float] = {}
        self.backoff_until: dict[str, float] = {}
        self.peers = ConnectionsByAddress(ASK_TIMEOUT_S)
        self.followers: dict[str, gevent.Greenlet] = {}

    def should_save(self, save_query: SaveQuery) -> bool:
        """Return whether an engine should save a prompt, asking a peer if necessary."""
        now = self.now()
        key = (save_query.store, save_query.scope, save_query.deepest)
        if now < self.skip_until.get(key, 0.0):
            return False
        save = self._decide(save_query, now)
        if not save:
            if len(self.skip_until) >= MAX_SKIP_ENTRIES:
                self.skip_until.clear()
            self.skip_until[key] = now + SKIP_TTL_S
        return save

    def answer(self, query: bytes) -> bytes:
        """Answer a peer's query.

        Raises
        ------
        ValueError
            If the query is malformed.
        """
        return json.dumps(self._claim(decode_query(query))).encode()

    def follow(self, address: str) -> None:
        """Read a store's events once if this daemon is a reader, then pause."""
        if self.own_address not in self.readers():
            gevent.sleep(IDLE_PAUSE_S)
            return
        since = self.next_numbers.get(address, 0)
        found = self.feed.follow(address, since, READ_WAIT_S)
        if not isinstance(found, Success):
            logger.info(
                "Could not read KV store events.", store=address, reason=found.failure()
            )
            gevent.sleep(RETRY_PAUSE_S)
            return
        batch = found.unwrap()
        index = self._index(address)
        if batch.epoch != index.epoch:
            logger.info("Following KV store.", store=address, epoch=batch.epoch)
            # A restarted store numbers its events from the beginning. Its answer to a
            # number of the previous epoch is discarded and the events are read again.
            index.reset(batch.epoch)
            self.next_numbers[address] = 0
            if since:
                return
        self.next_numbers[address] = batch.next_number
        index.apply(batch.changes, self.now())
        gevent.sleep(READ_PAUSE_S)

    def set_stores(
        self, addresses: Collection[str], spawn: Callable[..., gevent.Greenlet]
    ) -> None:
        """Follow these stores from now on and drop the state of all others."""
        for address in self.followers.keys() - set(addresses):
            self.followers.pop(address).kill(block=False)
            self.indexes.pop(address, None)
            self.next_numbers.pop(address, None)
        for address in set(addresses) - self.followers.keys():
            self.followers[address] = spawn(
                run_forever,
                functools.partial(self.follow, address),
                logger,
                "Exception while following a KV store.",
                IDLE_PAUSE_S,
                store=address,
            )

    def _index(self, address: str) -> KvStoreIndex:
        return self.indexes.setdefault(address, KvStoreIndex())

    def _decide(self, save_query: SaveQuery, now: float) -> bool:
        readers = self.readers()
        if not readers:
            return True
        decider = choose_by_hash(save_query.deepest, readers)
        if decider == self.own_address:
            return self._claim(save_query)
        if now < self.backoff_until.get(decider, 0.0):
            return True
        answer = self._ask(decider, save_query)
        if answer is None:
            self.backoff_until[decider] = self.now() + PEER_BACKOFF_S
            return True
        return answer

    def _claim(self, save_query: SaveQuery) -> bool:
        return self._index(save_query.store).claim_save(
            save_query.scope, save_query.parts, self.now()
        )

    def _ask(self, decider: str, save_query: SaveQuery) -> bool | None:
        called = self.peers.to(decider).call(
            "GET", encode_query(save_query), timeout_s=ASK_TIMEOUT_S
        )
        if not isinstance(called, Success):
            reason = called.failure().reason
            logger.info("Peer did not answer save query.", peer=decider, reason=reason)
            return None
        status, body = called.unwrap()
        return body != b"false" if status == OK else None


def encode_query(save_query: SaveQuery) -> str:
    """Return the path and query string of a save query."""
    parts = ",".join(save_query.parts)
    return (
        f"{PATH.decode()}?store={quote(save_query.store)}"
        f"&scope={quote(save_query.scope)}&parts={parts}"
    )


def decode_query(query: bytes) -> SaveQuery:
    """Parse a save query from a query string.

    Raises
    ------
    ValueError
        If the query string is malformed.
    """
    found = parse_qs(query.decode("ascii"), strict_parsing=True, keep_blank_values=True)
    try:
        parts = tuple(part for part in found["parts"][0].split(",") if part)
        save_query = SaveQuery(store=found["store"][0], scope=found["scope"][0], parts=parts)
    except KeyError as error:
        raise ValueError(f"{error} parameter is missing") from error
    if not parts:
        raise ValueError("parts parameter is empty")
    return save_query
