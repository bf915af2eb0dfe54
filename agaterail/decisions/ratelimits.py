"""Limits that targets name for the requests of all daemons together."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class RateLimit:
    """A limit that a target names in its answers.

    Attributes
    ----------
    rate_per_s
        Requests per second from all daemons together.
    since
        Time at which this daemon first heard of a limit.
    heard_at
        Time at which the limit was last named.
    """

    rate_per_s: float
    since: float
    heard_at: float


def updated_limit(
    known: RateLimit | None, named_per_s: float | None, sent_at: float, now: float
) -> RateLimit | None:
    """Return the limit in force after an answer that names a limit or none.

    Answers on different connections overtake each other. An answer without a limit
    therefore ends a limit only if its request was sent after the limit was last named.

    Parameters
    ----------
    named_per_s
        Limit that the answer names; None if it names none.
    sent_at
        Time at which the request of the answer was sent.
    """
    if named_per_s is not None:
        since = now if known is None else known.since
        return RateLimit(rate_per_s=named_per_s, since=since, heard_at=now)
    if known is not None and sent_at <= known.heard_at:
        return known
    return None
