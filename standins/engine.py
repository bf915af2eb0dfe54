"""Stand-in for a model engine with a bounded prefix cache.

Prefill and decoding only wait for the configured time; tokens are derived from
the prompt.
"""

from __future__ import annotations

import collections
import errno
import heapq
import itertools
import json
import random
import secrets
import time
from hashlib import blake2b
from typing import TYPE_CHECKING, Any

import attrs
import gevent
import msgpack
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from agaterail import chat
from agaterail.prefix import KEY_BYTES, ByteTokenizer, block_keys
from agaterail.util.address import Address
from agaterail.util.httpconn import HttpConnections
from standins.base import Answer, Call, StandIn, json_answer

if TYPE_CHECKING:
    from collections.abc import Container, Iterator

MAX_EVENTS = 200_000
JOB_RETENTION_S = 3.0
DEFAULT_MAX_TOKENS = 16
SALT_BYTES = 16
MSGPACK = "application/msgpack"


@attrs.frozen(kw_only=True)
class EngineConfig:
    """Properties of an engine that do not change at run time."""

    model: str = "atlas"
    weights_version: str = "v1"
    capacity_blocks: int = 60
    block_tokens: int = 2000
    token_bytes: int = 4
    prefill_ms_per_token: float = 0.05
    decode_ms: float = 10.0
    max_running: int = 64
    fencing: bool = True
    weights_store: str = ""
    load_ms: int = 200


@attrs.define
class EngineFaults:
    """Faults that can be configured at run time.

    Attributes
    ----------
    refuse
        Answer 503 with ``x-not-run: true`` before running.
    cut_before_head
        Number of coming requests whose connection is cut before the response head.
    cut_after_frames
        Number of frames after which the next stream is cut; 0 cuts none.
    event_loss
        Fraction of cache events that are never delivered.
    event_delay_ms, load_lag_ms
        Age of the delivered events and of the reported load.
    load_frozen
        Report the load from the oldest recorded report.
    skip_frame, repeat_frame
        Number of coming streams with a missing or a repeated frame.
    no_resume
        Answer 404 to every resume.
    crossed
        Number of coming answers that carry the ID of another request.
    slow_head_ms
        Delay before a request is accepted.
    paused
        Accept, prefill and decode nothing while set.
    broken_versions
        Comma-separated weights versions that fail to load.
    load_counts_cached
        The load report counts all prompt tokens of waiting requests, including
        cached ones, and omits the request in prefill.
    prefill_factor
        Factor on the prefill time; a small factor warms the cache quickly.
    """

    refuse: bool = False
    cut_before_head: int = 0
    cut_after_frames: int = 0
    event_loss: float = 0.0
    event_delay_ms: int = 0
    load_lag_ms: int = 0
    load_frozen: bool = False
    skip_frame: int = 0
    repeat_frame: int = 0
    no_resume: bool = False
    crossed: int = 0
    slow_head_ms: int = 0
    paused: bool = False
    broken_versions: str = ""
    load_counts_cached: bool = False
    prefill_factor: float = 1.0


@attrs.define(order=True)
class Job:
    """One request at the engine, ordered by priority and then arrival."""

    rank: tuple[int, int]
    request_id: str = attrs.field(order=False)
    keys: tuple[bytes, ...] = attrs.field(order=False)
    prompt_tokens: int = attrs.field(order=False)
    max_tokens: int = attrs.field(order=False)
    answer_id: str = attrs.field(order=False)
    frames: list[bytes] = attrs.field(order=False, factory=list)
    text: list[str] = attrs.field(order=False, factory=list)
    cached_tokens: int = attrs.field(order=False, default=0)
    done: bool = attrs.field(order=False, default=False)
    cancelled: bool = attrs.field(order=False, default=False)
    changed: Event = attrs.field(order=False, factory=Event)

    def notify(self) -> None:
        """Wake the readers that wait for new frames or the end."""
        waiting, self.changed = self.changed, Event()
        waiting.set()


class BlockCache:
    """LRU cache of block keys that publishes numbered events."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.keys: collections.OrderedDict[bytes, None] = collections.OrderedDict()
        self.events: collections.deque[tuple[float, int, str, list[str]]] = collections.deque(
            maxlen=MAX_EVENTS
        )
        self.sequence = 0

    def match_prefix(self, keys: tuple[bytes, ...]) -> int:
        """Return the number of leading keys that are cached and mark them as used."""
        count = _prefix_length(keys, self.keys)
        for key in reversed(keys[:count]):
            self.keys.move_to_end(key)
        return count

    def store(self, keys: tuple[bytes, ...]) -> None:
        """Insert keys; children are evicted before their parents."""
        new = [key for key in keys if key not in self.keys]
        for key in reversed(keys):
            self.keys[key] = None
            self.keys.move_to_end(key)
        if new:
            self._publish("stored", new)
        evicted = []
        while len(self.keys) > self.capacity:
            evicted.append(self.keys.popitem(last=False)[0])
        if evicted:
            self._publish("evicted", evicted)

    def clear(self) -> None:
        """Remove all keys and publish one ``cleared`` event."""
        self.keys.clear()
        self._publish("cleared", [])

    def _publish(self, kind: str, keys: list[bytes]) -> None:
        self.sequence += 1
        self.events.append(
            (time.monotonic(), self.sequence, kind, [key.hex() for key in keys])
        )


class EngineStandIn(StandIn):
    """Engine that prefills one request at a time and decodes in a batch."""

    def __init__(self, config: EngineConfig, seed: int = 1) -> None:
        super().__init__(EngineFaults())
        self.faults: EngineFaults
        self.config = config
        self.random = random.Random(seed)
        self.arrival_numbers = itertools.count()
        self.fencing_number = -1
        self.orders: list[dict[str, Any]] = []
        self.journal: list[str] = []
        self.computed_tokens = 0
        self.cached_tokens = 0
        self.prompt_tokens = 0
        self.wasted_tokens = 0
        self.imported_blocks = 0
        self.transfer_lock = BoundedSemaphore(1)
        self.computed_blocks: collections.Counter[str] = collections.Counter()
        self.adapters: list[str] = []
        self.role = "serve"
        self.model = config.model
        self.weights_version = config.weights_version
        self.loading = False
        self.greenlets: list[gevent.Greenlet] = []
        self._reset()
        self.paths.update(
            {
                "/v1/chat/completions": self._chat,
                "/resume": self._resume,
                "/cancel": self._cancel,
                "/load": self._load,
                "/events": self._events,
                "/cache": self._cache,
                "/orders": self._order,
                "/state": self._state,
                "/kv/import": self._import,
                "/kv/export": self._export,
                "/journal": self._journal,
                "/computed": self._computed,
                "/exact": self._exact,
                "/crash": self._crash,
            }
        )

    def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Start the engine's loops and the server; return the address."""
        self.greenlets = [
            gevent.spawn(self._prefill_loop),
            gevent.spawn(self._decode_loop),
            gevent.spawn(self._report_loop),
        ]
        return super().start(host, port)

    def stop(self) -> None:
        """Stop the loops and cut all connections."""
        gevent.killall(self.greenlets, block=False)
        super().stop()

    def _reset(self) -> None:
        self.incarnation = secrets.token_hex(6)
        self.cache = BlockCache(self.config.capacity_blocks)
        self.jobs: dict[str, Job] = {}
        self.waiting: list[Job] = []
        self.running: list[Job] = []
        self.prefilling: tuple[tuple[bytes, ...], float] = ((), 0.0)
        self.job_arrived = Event()
        self.accepted = 0
        self.reports: collections.deque[tuple[float, dict[str, Any]]] = collections.deque(
            maxlen=2000
        )
        self.reports.append((0.0, self._report()))

    # Requests

    def _chat(self, call: Call) -> Answer:
        request_id = call.headers.get("x-request-id", secrets.token_hex(8))
        headers = {"x-request-id": request_id, "x-weights-version": self.weights_version}
        if self.faults.refuse or self.loading:
            refusal = {**headers, "x-not-run": "true", "retry-after": "1"}
            return json_answer({"error": {"message": "not run"}}, 503, **refusal)
        if call.headers.get("x-expect-weights", "") not in ("", self.weights_version):
            refusal = {**headers, "x-not-run": "true"}
            return json_answer({"error": "other weights"}, 412, **refusal)
        if self._consume_fault("cut_before_head"):
            raise ConnectionAbortedError
        parsed = chat.parse(call.body).value_or(None)
        if parsed is None:
            return json_answer({"error": {"message": "malformed"}}, 400, **headers)
        while self.faults.paused:
            gevent.sleep(0.01)
        gevent.sleep(self.faults.slow_head_ms / 1e3)
        job = self._accept(call, parsed, request_id)
        if self._consume_fault("crossed"):
            headers["x-request-id"] = "another-request"
        if parsed.stream:
            headers["content-type"] = "text/event-stream"
            return Answer(200, self._stream(job, 0), headers)
        while not job.done:
            if job.cancelled:
                raise ConnectionAbortedError
            job.changed.wait()
        return json_answer(self._completion(job), 200, **headers)

    def _accept(self, call: Call, parsed: chat.ChatRequest, request_id: str) -> Job:
        tokenizer = ByteTokenizer(self.config.token_bytes)
        prompt = b"".join(tokenizer.render(parsed.messages))
        salt = call.headers.get("x-cache-salt") or bytes(SALT_BYTES).hex()
        block_bytes = tokenizer.block_bytes(self.config.block_tokens)
        priority = int(call.headers.get("x-priority", "5"))
        job = Job(
            rank=(-priority, next(self.arrival_numbers)),
            request_id=request_id,
            keys=block_keys(salt, prompt, block_bytes),
            prompt_tokens=tokenizer.tokens(len(prompt)),
            max_tokens=parsed.max_tokens or DEFAULT_MAX_TOKENS,
            answer_id=blake2b(prompt, digest_size=4).hexdigest(),
        )
        self.jobs[request_id] = job
        self.accepted += 1
        self.journal.append(request_id)
        heapq.heappush(self.waiting, job)
        self.job_arrived.set()
        return job

    def _stream(self, job: Job, position: int) -> Iterator[bytes]:
        incarnation = self.incarnation
        cut_after = self.faults.cut_after_frames if position == 0 else 0
        if cut_after:
            self.faults.cut_after_frames = 0
        skip = position == 0 and self._consume_fault("skip_frame")
        repeat = position == 0 and self._consume_fault("repeat_frame")
        sent = position
        try:
            while True:
                while sent >= len(job.frames):
                    if self.incarnation != incarnation:
                        raise ConnectionResetError(errno.ECONNRESET, "the engine crashed")
                    if job.cancelled or job.done:
                        return
                    job.changed.wait()
                frames = job.frames[sent:]
                if cut_after and sent + len(frames) >= cut_after:
                    yield b"".join(frames[: cut_after - sent])
                    raise ConnectionAbortedError(errno.ECONNABORTED, "cut")
                if skip and sent > 0:
                    frames, skip, sent = frames[1:], False, sent + 1
                if repeat:
                    frames, repeat = frames[:1] + frames, False
                    sent -= 1
                sent += len(frames)
                yield b"".join(frames)
        finally:
            if not job.done:
                gevent.spawn_later(JOB_RETENTION_S, self._cancel_job, job)

    def _resume(self, call: Call) -> Answer:
        request_id = call.headers.get("x-request-id", "")
        job = self.jobs.get(request_id)
        headers = {"x-request-id": request_id, "x-weights-version": self.weights_version}
        if job is None or job.cancelled or self.faults.no_resume:
            return json_answer({"error": "unknown request"}, 404, **headers)
        headers["content-type"] = "text/event-stream"
        return Answer(
            200, self._stream(job, int(call.headers.get("x-position", "0"))), headers
        )

    def _cancel(self, call: Call) -> Answer:
        job = self.jobs.get(call.json().get("request_id", ""))
        if job is not None:
            self._cancel_job(job)
        return json_answer({})

    def _cancel_job(self, job: Job) -> None:
        if job.done:
            return
        job.cancelled = True
        self.wasted_tokens += len(job.text)
        if job in self.running:
            self.running.remove(job)
        job.notify()

    def _completion(self, job: Job) -> dict[str, Any]:
        return {
            "id": f"chatcmpl-{job.request_id}",
            "object": "chat.completion",
            "created": 0,
            "model": self.model,
            "choices": [
                {
                    "index": 0,
                    "finish_reason": "stop",
                    "message": {"role": "assistant", "content": "".join(job.text)},
                }
            ],
            "usage": self._usage(job),
        }

    def _usage(self, job: Job) -> dict[str, Any]:
        return {
            "prompt_tokens": job.prompt_tokens,
            "completion_tokens": len(job.text),
            "total_tokens": job.prompt_tokens + len(job.text),
            "prompt_tokens_details": {"cached_tokens": job.cached_tokens},
        }

    # Loops

    def _prefill_loop(self) -> None:
        while True:
            while not self.waiting or len(self.running) >= self.config.max_running:
                self.job_arrived.clear()
                self.job_arrived.wait(0.05)
            job = heapq.heappop(self.waiting)
            if job.cancelled:
                continue
            self._prefill(job)

    def _prefill(self, job: Job) -> None:
        incarnation = self.incarnation
        hit = self.cache.match_prefix(job.keys)
        job.cached_tokens = hit * self.config.block_tokens
        missing = max(1, job.prompt_tokens - job.cached_tokens)
        seconds = missing * self._prefill_ms_per_token() / 1e3
        self.prefilling = (job.keys, time.monotonic() + seconds)
        gevent.sleep(seconds)
        while self.faults.paused:
            gevent.sleep(0.01)
        self.prefilling = ((), 0.0)
        self.computed_tokens += missing
        self.cached_tokens += job.cached_tokens
        self.prompt_tokens += job.prompt_tokens
        self.computed_blocks.update(key.hex() for key in job.keys[hit:])
        if incarnation != self.incarnation:
            # The engine crashed during the prefill, so its result is lost.
            return
        self.cache.store(job.keys)
        if not job.cancelled:
            self.running.append(job)

    def _prefill_ms_per_token(self) -> float:
        return self.config.prefill_ms_per_token * self.faults.prefill_factor

    def _decode_loop(self) -> None:
        while True:
            gevent.sleep(self.config.decode_ms / 1e3)
            if self.faults.paused:
                continue
            for job in list(self.running):
                self._decode(job)

    def _decode(self, job: Job) -> None:
        token = f"{job.answer_id}:{len(job.text)} "
        job.text.append(token)
        self._append_frame(
            job, {"index": 0, "delta": {"content": token}, "finish_reason": None}
        )
        if len(job.text) >= job.max_tokens:
            choice = {"index": 0, "delta": {}, "finish_reason": "stop"}
            self._append_frame(job, choice, self._usage(job))
            job.frames.append(f"id: {len(job.frames)}\ndata: [DONE]\n\n".encode())
            job.done = True
            self.running.remove(job)
            gevent.spawn_later(JOB_RETENTION_S, self.jobs.pop, job.request_id, None)
        job.notify()

    def _append_frame(
        self, job: Job, choice: dict[str, Any], usage: dict[str, Any] | None = None
    ) -> None:
        fields: dict[str, Any] = {
            "id": f"chatcmpl-{job.request_id}",
            "object": "chat.completion.chunk",
            "created": 0,
            "model": self.model,
            "choices": [choice],
        }
        if usage is not None:
            fields["usage"] = usage
        job.frames.append(f"id: {len(job.frames)}\ndata: {json.dumps(fields)}\n\n".encode())

    def _report_loop(self) -> None:
        while True:
            self.reports.append((time.monotonic(), self._report()))
            gevent.sleep(0.02)

    # Reports

    def _report(self) -> dict[str, Any]:
        return {
            "incarnation": self.incarnation,
            "weights_version": self.weights_version,
            "model": self.model,
            "running": len(self.running),
            "waiting": len(self.waiting),
            "waiting_prefill_tokens": self._waiting_prefill_tokens(),
            "accepted": self.accepted,
            "cached_blocks": len(self.cache.keys),
            "capacity_blocks": self.config.capacity_blocks,
            "prefill_ms_per_token": self.config.prefill_ms_per_token,
            "decode_ms_per_token": self.config.decode_ms,
            "draining": self.faults.refuse,
            "role": self.role,
        }

    def _waiting_prefill_tokens(self) -> int:
        if self.faults.load_counts_cached:
            return sum(job.prompt_tokens for job in self.waiting)
        return round(self._predict_cache_and_queue()[1] / self._prefill_ms_per_token())

    def _load(self, _call: Call) -> Answer:
        return json_answer(self._lagged_report())

    def _lagged_report(self) -> dict[str, Any]:
        visible_until = time.monotonic() - self.faults.load_lag_ms / 1e3
        if self.faults.load_frozen:
            at, report = self.reports[0]
        else:
            at, report = next(
                (item for item in reversed(self.reports) if item[0] <= visible_until),
                self.reports[0],
            )
        return {**report, "age_ms": max(0.0, (time.monotonic() - at) * 1e3)}

    def _events(self, call: Call) -> Answer:
        after = int(call.query.get("after", "0"))
        end = time.monotonic() + int(call.query.get("wait_ms", "0")) / 1e3
        while True:
            visible_until = time.monotonic() - self.faults.event_delay_ms / 1e3
            new_events = [
                (number, kind, keys)
                for at, number, kind, keys in itertools.islice(
                    self.cache.events, max(0, after - self._first_sequence() + 1), None
                )
                if number > after and at <= visible_until
            ]
            if new_events or time.monotonic() >= end:
                break
            gevent.sleep(0.005)
        last = new_events[-1][0] if new_events else after
        kept = [
            event for event in new_events if self.random.random() >= self.faults.event_loss
        ]
        size = _requested_key_bytes(call)
        fields: dict[str, Any] = {
            "incarnation": self.incarnation,
            "events": [
                (number, kind[0], b"".join(bytes.fromhex(key)[:size] for key in keys))
                for number, kind, keys in kept
            ],
            "last": last,
        }
        if call.query.get("load") == "1":
            fields["load"] = self._lagged_report()
        return Answer(200, msgpack.packb(fields), {"content-type": MSGPACK})

    def _first_sequence(self) -> int:
        return self.cache.events[0][1] if self.cache.events else 1

    def _cache(self, call: Call) -> Answer:
        size = _requested_key_bytes(call)
        fields = {
            "incarnation": self.incarnation,
            "sequence": self.cache.sequence,
            "keys": b"".join(key[:size] for key in self.cache.keys),
        }
        return Answer(200, msgpack.packb(fields), {"content-type": MSGPACK})

    def _journal(self, _call: Call) -> Answer:
        return json_answer(
            {
                "executions": self.journal,
                "computed_tokens": self.computed_tokens,
                "cached_tokens": self.cached_tokens,
                "prompt_tokens": self.prompt_tokens,
                "wasted_tokens": self.wasted_tokens,
                "imported_blocks": self.imported_blocks,
                "orders": self.orders,
            }
        )

    def _computed(self, _call: Call) -> Answer:
        return json_answer({"blocks": self.computed_blocks})

    def _exact(self, call: Call) -> Answer:
        keys = tuple(bytes.fromhex(key) for key in call.json()["keys"])
        held, queue_ms = self._predict_cache_and_queue()
        depth = _prefix_length(keys, held)
        return json_answer({"blocks": depth, "queue_ms": queue_ms})

    def _predict_cache_and_queue(self) -> tuple[collections.ChainMap[bytes, None], float]:
        """Return the cache contents after all queued prefills and the time until then.

        Evictions by those prefills are not predicted.
        """
        added: dict[bytes, None] = {}
        held = collections.ChainMap(added, self.cache.keys)
        keys, ends_at = self.prefilling
        queue_ms = max(0.0, (ends_at - time.monotonic()) * 1e3)
        added.update(dict.fromkeys(keys))
        for job in sorted(self.waiting):
            if job.cancelled:
                continue
            cached = _prefix_length(job.keys, held) * self.config.block_tokens
            queue_ms += max(1, job.prompt_tokens - cached) * self._prefill_ms_per_token()
            added.update(dict.fromkeys(job.keys))
        return held, queue_ms

    # Orders

    def _order(self, call: Call) -> Answer:
        order = call.json()
        if self.config.fencing and order["fencing"] < self.fencing_number:
            return json_answer({"error": "stale fencing number"}, 409)
        self.fencing_number = max(self.fencing_number, order["fencing"])
        self.orders.append(order)
        self.adapters = list(order["adapters"])
        self.role = order["role"]
        if (order["model"], order["weights_version"]) == (self.model, self.weights_version):
            return json_answer({})
        if order["weights_version"] in self.faults.broken_versions.split(","):
            return json_answer({"error": "cannot load"}, 500)
        if not self.loading:
            self.loading = True
            gevent.spawn(self._load_weights, order["model"], order["weights_version"])
        return json_answer({}, 202)

    def _load_weights(self, model: str, version: str) -> None:
        try:
            if self.config.weights_store:
                store = HttpConnections(Address.parse(self.config.weights_store))
                store.call("GET", f"/weights?version={version}", timeout_s=60.0)
            else:
                gevent.sleep(self.config.load_ms / 1e3)
            self.model = model
            self.weights_version = version
            self.cache.clear()
        finally:
            self.loading = False

    def _state(self, _call: Call) -> Answer:
        return json_answer(
            {
                "incarnation": self.incarnation,
                "model": self.model,
                "weights_version": self.weights_version,
                "adapters": self.adapters,
                "role": self.role,
                "loading": self.loading,
                "fencing": self.fencing_number,
                "healthy": not self.faults.paused,
                "cached_blocks": len(self.cache.keys),
            }
        )

    # KV transfer

    def _import(self, call: Call) -> Answer:
        fields = call.json()
        incarnation = self.incarnation
        source = HttpConnections(Address.parse(fields["source"]))
        body = json.dumps({"keys": fields["keys"]}).encode()
        # Transfers run one at a time because they share the engine's network link.
        with self.transfer_lock:
            answer = source.call("POST", "/blocks/get", body, timeout_s=10.0)
        status, data = answer.value_or((0, b""))
        if status != 200 or incarnation != self.incarnation:
            return json_answer({"blocks": 0})
        found = json.loads(data)["keys"]
        self.cache.store(tuple(bytes.fromhex(key) for key in found))
        self.imported_blocks += len(found)
        return json_answer({"blocks": len(found)})

    def _export(self, call: Call) -> Answer:
        fields = call.json()
        keys = [key for key in fields["keys"] if bytes.fromhex(key) in self.cache.keys]
        store = HttpConnections(Address.parse(fields["store"]))
        body = json.dumps({"keys": keys}).encode()
        answer = store.call("POST", "/blocks/put", body)
        copied = answer.value_or((0, b""))[0] == 200
        return json_answer({"blocks": len(keys) if copied else 0})

    # Faults

    def _crash(self, _call: Call) -> Answer:
        for job in list(self.jobs.values()):
            self._cancel_job(job)
        self._reset()
        return json_answer({})


def _prefix_length(keys: tuple[bytes, ...], held: Container[bytes]) -> int:
    count = 0
    for key in keys:
        if key not in held:
            break
        count += 1
    return count


def _requested_key_bytes(call: Call) -> int:
    return min(KEY_BYTES, int(call.query.get("key_bytes", str(KEY_BYTES))))
