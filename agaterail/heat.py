"""How often each prefix is asked for, and how many engines it should have."""

from __future__ import annotations

import attrs

HALF_LIFE_S = 5.0
MAX_KEYS = 4096
WIDEN_PER_S = 8.0
NARROW_FACTOR = 0.5
MAX_EXTRA = 8


@attrs.define
class KeyHeat:
    """Decayed request rate of one key and the replicas granted for it."""

    rate_per_s: float = 0.0
    seen_at: float = 0.0
    extra: int = 0


class Heat:
    """Request rates that decay with a half-life, over all daemons.

    Attributes
    ----------
    members
        Daemons that share the traffic evenly; each sees one part of a rate.
    """

    def __init__(self, widen_per_s: float = WIDEN_PER_S, max_keys: int = MAX_KEYS) -> None:
        self.widen_per_s = widen_per_s
        self.max_keys = max_keys
        self.members = 1
        self.keys: dict[bytes, KeyHeat] = {}

    def on_request(self, key: bytes, now: float) -> int:
        """Count a request and return how many engines more its key may use."""
        heat = self.keys.get(key)
        if heat is None:
            self._make_room(now)
            heat = self.keys[key] = KeyHeat(seen_at=now)
        heat.rate_per_s = self._rate(heat, now) + self._gain()
        heat.seen_at = now
        heat.extra = self._extra(heat)
        return heat.extra

    def rate_per_s(self, key: bytes, now: float) -> float:
        """Return the rate of a key over all daemons."""
        heat = self.keys.get(key)
        return 0.0 if heat is None else self._rate(heat, now) * self.members

    def _extra(self, heat: KeyHeat) -> int:
        rate = heat.rate_per_s * self.members
        most = min(MAX_EXTRA, int(rate / self.widen_per_s))
        if most >= heat.extra:
            return most
        # Between the two limits nothing changes: each change of the list costs
        # a recomputation, and a rate near one limit would flap.
        least = min(MAX_EXTRA, int(rate / (self.widen_per_s * NARROW_FACTOR)))
        return min(heat.extra, least)

    def _rate(self, heat: KeyHeat, now: float) -> float:
        return heat.rate_per_s * 0.5 ** ((now - heat.seen_at) / HALF_LIFE_S)

    def _gain(self) -> float:
        # A steady stream of r requests a second settles at a rate of r.
        return 0.6931 / HALF_LIFE_S

    def _make_room(self, now: float) -> None:
        if len(self.keys) < self.max_keys:
            return
        by_rate = sorted(self.keys, key=lambda key: self._rate(self.keys[key], now))
        for key in by_rate[: self.max_keys // 4]:
            del self.keys[key]
