"""Client of the platform's store; all calls to the store are made here."""

from __future__ import annotations

import json
import struct
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

from returns.result import Failure, Result, Success

from agaterail import logs
from agaterail.gateway.controlstore import (
    Change,
    ControlStore,
    CrashChange,
    Feed,
    FeedRecord,
    FeedSlice,
    LeaseEntry,
    Membership,
    Record,
    StoreError,
    StoreErrorKind,
)
from agaterail.platform import crashrecords, feedrecords, fields, names, poolrecords
from agaterail.platform.feedrecords import RecordDecoder
from agaterail.util.httpconn import ConnectFailed, ExchangeBroken, HttpConnections
from agaterail.util.untrusted import load_json

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from agaterail.decisions.cachepool import PoolRecord
    from agaterail.util.address import Address

logger = logs.get_logger("store")

# The only partition of the operators' and targets' topics, and the first of the others.
PARTITION = 0
LEASE_TOPIC = "agaterail-lease"
TOPIC_BY_FEED = {
    Feed.OPERATORS: names.OPERATOR_TOPIC,
    Feed.TARGETS: names.TARGETS_TOPIC,
    Feed.LEASE: LEASE_TOPIC,
    Feed.CRASHES: names.CRASHES_TOPIC,
    Feed.CACHE_POOL: names.CACHE_POOL_TOPIC,
}
FLEET_GROUP = "agaterail"
# The number of partitions over all topics is the granularity of the fleet's shares. A
# daemon without a partition would not know the size of the fleet: 16 topics x 32
# partitions give each of 500 daemons at least one.
FLEET_TOPICS = tuple(f"agaterail-fleet-{number}" for number in range(16))
# The first partitions of these topics are the ranks, whose holders look up the readers.
RANKED_TOPICS = FLEET_TOPICS[:8]

# The store answers in about 4 ms, and in 250 ms when it is slow. A connection can also
# go silent permanently: the call then times out, and the next one opens a new connection.
ANSWER_TIMEOUT_S = 0.8
CONNECT_TIMEOUT_S = 0.6

HTTP_OK = 200
HTTP_GONE = 410
CONFLICT_STATUSES = (409, 412)
REFUSAL_STATUSES = (429, 503, 507)
LOG_BOUNDS = struct.Struct(">QQ")


class PlatformStore(ControlStore):
    """Client of the store's HTTP interface."""

    def __init__(self, address: Address, partitions_per_topic: int) -> None:
        self.connections = HttpConnections(address, CONNECT_TIMEOUT_S)
        self.partitions_per_topic = partitions_per_topic
        self.use_new_connection = False
        self.calls = 0
        self.decoder = RecordDecoder()
        self.skipped = self.decoder.skipped

    def listing(self, feed: Feed) -> Result[FeedSlice, StoreError]:
        """Read the newest record of each key, page by page.

        The pages are not a consistent snapshot, so the slice ends at the end offset of
        the first page: changes made during the listing are read again by ``follow``.
        """
        if feed is Feed.LEASE:
            return self._read_whole_log(feed)
        listed = self._list(TOPIC_BY_FEED[feed], feed)
        if not isinstance(listed, Success):
            return Failure(listed.failure())
        records, end = listed.unwrap()
        return Success(FeedSlice(self.decoder.to_records(feed, records), end, end))

    def _list(
        self, topic: str, feed: Feed | None = None
    ) -> Result[tuple[list[FeedRecord], int], StoreError]:
        """Return the newest record of each key of a topic, and the end of its log."""
        records: list[FeedRecord] = []
        after, end = "", None
        while True:
            query = {"topic": topic, "part": PARTITION}
            if after:
                query["after"] = after
            answer = self._call_json("GET", names.LOG_NEWEST_PATH, query, feed=feed)
            if not isinstance(answer, Success):
                return Failure(answer.failure())
            try:
                page = answer.unwrap()
                records.extend(feedrecords.decode_listing(page))
                if end is None:
                    end = fields.integer(page, "end")
                more = fields.boolean(page, "has_more") and records
            except ValueError as error:
                return Failure(StoreError(StoreErrorKind.MALFORMED, str(error)))
            if not more:
                return Success((records, end))
            after = records[-1].key

    def follow(self, feed: Feed, offset: int, wait_s: float) -> Result[FeedSlice, StoreError]:
        """Read the records from an offset on, waiting up to ``wait_s`` for the first."""
        read = self._read(feed, offset, wait_s)
        if not isinstance(read, Success):
            return Failure(read.failure())
        next_offset, raw, end = read.unwrap()
        records = self.decoder.to_records(feed, feedrecords.decode_log(feed, raw))
        return Success(FeedSlice(records, next_offset, end))

    def decode(self, feed: Feed, records: Sequence[Record]) -> list[Change]:
        """Decode records; malformed records are skipped."""
        changes = (self.decoder.decode_change(feed, record) for record in records)
        return [change for change in changes if change is not None]

    def append_lease(self, entry: LeaseEntry, at: int) -> Result[int, StoreError]:
        """Append a lease record only if the log ends at the given offset."""
        payload: dict[str, Any] = {"host": entry.host, "boot": entry.boot}
        if entry.released_idle_s is not None:
            payload["released_idle_s"] = entry.released_idle_s
        if entry.load_s is not None:
            payload["load_s"] = round(entry.load_s, 3)
        if entry.naming is not None:
            payload["naming"] = feedrecords.encode_naming(entry.naming)
        if entry.planned is not None:
            payload["planned"] = feedrecords.encode_loads(entry.planned)
        if entry.loaded:
            payload["loaded"] = feedrecords.encode_loads(entry.loaded)
        return self._append_at(LEASE_TOPIC, json.dumps(payload).encode(), at)

    def append_crashes(
        self, changes: Sequence[CrashChange], host: str
    ) -> Result[None, StoreError]:
        """Append records of crashes, survivals and verdicts, all or none."""
        records = [crashrecords.encode(change, host) for change in changes]
        return self._append_all(names.CRASHES_TOPIC, records)

    def append_pool(self, record: PoolRecord, at: int) -> Result[int, StoreError]:
        """Append a record of the pool only if its log ends at the given offset."""
        return self._append_at(names.CACHE_POOL_TOPIC, poolrecords.encode(record), at)

    def put_pool_members(self, members: frozenset[int]) -> Result[None, StoreError]:
        """Replace the records of the pool's members, all or none."""
        return self._append_all(names.POOL_MEMBERS_TOPIC, poolrecords.encode_members(members))

    def pool_members(self) -> Result[frozenset[int], StoreError]:
        """Return the members of the pool, which may be those of another version."""
        listed = self._list(names.POOL_MEMBERS_TOPIC)
        if not isinstance(listed, Success):
            return Failure(listed.failure())
        try:
            return Success(poolrecords.decode_members(listed.unwrap()[0]))
        except ValueError as error:
            return Failure(StoreError(StoreErrorKind.MALFORMED, str(error)))

    def _append_at(self, topic: str, content: bytes, at: int) -> Result[int, StoreError]:
        """Append one record only if the log ends at the given offset."""
        query = {"topic": topic, "part": PARTITION, "at": at}
        body = feedrecords.RECORD_LENGTH.pack(len(content)) + content
        answer = self._call_json("POST", names.LOG_APPEND_PATH, query, body)
        if not isinstance(answer, Success):
            return Failure(answer.failure())
        try:
            return Success(fields.integer(answer.unwrap(), "offset"))
        except ValueError as error:
            return Failure(StoreError(StoreErrorKind.UNANSWERED, str(error)))

    def _append_all(self, topic: str, contents: Iterable[bytes]) -> Result[None, StoreError]:
        """Append records, all or none."""
        body = b"".join(feedrecords.RECORD_LENGTH.pack(len(item)) + item for item in contents)
        query = {"topic": topic, "part": PARTITION}
        answer = self._call("POST", names.LOG_APPEND_PATH, query, body)
        return answer.map(lambda _: None)

    def join(
        self, member: str, ttl_s: float, generation: int
    ) -> Result[Membership, StoreError]:
        """Join the group whose partitions represent shares of the fleet."""
        body = {
            "group": FLEET_GROUP,
            "member": member,
            "topics": list(FLEET_TOPICS),
            "ttl_ms": int(ttl_s * 1e3),
            "generation": generation,
        }
        answer = self._call_json("POST", names.LOG_JOIN_PATH, None, json.dumps(body).encode())
        if not isinstance(answer, Success):
            return Failure(answer.failure())
        try:
            payload = answer.unwrap()
            assigned = [tuple(row[:2]) for row in fields.array(payload, "parts")]
            total = len(FLEET_TOPICS) * self.partitions_per_topic
            return Success(
                Membership(
                    generation=fields.integer(payload, "generation"),
                    share=min(1.0, len(assigned) / total),
                    ranks=_assigned_ranks(assigned),
                )
            )
        except (ValueError, TypeError) as error:
            return Failure(StoreError(StoreErrorKind.MALFORMED, str(error)))

    def members(self) -> Result[dict[int, str], StoreError]:
        """Return the holders of the fleet's partitions by rank.

        The first partitions of all topics rank first, in the order of the topics.
        """
        answer = self._call_json("GET", names.LOG_OWNERS_PATH, {"group": FLEET_GROUP})
        if not isinstance(answer, Success):
            return Failure(answer.failure())
        try:
            # The name of the field is not documented; it is the only list in the answer.
            lists = [item for item in answer.unwrap().values() if isinstance(item, list)]
            rows = lists[0] if lists else []
            return Success(
                {
                    row[1] * len(FLEET_TOPICS) + FLEET_TOPICS.index(row[0]): row[2]
                    for row in rows
                    if row[0] in FLEET_TOPICS and isinstance(row[2], str)
                }
            )
        except (IndexError, TypeError, KeyError) as error:
            return Failure(StoreError(StoreErrorKind.MALFORMED, str(error)))

    def leave(self, member: str) -> Result[None, StoreError]:
        """Leave the group."""
        body = json.dumps({"group": FLEET_GROUP, "member": member}).encode()
        answer = self._call("POST", names.LOG_LEAVE_PATH, None, body)
        return answer.map(lambda _: None)

    def _read_whole_log(self, feed: Feed) -> Result[FeedSlice, StoreError]:
        """Read a log without keys from its oldest retained record."""
        offset = 0
        records: list[FeedRecord] = []
        while True:
            read = self._read(feed, offset, 0.0)
            if isinstance(read, Success):
                next_offset, raw, end = read.unwrap()
                if not raw:
                    return Success(FeedSlice(records, next_offset, end))
                records.extend(feedrecords.decode_log(feed, raw))
                offset = next_offset
                continue
            error = read.failure()
            if error.kind is not StoreErrorKind.EXPIRED or not error.reason.isdigit():
                return Failure(error)
            if int(error.reason) <= offset:
                return Failure(
                    StoreError(
                        StoreErrorKind.MALFORMED,
                        "the first offset did not advance",
                    )
                )
            offset = int(error.reason)

    def _read(
        self, feed: Feed, offset: int, wait_s: float
    ) -> Result[tuple[int, list[tuple[int, bytes]], int], StoreError]:
        query = {
            "topic": TOPIC_BY_FEED[feed],
            "part": PARTITION,
            "from": offset,
            "wait_ms": int(wait_s * 1e3),
        }
        answer = self._call("GET", names.LOG_READ_PATH, query, wait_s=wait_s, feed=feed)
        if not isinstance(answer, Success):
            return Failure(answer.failure())
        body = answer.unwrap()
        if len(body) < LOG_BOUNDS.size:
            return Failure(StoreError(StoreErrorKind.MALFORMED, "truncated answer"))
        raw = feedrecords.split_records(body[LOG_BOUNDS.size :], offset)
        if raw is None:
            return Failure(StoreError(StoreErrorKind.MALFORMED, "truncated record"))
        end, _first = LOG_BOUNDS.unpack_from(body)
        return Success((offset + len(raw), raw, end))

    def _call_json(
        self,
        method: str,
        path: str,
        query: dict[str, Any] | None,
        body: bytes = b"",
        feed: Feed | None = None,
    ) -> Result[dict[str, Any], StoreError]:
        answer = self._call(method, path, query, body, feed=feed)
        if not isinstance(answer, Success):
            return Failure(answer.failure())
        try:
            return Success(fields.json_object(load_json(answer.unwrap()), "the answer"))
        except ValueError as error:
            return Failure(StoreError(StoreErrorKind.MALFORMED, str(error)))

    def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any] | None,
        body: bytes = b"",
        wait_s: float = 0.0,
        feed: Feed | None = None,
    ) -> Result[bytes, StoreError]:
        request_target = path if query is None else f"{path}?{urlencode(query)}"
        fresh, self.use_new_connection = self.use_new_connection, False
        self.calls += 1
        answer = self.connections.call(
            method,
            request_target,
            body,
            timeout_s=ANSWER_TIMEOUT_S + wait_s,
            fresh=fresh,
            on_data=lambda: None if feed is None else self.on_data(feed),
        )
        if isinstance(answer, Success):
            status, content = answer.unwrap()
            return (
                Success(content)
                if status == HTTP_OK
                else Failure(_status_error(status, content))
            )
        # Other pooled connections may be dead as well.
        self.use_new_connection = True
        error = answer.failure()
        kind = (
            StoreErrorKind.UNREACHABLE
            if isinstance(error, ConnectFailed)
            else StoreErrorKind.UNANSWERED
        )
        timed_out = isinstance(error, ExchangeBroken) and error.timed_out
        return Failure(StoreError(kind, error.reason, timed_out))


def _assigned_ranks(assigned: list[tuple[str, int]]) -> frozenset[int]:
    return frozenset(
        number for number, topic in enumerate(RANKED_TOPICS) if (topic, PARTITION) in assigned
    )


def _status_error(status: int, content: bytes) -> StoreError:
    if status == HTTP_GONE:
        try:
            first = fields.integer(
                fields.json_object(load_json(content), "the answer"), "first"
            )
        except ValueError as error:
            return StoreError(StoreErrorKind.MALFORMED, str(error))
        return StoreError(StoreErrorKind.EXPIRED, str(first))
    if status in CONFLICT_STATUSES:
        return StoreError(StoreErrorKind.CONFLICT, f"status {status}")
    if status in REFUSAL_STATUSES:
        return StoreError(StoreErrorKind.REFUSED, f"status {status}")
    return StoreError(StoreErrorKind.MALFORMED, f"status {status}")
