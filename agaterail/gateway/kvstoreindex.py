"""Index of the prompt parts in a KV store, and of the saves in progress."""

from __future__ import annotations

import abc
from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from returns.result import Result

# A save completes after the prompt was queued, prefilled and transferred: several
# tenths of a second, or seconds under heavy load. Until then no other request saves the
# same part; afterwards a failed save is repeated.
SAVE_TIMEOUT_S = 2.0
# A few percent of the events are lost. A part whose eviction was missed is saved again
# after this time, about as long as a full store takes to evict an unused part.
ENTRY_TTL_S = 20.0
# One entry takes 325 bytes (tracemalloc, 20,000 entries), so at most 21 MB per store.
# The oldest entries are dropped, and their parts are saved again.
MAX_ENTRIES = 65536


@attrs.frozen
class CacheChange:
    """A part was stored or is no longer completely held.

    Attributes
    ----------
    scope
        Requests with other scopes do not find it.
    held
        Whether the store holds the part now.
    """

    scope: str
    part: str
    held: bool


@attrs.frozen(kw_only=True)
class CacheChangeBatch:
    """Changes of a store's contents since an earlier read.

    Attributes
    ----------
    epoch
        Differs after each start of the store, which begins empty.
    next_number
        Number from which to read next.
    """

    epoch: int
    next_number: int
    changes: tuple[CacheChange, ...]


class CacheFeed(abc.ABC):
    """Source of the changes of a store's contents."""

    @abc.abstractmethod
    def follow(self, address: str, since: int, wait_s: float) -> Result[CacheChangeBatch, str]:
        """Return the changes from a number on, waiting for the first one."""


@attrs.define
class _Entry:
    """Assumed state of one part, valid until ``expires_at``."""

    expires_at: float
    confirmed: bool = False


class KvStoreIndex:
    """Contents of one store according to its events, and the saves in progress.

    An engine that saves a prompt transfers all of it, including the part that no other
    request shares. When every prompt was saved, such parts filled the store within 9 s and
    evicted the shared ones, which were then prefilled again, and the saves kept the
    engines' links busy while other prompts waited for a fetch. Therefore a prompt is saved
    only if one of its shared parts is missing, and by one request at a time.
    """

    def __init__(self) -> None:
        self.entries: OrderedDict[tuple[str, str], _Entry] = OrderedDict()
        self.epoch: int | None = None

    def reset(self, epoch: int) -> None:
        """Discard what a store held before its latest start."""
        self.entries.clear()
        self.epoch = epoch

    def apply(self, changes: Iterable[CacheChange], now: float) -> None:
        """Apply changes from the store's events."""
        for change in changes:
            key = (change.scope, change.part)
            if change.held:
                self._put(key, _Entry(now + ENTRY_TTL_S, confirmed=True))
            else:
                self.entries.pop(key, None)

    def claim_save(self, scope: str, parts: Iterable[str], now: float) -> bool:
        """Return whether a request should save its prompt; if so, no other one does."""
        missing = [(scope, part) for part in parts if self._is_missing((scope, part), now)]
        for key in missing:
            known = self.entries.get(key)
            # A part that was stored and is not known to be evicted stays confirmed. If
            # the store still holds it, this save causes no event, and with the shorter
            # timeout the part would be saved again and again.
            confirmed = known is not None and known.confirmed
            expires_at = now + (ENTRY_TTL_S if confirmed else SAVE_TIMEOUT_S)
            self._put(key, _Entry(expires_at, confirmed))
        return bool(missing)

    def _is_missing(self, key: tuple[str, str], now: float) -> bool:
        entry = self.entries.get(key)
        return entry is None or now >= entry.expires_at

    def _put(self, key: tuple[str, str], entry: _Entry) -> None:
        self.entries.pop(key, None)
        self.entries[key] = entry
        while len(self.entries) > MAX_ENTRIES:
            self.entries.popitem(last=False)


@attrs.frozen(kw_only=True)
class SaveQuery:
    """Asks whether a prompt's shared parts should be saved to a store.

    Attributes
    ----------
    parts
        Keys of the shared parts, the deepest last.
    """

    store: str
    scope: str
    parts: Sequence[str]

    @property
    def deepest(self) -> str:
        """Return the key that selects the daemon to ask."""
        return self.parts[-1]
