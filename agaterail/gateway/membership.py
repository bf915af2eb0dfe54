"""Place of one daemon in the fleet, as the platform deals its partitions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Success

from agaterail import logs

if TYPE_CHECKING:
    from agaterail.gateway.controlstore import Membership
    from agaterail.gateway.daemon import Daemon

logger = logs.get_logger("fleet")

# A member that is silent for so long loses its partitions. Short, so that a
# dead leader of rollouts is replaced soon; three joins fit into it.
TTL_S = 2.5
JOIN_PERIOD_S = 0.8
# Shares bound estimates only where they are sensible.
LEAST_SHARE = 0.002


class MembershipController:
    """Joins the fleet now and then and notes the share that this daemon holds.

    The platform deals a partition to another member only after this one has
    been silent for the time to live, counted from the arrival of its last
    join. Counted here from before the sending, the share ends earlier.
    """

    period_s = JOIN_PERIOD_S

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon
        self.member = f"{daemon.settings.host}.{daemon.boot}"
        self.ttl_s = max(TTL_S, daemon.settings.store.member_ttl_min_s)
        self.generation = 0
        self.valid_until = 0.0
        self.leads = False

    def step(self) -> None:
        """Join once."""
        if self.daemon.stopping:
            return
        sent_at = self.daemon.now()
        answer = self.daemon.store.join(self.member, self.ttl_s, self.generation)
        if isinstance(answer, Success):
            self._take_in(answer.unwrap(), sent_at)
        elif self.daemon.now() >= self.valid_until and self.daemon.budget.share:
            logger.warning("Share of the fleet lost.", reason=answer.failure().kind.value)
            self.daemon.budget.share = 0.0
            self.leads = False

    def leave(self) -> None:
        """Leave the fleet."""
        self.daemon.budget.share = 0.0
        self.leads = False
        left = self.daemon.store.leave(self.member)
        if not isinstance(left, Success):
            logger.info("The fleet was not told.", reason=left.failure().kind.value)

    def _take_in(self, found: Membership, sent_at: float) -> None:
        if found.generation != self.generation:
            logger.info(
                "Share of the fleet.",
                generation=found.generation,
                share=round(found.share, 4),
                leads=found.leads,
            )
        self.generation = found.generation
        self.valid_until = sent_at + self.ttl_s
        self.daemon.budget.share = found.share
        self.leads = found.leads
        self.daemon.set_fleet_size(1.0 / max(LEAST_SHARE, found.share))
