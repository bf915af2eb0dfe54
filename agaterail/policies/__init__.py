"""Base class and data types of the policies that choose a request's target."""

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
    """Request that needs a target.

    Attributes
    ----------
    prefix
        Block keys of the prompt; None for services.
    deadline_ms
        Time left until the first byte is due.
    now
        Current time of the timer service, in seconds.
    views
        States of the candidates by address, as reported by their homes; empty
        for policies that do not query homes.
    import_source
        KV store from which blocks of the prompt can be imported, if any.
    """

    pool: Pool
    route: Route
    prefix: Prefix | None
    deadline_ms: float
    now: float = 0.0
    views: Mapping[str, CandidateState] = attrs.field(factory=dict)
    import_source: Source | None = None


@attrs.frozen(kw_only=True)
class Decision:
    """Chosen target and the reason for the choice.

    Attributes
    ----------
    hit_blocks
        Leading blocks expected in the target's cache.
    expected_ms
        Expected time to first token, or None if it was not estimated.
    queue_ms
        Expected wait in the target's queue.
    transfer
        Blocks to import before the target starts the prefill.
    terms
        Cost terms in milliseconds, by name, for the log message.
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
        Whether the policy chooses among its own ``candidates``, using the
        states reported by their homes. Other policies choose among all usable
        targets without any query.
    """

    name: str
    queries_homes = False

    def candidates(
        self, placement: Placement, excluded: Collection[str]
    ) -> Sequence[TargetEntry]:
        """Return the targets whose homes should be queried, best first."""
        return ()

    @abc.abstractmethod
    def choose(self, placement: Placement, targets: Sequence[TargetState]) -> Decision | None:
        """Return a decision, or None if no target can meet the deadline."""
