"""Decide which tables a daemon serves first, from the log or from a peer.

The log may be down or may return stale data. The newest offset that the queried
peers serve is a lower bound: a daemon that restarts must not serve tables older
than the ones it served before.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from agaterail.tables import NO_VERSION

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

# See docs/internals/decisions/0402-start-up.md.
PEERS_PER_ROUND = 8
SUFFICIENT_ANSWERS = 4
ANSWER_WAIT_S = 0.1
LOG_WAIT_S = 0.1
HOST_LIST_WAIT_S = 0.15
MAX_ROUND_PAUSE_S = 1.0


class Decision(enum.Enum):
    """Next action of the startup."""

    WAIT = "wait"
    SERVE = "serve"
    FETCH = "fetch"


class QueryRound:
    """One round of offset queries to random peers.

    Attributes
    ----------
    answers
        Offset that each peer serves; -1 if it serves no tables yet.
    """

    def __init__(self, peers: Iterable[str], now: float) -> None:
        self.queried = tuple(peers)
        self.pending = set(self.queried)
        self.started_at = now
        self.answers: dict[str, int] = {}

    def on_answer(self, address: str, through: int) -> None:
        """Record the offset that a peer serves."""
        if address in self.pending:
            self.pending.discard(address)
            self.answers[address] = through

    def on_failure(self, address: str) -> None:
        """Drop a peer that did not answer or did not deliver its tables."""
        self.pending.discard(address)
        self.answers.pop(address, None)

    def is_over(self, now: float) -> bool:
        """Return whether all peers have answered or the answer wait has ended."""
        return not self.pending or now - self.started_at >= ANSWER_WAIT_S

    @property
    def floor(self) -> int:
        """Return the newest offset that a queried peer serves."""
        return max(self.answers.values(), default=NO_VERSION)

    @property
    def best_peer(self) -> str | None:
        """Return a peer that serves the newest offset, or None without answers."""
        return max(self.answers, key=lambda address: self.answers[address], default=None)


@attrs.define
class LogState:
    """What the log has shown since startup began.

    Attributes
    ----------
    at_end
        Whether the log has been read to its end at least once.
    failed
        Whether the last read failed or found a gap.
    """

    at_end: bool = False
    failed: bool = False


class StartupPlan:
    """Decides when this daemon starts to serve, and from which source.

    Parameters
    ----------
    peers_per_round, sufficient_answers
        Peers queried per round, and answers that suffice to decide before the
        round is over.
    """

    def __init__(
        self,
        random_source: random.Random,
        now: float,
        peers_per_round: int = PEERS_PER_ROUND,
        sufficient_answers: int = SUFFICIENT_ANSWERS,
    ) -> None:
        self.random = random_source
        self.started_at = now
        self.peers_per_round = peers_per_round
        self.sufficient_answers = sufficient_answers
        self.log = LogState()
        self.round: QueryRound | None = None
        self.tried_peers: set[str] = set()
        self.round_pause_s = ANSWER_WAIT_S

    def next_round(self, peers: Iterable[str] | None, now: float) -> tuple[str, ...]:
        """Start a new round if one is needed, and return the peers to query.

        Parameters
        ----------
        peers
            All other daemons, or None if the host list has not answered yet.
        """
        if self.round is not None and not self._needs_round(self.round, now):
            return ()
        if peers is None and now - self.started_at < HOST_LIST_WAIT_S:
            return ()
        candidates = sorted(set(peers or ()) - self.tried_peers)
        if not candidates:
            # All peers have been queried once, so start over.
            self.tried_peers.clear()
            candidates = sorted(peers or ())
        chosen = self.random.sample(candidates, min(self.peers_per_round, len(candidates)))
        self.tried_peers.update(chosen)
        self.round = QueryRound(chosen, now)
        return tuple(chosen)

    def decide(self, own_through: int, now: float) -> Decision:
        """Return the next action, given the offset that was read from the log."""
        current = self.round
        if current is None:
            return Decision.WAIT
        if len(current.answers) < self.sufficient_answers and not current.is_over(now):
            return Decision.WAIT
        if current.floor > own_through:
            # The log may be about to return newer tables than the peers.
            log_may_answer = now - self.started_at < LOG_WAIT_S
            if log_may_answer and not (self.log.at_end or self.log.failed):
                return Decision.WAIT
            return Decision.FETCH
        if own_through == NO_VERSION:
            return Decision.WAIT
        return Decision.SERVE if self.log.at_end or self.log.failed else Decision.WAIT

    def _needs_round(self, current: QueryRound, now: float) -> bool:
        if not current.queried:
            return True
        if current.floor > NO_VERSION or not current.is_over(now):
            return False
        # Peers without tables answer at once. Without a pause, daemons that start
        # together while the log is down would each send hundreds of queries per
        # second.
        if now - current.started_at < self.round_pause_s:
            return False
        self.round_pause_s = min(MAX_ROUND_PAUSE_S, 2 * self.round_pause_s)
        return True
