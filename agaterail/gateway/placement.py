"""Choose the target of a request by its expected cost there."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from agaterail.decisions.enginehomes import EngineHomes, hash_number, rank_names
from agaterail.decisions.engineplacement import (
    DECODE_SLOWDOWN_MS,
    PREFILL_MS_PER_TOKEN,
    Candidate,
    PlacementCost,
    PromptLoad,
    choose_candidate,
    is_crowded,
)
from agaterail.engineloads.figures import EngineLoads, NoEngineLoads
from agaterail.gateway.weightsplan import is_cordoned, should_have_loaded

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterator, Sequence

    from agaterail.engineloads.figures import EngineFigures
    from agaterail.gateway.desired import EngineTraits, Route
    from agaterail.gateway.inbound import InboundRequest
    from agaterail.gateway.targets import Target
    from agaterail.gateway.versionhistory import DesiredVersion, VersionHistory

# Engines on outdated weights are ranked lower once the newer version has been desired
# for this long. Before that, they rank like any other engine.
DEPRIORITIZE_AFTER_S = 1.5
# Assumed upper bound on the wait in an engine's queue. A request is not sent if the
# engine's weights would become too old to start it within this time.
MAX_QUEUE_S = 1.5
# A target in another failure domain is about 1 ms away, and traffic between domains is
# billed. The penalty is small enough to act only as a tie-breaker.
CROSS_DOMAIN_MS = 2.0


@attrs.frozen(kw_only=True)
class PlacementRules:
    """Constraints on a choice other than its cost.

    Attributes
    ----------
    domain
        Failure domain of this daemon's host.
    version_s
        Seconds after which outdated weights must not start a request.
    daemons
        Number of daemons that send to the same targets, including this one.
    """

    domain: str
    version_s: float
    daemons: float = 1.0


@attrs.frozen(kw_only=True)
class FleetView:
    """What a daemon knows of a service's engines beyond its own requests.

    Attributes
    ----------
    loads
        Figures of the engines by the other daemons.
    homes
        Hash orders of the service's engines, which the caller refreshes.
    traits
        Properties of the service's engines; None if they are not configured.
    route
        Route of the prompt; None if its objectives are not known.
    is_connected
        Return whether an idle connection to a target can be used.
    role_of
        Return those of the usable engines that take prompts of this length.
    """

    loads: EngineLoads = attrs.field(factory=NoEngineLoads)
    homes: EngineHomes = attrs.field(factory=EngineHomes)
    traits: EngineTraits | None = None
    route: Route | None = None
    is_connected: Callable[[Target], bool] = lambda _target: False
    role_of: Callable[[list[Target]], list[Target]] = lambda usable: usable


@attrs.frozen(kw_only=True)
class Choice:
    """A chosen target and the values behind the choice.

    Attributes
    ----------
    rank
        Position of the target in the hash order of the prompt's shared part.
    preferred
        First target of that order, which most likely has the part cached.
    outdated_by
        Version that made the target's weights outdated; None if they are current.
    relayed
        Whether the target is another daemon, which forwards the request.
    cost
        Parts of the cost; None if it follows from this daemon's own requests alone.
    figures_age_s
        Age of the figures of the target in seconds; None if there were none.
    crowded
        Whether all engines of the service were crowded, which leaves fewer choices.
    """

    target: Target
    cost_ms: float
    relayed: bool = False
    queue_ms: float = 0.0
    rank: int = 0
    preferred: Target | None = None
    weights_version: int | None = None
    outdated_by: DesiredVersion | None = None
    candidates: int = 0
    cost: PlacementCost | None = None
    figures_age_s: float | None = None
    crowded: bool = False


def rank_by_hash(
    key: str,
    targets: Sequence[Target],
    deprioritized: Collection[str] = (),
    homes: EngineHomes | None = None,
) -> list[Target]:
    """Rank targets by weighted rendezvous hashing, in the same order on every daemon."""
    by_name = {item.instance: item for item in targets}
    names = (homes or EngineHomes()).order(key, by_name, frozenset(deprioritized))
    return [by_name[name] for name in names]


def choose_by_hash(key: str, names: Sequence[str]) -> str:
    """Choose one of several names for a key, the same one on every daemon."""
    return max(names, key=lambda name: hash_number(key, name))


def choose_least_loaded(
    targets: Sequence[Target], excluded: Collection[str], rules: PlacementRules, now: float
) -> Choice | None:
    """Return the usable target with the fewest of this daemon's requests."""
    usable = _usable([item for item in targets if item.instance not in excluded], now)
    if not usable:
        return None
    best = min(usable, key=lambda target: _load_cost(target, rules.domain))
    return Choice(
        target=best, cost_ms=_load_cost(best, rules.domain)[0], candidates=len(usable)
    )


def choose_engine(
    inbound: InboundRequest,
    targets: Sequence[Target],
    excluded: Collection[str],
    rules: PlacementRules,
    history: VersionHistory | None,
    now: float,
    view: FleetView | None = None,
) -> Choice | None:
    """Return the engine with the lowest expected cost for a prompt.

    Engines are ranked by a hash of the deepest shared part, so requests with the
    same prefix go to the same engine from every daemon without coordination. The
    first engine has the prefix cached; any other must prefill or fetch it.
    """
    view = view or FleetView()
    allowed, outdated = _by_weights(
        [item for item in targets if item.instance not in excluded],
        inbound.model,
        history,
        rules,
        now,
    )
    usable = _usable(allowed, now)
    # A cordoned engine refuses prompts or soon will.
    usable = [item for item in usable if _accepts_prompts(item, now)] or usable
    if not usable:
        return None
    usable = view.role_of(usable) or usable
    ordered = _rank(inbound, usable, outdated, view.homes)
    choice = _choose_by_figures(inbound, ordered, rules, view)
    choice = choice or _choose_by_own_requests(inbound, ordered, rules)
    held = _expected_weights(choice.target, inbound.model, history, now)
    return attrs.evolve(
        choice,
        preferred=ordered[0],
        weights_version=held,
        outdated_by=None if history is None or held is None else history.first_after(held),
        candidates=len(usable),
    )


def _rank(
    inbound: InboundRequest, usable: list[Target], outdated: set[str], homes: EngineHomes
) -> list[Target]:
    """Return engines in the hash order of a prompt."""
    if inbound.shared_parts:
        return rank_by_hash(inbound.shared_parts[-1].name, usable, outdated, homes)
    if homes.usual is None:
        return usable
    # Without shared parts a prompt has no home, and daemons must not choose the same engines.
    by_name = {item.instance: item for item in usable}
    names = rank_names(inbound.request_id, list(by_name), homes.weight)
    return [by_name[name] for name in names]


def _choose_by_own_requests(
    inbound: InboundRequest, ordered: Sequence[Target], rules: PlacementRules
) -> Choice:
    """Choose among all engines by what this daemon has under way there."""
    shared_tokens = sum(part.tokens for part in inbound.shared_parts)
    best: tuple[float, int, float] | None = None
    for rank, target in enumerate(ordered):
        queue_ms = _queue_ms(target, rules.daemons)
        cost = queue_ms + _domain_ms(target, rules.domain)
        if rank:
            cost += shared_tokens * PREFILL_MS_PER_TOKEN
        if best is None or cost < best[0]:
            best = (cost, rank, queue_ms)
    assert best is not None
    cost, rank, queue_ms = best
    return Choice(target=ordered[rank], cost_ms=cost, queue_ms=queue_ms, rank=rank)


def _choose_by_figures(
    inbound: InboundRequest, ordered: Sequence[Target], rules: PlacementRules, view: FleetView
) -> Choice | None:
    """Choose among the first engines by the fleet's figures; None if there are none."""
    usual = view.homes.usual
    if usual is None:
        return None
    seen: list[EngineFigures | None] = []

    def candidates() -> Iterator[Candidate]:
        for rank, target in enumerate(ordered):
            seen.append(view.loads.figures(target.instance))
            yield _candidate(rank, target, seen[-1], rules, view)

    prompt = _prompt_load(inbound, view)
    rank, cost = choose_candidate(prompt, candidates(), usual)
    if all(figures is None for figures in seen):
        return None
    figures = seen[rank]
    return Choice(
        target=ordered[rank],
        cost_ms=cost.total_ms,
        queue_ms=cost.queue_ms,
        rank=rank,
        cost=cost,
        figures_age_s=None if figures is None else figures.age_s,
        crowded=is_crowded(prompt, usual),
    )


def _candidate(
    rank: int,
    target: Target,
    figures: EngineFigures | None,
    rules: PlacementRules,
    view: FleetView,
) -> Candidate:
    traits = view.traits
    return Candidate(
        rank=rank,
        prefill_tokens=target.prefill_tokens,
        streams=target.in_flight,
        kv_tokens=target.kv_tokens,
        figures=figures,
        slots=0 if traits is None else traits.slots,
        kv_capacity=0 if traits is None else traits.kv_tokens,
        domain_ms=_domain_ms(target, rules.domain),
        is_connected=view.is_connected(target),
    )


def _prompt_load(inbound: InboundRequest, view: FleetView) -> PromptLoad:
    shared_tokens = sum(part.tokens for part in inbound.shared_parts)
    route = view.route
    load = PromptLoad(
        shared_tokens=shared_tokens,
        own_tokens=max(0, inbound.prompt_tokens - shared_tokens),
        output_tokens=inbound.output_tokens,
    )
    if route is None:
        return load
    return attrs.evolve(
        load,
        new_fraction=view.homes.new_fractions.get(route.name, 0.0),
        gap_objective_s=route.gap_objective_s,
        objective_s=route.objective_s,
    )


def _usable(targets: Sequence[Target], now: float) -> list[Target]:
    """Return the usable targets, or those that only refuse if there is no other.

    A full engine accepts requests again within tens of milliseconds. If all are paused,
    one more refusal costs less than a failed request. A target that asked for rest or is
    over its limit is left alone even so.
    """
    usable = [item for item in targets if item.is_usable(now)]
    return usable or [item for item in targets if item.is_only_refusing(now)]


def _by_weights(
    targets: Sequence[Target],
    model: str,
    history: VersionHistory | None,
    rules: PlacementRules,
    now: float,
) -> tuple[list[Target], set[str]]:
    """Return the targets whose weights may start a request, and which rank lower."""
    allowed, outdated = [], set()
    # Engines hold few different versions.
    known: dict[int | None, tuple[bool, bool]] = {}
    for target in targets:
        held = _expected_weights(target, model, history, now)
        if held not in known:
            known[held] = _judge_weights(held, model, history, rules, now)
        is_allowed, is_deprioritized = known[held]
        if is_allowed:
            allowed.append(target)
            if is_deprioritized:
                outdated.add(target.instance)
    return allowed, outdated


def _judge_weights(
    held: int | None,
    model: str,
    history: VersionHistory | None,
    rules: PlacementRules,
    now: float,
) -> tuple[bool, bool]:
    """Return whether weights may start a request, and whether they rank lower."""
    if held is None:
        return not model, False
    outdated_for = None if history is None else history.outdated_for_s(held, now)
    if outdated_for is None:
        return True, False
    return (
        outdated_for < rules.version_s - MAX_QUEUE_S,
        outdated_for >= DEPRIORITIZE_AFTER_S,
    )


def _accepts_prompts(target: Target, now: float) -> bool:
    return not is_cordoned(target, now) or should_have_loaded(target, now)


def _expected_weights(
    target: Target, model: str, history: VersionHistory | None, now: float
) -> int | None:
    held = target.weights_of(model)
    if history is None or held is None or not should_have_loaded(target, now):
        return held
    return max(held, history.newest)


def _queue_ms(target: Target, daemons: float) -> float:
    # Assume that each of the other daemons sends about as much as this one.
    prefill = target.prefill_tokens * PREFILL_MS_PER_TOKEN
    return (prefill + target.in_flight * DECODE_SLOWDOWN_MS) * daemons


def _domain_ms(target: Target, domain: str) -> float:
    return 0.0 if target.registration.domain == domain else CROSS_DOMAIN_MS


def _load_cost(target: Target, domain: str) -> tuple[float, float]:
    return target.in_flight + 0.5 * (target.registration.domain != domain), target.failures
