"""Settings of one host as its platform gives them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from agaterail.gateway.retrybudget import BudgetTerms
    from agaterail.util.address import Address


@attrs.frozen(kw_only=True)
class Bounds:
    """Times and counts that the users' deployment sets.

    Attributes
    ----------
    config_s
        Seconds within which a new desired state is in force.
    revoke_s
        Seconds after which a key that was taken away is not accepted; None if
        keys need no fresh reading.
    drain_s
        Seconds after which a leaving target gets nothing new.
    grace_s
        Seconds from SIGTERM to SIGKILL.
    lease_s
        Seconds that must lie between the orders of two hosts.
    version_s
        Seconds after which older weights must not begin a request.
    clock_skew_s
        Largest error of a host's time of day in seconds.
    fenced
        Engines refuse orders with an old fencing number.
    """

    config_s: float
    revoke_s: float | None
    drain_s: float
    grace_s: float
    lease_s: float
    version_s: float
    fenced: bool
    retries: BudgetTerms
    clock_skew_s: float = 5.0


@attrs.frozen(kw_only=True)
class StoreSettings:
    """The platform's store and its figures."""

    address: Address
    parts: int
    member_ttl_min_s: float


@attrs.frozen(kw_only=True)
class HostSettings:
    """Where a daemon listens, where it runs and what it must keep to."""

    host: str
    ip: str
    domain: str
    caller_listen: Address
    ready_listen: Address
    memory_mb: float
    max_descriptors: int
    peer_ports: tuple[int, int]
    heartbeat_s: float
    bounds: Bounds
    store: StoreSettings
    link_mbps: float = 0.0
