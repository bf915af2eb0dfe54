"""Policy that chooses the target with the lowest expected cost in milliseconds."""

from __future__ import annotations

import random
from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

from agaterail.events import MembersChanged
from agaterail.heat import HotKeyTracker
from agaterail.policies import Decision, Placement, Policy
from agaterail.policies.simple import placement_key
from agaterail.transfers import plan_import
from agaterail.util.ring import HASH_BYTES, HashRing

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from agaterail.application import Application
    from agaterail.candidates import CandidateState
    from agaterail.tables import Pool, TargetEntry
    from agaterail.targets import TargetState
    from agaterail.transfers import Transfer

HASH_CANDIDATES = 4
DOMAIN_PENALTY_MS = 2.0
# Hit rate assumed without answers from the homes, for the engine to which this
# daemon last sent the prefix, or else for the first engine by hash.
DEFAULT_HIT_SHARE = 0.5
MAX_LAST_TARGETS = 4096
DEFAULT_QUEUE_SHARE = 0.5
# Requests for one cold prefix that reach several daemons at the same time
# should go to one engine, although no daemon knows of the others' requests yet.
# Each further rank in the hash order costs this share of the prefill, so only a
# queue moves a request to another engine.
RANK_PENALTY_SHARE = 0.02
LEAST_LOADED_INTERVAL_S = 0.1
QUEUE_TTL_S = 2.0


@attrs.define
class CostTerms:
    """Cost of one target, split into terms in milliseconds.

    Not frozen: a frozen instance takes three times as long to create, and each
    decision creates one per candidate.

    Attributes
    ----------
    miss
        Expected prefill time of missing tokens, times the route's weight.
    prefill
        Expected prefill time without the weight.
    """

    queue: float
    miss: float
    domain: float
    prefill: float
    rank: float = 0.0
    transfer: float = 0.0

    @property
    def total(self) -> float:
        """Cost that the policy minimizes."""
        return self.queue + self.miss + self.domain + self.rank + self.transfer

    @property
    def expected_ms(self) -> float:
        """Expected time to first token."""
        return self.queue + self.prefill + self.transfer


class PoolRanking:
    """Order of one pool's targets by consistent hashing."""

    def __init__(self, targets: tuple[TargetEntry, ...]) -> None:
        self.targets = targets
        self.by_address = {entry.address: entry for entry in targets}
        self.ring = HashRing([entry.address for entry in targets])

    def ranked(self, key: bytes, count: int) -> list[TargetEntry]:
        """Return the first targets for a key, best first."""
        number = int.from_bytes(key[:HASH_BYTES], "little")
        return [self.targets[position] for position in self.ring.ranked_indices(number, count)]


class LeastLoadedTracker:
    """Finds the engine with the shortest queue among those reported recently."""

    def __init__(self) -> None:
        self.queues: dict[str, tuple[float, float]] = {}
        self.least = ""
        self.searched_at = -LEAST_LOADED_INTERVAL_S
        self.pruned_at = -QUEUE_TTL_S

    def update(self, views: Collection[CandidateState], now: float) -> None:
        """Record the queues that homes reported."""
        for view in views:
            self.queues[view.engine] = (view.queue_ms, now)

    def find(self, now: float) -> str:
        """Return the address of the least loaded engine, or an empty string.

        The result is cached for ``LEAST_LOADED_INTERVAL_S``: with hundreds of
        engines, a search per request would cost more than the decision itself.
        A stale result does no harm, because the engine's home is queried before
        the engine is chosen.
        """
        if now - self.searched_at >= LEAST_LOADED_INTERVAL_S:
            self.searched_at = now
            if now - self.pruned_at >= QUEUE_TTL_S:
                self._prune(now)
            self.least = min(self.queues, key=self.queues.__getitem__, default="")
        return self.least

    def _prune(self, now: float) -> None:
        self.pruned_at = now
        self.queues = {
            address: entry
            for address, entry in self.queues.items()
            if now - entry[1] < QUEUE_TTL_S
        }


class LastTargets:
    """Engine to which this daemon last sent each recent prefix (an LRU cache)."""

    def __init__(self) -> None:
        self.addresses: OrderedDict[bytes, str] = OrderedDict()

    def record(self, key: bytes, address: str) -> None:
        """Record the engine of a prefix."""
        self.addresses[key] = address
        self.addresses.move_to_end(key)
        if len(self.addresses) > MAX_LAST_TARGETS:
            self.addresses.popitem(last=False)

    def find(self, key: bytes) -> str:
        """Return the address of a prefix's last engine, or an empty string."""
        return self.addresses.get(key, "")


class CostPolicy(Policy):
    """Minimizes the expected queue plus the weighted expected recomputation.

    Parameters
    ----------
    own_domain
        Failure domain of this host; targets in other domains cost slightly more.
    count
        Number of candidates by hash order, before the extra ones of hot prefixes.
    """

    name = "cost"
    queries_homes = True

    def __init__(
        self,
        own_domain: str,
        hot_keys: HotKeyTracker | None = None,
        count: int = HASH_CANDIDATES,
        seed: int | None = None,
    ) -> None:
        self.own_domain = own_domain
        self.hot_keys = hot_keys or HotKeyTracker()
        self.count = count
        self.random = random.Random(seed)
        self.rankings: dict[str, PoolRanking] = {}
        self.least_loaded = LeastLoadedTracker()
        self.last_targets = LastTargets()

    def candidates(
        self, placement: Placement, excluded: Collection[str]
    ) -> Sequence[TargetEntry]:
        """Return the first targets by hash, the last used and the least loaded one.

        A random target stands in for the least loaded one if none is known.
        """
        key = placement_key(placement)
        ranking = self._ranking(placement.pool)
        count = self.count + self.hot_keys.on_request(key, placement.now)
        ranked = ranking.ranked(key, count + len(excluded))
        chosen = [entry for entry in ranked if entry.address not in excluded][:count]
        last = ranking.by_address.get(self.last_targets.find(key))
        for other in (last, self._extra_candidate(ranking, placement.now)):
            if other and other not in chosen and other.address not in excluded:
                chosen.append(other)
        return chosen

    def choose(self, placement: Placement, targets: Sequence[TargetState]) -> Decision | None:
        """Return the cheapest target; ties go to the first in ``targets``."""
        if not targets:
            return None
        if placement.prefix is None:
            return self._choose_service(targets)
        self.least_loaded.update(placement.views.values(), placement.now)
        eligible = [
            state for state in targets if self._is_eligible(placement, state)
        ] or targets
        key = placement_key(placement)
        holder = self._likely_holder(key, eligible)
        costs = [
            self._cost_terms(placement, state, rank, state is holder)
            for rank, state in enumerate(eligible)
        ]
        position = min(range(len(costs)), key=lambda index: costs[index].total)
        state, terms = eligible[position], costs[position]
        self.last_targets.record(key, state.address)
        transfer = self._plan_import(placement, state)
        if transfer is not None:
            left = max(0.0, terms.prefill - transfer.saved_ms)
            terms = attrs.evolve(terms, prefill=left, transfer=transfer.transfer_ms)
        return self._decision(placement, state, terms, transfer)

    def _choose_service(self, targets: Sequence[TargetState]) -> Decision:
        least = min(
            targets, key=lambda state: (state.in_flight, state.domain != self.own_domain)
        )
        return Decision(address=least.address, reason="least_in_flight")

    def _is_eligible(self, placement: Placement, state: TargetState) -> bool:
        view = placement.views.get(state.address)
        if view is None:
            return True
        if view.leaving:
            return False
        return not view.weights_version or placement.pool.serves(view.weights_version)

    def _likely_holder(self, key: bytes, targets: Sequence[TargetState]) -> TargetState:
        last = self.last_targets.find(key)
        return next((state for state in targets if state.address == last), targets[0])

    def _cost_terms(
        self, placement: Placement, state: TargetState, rank: int, holder: bool
    ) -> CostTerms:
        assert placement.prefix is not None
        view = placement.views.get(state.address)
        if view is None:
            return self._cost_terms_without_view(placement, state, rank, holder)
        tokens = placement.prefix.prompt_tokens
        cached = view.depth * view.confidence * placement.pool.block_tokens
        ms_per_token = view.prefill_ms_per_token or placement.pool.prefill_ms_per_token
        prefill = max(0.0, tokens - cached) * ms_per_token
        return CostTerms(
            queue=view.queue_ms,
            miss=prefill * placement.route.miss_weight,
            domain=self._domain_ms(state),
            prefill=prefill,
            rank=prefill * RANK_PENALTY_SHARE * rank,
        )

    def _plan_import(self, placement: Placement, state: TargetState) -> Transfer | None:
        """Plan an import for the chosen engine.

        Imports do not influence the choice. If they were part of the cost, cheap
        imports would spread prefixes over the engines, and the copies would
        evict blocks that other requests need (decision 0202).
        """
        pool, view = placement.pool, placement.views.get(state.address)
        if placement.import_source is None or view is None:
            return None
        prefill_ms_per_token = view.prefill_ms_per_token or pool.prefill_ms_per_token
        return plan_import(
            placement.import_source,
            cached_blocks=view.depth,
            import_ms_per_block=pool.import_ms_per_block,
            prefill_ms_per_block=prefill_ms_per_token * pool.block_tokens,
        )

    def _cost_terms_without_view(
        self, placement: Placement, state: TargetState, rank: int, holder: bool
    ) -> CostTerms:
        assert placement.prefix is not None
        whole = placement.prefix.prompt_tokens * placement.pool.prefill_ms_per_token
        prefill = whole * (1.0 - DEFAULT_HIT_SHARE) if holder else whole
        return CostTerms(
            queue=state.in_flight * whole * DEFAULT_QUEUE_SHARE,
            miss=prefill * placement.route.miss_weight,
            domain=self._domain_ms(state),
            prefill=prefill,
            rank=prefill * RANK_PENALTY_SHARE * rank,
        )

    def _domain_ms(self, state: TargetState) -> float:
        return 0.0 if state.domain == self.own_domain else DOMAIN_PENALTY_MS

    def _decision(
        self,
        placement: Placement,
        state: TargetState,
        terms: CostTerms,
        transfer: Transfer | None,
    ) -> Decision:
        view = placement.views.get(state.address)
        return Decision(
            address=state.address,
            reason="unknown" if view is None else f"cost_{'hit' if view.depth else 'cold'}",
            hit_blocks=0 if view is None else view.depth,
            # This daemon's own requests alone say too little about the
            # queue to refuse a request by it.
            expected_ms=None if view is None else terms.expected_ms,
            queue_ms=terms.queue,
            transfer=transfer,
            terms=(
                ("queue_ms", terms.queue),
                ("miss_ms", terms.miss),
                ("domain_ms", terms.domain),
                ("rank_ms", terms.rank),
                ("transfer_ms", terms.transfer),
                ("views", float(len(placement.views))),
            ),
        )

    def _ranking(self, pool: Pool) -> PoolRanking:
        ranking = self.rankings.get(pool.name)
        if ranking is None or (
            ranking.targets is not pool.targets and ranking.targets != pool.targets
        ):
            ranking = self.rankings[pool.name] = PoolRanking(pool.targets)
        return ranking

    def _extra_candidate(self, ranking: PoolRanking, now: float) -> TargetEntry:
        known = ranking.by_address.get(self.least_loaded.find(now))
        return known or self.random.choice(ranking.targets)


def setup(app: Application) -> None:
    """Register the policy."""
    policy = CostPolicy(app.settings.domain)

    def on_members(event: MembersChanged) -> None:
        policy.hot_keys.members = max(1, len(event.members))

    app.events.subscribe(MembersChanged, on_members)
    app.add_policy(policy)
