"""Which prompts are worth a transfer of cached parts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from agaterail.gateway.inbound import Inbound

# Reading so many tokens again takes some 8 ms; asking a store that has nothing
# takes one, and its link is shared by all engines.
LEAST_KEPT_TOKENS = 512


def is_worth_keeping(inbound: Inbound) -> bool:
    """Tell whether the shared parts are long enough to be fetched and saved."""
    return sum(part.tokens for part in inbound.shared_parts) >= LEAST_KEPT_TOKENS
