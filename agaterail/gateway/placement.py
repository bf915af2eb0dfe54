"""Choose the target of a request by the cost that it would have there."""

from __future__ import annotations

import math
from hashlib import blake2b
from typing import TYPE_CHECKING

import attrs

from agaterail.gateway.weightsplan import is_cordoned, should_have_loaded

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from agaterail.gateway.inbound import InboundRequest
    from agaterail.gateway.namedweights import NamedVersion, NamedWeights
    from agaterail.gateway.targets import Target

# Weights that are older than the newest named ones lose worth from this age of
# the name on; before it an engine with the older ones is as good as any.
OLD_WEIGHTS_AFTER_S = 1.5
# Part of its requests that an engine on older weights keeps. The first engines on the
# newest weights have empty caches; were all requests sent to them, most would be late,
# which costs more than older weights.
OLD_WEIGHTS_SHARE = 0.6
# Milliseconds to prefill a token, as long as nothing was measured: within a
# factor of two for the engines in use, and only the order of costs matters.
PREFILL_MS_PER_TOKEN = 0.016
# A request may wait so long at an engine before it begins there.
QUEUED_S = 1.5
# One request in decode slows each step of the others a little.
RUNNING_MS = 1.0
# A target in another failure domain is a millisecond away and bytes between
# domains are paid for; this only breaks ties.
OTHER_DOMAIN_MS = 2.0
HASH_BYTES = 6


@attrs.frozen(kw_only=True)
class PlacementRules:
    """What bounds a choice beside its cost.

    Attributes
    ----------
    domain
        Failure domain of this daemon's host.
    version_s
        Seconds after which older weights must not begin a request.
    daemons
        Daemons that send to the same targets, this one included.
    """

    domain: str
    version_s: float
    daemons: float = 1.0


@attrs.frozen(kw_only=True)
class Choice:
    """The chosen target and what decided.

    Attributes
    ----------
    rank
        Place of the target in the hash order of the prompt's shared part.
    home
        First target of that order; it probably holds the part.
    outdated_by
        Version that made the target's weights outdated; None if they are not.
    """

    target: Target
    cost_ms: float
    queue_ms: float = 0.0
    rank: int = 0
    home: Target | None = None
    weights_version: int | None = None
    outdated_by: NamedVersion | None = None
    candidates: int = 0


def hash_order(key: str, targets: Sequence[Target], old: Collection[str] = ()) -> list[Target]:
    """Return targets by weighted rendezvous hashing, the same order on every daemon."""

    def score(target: Target) -> float:
        share = OLD_WEIGHTS_SHARE if target.instance in old else 1.0
        return -share / math.log(_hash_number(key, target.instance))

    return sorted(targets, key=score, reverse=True)


def choose_by_hash(key: str, names: Sequence[str]) -> str:
    """Return one of several names for a key, the same on every daemon."""
    return max(names, key=lambda name: _hash_number(key, name))


def choose_plain(
    targets: Sequence[Target], excluded: Collection[str], rules: PlacementRules, now: float
) -> Choice | None:
    """Return the usable target with the least of this daemon's requests."""
    usable = [
        target
        for target in targets
        if target.instance not in excluded and target.is_usable(now)
    ]
    if not usable:
        return None
    best = min(usable, key=lambda target: _plain_cost(target, rules.domain))
    return Choice(
        target=best, cost_ms=_plain_cost(best, rules.domain)[0], candidates=len(usable)
    )


def choose_engine(
    inbound: InboundRequest,
    targets: Sequence[Target],
    excluded: Collection[str],
    rules: PlacementRules,
    named: NamedWeights | None,
    now: float,
) -> Choice | None:
    """Return the engine with the lowest expected cost for a prompt.

    Engines are ranked by a hash of the deepest shared part, so that requests
    with one prefix meet at one engine from every daemon without a word between
    them. The first holds the prefix; another must read it again, or fetch it.
    """
    usable = [
        target
        for target in targets
        if target.instance not in excluded
        and target.is_usable(now)
        and _may_begin(target, inbound.model, named, rules, now)
    ]
    # An engine that is next to load weights refuses or soon will.
    usable = [item for item in usable if _takes_prompts(item, now)] or usable
    if not usable:
        return None
    shared = inbound.shared_parts
    old = {item.instance for item in usable if _is_old(item, inbound.model, named, now)}
    ordered = hash_order(shared[-1].name, usable, old) if shared else usable
    shared_tokens = sum(part.tokens for part in shared)
    best: tuple[float, int, float] | None = None
    for rank, target in enumerate(ordered):
        queue_ms = _queue_ms(target, rules.daemons)
        cost = queue_ms + _domain_ms(target, rules.domain)
        if shared and rank:
            cost += shared_tokens * PREFILL_MS_PER_TOKEN
        if best is None or cost < best[0]:
            best = (cost, rank, queue_ms)
    assert best is not None
    cost, rank, queue_ms = best
    target = ordered[rank]
    held = _expected_weights(target, inbound.model, named, now)
    return Choice(
        target=target,
        cost_ms=cost,
        queue_ms=queue_ms,
        rank=rank,
        home=ordered[0],
        weights_version=held,
        outdated_by=None if named is None or held is None else named.first_after(held),
        candidates=len(usable),
    )


def _may_begin(
    target: Target, model: str, named: NamedWeights | None, rules: PlacementRules, now: float
) -> bool:
    held = _expected_weights(target, model, named, now)
    if held is None:
        return not model
    outdated_for = None if named is None else named.outdated_for_s(held, now)
    return outdated_for is None or outdated_for < rules.version_s - QUEUED_S


def _takes_prompts(target: Target, now: float) -> bool:
    return not is_cordoned(target, now) or should_have_loaded(target, now)


def _expected_weights(
    target: Target, model: str, named: NamedWeights | None, now: float
) -> int | None:
    held = target.weights_of(model)
    if named is None or held is None or not should_have_loaded(target, now):
        return held
    return max(held, named.newest)


def _is_old(target: Target, model: str, named: NamedWeights | None, now: float) -> bool:
    held = _expected_weights(target, model, named, now)
    if named is None or held is None:
        return False
    outdated_for = named.outdated_for_s(held, now)
    return outdated_for is not None and outdated_for >= OLD_WEIGHTS_AFTER_S


def _queue_ms(target: Target, daemons: float) -> float:
    # The other daemons send about as much as this one does.
    prefill = target.prefill_tokens * PREFILL_MS_PER_TOKEN
    return (prefill + target.in_flight * RUNNING_MS) * daemons


def _domain_ms(target: Target, domain: str) -> float:
    return 0.0 if target.entry.domain == domain else OTHER_DOMAIN_MS


def _plain_cost(target: Target, domain: str) -> tuple[float, float]:
    return target.in_flight + 0.5 * (target.entry.domain != domain), target.failures


def _hash_number(key: str, name: str) -> float:
    """Return a number between 0 and 1, both left out."""
    digest = blake2b(f"{key} {name}".encode(), digest_size=HASH_BYTES).digest()
    return (int.from_bytes(digest, "big") + 1) / (2 ** (8 * HASH_BYTES) + 1)
