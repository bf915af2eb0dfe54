"""Keeps the feeds of the platform's store current, directly or through peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import gevent
import gevent.event
from returns.result import Success

from agaterail import logs
from agaterail.gateway import peerfeed
from agaterail.gateway.controlstore import (
    STORE,
    Arrival,
    DesiredPublished,
    Feed,
    LeaseChanged,
    StoreErrorKind,
)
from agaterail.gateway.desired import CallerLimits
from agaterail.gateway.front import Front
from agaterail.gateway.peerfeed import Question
from agaterail.gateway.peerturns import PeerTurns
from agaterail.gateway.relay import Relay
from agaterail.gateway.relayed import NEVER
from agaterail.util.address import Address
from agaterail.util.greenlets import repeat
from agaterail.util.httpconn import ConnectionsByAddress

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from agaterail.gateway.controlstore import Change, Record, StoreError
    from agaterail.gateway.daemon import Daemon
    from agaterail.gateway.front import CallerConnection
    from agaterail.gateway.inbound import Inbound
    from agaterail.gateway.peerfeed import FeedNews, PeerAnswer

logger = logs.get_logger("feeds")

# Waits of a daemon that reads the store itself. While a read waits, the one before
# it counts, so that a reading is up to 1.2 s old at a reader and up to 1.8 s at
# those that ask it each 0.6 s, of the 5 s that keys are accepted for; longer while a
# large record is on its way.
DIRECT_WAITS_S = {Feed.OPERATORS: 0.6, Feed.TARGETS: 0.6, Feed.LEASE: 2.0}
# Feeds whose age makes a peer's answer useless. Who holds the lease is no news that
# callers wait for.
NEEDED_FEEDS = frozenset({Feed.OPERATORS, Feed.TARGETS})
# How long a question waits at a peer for news, and for the answer beyond that.
PEER_WAIT_S = 0.6
PEER_SLACK_S = 0.35
# A reader on a sound connection hears of the store after a wait and a slow call at
# most; one that has not is as good as cut off. The age of its reading says nothing of
# that: a record of half a megabyte takes a second on a link of 5 Mbit/s, and readers
# that had the news were left alone for it. Both readers can be cut off at the same
# moment without a word: 1.2 s and a question of 0.6 s later the store is read directly,
# before the 2 s in which a new desired state must be in force.
SLOW_CALL_S = 0.6
# Pauses between failed reads, with jitter: an outage of seconds is noticed to
# be over within half a second, at three calls a second and daemon at most. In a
# larger fleet those that are no readers wait longer, up to twice as long: the calls
# of 75 daemons on a day with an outage of 8 s cost 0.08 to 0.11 of its worth.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.5
LONGEST_PAUSE_OF_MANY_S = 1.0
MANY_DAEMONS = 16
# A read returns with the first record, and engines write some tens of them a second:
# without a pause a daemon that reads for a second makes ten reads.
PAUSE_OF_MANY_S = 0.25
# Whatever peers say of a feed, it is read once if nothing was heard of it for so long;
# a reader that began later than this daemon cannot continue from its offset.
OLDEST_OWN_S = 6.0
# Between two answered reads lie a wait and a call; so much more is an outage,
# in which registrations may have lapsed.
OUTAGE_S = 3.5
OK, BAD_REQUEST, NOT_FOUND = 200, 400, 404
MS_PER_S = 1e3
# Answers that fill more than a few packets.
LARGE_BYTES = 4096


@attrs.define
class PassedOn:
    """What answering peers cost.

    Attributes
    ----------
    size, largest
        Bytes of all answers and of the largest.
    """

    answers: int = 0
    size: int = 0
    largest: int = 0
    encode_s: float = 0.0

    def add(self, size: int, encode_s: float) -> None:
        """Count an answer."""
        self.answers += 1
        self.size += size
        self.largest = max(self.largest, size)
        self.encode_s += encode_s


class FeedHub:
    """One daemon's copy of all feeds.

    A few daemons, those that hold the first partition of one of the fleet's
    first topics, read the store. The others ask one of them, which answers at
    once when there is news. Calls to the store so stay the same from tens of
    daemons on; each for itself, 81 daemons made 16,900 calls in a minute, a
    quarter of all that their service was worth.

    Readers are asked in turn: one whose channel to the store has gone silent
    answers with an old reading for two seconds before it is noticed, and the
    next one has the news. Whoever cannot ask a peer reads the store itself.
    """

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon
        self.relay = Relay()
        self.passed_on = PassedOn()
        self.differences_fit = True
        self.offsets: dict[Feed, int] = {}
        self.read_at = dict.fromkeys(Feed, NEVER)
        self.news = gevent.event.Event()
        self.wake_direct = gevent.event.Event()
        self.readers: tuple[str, ...] = ()
        daemon.store.on_heard = lambda feed: self.relay.feeds[feed].hear(daemon.now())
        self.turns = PeerTurns(turn=daemon.random.randrange(1 << 16))
        self.answers: dict[bytes, Callable[[bytes], bytes]] = {
            peerfeed.PATH: self._answer_news
        }
        self.peers = ConnectionsByAddress(PEER_SLACK_S)
        self.server = Front(
            Address(daemon.settings.ip, daemon.settings.peer_ports[0]),
            self.handle,
            CallerLimits,
            daemon.now,
        )

    def start(self) -> None:
        """Follow the feeds and answer peers."""
        self.server.start()
        steps = [DirectFollower(self, feed).step for feed in Feed]
        for step in (*steps, self._ask_step):
            self.daemon.greenlets.spawn(
                repeat, step, logger, "Following a feed raised.", LONGEST_PAUSE_S
            )

    @property
    def reads_directly(self) -> bool:
        """Tell whether this daemon reads the store itself."""
        return (
            self.daemon.membership.is_reader
            or self.daemon.now() < self.turns.direct_until
            or len(self.offsets) < len(Feed)
            or not self._sound_peers()
        )

    def take_in(
        self,
        feed: Feed,
        records: Sequence[Record],
        next_offset: int,
        read_at: float,
        arrival: Arrival,
        listed: bool = False,
    ) -> None:
        """Take in what a read brought, from the store or a peer.

        Parameters
        ----------
        read_at
            Time since which the feed is known to its end; ``NEVER`` if the read ended
            short of it.
        """
        now = self.daemon.now()
        if feed is Feed.OPERATORS and records:
            self._note_passed_on()
        at_start = feed not in self.offsets and self.read_at[feed] == NEVER
        if feed is Feed.TARGETS and not at_start and read_at - self.read_at[feed] > OUTAGE_S:
            self.daemon.book.store_returned(now)
        kept = self.relay.feeds[feed]
        kept.take_in(records, next_offset, read_at, listed, arrival.known_at)
        kept.hear(arrival.heard_at)
        if records:
            # Peers need not wait until this daemon has decoded what they lack.
            self.news.set()
            self.news.clear()
        changes = self.daemon.store.decode(feed, records)
        now = self.daemon.now()
        self.offsets[feed] = max(next_offset, self.offsets.get(feed, next_offset))
        self.read_at[feed] = max(self.read_at[feed], read_at)
        if feed is Feed.LEASE:
            self._take_in_lease(changes, now)
        elif feed is Feed.TARGETS and listed:
            self.daemon.state.apply_listing(changes, next_offset, now)
        else:
            self.daemon.state.apply(changes, now, at_start, arrival)
            self._count_lateness(changes, arrival)
        if feed is Feed.OPERATORS and read_at != NEVER:
            self.daemon.freshness.confirm(read_at)

    def forget(self, feed: Feed) -> None:
        """Begin a feed anew with a listing."""
        self.offsets.pop(feed, None)

    def handle(self, inbound: Inbound, caller: CallerConnection) -> None:
        """Answer a peer's question."""
        path, _, query = inbound.target.partition(b"?")
        answer = self.answers.get(path)
        if answer is None:
            caller.send_answer(NOT_FOUND, [], b"")
            return
        try:
            body = answer(query)
        except ValueError:
            caller.send_answer(BAD_REQUEST, [], b"")
            return
        send = caller.send_answer if len(body) < LARGE_BYTES else caller.send_large_answer
        send(OK, [], body)

    def _answer_news(self, query: bytes) -> bytes:
        question = peerfeed.decode_question(query)
        came_at = self.daemon.now()
        if not self.relay.has_news(question.offsets) and not self._is_stale():
            self.news.wait(min(question.wait_s, PEER_WAIT_S))
        now = self.daemon.now()
        body = peerfeed.encode_answer(self.relay, question, self.readers, now, now - came_at)
        self.passed_on.add(len(body), self.daemon.now() - now)
        return body

    def _note_passed_on(self) -> None:
        """Say what passing on cost while the former desired state was the newest."""
        passed_on, self.passed_on = self.passed_on, PassedOn()
        if passed_on.answers:
            logger.info(
                "News passed on.",
                answers=passed_on.answers,
                size=passed_on.size,
                largest=passed_on.largest,
                encode_ms=round(passed_on.encode_s * MS_PER_S, 1),
            )

    def _count_lateness(self, changes: Sequence[Change], arrival: Arrival) -> None:
        """Count how long after the first daemon this one has a desired state in force."""
        if any(isinstance(change, DesiredPublished) for change in changes):
            late_s = max(0.0, self.daemon.now() - arrival.known_at)
            self.daemon.metrics.in_force.observe(late_s)

    def _take_in_lease(self, changes: Sequence[Change], now: float) -> None:
        entries = [change.entry for change in changes if isinstance(change, LeaseChanged)]
        newest = entries[-1] if entries else None
        self.daemon.weights.on_lease(newest, self.offsets[Feed.LEASE], now)

    def _is_stale(self) -> bool:
        """Tell whether a peer should not wait for news here."""
        now = self.daemon.now()
        return any(
            now - kept.heard_at > _longest_silence_s(feed)
            for feed, kept in self.relay.feeds.items()
            if feed in NEEDED_FEEDS
        )

    def _sound_peers(self) -> list[str]:
        return self.turns.sound(self.readers, str(self.server.address), self.daemon.now())

    def _ask_step(self) -> None:
        sound = self._sound_peers()
        # Readers ask each other too: a version takes a second to reach a reader with a
        # slow link or a slow processor, and its askers waited for that while another
        # reader had it.
        is_reader = self.daemon.membership.is_reader and len(self.offsets) == len(Feed)
        if not sound or (self.reads_directly and not is_reader):
            gevent.sleep(PEER_WAIT_S)
            return
        address = self.turns.pick(sound)
        asked_at = self.daemon.now()
        answer = self._ask(address)
        problem = (
            answer
            if isinstance(answer, str)
            else self._take_in_answer(address, answer, asked_at)
        )
        if not problem:
            self.turns.had_news(address)
            return
        logger.info("Peer gave no news.", peer=address, reason=problem)
        now, left = self.daemon.now(), len(self._sound_peers())
        if self.turns.had_none(address, left - 1, now) and not is_reader:
            self.daemon.membership.misled = True
            self.wake_direct.set()
            self.wake_direct.clear()

    def _ask(self, address: str) -> PeerAnswer | str:
        # After an answer without news, what the next peer knows is wanted at once.
        wait_s = 0.0 if self.turns.problems_in_a_row else PEER_WAIT_S
        held = self.relay.held() if self.differences_fit else ()
        question = peerfeed.encode_question(Question(self.offsets, held, wait_s))
        called = self.peers.to(address).call("GET", question, timeout_s=wait_s + PEER_SLACK_S)
        if not isinstance(called, Success):
            self.peers.drop(address)
            return called.failure().reason
        status, body = called.unwrap()
        if status != OK:
            return f"status {status}"
        decoded = peerfeed.decode_answer(body)
        return decoded.unwrap() if isinstance(decoded, Success) else str(decoded.failure())

    def _take_in_answer(self, address: str, answer: PeerAnswer, asked_at: float) -> str:
        took_s = self.daemon.now() - asked_at
        # Readers look up who reads. Two that took each other's lists would keep an old
        # one alive, and send all that ask them to daemons that read no longer.
        if answer.readers and not self.daemon.membership.is_reader:
            self.readers = answer.readers
        problem = ""
        for feed in Feed:
            news = answer.feeds.get(feed)
            matters = feed in NEEDED_FEEDS
            if news is None:
                if matters:
                    problem = f"no {feed.value} from offset {self.offsets[feed]}"
                continue
            # The peer answered no sooner than it says that it waited, and its reading
            # was no older then than it says. No clocks are compared.
            answered_at = asked_at + answer.waited_s
            arrival = Arrival(
                source=address,
                took_s=took_s,
                known_at=answered_at - news.known_s,
                heard_at=answered_at - news.heard_s,
            )
            problem = self._take_in_news(feed, news, answered_at, arrival) or problem
            if matters and news.heard_s > _longest_silence_s(feed):
                problem = f"it heard of {feed.value} {news.heard_s:.2f} s ago"
            elif matters and news.age_s > self.daemon.freshness.denial_bound_s:
                problem = f"its reading of {feed.value} is {news.age_s:.2f} s old"
        return problem

    def _take_in_news(
        self, feed: Feed, news: FeedNews, answered_at: float, arrival: Arrival
    ) -> str:
        unpacked = self.relay.feeds[feed].unpack(news.records)
        if feed is Feed.OPERATORS:
            # One that does not fit changes nothing; the whole is asked for next.
            self.differences_fit = isinstance(unpacked, Success)
        if not isinstance(unpacked, Success):
            return f"{feed.value}: {unpacked.failure()}"
        read_at = answered_at - news.age_s
        self.take_in(feed, unpacked.unwrap(), news.next_offset, read_at, arrival)
        return ""


def _longest_silence_s(feed: Feed) -> float:
    """Return for how long a reader on a sound connection may hear nothing."""
    return DIRECT_WAITS_S[feed] + SLOW_CALL_S


class DirectFollower:
    """Reads one feed of the store, one read after the other."""

    def __init__(self, hub: FeedHub, feed: Feed) -> None:
        self.hub = hub
        self.feed = feed
        self.failures = 0
        self.behind = False

    def step(self) -> None:
        """Make one read and take in what it brings, if it is on this daemon."""
        hub = self.hub
        if not self._is_due():
            hub.wake_direct.wait(PEER_WAIT_S)
            return
        daemon = hub.daemon
        sent_at = daemon.now()
        offset = hub.offsets.get(self.feed)
        # Desired states follow each other faster than a link brings each of them; the
        # newest record of each key is all that counts, and a listing has just these.
        listed = offset is None or (self.behind and self.feed is Feed.OPERATORS)
        if offset is None or listed:
            answer = daemon.store.listing(self.feed)
        else:
            answer = daemon.store.follow(self.feed, offset, DIRECT_WAITS_S[self.feed])
        if not isinstance(answer, Success):
            self._failed(answer.failure())
            return
        hub.relay.feeds[self.feed].failing = False
        if self.failures:
            logger.info("Store regained.", feed=self.feed.value, failures=self.failures)
            self.failures = 0
            hub.turns.forgive()
            if self.feed is Feed.TARGETS:
                daemon.book.store_returned(daemon.now())
        found = answer.unwrap()
        now = daemon.now()
        self.behind = found.end > found.next_offset
        if self.behind:
            logger.info(
                "Behind the store.",
                feed=self.feed.value,
                next=found.next_offset,
                end=found.end,
            )
        hub.take_in(
            self.feed,
            found.records,
            found.next_offset,
            # An answer is bounded in size. Taken for the end of the feed, one that was
            # cut had revoked keys accepted and added routes denied as if it were news.
            NEVER if self.behind else sent_at,
            Arrival(STORE, now - sent_at, known_at=now, heard_at=now),
            listed=listed,
        )
        if self._is_one_of_many():
            gevent.sleep(PAUSE_OF_MANY_S)

    def _is_due(self) -> bool:
        hub = self.hub
        for_callers = self.feed in NEEDED_FEEDS or hub.daemon.membership.is_reader
        if for_callers and hub.reads_directly:
            return True
        return hub.daemon.now() - hub.read_at[self.feed] > OLDEST_OWN_S

    def _is_one_of_many(self) -> bool:
        daemon = self.hub.daemon
        return daemon.rules.daemons >= MANY_DAEMONS and not daemon.membership.is_reader

    def _longest_pause_s(self) -> float:
        return LONGEST_PAUSE_OF_MANY_S if self._is_one_of_many() else LONGEST_PAUSE_S

    def _failed(self, error: StoreError) -> None:
        if error.kind is StoreErrorKind.EXPIRED:
            # The history was dropped; the newest record of each key is kept.
            logger.info("History expired.", feed=self.feed.value)
            self.hub.forget(self.feed)
            return
        if not self.failures:
            logger.warning(
                "Store lost.",
                feed=self.feed.value,
                error=error.kind.value,
                reason=error.reason,
            )
        self.failures += 1
        self.hub.relay.feeds[self.feed].failing = True
        pause = min(self._longest_pause_s(), FIRST_PAUSE_S * 2 ** (self.failures - 1))
        gevent.sleep(pause * (0.5 + self.hub.daemon.random.random()))
