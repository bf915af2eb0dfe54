"""Request rates of prefixes, and the number of engines that a hot one may use."""

from __future__ import annotations

import attrs

HALF_LIFE_S = 5.0
MAX_KEYS = 4096
REPLICA_RATE_PER_S = 8.0
SHRINK_FACTOR = 0.5
MAX_EXTRA_REPLICAS = 8


@attrs.define
class KeyRate:
    """Decaying request rate of one key and the extra replicas granted for it."""

    rate_per_s: float = 0.0
    seen_at: float = 0.0
    extra_replicas: int = 0


class HotKeyTracker:
    """Estimates request rates over all daemons, with exponential decay.

    Attributes
    ----------
    members
        Number of daemons. Traffic is assumed to be spread evenly over them, so
        the local rate is multiplied by this number.
    """

    def __init__(
        self, replica_rate_per_s: float = REPLICA_RATE_PER_S, max_keys: int = MAX_KEYS
    ) -> None:
        self.replica_rate_per_s = replica_rate_per_s
        self.max_keys = max_keys
        self.members = 1
        self.keys: dict[bytes, KeyRate] = {}

    def on_request(self, key: bytes, now: float) -> int:
        """Count a request and return the number of extra engines for its key."""
        key_rate = self.keys.get(key)
        if key_rate is None:
            self._evict_coldest(now)
            key_rate = self.keys[key] = KeyRate(seen_at=now)
        key_rate.rate_per_s = self._rate(key_rate, now) + self._rate_increment()
        key_rate.seen_at = now
        key_rate.extra_replicas = self._extra_replicas(key_rate)
        return key_rate.extra_replicas

    def rate_per_s(self, key: bytes, now: float) -> float:
        """Return the rate of a key over all daemons."""
        key_rate = self.keys.get(key)
        return 0.0 if key_rate is None else self._rate(key_rate, now) * self.members

    def _extra_replicas(self, key_rate: KeyRate) -> int:
        rate = key_rate.rate_per_s * self.members
        replicas = min(MAX_EXTRA_REPLICAS, int(rate / self.replica_rate_per_s))
        if replicas >= key_rate.extra_replicas:
            return replicas
        # Hysteresis: between the two thresholds the number stays as it is. Each
        # change of the candidates costs a recomputation, and a rate close to a
        # single threshold would make the number flap.
        shrunk_replicas = min(
            MAX_EXTRA_REPLICAS, int(rate / (self.replica_rate_per_s * SHRINK_FACTOR))
        )
        return min(key_rate.extra_replicas, shrunk_replicas)

    def _rate(self, key_rate: KeyRate, now: float) -> float:
        return key_rate.rate_per_s * 0.5 ** ((now - key_rate.seen_at) / HALF_LIFE_S)

    def _rate_increment(self) -> float:
        # ln(2) / half-life: a steady stream of r requests per second converges
        # to a rate of r.
        return 0.6931 / HALF_LIFE_S

    def _evict_coldest(self, now: float) -> None:
        if len(self.keys) < self.max_keys:
            return
        by_rate = sorted(self.keys, key=lambda key: self._rate(self.keys[key], now))
        for key in by_rate[: self.max_keys // 4]:
            del self.keys[key]
