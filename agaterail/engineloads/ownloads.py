"""What this daemon itself observes of the engines."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from agaterail.decisions.engineloads import HEARD_LATELY_S, EngineRow
from agaterail.gateway.targets import Target

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# Events that arrive closer together were held back on their way.
MIN_STEP_S = 0.001


class OwnEngineLoads:
    """Samples of decode steps, and rows of this daemon's report.

    Attributes
    ----------
    active
        Whether reports are sent; otherwise no samples are kept.
    waiting_s
        Returns for how long an engine has been silent to this daemon.
    """

    def __init__(self) -> None:
        self.active = False
        self.waiting_s: Callable[[Target, float], float] = Target.waiting_s

    def record_step(
        self, target: Target, seconds: float, events: int, max_pause_s: float
    ) -> None:
        """Record the time between two reads of events of one stream.

        Parameters
        ----------
        events
            Events that arrived with the second read.
        max_pause_s
            Longest pause that the route allows. A longer one says little about the pace of
            decoding; 0 for no bound.
        """
        if not self.active or not events or (0.0 < max_pause_s < seconds):
            return
        step_s = seconds / events
        if step_s >= MIN_STEP_S:
            target.steps += 1
            target.sum_log_step_s += math.log(step_s)

    def take_rows(self, targets: Iterable[Target], now: float) -> tuple[EngineRow, ...]:
        """Return a row for each engine of which there is something to tell."""
        rows = []
        for target in targets:
            heard_s, waiting_s = now - target.data_at, self.waiting_s(target, now)
            steps, sum_log_s = target.take_steps()
            if not (target.in_flight or steps or waiting_s or heard_s <= HEARD_LATELY_S):
                continue
            row = EngineRow(
                instance=target.instance,
                start=target.start,
                streams=target.in_flight,
                prefill_tokens=target.prefill_tokens,
                kv_tokens=target.kv_tokens,
                heard_s=heard_s,
                waiting_s=waiting_s,
                steps=steps,
                sum_log_s=sum_log_s,
            )
            rows.append(row)
        return tuple(rows)
