"""Acquire and renew the lease for rollout orders, or observe its holder."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Any

from returns.result import Success

from agaterail import codec, logs
from agaterail.controllers import Controller
from agaterail.events import MembersChanged
from agaterail.leases import LeaseKeeper, LeaseRecord
from agaterail.records import LEASES_STREAM
from agaterail.util import rendezvous

if TYPE_CHECKING:
    from collections.abc import Sequence

    from agaterail.application import Application
    from agaterail.logstore import LogSlice

logger = logs.get_logger("leases")

LEASE_KEY = b"orders"
MAX_CANDIDATES = 3
NONCE_BYTES = 8


class LeasesController(Controller):
    """Competes for the lease while this daemon is one of the candidates.

    Only the first few daemons in rendezvous order follow the stream, so the load
    on the log does not grow with the number of daemons. Daemons that disagree on
    the order only add candidates; the log decides between them.
    """

    name = "leases"
    period_s = 1.0

    def __init__(self, app: Application) -> None:
        self.app = app
        own = app.peers.own_address
        self.rank: int | None = candidate_rank(own, ())
        self.keeper = LeaseKeeper(
            f"{own}/{secrets.token_hex(NONCE_BYTES)}", lambda: secrets.token_hex(NONCE_BYTES)
        )
        self.next_offset = 0
        app.events.subscribe(MembersChanged, self._on_members)

    def reconcile(self) -> None:
        """Read the stream and append a lease record if one is due."""
        rank = self.rank
        if rank is None:
            self.keeper.caught_up = False
            return
        if not self._read():
            return
        now = self.app.timers.now()
        record = self.keeper.next_record(now, rank)
        if record is not None:
            self._append(record)
            self._read()

    def release(self) -> None:
        """Release the lease, so that another candidate need not wait until it expires."""
        record = self.keeper.release()
        if record is not None:
            self._append(record)

    def status(self) -> dict[str, Any]:
        """Return the lease holder as seen by this daemon."""
        return {
            "holder": self.keeper.view.holder,
            "fencing": self.keeper.view.fencing,
            "remaining_s": round(self.keeper.remaining_s(self.app.timers.now()), 1),
        }

    def _append(self, record: LeaseRecord) -> None:
        self.keeper.on_send(record, self.app.timers.now())
        self.app.log_store.append(LEASES_STREAM, codec.encode(record))
        logger.info("Appended a lease record.", action=record.action.value)

    def _read(self) -> bool:
        read = self.app.log_store.read(LEASES_STREAM, self.next_offset)
        if not isinstance(read, Success):
            self.keeper.caught_up = False
            return False
        log_slice: LogSlice = read.unwrap()
        now = self.app.timers.now()
        for record in log_slice.records:
            gap = record.offset != self.next_offset
            self.next_offset = record.offset + 1
            decoded = codec.decode(record.data, LeaseRecord)
            if isinstance(decoded, Success):
                self.keeper.observe(decoded.unwrap(), record.offset, now, gap)
            else:
                self.keeper.skip(record.offset, now)
        if self.next_offset < log_slice.first:
            self.next_offset = log_slice.end
            self.keeper.skip(log_slice.end - 1, now)
        self.keeper.caught_up = self.next_offset >= log_slice.end
        return self.keeper.caught_up

    def _on_members(self, event: MembersChanged) -> None:
        self.rank = candidate_rank(self.app.peers.own_address, event.members)


def candidate_rank(own: str, members: Sequence[str]) -> int | None:
    """Return a daemon's rank among the candidates, or None if it is not one."""
    order = rendezvous.ranked(LEASE_KEY, {*members, own}, MAX_CANDIDATES)
    return order.index(own) if own in order else None


def setup(app: Application) -> None:
    """Register the controller."""
    app.add_controller(LeasesController(app))
