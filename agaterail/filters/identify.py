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
    """Identifies the caller by a digest; the API key itself is not forwarded."""

    order = 100

    def handle(self, exchange: Exchange, proceed: Proceed) -> Result[Reply, errors.Failure]:
        """Reject a request without an API key."""
        exchange.caller = caller_of(exchange.headers.get("authorization", ""))
        if not exchange.caller:
            return Failure(errors.Failure(errors.ErrorKind.UNAUTHENTICATED))
        return proceed(exchange)


def caller_of(header: str) -> str:
    """Return the digest of a bearer token, or an empty string without one.

    Keys are looked up by digest only, so that the timing of a comparison reveals
    nothing about a key.
    """
    if header[: len(SCHEME)].lower() != SCHEME:
        return ""
    return digest_of(header[len(SCHEME) :].strip())


def digest_of(api_key: str) -> str:
    """Return the digest by which a route lists a caller."""
    return sha256(api_key.encode("utf-8", "surrogateescape")).hexdigest()


def setup(app: Application) -> None:
    """Register the filter."""
    app.add_filter(IdentifyFilter())
