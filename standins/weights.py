"""Stand-in for the rate-limited weight store."""

from __future__ import annotations

import attrs
import gevent

from standins.base import Answer, Call, StandIn, json_answer


@attrs.define
class WeightFaults:
    """Faults that can be configured; more than two concurrent loads slow each other."""

    down: bool = False
    load_ms: int = 2000
    missing_versions: str = ""


class WeightsStandIn(StandIn):
    """Weight store whose loads only wait for the configured time."""

    def __init__(self) -> None:
        super().__init__(WeightFaults())
        self.faults: WeightFaults
        self.loading = 0
        self.max_concurrent_loads = 0
        self.paths["/weights"] = self._weights
        self.paths["/stats"] = lambda _call: json_answer(
            {"most_loading": self.max_concurrent_loads}
        )

    def _weights(self, call: Call) -> Answer:
        if self.faults.down:
            return Answer(503)
        if call.query.get("version", "") in self.faults.missing_versions.split(","):
            return Answer(404)
        self.loading += 1
        self.max_concurrent_loads = max(self.max_concurrent_loads, self.loading)
        try:
            gevent.sleep(self.faults.load_ms / 1e3 * max(1.0, self.loading / 2))
        finally:
            self.loading -= 1
        return json_answer({})
