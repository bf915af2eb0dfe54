"""Which tables a daemon serves first, and how it catches up from its peers.

The log may be down or may answer from an older point. What peers serve is a
floor: a daemon that restarts must not go below an offset that it served before.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from agaterail.tables import NO_VERSION

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

# Chosen by measurement: docs/internals/decisions/0402-start-up.md.
PEERS_PER_ROUND = 8
SUFFICIENT_ANSWERS = 4
ANSWER_WAIT_S = 0.1
LOG_WAIT_S = 0.1
HOST_LIST_WAIT_S = 0.15
MAX_ROUND_PAUSE_S = 1.0


class Decision(enum.Enum):
    """What to do next."""

    WAIT = "wait"
    SERVE = "serve"
    FETCH = "fetch"


class QueryRound:
    """One round of questions to random peers.

    Attributes
    ----------
    answers
        Offset that each answering peer serves; -1 when it serves nothing yet.
    """

    def __init__(self, peers: Iterable[str], now: float) -> None:
        self.queried = tuple(peers)
        self.pending = set(self.queried)
        self.started_at = now
        self.answers: dict[str, int] = {}

    def on_answer(self, address: str, through: int) -> None:
        """Note what a peer serves."""
        if address in self.pending:
            self.pending.discard(address)
            self.answers[address] = through

    def on_failure(self, address: str) -> None:
        """Note that a peer gave no answer, or not the tables it spoke of."""
        self.pending.discard(address)
        self.answers.pop(address, None)

    def is_over(self, now: float) -> bool:
        """Tell whether no more answers are waited for."""
        return not self.pending or now - self.started_at >= ANSWER_WAIT_S

    @property
    def floor(self) -> int:
        """Return the newest offset that an asked peer serves."""
        return max(self.answers.values(), default=NO_VERSION)

    @property
    def best_peer(self) -> str | None:
        """Return a peer that serves the newest offset."""
        return max(self.answers, key=lambda address: self.answers[address], default=None)


@attrs.define
class LogState:
    """What the log has shown since the start.

    Attributes
    ----------
    at_end
        Whether the log has been read to its end once.
    failed
        Whether the last read failed or met a hole.
    """

    at_end: bool = False
    failed: bool = False


class StartupPlan:
    """Decides when this daemon serves, and from which source.

    Parameters
    ----------
    peers_per_round, sufficient_answers
        Peers asked in a round and answers waited for.
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
        """Return the peers to ask now.

        Parameters
        ----------
        peers
            All other daemons, or None while the host list has not answered.
        """
        if self.round is not None and not self._needs_round(self.round, now):
            return ()
        if peers is None and now - self.started_at < HOST_LIST_WAIT_S:
            return ()
        candidates = sorted(set(peers or ()) - self.tried_peers)
        if not candidates:
            # Everyone has been asked once: begin again.
            self.tried_peers.clear()
            candidates = sorted(peers or ())
        chosen = self.random.sample(candidates, min(self.peers_per_round, len(candidates)))
        self.tried_peers.update(chosen)
        self.round = QueryRound(chosen, now)
        return tuple(chosen)

    def decide(self, own_through: int, now: float) -> Decision:
        """Return the next step for a daemon whose log gave ``own_through``."""
        current = self.round
        if current is None:
            return Decision.WAIT
        if len(current.answers) < self.sufficient_answers and not current.is_over(now):
            return Decision.WAIT
        if current.floor > own_through:
            # The log may be about to answer with newer tables than the peers.
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
        # Peers that serve nothing answer at once. Without a pause a herd that
        # starts while the log is down would ask hundreds of times a second.
        if now - current.started_at < self.round_pause_s:
            return False
        self.round_pause_s = min(MAX_ROUND_PAUSE_S, 2 * self.round_pause_s)
        return True
