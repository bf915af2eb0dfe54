"""Ways to choose the target of a request."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence

    from agaterail.candidates import CandidateState
    from agaterail.prefix import Prefix
    from agaterail.tables import Pool, Route, TargetEntry
    from agaterail.targets import TargetState
    from agaterail.transfers import Source, Transfer


@attrs.frozen(kw_only=True)
class Placement:
    """A request that needs a target.

    Attributes
    ----------
    prefix
        Named prefix; None for services.
    deadline_ms
        Time left until the first byte is due.
    now
        Second of the timer service.
    views
        What homes said of the candidates; empty for policies that ask nothing.
    kept
        The kept store, when blocks of the prompt can be imported from it.
    """

    pool: Pool
    route: Route
    prefix: Prefix | None
    deadline_ms: float
    now: float = 0.0
    views: Mapping[str, CandidateState] = attrs.field(factory=dict)
    kept: Source | None = None


@attrs.frozen(kw_only=True)
class Decision:
    """A chosen target and why.

    Attributes
    ----------
    hit_blocks
        Leading blocks expected in the target's cache.
    expected_ms
        Expected time to the first token, or None when it was not estimated.
    queue_ms
        Expected wait in the target's queue.
    transfer
        Blocks to import before the target prefills.
    terms
        Terms of the cost in milliseconds, by name, for the log line.
    """

    address: str
    reason: str
    hit_blocks: int = 0
    expected_ms: float | None = None
    queue_ms: float = 0.0
    transfer: Transfer | None = None
    terms: tuple[tuple[str, float], ...] = ()


class Policy(abc.ABC):
    """Chooses among the usable targets of a pool.

    Attributes
    ----------
    queries_homes
        The policy chooses among its own candidates, with what their homes
        know of them; others see all usable targets and ask nothing.
    """

    name: str
    queries_homes = False

    def candidates(
        self, placement: Placement, excluded: Collection[str]
    ) -> Sequence[TargetEntry]:
        """Return the targets whose homes should be asked, best first."""
        return ()

    @abc.abstractmethod
    def choose(self, placement: Placement, targets: Sequence[TargetState]) -> Decision | None:
        """Return a decision, or None when no target can make the deadline."""
