"""Name the prefix of a chat completion."""

from __future__ import annotations

from typing import TYPE_CHECKING

from agaterail.filters import Filter
from agaterail.prefix import ByteTokenizer, Scope, name_prefix

if TYPE_CHECKING:
    from returns.result import Result

    from agaterail import errors
    from agaterail.application import Application
    from agaterail.exchange import Exchange, Reply
    from agaterail.filters import Proceed


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
            pool = exchange.pool
            exchange.scope = Scope(
                exchange.route.workspace,
                pool.model,
                exchange.chat.adapter,
                pool.weights_version,
            )
            exchange.prefix = name_prefix(
                exchange.scope,
                exchange.chat.messages,
                ByteTokenizer(pool.token_bytes),
                pool.block_tokens,
            )
        return proceed(exchange)


def setup(app: Application) -> None:
    """Register the filter."""
    app.add_filter(PrefixFilter())
