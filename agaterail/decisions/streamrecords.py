"""Records of which build began each stream, kept for callers that take one up."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

import attrs

from agaterail.decisions.streamsources import StreamSource
from agaterail.util import rendezvous

if TYPE_CHECKING:
    from collections.abc import Mapping

KEY_BYTES = 16
MAX_RECORDS = 16384


@attrs.define
class StreamRecord:
    """Where a stream's events come from, and how long that is remembered."""

    source: StreamSource
    recorded_at: float
    expires_at: float


class StreamRecords:
    """The records that one daemon keeps, bounded in number and by their last use.

    Attributes
    ----------
    records
        Records by key, the one used last at the end.
    """

    def __init__(self, max_records: int = MAX_RECORDS) -> None:
        self.max_records = max_records
        self.records: dict[bytes, StreamRecord] = {}

    def put(self, key: bytes, source: StreamSource, valid_s: float, now: float) -> None:
        """Record a stream's source, or that it is not known if a record contradicts."""
        known = self.records.pop(key, None)
        if known is None or now >= known.expires_at:
            known = StreamRecord(source, now, now)
        elif known.source != source:
            # A caller used an id for two streams.
            known.source = StreamSource(source.service, "")
        known.expires_at = now + valid_s
        self.records[key] = known
        self._trim(now)

    def find(self, key: bytes, valid_s: float, now: float) -> StreamRecord | None:
        """Return a record and keep it for longer, as its stream goes on."""
        found = self.records.pop(key, None)
        if found is None or now >= found.expires_at:
            return None
        found.expires_at = now + valid_s
        self.records[key] = found
        return found

    def _trim(self, now: float) -> None:
        while self.records:
            oldest = next(iter(self.records))
            is_valid = now < self.records[oldest].expires_at
            if is_valid and len(self.records) <= self.max_records:
                return
            del self.records[oldest]


def stream_key(workspace: str, request_id: str) -> bytes:
    """Return the key of a stream by the request whose answer brought its first event.

    Ids are the callers' own. Two workspaces may use the same one.
    """
    text = f"{len(workspace)}:{workspace}{request_id}"
    return blake2b(text.encode(), digest_size=KEY_BYTES).digest()


def rank_keepers(key: bytes, members: Mapping[str, str]) -> list[str]:
    """Rank the daemons that keep a stream's record, in the same order on every daemon.

    The first are in different failure domains, so that the loss of one domain leaves
    the record with the others.

    Parameters
    ----------
    members
        Failure domain of each daemon by its address.
    """
    ranked = rendezvous.ranked(key, members, len(members))
    first: dict[str, str] = {}
    for address in ranked:
        first.setdefault(members[address] or address, address)
    ahead = list(first.values())
    chosen = set(ahead)
    return ahead + [address for address in ranked if address not in chosen]
