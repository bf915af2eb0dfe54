"""Index of the blocks that one engine probably has cached, kept by its home.

The index is only a hint: a wrong entry costs the recomputation of a prefix.
Block keys include their scope, so entries of another workspace or of older
weights never match. Restarts of the engine and gaps in its events have to be
handled here.
"""

from __future__ import annotations

from array import array
from collections import deque
from typing import TYPE_CHECKING

import attrs

from agaterail.engines import CacheEventKind

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

    from agaterail.engines import CacheContents, CacheEvent, CacheEvents

SHORT_KEY_BYTES = 8
EMPTY_KEY = 0
MIN_SLOTS = 16
MAX_LOAD_FACTOR = 0.8
GROWTH_FACTOR = 1.25

GENERATION_BITS = 8
SUSPECT_GENERATION = 0
MAX_GENERATION = (1 << GENERATION_BITS) - 1
TICKS_PER_S = 10
TICK_MASK = (1 << (32 - GENERATION_BITS)) - 1

MAX_PAST_INCARNATIONS = 16
MAX_PREDICTED = 20_000
PREDICTED_CONFIDENCE = 0.9
SUSPECT_CONFIDENCE = 0.5
MAX_SUSPECT_CONFIDENCE = 0.9
MIN_SUSPECT_CONFIDENCE = 0.05
LIFETIME_EWMA_WEIGHT = 0.05
MAX_SUSPECT_LIFETIMES = 2.0
MIN_SUSPECT_AGE_S = 5.0


def short_key(key: bytes) -> int:
    """Return the leading bytes of a block key as a nonzero integer.

    Zero marks an empty slot of ``KeyTable``.
    """
    return int.from_bytes(key[:SHORT_KEY_BYTES], "little") or 1


class KeyTable:
    """Open-addressing hash table from short keys to 32-bit stamps.

    A slot takes 12 bytes in two arrays; a dict entry of two integers takes
    more than 100 bytes.
    """

    __slots__ = ("count", "keys", "stamps")

    def __init__(self, expected: int = 0) -> None:
        slots = max(MIN_SLOTS, int(expected / MAX_LOAD_FACTOR) + 1)
        self.keys = array("Q", bytes(8 * slots))
        self.stamps = array("I", bytes(4 * slots))
        self.count = 0

    def __len__(self) -> int:
        return self.count

    def __iter__(self) -> Iterator[int]:
        return (key for key in self.keys if key != EMPTY_KEY)

    def slot_of(self, key: int) -> int:
        """Return the slot of a key, or -1."""
        keys = self.keys
        size = len(keys)
        slot = key % size
        while (found := keys[slot]) != key:
            if found == EMPTY_KEY:
                return -1
            slot += 1
            if slot == size:
                slot = 0
        return slot

    def put(self, key: int, stamp: int) -> None:
        """Insert a key or replace its stamp."""
        keys = self.keys
        size = len(keys)
        slot = key % size
        while (found := keys[slot]) != key:
            if found == EMPTY_KEY:
                if self.count + 1 > size * MAX_LOAD_FACTOR:
                    self._resize(int(size * GROWTH_FACTOR) + 1)
                    self.put(key, stamp)
                    return
                keys[slot] = key
                self.count += 1
                break
            slot += 1
            if slot == size:
                slot = 0
        self.stamps[slot] = stamp

    def remove(self, key: int) -> int | None:
        """Remove a key and return its stamp, or None if it is absent."""
        hole = self.slot_of(key)
        if hole < 0:
            return None
        stamp = self.stamps[hole]
        self.count -= 1
        self._shift_back(hole)
        return stamp

    def reserve(self, expected: int) -> None:
        """Grow the table in one step to hold the expected number of keys."""
        slots = int(expected / MAX_LOAD_FACTOR) + 1
        if slots > len(self.keys):
            self._resize(slots)

    def _shift_back(self, hole: int) -> None:
        # Backward-shift deletion: later keys of the same probe run move into
        # the hole. Tombstones would fill up a table with constant turnover.
        keys, stamps = self.keys, self.stamps
        size = len(keys)
        slot = hole
        while True:
            slot = slot + 1 if slot + 1 < size else 0
            key = keys[slot]
            if key == EMPTY_KEY:
                break
            if (slot - key % size) % size >= (slot - hole) % size:
                keys[hole] = key
                stamps[hole] = stamps[slot]
                hole = slot
        keys[hole] = EMPTY_KEY

    def _resize(self, slots: int) -> None:
        old = zip(self.keys, self.stamps, strict=True)
        self.keys = array("Q", bytes(8 * slots))
        self.stamps = array("I", bytes(4 * slots))
        self.count = 0
        for key, stamp in old:
            if key != EMPTY_KEY:
                self.put(key, stamp)


@attrs.frozen
class Hit:
    """Leading blocks of a prompt that are probably cached.

    Attributes
    ----------
    depth
        Number of leading blocks with an entry.
    confidence
        Fraction of ``depth`` that is expected to be cached, 0 to 1.
    """

    depth: int = 0
    confidence: float = 1.0


@attrs.define
class Prediction:
    """Block that a dispatched request is expected to leave in the cache."""

    dispatch_id: str
    until: float


class EngineIndex:
    """Index of the cached blocks of one engine.

    Attributes
    ----------
    incarnation
        Incarnation of the engine to which all entries belong.
    past_incarnations
        Earlier incarnations, whose late answers are ignored.
    sequence
        Number of the last event that was applied or is known to be lost.
    needs_contents
        The index must be rebuilt from the engine's cache contents: events were
        lost, or those of this incarnation were not followed from its start.
    generation
        Number of the current gap-free span of events. Entries stamped with
        another generation are suspect.
    lifetime_s
        Moving average of the time from a block's last use to its eviction.
    """

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.table = KeyTable()
        self.capacity = 0
        self.generation = SUSPECT_GENERATION + 1
        self.incarnation = ""
        self.weights_version = ""
        self.incarnation_known_at = now
        self.past_incarnations: deque[str] = deque(maxlen=MAX_PAST_INCARNATIONS)
        self.sequence = 0
        self.needs_contents = True
        self.predicted: dict[int, Prediction] = {}
        self.dispatches: dict[str, tuple[int, ...]] = {}
        self.lifetime_s: float | None = None
        self.gaps = 0
        self.lost_events = 0

    # Events of the engine

    def on_incarnation(self, incarnation: str, requested_at: float, now: float) -> bool:
        """Switch to an engine's incarnation; return False if it may be a past one.

        Parameters
        ----------
        requested_at
            Time at which the query that returned the incarnation was sent.
        """
        if incarnation == self.incarnation:
            return True
        # A query sent before the current incarnation was known may have been
        # answered by the previous one. Accepting that as a newer incarnation
        # would follow the dead engine and ignore the live one from then on. If
        # there really is a newer one, the next query finds it.
        if incarnation in self.past_incarnations or requested_at < self.incarnation_known_at:
            return False
        if self.incarnation:
            self.past_incarnations.append(self.incarnation)
        self.incarnation = incarnation
        self.incarnation_known_at = now
        self.drop_all()
        self.sequence = 0
        self.needs_contents = True
        return True

    def on_weights(self, version: str) -> None:
        """Drop all entries if the engine's weights have changed."""
        if self.weights_version and version != self.weights_version:
            self.drop_all()
            self.needs_contents = True
        self.weights_version = version

    def on_events(self, batch: CacheEvents, requested_at: float, now: float) -> None:
        """Apply events in order; repeated and late ones have no effect."""
        known = self.incarnation
        if not self.on_incarnation(batch.incarnation, requested_at, now):
            return
        if known != batch.incarnation:
            # The batch was requested with a sequence number of the old
            # incarnation. Adopting its numbers would skip the first events of
            # the new one, and evictions among them would leave stale entries.
            return
        for event in sorted(batch.events, key=lambda item: item.sequence):
            self._on_event(event, now)
        if batch.last_sequence > self.sequence:
            self._mark_gap(batch.last_sequence - self.sequence)
            self.sequence = batch.last_sequence

    def on_contents(self, contents: CacheContents, requested_at: float, now: float) -> bool:
        """Replace all entries; return False if the contents are out of date."""
        if not self.on_incarnation(contents.incarnation, requested_at, now):
            return False
        if contents.sequence < self.sequence:
            return False
        old, stamp = self.table, self._stamp(now)
        self.table = KeyTable(max(self.capacity, len(contents.keys)))
        for key in map(short_key, contents.keys):
            slot = old.slot_of(key)
            previous_stamp = stamp if slot < 0 else old.stamps[slot]
            self.table.put(key, self._with_generation(previous_stamp))
        self.sequence = contents.sequence
        self.needs_contents = False
        return True

    def set_capacity(self, blocks: int) -> None:
        """Allocate the table for all blocks that the engine can hold.

        Growing it incrementally would block the process for tens of
        milliseconds at the largest sizes.
        """
        if blocks != self.capacity:
            self.capacity = blocks
            self.table.reserve(blocks)

    def drop_all(self) -> None:
        """Discard all entries and predictions."""
        self.table = KeyTable(self.capacity)
        self.predicted.clear()
        self.dispatches.clear()

    # Dispatches by the daemons

    def predict(self, dispatch_id: str, keys: Sequence[int], now: float, until: float) -> None:
        """Predict that the keys of a dispatched request are cached until a deadline."""
        new: list[int] = []
        for key in keys:
            slot = self.table.slot_of(key)
            if slot >= 0:
                self._touch(slot, now)
            elif len(self.predicted) < MAX_PREDICTED:
                self.predicted[key] = Prediction(dispatch_id, until)
                new.append(key)
        if new:
            self.dispatches[dispatch_id] = tuple(new)

    def withdraw(self, dispatch_id: str) -> None:
        """Remove the predictions of a dispatch that did not run."""
        for key in self.dispatches.pop(dispatch_id, ()):
            prediction = self.predicted.get(key)
            if prediction is not None and prediction.dispatch_id == dispatch_id:
                del self.predicted[key]

    def expire(self, now: float) -> None:
        """Drop expired predictions and suspect entries that are too old to be cached."""
        for dispatch_id, keys in list(self.dispatches.items()):
            found = [self.predicted.get(key) for key in keys]
            if all(item is None or item.until <= now for item in found):
                self.withdraw(dispatch_id)
        if self.lifetime_s is not None and len(self.table) > self.capacity:
            self._sweep(now, max(MIN_SUSPECT_AGE_S, MAX_SUSPECT_LIFETIMES * self.lifetime_s))

    # Lookups

    def lookup(self, keys: Sequence[int], depths: Sequence[int], now: float) -> Hit:
        """Return how many leading blocks of a prompt are probably cached.

        Parameters
        ----------
        keys
            Short keys of some leading blocks, in order.
        depths
            Number of blocks up to and including each of these keys.
        """
        depth, expected, lowest = 0, 0.0, 1.0
        for key, end in zip(keys, depths, strict=True):
            confidence = self.confidence(key, now)
            if confidence == 0.0:
                break
            lowest = min(lowest, confidence)
            expected += lowest * (end - depth)
            depth = end
        return Hit(depth, expected / depth) if depth else Hit()

    def confidence(self, key: int, now: float) -> float:
        """Return the probability that a block is cached."""
        slot = self.table.slot_of(key)
        if slot >= 0:
            stamp = self.table.stamps[slot]
            if stamp & MAX_GENERATION == self.generation:
                return 1.0
            return self._suspect_confidence(self._age_s(stamp, now))
        prediction = self.predicted.get(key)
        if prediction is not None and now < prediction.until:
            return PREDICTED_CONFIDENCE
        return 0.0

    # Internals

    def _on_event(self, event: CacheEvent, now: float) -> None:
        if event.sequence <= self.sequence:
            return
        lost = event.sequence - self.sequence - 1
        if lost:
            self._mark_gap(lost)
        self.sequence = event.sequence
        if event.kind is CacheEventKind.STORED:
            self._on_stored(event.keys, now)
        elif event.kind is CacheEventKind.EVICTED:
            self._on_evicted(event.keys, now)
        else:
            self.drop_all()

    def _on_stored(self, keys: Iterable[bytes], now: float) -> None:
        stamp = self._stamp(now)
        for key in map(short_key, keys):
            self.table.put(key, stamp)
            self.predicted.pop(key, None)

    def _on_evicted(self, keys: Iterable[bytes], now: float) -> None:
        for key in map(short_key, keys):
            self.predicted.pop(key, None)
            stamp = self.table.remove(key)
            if stamp is not None:
                self._observe_lifetime(self._age_s(stamp, now))

    def _observe_lifetime(self, age_s: float) -> None:
        if self.lifetime_s is None:
            self.lifetime_s = age_s
        self.lifetime_s += LIFETIME_EWMA_WEIGHT * (age_s - self.lifetime_s)

    def _mark_gap(self, lost: int) -> None:
        # A lost eviction leaves an entry whose block is no longer cached.
        # Advancing the generation makes all entries suspect without visiting
        # each of them.
        self.gaps += 1
        self.lost_events += lost
        self.needs_contents = True
        if self.generation == MAX_GENERATION:
            self._mark_all_suspect()
        self.generation += 1

    def _mark_all_suspect(self) -> None:
        # The generation counter is about to wrap. Entries that still carry a
        # number from 255 gaps ago would count as trusted again.
        stamps = self.table.stamps
        for slot, stamp in enumerate(stamps):
            stamps[slot] = stamp & ~MAX_GENERATION | SUSPECT_GENERATION
        self.generation = SUSPECT_GENERATION

    def _suspect_confidence(self, age_s: float) -> float:
        if self.lifetime_s is None:
            return SUSPECT_CONFIDENCE
        left = 1.0 - age_s / (2.0 * max(self.lifetime_s, 1.0 / TICKS_PER_S))
        return min(MAX_SUSPECT_CONFIDENCE, max(MIN_SUSPECT_CONFIDENCE, left))

    def _sweep(self, now: float, limit_s: float) -> None:
        stale = [
            key
            for key, stamp in zip(self.table.keys, self.table.stamps, strict=True)
            if key != EMPTY_KEY
            and stamp & MAX_GENERATION != self.generation
            and self._age_s(stamp, now) > limit_s
        ]
        for key in stale:
            self.table.remove(key)

    def _tick(self, now: float) -> int:
        return int((now - self.started_at) * TICKS_PER_S) & TICK_MASK

    def _stamp(self, now: float) -> int:
        return self._tick(now) << GENERATION_BITS | self.generation

    def _with_generation(self, stamp: int) -> int:
        return stamp & ~MAX_GENERATION | self.generation

    def _touch(self, slot: int, now: float) -> None:
        stamps = self.table.stamps
        stamps[slot] = self._tick(now) << GENERATION_BITS | stamps[slot] & MAX_GENERATION

    def _age_s(self, stamp: int, now: float) -> float:
        return ((self._tick(now) - (stamp >> GENERATION_BITS)) & TICK_MASK) / TICKS_PER_S
