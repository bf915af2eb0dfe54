"""Measure the index of an engine home and the choice of a target.

Prints lines of ``name size value``.
"""

from __future__ import annotations

import itertools
import os
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable

from agaterail.candidates import CandidateAnswer, CandidateQuery, CandidateState, sample_prefix
from agaterail.candidates import split_keys as split
from agaterail.codec import converter
from agaterail.engines import CacheEvent, CacheEventKind, CacheEvents
from agaterail.homes import HomeMap
from agaterail.index import EngineIndex, short_key
from agaterail.policies import Placement
from agaterail.policies.cost import CostPolicy
from agaterail.prefix import Prefix
from agaterail.tables import Pool, PoolKind, Route, TargetEntry
from agaterail.targets import TargetStateTable

INDEX_SIZES = (1_000, 10_000, 57_000, 200_000)
ENGINE_COUNTS = (5, 40, 600)
MEMBER_COUNTS = (8, 40, 410)
PROMPT_BLOCKS = 20
DECISIONS = 3000
REPEATS = 2000
SEED = 11
KEYS_PER_BATCH = 1000


def main() -> None:
    """Run all measurements."""
    _filled_index(INDEX_SIZES[0])
    for size in INDEX_SIZES:
        _measure_index(size)
    for count in ENGINE_COUNTS:
        _measure_decision(count, new_keys=False)
        _measure_decision(count, new_keys=True)
    for count in MEMBER_COUNTS:
        _measure_homes(count)
    _measure_query_codec()


def _print(name: str, size: int, value: float) -> None:
    print(f"{name} {size} {value:.2f}")


def _measure_index(size: int) -> None:
    rng = random.Random(SEED)
    index = EngineIndex(0.0)
    index.set_capacity(size)
    keys = [rng.randbytes(16) for _ in range(size)]
    _print("index_bytes_per_key", size, _bytes_per_key(size))
    _print("index_resident_bytes_per_key", size, _resident_bytes_per_key(size))
    sequences = itertools.count(1)
    _apply(index, keys, CacheEventKind.STORED, sequences)
    _print("index_churn_events_per_s", size, _churn_events_per_s(index, keys, sequences, rng))
    prompts = [[rng.choice(keys) for _ in range(PROMPT_BLOCKS)] for _ in range(500)]
    queries = [[short_key(key) for key in prompt] for prompt in prompts]
    depths = range(1, PROMPT_BLOCKS + 1)
    _print("index_lookup_20_blocks_us", size, _time_us(
        lambda: [index.lookup(prompt, depths, 1.0) for prompt in queries], len(queries)
    ))  # fmt: skip


def _filled_index(size: int) -> EngineIndex:
    rng = random.Random(SEED)
    index = EngineIndex(0.0)
    index.set_capacity(size)
    sequences = itertools.count(1)
    for start in range(0, size, KEYS_PER_BATCH):
        batch = [rng.randbytes(16) for _ in range(min(KEYS_PER_BATCH, size - start))]
        _apply(index, batch, CacheEventKind.STORED, sequences)
    return index


def _bytes_per_key(size: int) -> float:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    index = _filled_index(size)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / len(index.table)


def _resident_bytes_per_key(size: int) -> float:
    # Several copies, so that free pages and arenas of earlier objects matter little.
    copies = max(1, 400_000 // size)
    before = _resident_bytes()
    indexes = [_filled_index(size) for _ in range(copies)]
    return (_resident_bytes() - before) / sum(len(index.table) for index in indexes)


def _resident_bytes() -> int:
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def _apply(
    index: EngineIndex, keys: list[bytes], kind: CacheEventKind, sequences: itertools.count
) -> None:
    events = [CacheEvent(next(sequences), kind, (key,)) for key in keys]
    answer = CacheEvents("a", events, events[-1].sequence)
    if not index.incarnation:
        index.on_incarnation("a", 1.0, 1.0)
    index.on_events(answer, 1.0, 1.0)


def _churn_events_per_s(
    index: EngineIndex, keys: list[bytes], sequences: itertools.count, rng: random.Random
) -> float:
    """Return the event rate of alternating evictions and stores, as in a full cache."""
    batches = []
    for _ in range(50):
        evicted = rng.sample(range(len(keys)), 100)
        stored = [rng.randbytes(16) for _ in evicted]
        batches.append(([keys[position] for position in evicted], stored))
        for position, key in zip(evicted, stored, strict=True):
            keys[position] = key
    started = time.process_time()
    for old, stored in batches:
        _apply(index, old, CacheEventKind.EVICTED, sequences)
        _apply(index, stored, CacheEventKind.STORED, sequences)
    return 200 * len(batches) / (time.process_time() - started)


def _measure_decision(count: int, new_keys: bool) -> None:
    rng = random.Random(SEED)
    pool = _pool(count)
    route = Route(name="chat", workspace="ws", callers=(), pool="assistant")
    policy, target_states = CostPolicy("a", seed=SEED), TargetStateTable()
    prefixes = [_prefix(rng) for _ in range(DECISIONS if new_keys else 50)]
    started = time.process_time()
    _decide(policy, target_states, pool, route, prefixes[0], 0.0)
    if new_keys:
        # Paid once per change of the pool's targets, mostly to build the ring.
        _print("decision_first_ms", count, (time.process_time() - started) * 1e3)
    times: list[float] = []
    for number in range(DECISIONS):
        prefix = prefixes[number % len(prefixes)]
        started = time.process_time_ns()
        _decide(policy, target_states, pool, route, prefix, number / 100.0)
        times.append((time.process_time_ns() - started) / 1e3)
    name = "decision_new_prefix" if new_keys else "decision_known_prefix"
    _print(f"{name}_mean_us", count, statistics.fmean(times))
    _print(f"{name}_p99_us", count, statistics.quantiles(times, n=100)[98])


def _decide(
    policy: CostPolicy,
    target_states: TargetStateTable,
    pool: Pool,
    route: Route,
    prefix: Prefix,
    now: float,
) -> None:
    placement = Placement(pool=pool, route=route, prefix=prefix, deadline_ms=1e4, now=now)
    entries = policy.candidates(placement, ())
    targets = [target_states.state_of(entry) for entry in entries]
    views = {
        state.address: CandidateState(state.address, 5, 1.0, 20.0, 2, 100.0, 0.05, "v1")
        for state in targets
    }
    placement_with_views = Placement(
        pool=pool, route=route, prefix=prefix, deadline_ms=1e4, now=now, views=views
    )
    policy.choose(placement_with_views, targets)


def _pool(count: int) -> Pool:
    targets = tuple(
        TargetEntry(
            address=f"10.0.{number // 250}.{number % 250}:80", domain="abc"[number % 3]
        )
        for number in range(count)
    )
    return Pool(name="assistant", kind=PoolKind.ENGINE, targets=targets, model="atlas")


def _prefix(rng: random.Random) -> Prefix:
    keys = tuple(rng.randbytes(16) for _ in range(PROMPT_BLOCKS))
    return Prefix(keys, (4, 18), 40_000, keys[17])


def _measure_homes(count: int) -> None:
    members = [f"10.1.{number // 250}.{number % 250}:81" for number in range(count)]
    engines = [f"10.0.{number // 250}.{number % 250}:80" for number in range(600)]
    homes = HomeMap(members[0])
    homes.set_members(members)
    started = time.process_time()
    for engine in engines:
        homes.home_of(engine)
    _print("homes_of_600_engines_first_ms", count, (time.process_time() - started) * 1e3)
    started = time.process_time()
    homes.set_members(members[:-1])
    homes.set_members(members)
    for engine in engines:
        homes.home_of(engine)
    _print("homes_one_member_restarts_ms", count, (time.process_time() - started) * 1e3)


def _measure_query_codec() -> None:
    sampled = sample_prefix(_prefix(random.Random(SEED)))
    states = tuple(
        CandidateState(f"10.0.0.{number}:80", 5, 1.0, 20.0, 2, 100.0, 0.05, "v1")
        for number in range(2)
    )
    query = CandidateQuery(("10.0.0.1:80", "10.0.0.2:80"), sampled.keys)
    answer = CandidateAnswer(states)

    def round_trip() -> None:
        converter.structure(converter.unstructure(query), CandidateQuery)
        split(query.keys)
        converter.structure(converter.unstructure(answer), CandidateAnswer)

    round_trip()
    _print("query_codec_us", len(states), _time_us(lambda: _repeat(round_trip), REPEATS))


def _repeat(action: Callable[[], None]) -> None:
    for _ in range(REPEATS):
        action()


def _time_us(action: Callable[[], object], count: int) -> float:
    started = time.process_time()
    action()
    return (time.process_time() - started) / count * 1e6


if __name__ == "__main__":
    main()
