"""Stand-in for the platform's store: a log with partitions and consumer groups."""

from __future__ import annotations

import base64
import json
import struct
import time
from collections import Counter
from typing import Any

import attrs
import gevent
import gevent.event

from standins.base import Answer, Call, StandIn, json_answer

RECORD_LENGTH = struct.Struct(">I")
READ_HEADER = struct.Struct(">QQ")
PARTITIONS = 16
PAGE_ROWS = 500
DEFAULT_MAX_KB = 1024
SILENCE_POLL_S = 0.05


@attrs.define
class _Member:
    deadline: float
    topics: list[str]


class PlatformStoreStandIn(StandIn):
    """In-memory implementation of the calls that a gateway makes.

    Faults are attributes: ``down`` answers 503, ``delay_s`` delays each answer,
    ``lose_writes`` executes appends but answers them only 30 s later, ``silent`` answers
    nothing until it ends.
    ``calls_by_name`` counts all calls, ``reads`` the answered reads per topic.
    """

    def __init__(self, partitions: int = PARTITIONS) -> None:
        super().__init__()
        self.partitions = partitions
        self.topics: dict[tuple[str, int], list[bytes]] = {}
        self.first_offsets: dict[tuple[str, int], int] = {}
        self.changed = gevent.event.Event()
        self.members: dict[str, dict[str, _Member]] = {}
        self.generation = 1
        self.down = False
        self.delay_s = 0.0
        self.lose_writes = False
        self.silent = False
        self.calls_by_name: Counter[str] = Counter()
        self.reads: Counter[str] = Counter()

    def route(self, call: Call) -> Answer:
        """Answer one call."""
        name = call.path.rpartition("/log-")[2]
        self.calls_by_name[name] += 1
        if self.delay_s:
            gevent.sleep(self.delay_s)
        if self._was_silent() or self.down:
            return Answer(503)
        handler = getattr(self, f"_{name.replace('-', '_')}", None)
        if handler is None:
            return Answer(404)
        answer = handler(call)
        if self._was_silent():
            return Answer(503)
        if self.lose_writes and call.method == "POST" and name == "append":
            gevent.sleep(30.0)
        return answer

    def _was_silent(self) -> bool:
        """Wait until the silence ends; return whether there was one."""
        was_silent = self.silent
        while self.silent:
            gevent.sleep(SILENCE_POLL_S)
        return was_silent

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a keyed record, as operators and targets do, and return its offset."""
        name = key.encode()
        return self._append_record(topic, 0, bytes([len(name)]) + name + value)

    def expire(self, topic: str) -> None:
        """Expire the history of a topic; the newest record of each key stays readable."""
        log = self.topics.get((topic, 0), [])
        self.first_offsets[topic, 0] = len(log)

    def _append_record(self, topic: str, part: int, content: bytes) -> int:
        log = self.topics.setdefault((topic, part), [])
        log.append(content)
        self.changed.set()
        self.changed.clear()
        return len(log) - 1

    def _append(self, call: Call) -> Answer:
        topic, part = call.query["topic"], int(call.query["part"])
        log = self.topics.setdefault((topic, part), [])
        if "at" in call.query and int(call.query["at"]) != len(log):
            return json_answer({"end": len(log)}, 412)
        offset, position = len(log), 0
        while position < len(call.body):
            (length,) = RECORD_LENGTH.unpack_from(call.body, position)
            position += RECORD_LENGTH.size
            self._append_record(topic, part, call.body[position : position + length])
            position += length
        return json_answer({"offset": offset, "end": len(log)})

    def _read(self, call: Call) -> Answer:
        key = call.query["topic"], int(call.query["part"])
        start = int(call.query["from"])
        until = time.monotonic() + int(call.query.get("wait_ms", "0")) / 1e3
        while True:
            log, first = self.topics.get(key, []), self.first_offsets.get(key, 0)
            if start < first:
                return json_answer({"first": first}, 410)
            left = until - time.monotonic()
            if len(log) > start or left <= 0.0 or self.down:
                break
            self.changed.wait(left)
        if self.down:
            return Answer(503)
        self.reads[call.query["topic"]] += 1
        max_bytes = int(call.query.get("max_kb", DEFAULT_MAX_KB)) * 1024
        body = READ_HEADER.pack(len(log), first)
        for content in log[start:]:
            if len(body) > READ_HEADER.size and len(body) + len(content) > max_bytes:
                break
            body += RECORD_LENGTH.pack(len(content)) + content
        return Answer(200, body)

    def _newest(self, call: Call) -> Answer:
        self.reads[call.query["topic"]] += 1
        newest: dict[str, tuple[int, bytes]] = {}
        log = self.topics.get((call.query["topic"], int(call.query["part"])), [])
        for offset, content in enumerate(log):
            size = content[0]
            key, value = content[1 : 1 + size].decode(), content[1 + size :]
            newest.pop(key, None)
            if value:
                newest[key] = (offset, value)
        after = call.query.get("after", "")
        rows = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(newest.items())
            if key > after
        ]
        more = len(rows) > PAGE_ROWS
        return json_answer({"items": rows[:PAGE_ROWS], "has_more": more, "end": len(log)})

    def _join(self, call: Call) -> Answer:
        fields = call.json()
        members = self._live_members(fields["group"])
        if fields["member"] not in members:
            self.generation += 1
        ends = time.monotonic() + fields["ttl_ms"] / 1e3
        members[fields["member"]] = _Member(ends, fields["topics"])
        rows = [
            [topic, part, 0]
            for topic, part, member in self._assignments(fields["group"])
            if member == fields["member"]
        ]
        return json_answer({"generation": self.generation, "parts": rows})

    def _leave(self, call: Call) -> Answer:
        fields = call.json()
        if self._live_members(fields["group"]).pop(fields["member"], None):
            self.generation += 1
        return json_answer({})

    def _owners(self, call: Call) -> Answer:
        rows = [[*row, 0] for row in self._assignments(call.query["group"])]
        return json_answer({"owners": rows})

    def _live_members(self, group: str) -> dict[str, _Member]:
        """Return the members of a group after removing the expired ones."""
        members = self.members.setdefault(group, {})
        for name in [n for n, m in members.items() if m.deadline < time.monotonic()]:
            del members[name]
            self.generation += 1
        return members

    def _assignments(self, group: str) -> list[tuple[str, int, str]]:
        """Return rows of topic, partition and member, evenly distributed."""
        members = self._live_members(group)
        topics = sorted({topic for member in members.values() for topic in member.topics})
        names = sorted(members)
        # By partition first, so that the first partitions of all topics do not go to the
        # same member.
        partitions = [(topic, part) for part in range(self.partitions) for topic in topics]
        return [
            (topic, part, names[number % len(names)])
            for number, (topic, part) in enumerate(partitions)
        ]


def config_record(**fields: Any) -> bytes:
    """Return a desired state in the encoding that operators write."""
    return json.dumps(fields).encode()
