"""What an engine is told of cached parts with a prompt."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from agaterail.gateway.inbound import normalize_part_name
from agaterail.gateway.keptparts import SaveQuestion
from agaterail.gateway.placement import choose_by_hash

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from agaterail.gateway.desired import KvStoreSpec
    from agaterail.gateway.placement import Choice
    from agaterail.gateway.requestcontext import RequestContext

LEAST_URGENT = 9


@attrs.frozen(kw_only=True)
class CacheTerms:
    """Terms of one attempt.

    Attributes
    ----------
    cache_scope
        Requests with other scopes share no cached parts: it names the weights, and
        the workspace where that is isolated.
    weights_version
        Weights that must answer; None for any.
    priority
        0 is first, 9 last; None leaves the engine's default.
    fetch_from, save_to
        Kept store that the engine fetches from and saves to; empty for neither.
    """

    cache_scope: str = ""
    weights_version: int | None = None
    priority: int | None = None
    fetch_from: str = ""
    save_to: str = ""


def cache_terms(
    context: RequestContext,
    choice: Choice,
    stores: Sequence[KvStoreSpec],
    should_save: Callable[[SaveQuestion], bool],
) -> CacheTerms:
    """Return what the chosen engine is told of cached parts.

    A prompt's deepest shared part names the store that keeps it, so that all daemons
    look in the same one.
    """
    if not context.route.prompted:
        return CacheTerms()
    version = choice.weights_version
    terms = CacheTerms(
        cache_scope=_scope(context, version),
        weights_version=version,
        priority=_priority(context),
    )
    shared = [normalize_part_name(part.name) for part in context.inbound.shared_parts]
    if not stores or not shared or version is None:
        return terms
    store = choose_by_hash(shared[-1], [spec.address for spec in stores])
    question = SaveQuestion(store=store, scope=terms.cache_scope, parts=shared)
    return attrs.evolve(
        terms, fetch_from=store, save_to=store if should_save(question) else ""
    )


def _scope(context: RequestContext, version: int | None) -> str:
    scope = "" if version is None else f"v{version}"
    if context.workspace is not None and context.workspace.isolated:
        scope += f".{context.workspace.name}"
    return scope


def _priority(context: RequestContext) -> int:
    own = context.route.priority if context.workspace is None else context.workspace.priority
    priority = context.route.priority if own is None else own
    return max(0, min(LEAST_URGENT, priority))
