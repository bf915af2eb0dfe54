"""Cache directives that an engine gets with a prompt."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from agaterail.decisions import cachepool
from agaterail.gateway.inbound import normalize_part_name
from agaterail.gateway.kvstoreindex import SaveQuery
from agaterail.gateway.placement import choose_by_hash
from agaterail.gateway.requestcontext import priority_pair, urgency_of

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from agaterail.gateway.desired import KvStoreSpec
    from agaterail.gateway.placement import Choice
    from agaterail.gateway.requestcontext import RequestContext


@attrs.frozen(kw_only=True)
class CacheDirectives:
    """Cache directives of one attempt.

    Attributes
    ----------
    cache_scope
        Cached parts are shared only within a scope. It names the weights, and either the
        pool or the workspace that shares with no other one.
    weights_version
        Version that must answer; None for any.
    priority
        From 0, the highest, to 9; None for the engine's default.
    fetch_from, save_to
        KV store to fetch from and to save to; empty for none.
    """

    cache_scope: str = ""
    weights_version: int | None = None
    priority: int | None = None
    fetch_from: str = ""
    save_to: str = ""


def cache_directives(
    context: RequestContext,
    choice: Choice,
    stores: Sequence[KvStoreSpec],
    should_save: Callable[[SaveQuery], bool],
    priorities: Mapping[tuple[int, int], int] | None = None,
    *,
    owner: str,
    epoch: int | None,
) -> CacheDirectives:
    """Return the cache directives for the chosen engine.

    The KV store is chosen by a hash of the deepest shared part, so all daemons look for
    a prompt in the same store.

    Parameters
    ----------
    priorities
        Priorities for engines by the effective priority and that of the route; the
        effective one where they have none.
    owner
        Workspace whose request it is; empty if there is none.
    epoch
        Epoch of the pool that the request uses; None if it shares with no other workspace.
    """
    if not context.route.prompted:
        return CacheDirectives()
    version = choice.weights_version
    directives = CacheDirectives(
        cache_scope=cachepool.private_scope(version, owner)
        if epoch is None
        else cachepool.pool_scope(version, epoch),
        weights_version=version,
        priority=(priorities or {}).get(priority_pair(context), urgency_of(context)),
    )
    shared = [normalize_part_name(part.name) for part in context.inbound.shared_parts]
    if not stores or not shared or version is None:
        return directives
    store = choose_by_hash(shared[-1], [spec.address for spec in stores])
    save_query = SaveQuery(store=store, scope=directives.cache_scope, parts=shared)
    return attrs.evolve(
        directives, fetch_from=store, save_to=store if should_save(save_query) else ""
    )
