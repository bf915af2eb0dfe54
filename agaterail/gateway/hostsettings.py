"""Settings of one host, as its platform provides them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from agaterail.decisions.allowances import Tolerance

if TYPE_CHECKING:
    from agaterail.gateway.retrybudget import RetryBudgetLimits
    from agaterail.util.address import Address

DEFAULT_TOLERANCE = Tolerance(window_s=1.0)


@attrs.frozen(kw_only=True)
class Bounds:
    """Time bounds and limits that the deployment sets.

    Attributes
    ----------
    config_s
        Seconds within which a new desired state must be in force.
    revoke_s
        Seconds after which a revoked key must not be accepted; None if keys may be
        accepted on a reading of any age.
    drain_s
        Seconds after which a draining target gets no new requests.
    grace_s
        Seconds from SIGTERM to SIGKILL.
    lease_s
        Shortest time in seconds between orders of different hosts.
    version_s
        Seconds after which requests must not start on outdated weights.
    fenced
        Whether engines refuse orders with an old fencing number.
    allowances
        How far the fleet may exceed a workspace's allowance.
    clock_skew_s
        Largest error of a host's time of day in seconds.
    """

    config_s: float
    revoke_s: float | None
    drain_s: float
    grace_s: float
    lease_s: float
    version_s: float
    fenced: bool
    retries: RetryBudgetLimits
    clock_skew_s: float = 5.0
    allowances: Tolerance = DEFAULT_TOLERANCE


@attrs.frozen(kw_only=True)
class StoreSettings:
    """Address and parameters of the platform's store."""

    address: Address
    parts: int
    member_ttl_min_s: float


@attrs.frozen(kw_only=True)
class HostSettings:
    """Addresses, location and limits of one daemon."""

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
