"""Which parts of prompts a store of kept KV cache holds, and who is to save one."""

from __future__ import annotations

import abc
from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from returns.result import Result

# A part that somebody was told to save is in the store after the prompt has waited,
# was read and sent: some tenths of a second, seconds on a heavy day. Until then
# nobody else saves it; a save that failed is made up for after this time.
SAVE_TIMEOUT_S = 2.0
# A few events in a hundred are lost. A part whose eviction was missed is saved again
# after this time, about as long as a full store takes to drop what nobody uses.
ENTRY_TTL_S = 20.0
# 325 bytes an entry (tracemalloc, 20,000 entries), so 21 MB a store at most; the oldest
# are dropped and saved again.
MAX_ENTRIES = 65536


@attrs.frozen
class CacheChange:
    """A part was stored, or not all of it is held any more.

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
    """Changes of a store's contents since an earlier question.

    Attributes
    ----------
    epoch
        Differs after each start of the store, which begins empty.
    next_number
        Number to ask from next.
    """

    epoch: int
    next_number: int
    changes: tuple[CacheChange, ...]


class CacheFeed(abc.ABC):
    """Where news of a store's contents come from."""

    @abc.abstractmethod
    def follow(self, address: str, since: int, wait_s: float) -> Result[CacheChangeBatch, str]:
        """Return the changes from a number on, waiting for the first one."""


@attrs.define
class _Entry:
    """What is believed of one part; nothing any more after ``until``."""

    expires_at: float
    confirmed: bool = False


class KvStoreIndex:
    """Contents of one store as its events tell, and the saves that are under way.

    Failure: an engine that saves sends the whole prompt, also the part that no
    other request shares. With each prompt saved, such parts filled the store within
    9 s and pushed out the shared ones, which were then read again, and the engines'
    links were busy with saves while other prompts waited for a fetch. So a prompt
    is saved only if one of its shared parts is missing, and by one request at a time.
    """

    def __init__(self) -> None:
        self.entries: OrderedDict[tuple[str, str], _Entry] = OrderedDict()
        self.epoch: int | None = None

    def reset(self, epoch: int) -> None:
        """Forget what a store held before its latest start."""
        self.entries.clear()
        self.epoch = epoch

    def apply(self, changes: Iterable[CacheChange], now: float) -> None:
        """Take in what changed."""
        for change in changes:
            key = (change.scope, change.part)
            if change.held:
                self._put(key, _Entry(now + ENTRY_TTL_S, confirmed=True))
            else:
                self.entries.pop(key, None)

    def claim_save(self, scope: str, parts: Iterable[str], now: float) -> bool:
        """Tell whether a request should save its prompt; if so, no other one will."""
        missing = [(scope, part) for part in parts if self._is_missing((scope, part), now)]
        for key in missing:
            known = self.entries.get(key)
            # What was there once and is not known to be gone was saved again now, of
            # which the store sends no event if it still had it.
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
        """Return the key of the part that decides which daemon is asked."""
        return self.parts[-1]
