"""Slopes of the engine home: cache events, keys, load reports, candidate queries."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from hashlib import blake2b

from agaterail.candidates import CandidateAnswer, CandidateQuery, CandidateState
from agaterail.engines import CacheEvent, CacheEventKind, CacheEvents
from agaterail.index import EngineIndex
from agaterail.peers import Peers
from agaterail.peers.memory import MemoryNetwork, MemoryTransport
from standins.base import Call
from standins.engine import EngineConfig, EngineStandIn
from tools.slopes.fit import Point, Slope, cpu_s, fit, retained_bytes

INCARNATION = "0123456789ab"
KEYS_PER_EVENT = 1
QUERY_ENGINES = 2


def block_key(number: int) -> bytes:
    """Return a block key in the format of the engines."""
    return blake2b(number.to_bytes(8, "big"), digest_size=16).digest()


def measure() -> Iterator[Slope]:
    """Yield the slopes of this role."""
    yield fit(
        "home.key_memory", "bytes", "key", [_memory(n) for n in (20_000, 60_000, 120_000)]
    )
    yield fit(
        "home.event_cpu", "s", "event", [_events_cpu(n) for n in (20_000, 40_000, 80_000)]
    )
    yield fit(
        "home.event_bytes", "bytes", "event", [_event_bytes(n) for n in (100, 400, 1600)]
    )
    yield fit("home.load_bytes", "bytes", "report", [_load_bytes(n) for n in (10, 20, 40)])
    yield fit("home.query_cpu", "s", "query", [_query_cpu(n) for n in (500, 1000, 2000)])
    yield fit("home.query_bytes", "bytes", "key", [_query_bytes(n) for n in (4, 8, 16)])


def _filled_index(keys: list[bytes]) -> EngineIndex:
    index = EngineIndex(0.0)
    index.on_events(CacheEvents(INCARNATION, [], 0), 0, 0.0)
    batches = itertools.batched(keys, 100) if hasattr(itertools, "batched") else _batched(keys)
    for sequence, batch in enumerate(batches, 1):
        event = CacheEvent(sequence, CacheEventKind.STORED, tuple(batch))
        index.on_events(
            CacheEvents(INCARNATION, [event], sequence), sequence * 1e-3, sequence * 1e-3
        )
    return index


def _batched(keys: list[bytes]) -> Iterator[list[bytes]]:
    for start in range(0, len(keys), 100):
        yield keys[start : start + 100]


def _memory(count: int) -> Point:
    keys = [block_key(number) for number in range(count)]
    return Point(count, retained_bytes(lambda: _filled_index(keys)))


def _events_cpu(count: int) -> Point:
    # A cache in steady state: each new block evicts an old one.
    keys = [block_key(number) for number in range(count)]
    index = _filled_index(keys[: count // 2])
    first = index.sequence + 1
    events: list[CacheEvent] = []
    for position in range(count // 2):
        number = first + 2 * position
        stored = (keys[count // 2 + position],)
        events.append(CacheEvent(number, CacheEventKind.STORED, stored))
        events.append(CacheEvent(number + 1, CacheEventKind.EVICTED, (keys[position],)))
    batches = [
        CacheEvents(
            INCARNATION, events[start : start + 100], events[start : start + 100][-1].sequence
        )
        for start in range(0, len(events), 100)
    ]

    def apply() -> None:
        for batch in batches:
            index.on_events(batch, 1.0, 1.0)

    return Point(len(events), cpu_s(apply, repeat=1))


def _event_bytes(count: int) -> Point:
    engine = EngineStandIn(EngineConfig(capacity_blocks=10 * count))
    for number in range(count):
        engine.cache.store((block_key(number),))
    return Point(count, _answer_bytes(engine, "0", "0"))


def _load_bytes(count: int) -> Point:
    engine = EngineStandIn(EngineConfig())
    return Point(count, sum(_answer_bytes(engine, "0", "1") for _ in range(count)))


def _answer_bytes(engine: EngineStandIn, after: str, load: str) -> int:
    query = {"after": after, "load": load, "key_bytes": "8"}
    call = Call(method="GET", path="/events", query=query, headers={}, body=b"")
    body = engine.route(call).body
    assert isinstance(body, bytes)
    return len(body)


def _connected_peers() -> tuple[Peers, Peers]:
    network = MemoryNetwork()
    connected: list[Peers] = []
    for address in ("10.0.0.1:1", "10.0.0.2:1"):
        transports = [MemoryTransport(network, address) for _ in range(2)]
        peers = Peers(address, transports[0], transports[1], "secret")
        peers.start()
        connected.append(peers)
    return connected[0], connected[1]


def _query(keys: int) -> CandidateQuery:
    engines = tuple(f"10.1.0.{number}:8000" for number in range(QUERY_ENGINES))
    return CandidateQuery(engines=engines, keys=bytes(8 * keys))


def _candidate_answer(query: CandidateQuery) -> CandidateAnswer:
    return CandidateAnswer(tuple(candidate_state(engine) for engine in query.engines))


def candidate_state(engine: str) -> CandidateState:
    """Return a typical state of an engine, as its home answers it."""
    return CandidateState(
        engine=engine,
        depth=4,
        confidence=0.9,
        queue_ms=12.5,
        in_flight=3,
        age_ms=200.0,
        prefill_ms_per_token=0.05,
        weights_version="v1",
        leaving=False,
    )


def _query_cpu(count: int) -> Point:
    requester, home = _connected_peers()
    home.handle(CandidateQuery, lambda _sender, query: _candidate_answer(query))

    def run_queries() -> None:
        for _ in range(count):
            requester.query(home.own_address, _query(8), 1.0)

    return Point(count, cpu_s(run_queries))


def _query_bytes(keys: int) -> Point:
    requester, home = _connected_peers()
    home.handle(CandidateQuery, lambda _sender, query: _candidate_answer(query))
    requester.query(home.own_address, _query(keys), 1.0)
    return Point(keys, requester.sent_bytes + home.sent_bytes)
