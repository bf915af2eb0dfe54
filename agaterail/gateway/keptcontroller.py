"""Follows the stores of kept KV cache on a few daemons and answers for them."""

from __future__ import annotations

import functools
import json
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, quote

import gevent
from returns.result import Success

from agaterail import logs
from agaterail.gateway.keptparts import KeptParts, SaveQuestion
from agaterail.gateway.placement import choose_by_hash
from agaterail.util.greenlets import run_forever
from agaterail.util.httpconn import ConnectionsByAddress

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from agaterail.gateway.keptparts import CacheFeed

logger = logs.get_logger("kept")

PATH = b"/kept"
# Events come in bundles: a read returns with the first one, so a pause between two
# reads bounds them at four a second and store. A save takes longer than that.
READ_WAIT_S = 0.8
READ_PAUSE_S = 0.25
FAILED_PAUSE_S = 1.0
IDLE_PAUSE_S = 0.5
# Daemons are a millisecond or two apart; a prompt must not wait for one that hangs.
# Without an answer the prompt is saved, which costs memory of the store only.
ASK_TIMEOUT_S = 0.05
LEFT_ALONE_S = 1.0
# That a prompt need not be saved is not asked again for so long: an eviction is
# noticed that much later, by one daemon.
KNOWN_S = 3.0
MOST_KNOWN = 4096
OK = 200


class KeptController:
    """Decides for each prompt whether its engine is to save it.

    The daemons that read the platform's store for the others follow the kept
    stores' events too. A prompt's deepest shared part names the one of them that
    is asked, so that one daemon decides on each part: a store allows few readers
    of its events, and of a hundred daemons each would see a part too rarely to
    know by itself that another one has saved it.

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
        self.stores: dict[str, KeptParts] = {}
        self.next_numbers: dict[str, int] = {}
        self.known: dict[tuple[str, str, str], float] = {}
        self.left_alone_until: dict[str, float] = {}
        self.peers = ConnectionsByAddress(ASK_TIMEOUT_S)
        self.followers: dict[str, gevent.Greenlet] = {}

    def should_save(self, question: SaveQuestion) -> bool:
        """Tell whether an engine is to save a prompt; asks a peer if need be."""
        now = self.now()
        key = (question.store, question.scope, question.deepest)
        if now < self.known.get(key, 0.0):
            return False
        saves = self._decide(question, now)
        if not saves:
            if len(self.known) >= MOST_KNOWN:
                self.known.clear()
            self.known[key] = now + KNOWN_S
        return saves

    def answer(self, query: bytes) -> bytes:
        """Answer a peer's question.

        Raises
        ------
        ValueError
            If it is none.
        """
        return json.dumps(self._claim(decode_question(query))).encode()

    def follow(self, address: str) -> None:
        """Make one read of a store's events, if it is on this daemon; then pause."""
        if self.own_address not in self.readers():
            gevent.sleep(IDLE_PAUSE_S)
            return
        since = self.next_numbers.get(address, 0)
        found = self.feed.follow(address, since, READ_WAIT_S)
        if not isinstance(found, Success):
            logger.info("Kept store not read.", store=address, reason=found.failure())
            gevent.sleep(FAILED_PAUSE_S)
            return
        news = found.unwrap()
        parts = self._parts(address)
        if news.epoch != parts.epoch:
            logger.info("Kept store followed.", store=address, epoch=news.epoch)
            # A store that began anew counts its events from the start again; what it
            # answered to a number of before is read once more.
            parts.begin(news.epoch)
            self.next_numbers[address] = 0
            if since:
                return
        self.next_numbers[address] = news.next_number
        parts.take_in(news.changes, self.now())
        gevent.sleep(READ_PAUSE_S)

    def use_stores(
        self, addresses: Collection[str], spawn: Callable[..., gevent.Greenlet]
    ) -> None:
        """Follow these stores from now on, and drop what is known of all others."""
        for address in self.followers.keys() - set(addresses):
            self.followers.pop(address).kill(block=False)
            self.stores.pop(address, None)
            self.next_numbers.pop(address, None)
        for address in set(addresses) - self.followers.keys():
            self.followers[address] = spawn(
                run_forever,
                functools.partial(self.follow, address),
                logger,
                "Following a kept store raised.",
                IDLE_PAUSE_S,
                store=address,
            )

    def _parts(self, address: str) -> KeptParts:
        return self.stores.setdefault(address, KeptParts())

    def _decide(self, question: SaveQuestion, now: float) -> bool:
        readers = self.readers()
        if not readers:
            return True
        decider = choose_by_hash(question.deepest, readers)
        if decider == self.own_address:
            return self._claim(question)
        if now < self.left_alone_until.get(decider, 0.0):
            return True
        answer = self._ask(decider, question)
        if answer is None:
            self.left_alone_until[decider] = self.now() + LEFT_ALONE_S
            return True
        return answer

    def _claim(self, question: SaveQuestion) -> bool:
        return self._parts(question.store).claim(question.scope, question.parts, self.now())

    def _ask(self, decider: str, question: SaveQuestion) -> bool | None:
        called = self.peers.to(decider).call(
            "GET", encode_question(question), timeout_s=ASK_TIMEOUT_S
        )
        if not isinstance(called, Success):
            reason = called.failure().reason
            logger.info("Peer did not say what is kept.", peer=decider, reason=reason)
            return None
        status, body = called.unwrap()
        return body != b"false" if status == OK else None


def encode_question(question: SaveQuestion) -> str:
    """Return the path and query of a question."""
    parts = ",".join(question.parts)
    return (
        f"{PATH.decode()}?store={quote(question.store)}"
        f"&scope={quote(question.scope)}&parts={parts}"
    )


def decode_question(query: bytes) -> SaveQuestion:
    """Return the question in a query.

    Raises
    ------
    ValueError
        If it is none.
    """
    found = parse_qs(query.decode("ascii"), strict_parsing=True, keep_blank_values=True)
    try:
        parts = tuple(part for part in found["parts"][0].split(",") if part)
        question = SaveQuestion(store=found["store"][0], scope=found["scope"][0], parts=parts)
    except KeyError as error:
        raise ValueError(f"{error} is missing") from error
    if not parts:
        raise ValueError("no part is named")
    return question
