"""Name the prefix of a chat completion."""

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
        """Name the prefix and proceed."""
        if (
            exchange.chat is not None
            and exchange.route is not None
            and exchange.pool is not None
        ):
            assign_prefix(exchange, exchange.pool.weights_version)
        return proceed(exchange)


def assign_prefix(exchange: Exchange, weights_version: str) -> None:
    """Name the prompt in the scope of some weights.

    While a rollout runs, engines of one pool serve two versions. Blocks that
    the older weights computed must not be found under the newer ones' keys, so
    the scope is that of the target, not of the pool's row.
    """
    assert exchange.route is not None and exchange.pool is not None
    assert exchange.chat is not None
    exchange.scope = Scope(
        exchange.route.workspace, exchange.pool.model, exchange.chat.adapter, weights_version
    )
    exchange.prefix = prefix_for_scope(exchange, exchange.scope)


def prefix_for_scope(exchange: Exchange, scope: Scope) -> Prefix:
    """Return the prompt's prefix as it is named in a scope."""
    assert exchange.pool is not None and exchange.chat is not None
    pool = exchange.pool
    return compute_prefix(
        scope, exchange.chat.messages, ByteTokenizer(pool.token_bytes), pool.block_tokens
    )


def setup(app: Application) -> None:
    """Register the filter."""
    app.add_filter(PrefixFilter())
