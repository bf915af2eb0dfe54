"""Stand-in for the platform's append-only log."""

from __future__ import annotations

import collections
import time

import attrs
import gevent
import msgpack
from gevent.event import Event

from standins.base import Answer, Call, StandIn, json_answer

MAX_RECORD_BYTES = 1024 * 1024
MAX_WAIT_S = 30.0


@attrs.define
class LogFaults:
    """Faults that can be configured at run time.

    Attributes
    ----------
    lose_answers
        Number of coming appends that take effect but whose connection is cut
        instead of answered.
    retention
        Number of records kept per stream; 0 keeps all.
    stale_records
        Number of newest records that are not visible to readers yet.
    appends_per_s
        Appends allowed per second; further ones are rejected with 429.
    """

    down: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    retention: int = 0
    stale_records: int = 0
    appends_per_s: int = 500


class LogStandIn(StandIn):
    """Log streams with offsets, kept in memory."""

    def __init__(self) -> None:
        super().__init__(LogFaults())
        self.faults: LogFaults
        self.streams: dict[str, collections.deque[tuple[int, bytes]]] = {}
        self.end_offsets: dict[str, int] = {}
        self.changed: dict[str, Event] = {}
        self.appended_at: collections.deque[float] = collections.deque()
        self.reads = 0
        self.read_bytes = 0
        self.appends = 0
        self.paths["/streams/"] = self._stream
        self.paths["/stats"] = self._stats

    def _stream(self, call: Call) -> Answer:
        if self.faults.slow_ms:
            gevent.sleep(self.faults.slow_ms / 1e3)
        if self.faults.down:
            return Answer(503)
        name, _, action = call.path.removeprefix("/streams/").rpartition("/")
        if action == "append" and call.method == "POST":
            return self._append(name, call.body)
        if action == "read":
            return self._read(name, call)
        return Answer(404)

    def _append(self, name: str, data: bytes) -> Answer:
        if len(data) > MAX_RECORD_BYTES:
            return Answer(413)
        now = time.monotonic()
        while self.appended_at and self.appended_at[0] < now - 1.0:
            self.appended_at.popleft()
        if len(self.appended_at) >= self.faults.appends_per_s:
            return Answer(429)
        self.appended_at.append(now)
        offset = self.end_offsets.get(name, 0)
        self.end_offsets[name] = offset + 1
        stored = self.streams.setdefault(name, collections.deque())
        stored.append((offset, data))
        while self.faults.retention and len(stored) > self.faults.retention:
            stored.popleft()
        self.appends += 1
        self.changed.setdefault(name, Event()).set()
        self.changed[name] = Event()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise ConnectionAbortedError
        return _msgpack_answer({"offset": offset})

    def _read(self, name: str, call: Call) -> Answer:
        offset = int(call.query.get("offset", "0"))
        limit = int(call.query.get("limit", "1000"))
        wait_s = min(MAX_WAIT_S, int(call.query.get("wait_ms", "0")) / 1e3)
        if offset >= self._visible_end(name) and wait_s > 0:
            self.changed.setdefault(name, Event()).wait(wait_s)
            if self.faults.down:
                return Answer(503)
        end = self._visible_end(name)
        stored = self.streams.get(name, collections.deque())
        first = stored[0][0] if stored else end
        start = max(0, offset - first)
        records = [
            stored[index]
            for index in range(start, max(start, min(len(stored), start + limit)))
        ]
        records = [record for record in records if record[0] < end]
        answer = _msgpack_answer({"records": records, "first": first, "end": end})
        self.reads += 1
        self.read_bytes += len(answer.body) if isinstance(answer.body, bytes) else 0
        return answer

    def _visible_end(self, name: str) -> int:
        return max(0, self.end_offsets.get(name, 0) - self.faults.stale_records)

    def _stats(self, _call: Call) -> Answer:
        fields = {"reads": self.reads, "read_bytes": self.read_bytes, "appends": self.appends}
        return json_answer(fields)


def _msgpack_answer(fields: object) -> Answer:
    return Answer(200, msgpack.packb(fields), {"content-type": "application/msgpack"})
