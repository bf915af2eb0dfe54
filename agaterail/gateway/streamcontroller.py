"""Keep and look up, with the other daemons, which build began each stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import gevent
import gevent.event
from returns.result import Failure, Success

from agaterail import logs
from agaterail.decisions.streamrecords import StreamRecords, rank_keepers
from agaterail.decisions.streamsources import StreamSource
from agaterail.gateway import streamprotocol
from agaterail.gateway.streamprotocol import StreamAnswer, StreamEntry
from agaterail.util.backoff import backoff_s
from agaterail.util.httpconn import ConnectFailed, ConnectionsByAddress, ExchangeBroken

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from returns.result import Result

    from agaterail.gateway.httpserver import CallerConnection
    from agaterail.gateway.inbound import InboundRequest
    from agaterail.util.httpconn import SendError

logger = logs.get_logger("streams")

# Daemons other than the one that sent the first event to the caller.
COPIES = 3
# Daemons know slightly different members while hosts come and go.
MAX_ASKED = 8
# Records of about the same time leave together. A caller needs longer to come back.
BATCH_S = 0.005
# Time for a record to reach daemons that are a few milliseconds away.
WITHDRAW_S = 0.03
MAX_QUEUED = 4 * streamprotocol.MAX_BATCH
# A busy daemon may still have the record; the first answer that has it ends the wait.
FIND_TIMEOUT_S = 0.3
RECORD_TIMEOUT_S = 0.3
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0
# A daemon of a former release answers 404.
UNSUPPORTED_S = 5.0
OK, BAD_REQUEST, NOT_FOUND = 200, 400, 404


@attrs.frozen
class FoundSource:
    """What the daemons know of a stream that a caller takes up.

    Attributes
    ----------
    source
        None if no daemon that answered has a record.
    peer
        Address of the daemon that had the record; empty if this one had it.
    asked, answered
        Numbers of daemons.
    """

    source: StreamSource | None
    peer: str = ""
    age_s: float = 0.0
    asked: int = 0
    answered: int = 0


@attrs.define
class _Question:
    """A question to several daemons; ``done`` is set when its answer is decided."""

    waiting: int
    answered: int = 0
    found: FoundSource | None = None
    done: gevent.event.Event = attrs.field(factory=gevent.event.Event)


class StreamController:
    """Records the source of each stream that has begun, and finds those of others.

    The source is recorded when the first event goes to the caller, here and at daemons
    that a hash of the stream selects, in different failure domains. A record is never
    changed: what was sent to the caller holds for all its tries. Nobody waits for an
    acknowledgement.

    Parameters
    ----------
    own_address
        Address at which this daemon answers its peers.
    members
        Returns the failure domain of each daemon by its address.
    known_daemons
        Returns addresses of daemons to ask while few members are known.
    valid_s
        Returns how long a record is kept after its last use.
    now
        Returns the time.

    Attributes
    ----------
    queues
        Records to send, by the address of the daemon.
    excluded_until
        Time until which a daemon gets no records, as it failed or does not keep any.
    """

    def __init__(
        self,
        own_address: str,
        members: Callable[[], Mapping[str, str]],
        known_daemons: Callable[[], Sequence[str]],
        valid_s: Callable[[], float],
        now: Callable[[], float],
    ) -> None:
        self.own_address = own_address
        self.members = members
        self.known_daemons = known_daemons
        self.valid_s = valid_s
        self.now = now
        self.records = StreamRecords()
        self.queues: dict[str, list[StreamEntry]] = {}
        self.excluded_until: dict[str, float] = {}
        self.failures: dict[str, int] = {}
        self.peers = ConnectionsByAddress(RECORD_TIMEOUT_S)

    # Recording.

    def record(self, key: bytes, source: StreamSource) -> None:
        """Record a stream's source here and, soon after, at other daemons."""
        self.records.put(key, source, self.valid_s(), self.now())
        entry = StreamEntry(key, source.service, source.build)
        if entry.is_valid:
            self._enqueue(entry, self._keepers(key)[:COPIES])

    def withdraw(self, key: bytes, source: StreamSource) -> None:
        """Record what contradicts a former record, before the caller can come back."""
        self.record(key, source)
        gevent.sleep(WITHDRAW_S)

    def _enqueue(self, entry: StreamEntry, keepers: Sequence[str]) -> None:
        for address in keepers:
            if address not in self.queues:
                self.queues[address] = []
                gevent.spawn(self._send_queue, address)
            if len(self.queues[address]) < MAX_QUEUED:
                self.queues[address].append(entry)

    def handle_records(self, inbound: InboundRequest, caller: CallerConnection) -> None:
        """Keep the records in another daemon's message."""
        decoded = streamprotocol.decode_entries(inbound.body)
        if not isinstance(decoded, Success):
            caller.send_answer(BAD_REQUEST, [], b"")
            return
        now, valid_s = self.now(), self.valid_s()
        for entry in decoded.unwrap():
            source = StreamSource(entry.service, entry.build)
            self.records.put(entry.key, source, valid_s, now)
        caller.send_answer(OK, [], b"")

    def _keepers(self, key: bytes) -> list[str]:
        """Return the other daemons that may keep a stream's record, the first ones first."""
        now = self.now()
        return [
            address
            for address in rank_keepers(key, self.members())
            if address != self.own_address and now >= self.excluded_until.get(address, 0.0)
        ]

    def _send_queue(self, address: str) -> None:
        gevent.sleep(BATCH_S)
        while entries := self.queues[address][: streamprotocol.MAX_BATCH]:
            del self.queues[address][: len(entries)]
            body = streamprotocol.encode_entries(entries)
            path = streamprotocol.RECORD_PATH.decode()
            reason = self._failure(address, self._call(address, "POST", path, body))
            if reason:
                entries += self.queues[address]
                logger.info(
                    "Stream records not sent.", peer=address, reason=reason, count=len(entries)
                )
                break
        else:
            entries = []
        del self.queues[address]
        for entry in entries:
            # The daemon is excluded now, so that one more has taken the last place.
            self._enqueue(entry, self._keepers(entry.key)[COPIES - 1 : COPIES])

    # Finding.

    def find(self, key: bytes) -> FoundSource:
        """Return what the daemons know of a stream."""
        now = self.now()
        own = self.records.find(key, self.valid_s(), now)
        if own is not None:
            return FoundSource(own.source, age_s=now - own.recorded_at)
        asked = self._daemons_to_ask(key)
        question = _Question(waiting=len(asked))
        if not asked:
            return FoundSource(None)
        for address in asked:
            gevent.spawn(self._ask, address, key, question)
        question.done.wait(FIND_TIMEOUT_S)
        found = question.found or FoundSource(None)
        return attrs.evolve(found, asked=len(asked), answered=question.answered)

    def answer(self, query: bytes) -> bytes:
        """Answer another daemon's question.

        Raises
        ------
        ValueError
            If the query is malformed.
        """
        now = self.now()
        found = self.records.find(streamprotocol.decode_query(query), self.valid_s(), now)
        if found is None:
            return streamprotocol.encode_answer(StreamAnswer())
        source = found.source
        age_s = now - found.recorded_at
        return streamprotocol.encode_answer(StreamAnswer(source.service, source.build, age_s))

    def _daemons_to_ask(self, key: bytes) -> list[str]:
        ranked = rank_keepers(key, self.members())
        candidates = dict.fromkeys([*ranked, *self.known_daemons()])
        candidates.pop(self.own_address, None)
        return list(candidates)[:MAX_ASKED]

    def _ask(self, address: str, key: bytes, question: _Question) -> None:
        called = self._call(address, "GET", streamprotocol.encode_query(key))
        if not self._failure(address, called):
            self._record_answer(address, called.unwrap()[1], question)
        question.waiting -= 1
        if not question.waiting:
            question.done.set()

    def _record_answer(self, address: str, body: bytes, question: _Question) -> None:
        decoded = streamprotocol.decode_answer(body)
        if not isinstance(decoded, Success):
            logger.info("Malformed answer.", peer=address, reason=decoded.failure())
            return
        question.answered += 1
        answer = decoded.unwrap()
        if answer.service and question.found is None:
            source = StreamSource(answer.service, answer.build)
            question.found = FoundSource(source, address, answer.age_s)
            question.done.set()

    # Calls.

    def _call(
        self, address: str, method: str, path: str, body: bytes = b""
    ) -> Result[tuple[int, bytes], SendError]:
        """Call a daemon, once more if it closed an idle connection meanwhile."""
        try:
            peer = self.peers.to(address)
        except ValueError as error:
            return Failure(ConnectFailed(f"malformed address: {error}"))
        called = peer.call(method, path, body, timeout_s=RECORD_TIMEOUT_S)
        if isinstance(called, Success):
            return called
        broken = called.failure()
        if isinstance(broken, ExchangeBroken) and not broken.timed_out:
            return peer.call(method, path, body, timeout_s=RECORD_TIMEOUT_S, fresh=True)
        return called

    def _failure(self, address: str, called: Result[tuple[int, bytes], SendError]) -> str:
        """Return why a call failed, after which the daemon gets no records for a time."""
        now = self.now()
        if not isinstance(called, Success):
            failures = self.failures.get(address, 0)
            self.failures[address] = failures + 1
            pause_s = backoff_s(failures, INITIAL_BACKOFF_S, MAX_BACKOFF_S)
            self.excluded_until[address] = now + pause_s
            self.peers.drop(address)
            return called.failure().reason
        self.failures.pop(address, None)
        status, _ = called.unwrap()
        if status == OK:
            self.excluded_until.pop(address, None)
            return ""
        if status == NOT_FOUND:
            self.excluded_until[address] = now + UNSUPPORTED_S
        return f"status {status}"

    def step(self) -> None:
        """Forget the failures of daemons that are gone."""
        known = self.members().keys() | set(self.known_daemons())
        for address in self.failures.keys() - known:
            del self.failures[address]
        for address in self.excluded_until.keys() - known:
            del self.excluded_until[address]
