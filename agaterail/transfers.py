"""Decisions on when to copy cached blocks to and from the KV store.

Block keys include workspace, model, adapter and weights version, so a copied
block never serves another scope. The blocks that a source is said to hold are
only a hint: if it holds fewer, fewer are copied and the engine computes the
rest.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from agaterail.prefix import Prefix

MIN_SAVED_MS = 20.0
MAX_IMPORTS_PER_ENGINE = 2
# A request that waits for a failing import is delayed by the whole wait. The
# backoff limits how often a source that is down can cause this.
SOURCE_BACKOFF_S = 5.0
MIN_EXPORT_BLOCKS = 2
MIN_EXPORT_USES = 2
MIN_EXPORT_AGE_S = 0.5
MAX_EXPORT_AGE_S = 20.0
REEXPORT_INTERVAL_S = 120.0
MAX_TRACKED_PREFIXES = 4096


@attrs.frozen
class Source:
    """Store that probably holds the leading blocks of a prompt, up to ``depth``."""

    address: str
    depth: int


@attrs.frozen(kw_only=True)
class Transfer:
    """Blocks to copy to an engine before its prefill.

    Attributes
    ----------
    start, end
        Half-open range of the blocks to copy.
    saved_ms
        Prefill time that the copied blocks save.
    """

    source: str
    start: int
    end: int
    transfer_ms: float
    saved_ms: float


def shared_blocks(prefix: Prefix) -> int:
    """Return the number of leading blocks that other prompts can share."""
    return min(len(prefix.keys), prefix.level_blocks[-1] if prefix.level_blocks else 0)


def plan_import(
    source: Source, cached_blocks: int, import_ms_per_block: float, prefill_ms_per_block: float
) -> Transfer | None:
    """Return the blocks to copy, or None if recomputing them is about as cheap.

    Parameters
    ----------
    cached_blocks
        Number of leading blocks that the engine has already cached.
    """
    if import_ms_per_block <= 0:
        return None
    blocks = source.depth - cached_blocks
    saved_ms = blocks * prefill_ms_per_block
    transfer_ms = blocks * import_ms_per_block
    if saved_ms - transfer_ms < MIN_SAVED_MS:
        return None
    return Transfer(
        source=source.address,
        start=cached_blocks,
        end=source.depth,
        transfer_ms=transfer_ms,
        saved_ms=saved_ms,
    )


class ImportLimits:
    """Limits concurrent imports per engine and backs off from failed sources."""

    def __init__(self, limit: int = MAX_IMPORTS_PER_ENGINE) -> None:
        self.limit = limit
        self.running: dict[str, int] = {}
        self.backoff_until: dict[str, float] = {}

    def usable(self, source: str, now: float) -> bool:
        """Return whether a source is not in backoff."""
        return self.backoff_until.get(source, 0.0) <= now

    def begin(self, engine: str, source: str, now: float) -> bool:
        """Register the start of an import; return False if it is refused."""
        if not self.usable(source, now) or self.running.get(engine, 0) >= self.limit:
            return False
        self.running[engine] = self.running.get(engine, 0) + 1
        return True

    def end(self, engine: str, source: str, copied: bool, now: float) -> None:
        """Register the end of an import; a failed one puts its source in backoff."""
        left = self.running.get(engine, 0) - 1
        if left > 0:
            self.running[engine] = left
        else:
            self.running.pop(engine, None)
        if copied:
            self.backoff_until.pop(source, None)
        else:
            self.backoff_until[source] = now + SOURCE_BACKOFF_S


@attrs.define
class PrefixUse:
    """Uses of one shared prefix by requests of this process."""

    engine: str
    keys: tuple[bytes, ...]
    uses: int = 0
    used_at: float = 0.0
    exported_until: float = 0.0


class ExportQueue:
    """Reused prefixes that are not yet in the KV store, least recently used first.

    The least recently used prefix is the next that an engine would evict.
    """

    def __init__(self, limit: int = MAX_TRACKED_PREFIXES) -> None:
        self.limit = limit
        self.uses: OrderedDict[bytes, PrefixUse] = OrderedDict()

    def record_use(self, engine: str, keys: tuple[bytes, ...], now: float) -> None:
        """Count a use of a shared prefix on an engine."""
        if len(keys) < MIN_EXPORT_BLOCKS:
            return
        use = self.uses.setdefault(keys[-1], PrefixUse(engine, keys))
        use.engine = engine
        use.uses += 1
        use.used_at = now
        self.uses.move_to_end(keys[-1])
        if len(self.uses) > self.limit:
            self.uses.popitem(last=False)

    def due(self, now: float) -> list[PrefixUse]:
        """Return the next prefix to export from each engine."""
        found: dict[str, PrefixUse] = {}
        for use in self.uses.values():
            age = now - use.used_at
            in_window = MIN_EXPORT_AGE_S <= age <= MAX_EXPORT_AGE_S
            if in_window and use.uses >= MIN_EXPORT_USES and now >= use.exported_until:
                found.setdefault(use.engine, use)
        return list(found.values())

    def mark_exported(self, use: PrefixUse, now: float) -> None:
        """Suppress exports of a prefix for ``REEXPORT_INTERVAL_S``."""
        use.exported_until = now + REEXPORT_INTERVAL_S
