"""Compute the block keys of the prompt of a chat completion."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agaterail.filters import Filter
from agaterail.prefix import ByteTokenizer, Scope, compute_prefix

if TYPE_CHECKING:
    from returns.result import Result

    from agaterail import errors
    from agaterail.application import Application
    from agaterail.exchange import Exchange, Reply
    from agaterail.filters import Proceed
    from agaterail.prefix import Prefix


class PrefixFilter(Filter):
    """Computes the block keys that placement and the engines use."""

    order = 400

    def handle(self, exchange: Exchange, proceed: Proceed) -> Result[Reply, errors.Failure]:
        """Compute the block keys and proceed."""
        if (
            exchange.chat is not None
            and exchange.route is not None
            and exchange.pool is not None
        ):
            assign_prefix(exchange, exchange.pool.weights_version)
        return proceed(exchange)


def assign_prefix(exchange: Exchange, weights_version: str) -> None:
    """Set the scope and the prefix of a request for a weights version.

    During a rollout, engines of one pool serve two versions. Blocks computed with the
    older weights must not be found under keys of the newer ones, so the scope uses the
    version of the target and not that of the pool's row.
    """
    assert exchange.route is not None and exchange.pool is not None
    assert exchange.chat is not None
    exchange.scope = Scope(
        exchange.route.workspace, exchange.pool.model, exchange.chat.adapter, weights_version
    )
    exchange.prefix = prefix_for_scope(exchange, exchange.scope)


def prefix_for_scope(exchange: Exchange, scope: Scope) -> Prefix:
    """Return the prefix of the prompt, with the block keys of a scope."""
    assert exchange.pool is not None and exchange.chat is not None
    pool = exchange.pool
    return compute_prefix(
        scope, exchange.chat.messages, ByteTokenizer(pool.token_bytes), pool.block_tokens
    )


def setup(app: Application) -> None:
    """Register the filter."""
    app.add_filter(PrefixFilter())
