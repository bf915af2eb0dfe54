"""Identify the caller by its API key."""

from __future__ import annotations

from hashlib import sha256
from typing import TYPE_CHECKING

from returns.result import Failure, Result

from agaterail import errors
from agaterail.filters import Filter

if TYPE_CHECKING:
    from agaterail.application import Application
    from agaterail.exchange import Exchange, Reply
    from agaterail.filters import Proceed

SCHEME = "bearer "


class IdentifyFilter(Filter):
    """Replaces the API key by its digest; the key itself goes no further."""

    order = 100

    def handle(self, exchange: Exchange, proceed: Proceed) -> Result[Reply, errors.Failure]:
        """Refuse a request without a key."""
        header = exchange.headers.get("authorization", "")
        if not header.lower().startswith(SCHEME):
            return Failure(errors.Failure(errors.ErrorKind.UNAUTHENTICATED))
        exchange.caller = digest_of(header[len(SCHEME) :].strip())
        return proceed(exchange)


def digest_of(api_key: str) -> str:
    """Return the digest that a route names a caller by."""
    return sha256(api_key.encode("utf-8", "surrogateescape")).hexdigest()


def setup(app: Application) -> None:
    """Register the filter."""
    app.add_filter(IdentifyFilter())
