"""When a request that is kept away from targets is tried again."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from agaterail.decisions.crashevidence import MIN_CRASHES

if TYPE_CHECKING:
    import random

FIRST_PAUSE_S = 30.0
MAX_PAUSE_S = 600.0  # each crash beyond those of a verdict doubles the pause
# Daemons try at different times, as the first trial decides for all of them. It shows
# within half a second whether the target ends.
SPREAD_PER_DAEMON_S = 1.0
MAX_SPREAD_S = 60.0
# A trial whose outcome is not known by then is followed by another.
TRIAL_S = 5.0
MIN_RETRY_AFTER_S = 1.0


def pause_s(crashes: int) -> float:
    """Return for how long a request is kept away after so many crashes."""
    doublings = min(10, max(0, crashes - MIN_CRASHES))
    return min(MAX_PAUSE_S, FIRST_PAUSE_S * 2.0**doublings)


@attrs.define
class _Trial:
    """When a request may be tried, and until when it is being tried."""

    opens_at: float
    ends_at: float = -math.inf


class Trials:
    """The requests that are kept away, and when this daemon lets one of each pass.

    Attributes
    ----------
    trials
        Next or running trial by the key of the request.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.trials: dict[str, _Trial] = {}

    def schedule(
        self, key: str, crashes: int, age_s: float, daemons: float, now: float
    ) -> None:
        """Keep a request away for a time that began before.

        Parameters
        ----------
        age_s
            Seconds since it was decided.
        """
        spread_s = min(MAX_SPREAD_S, SPREAD_PER_DAEMON_S * daemons)
        left_s = max(0.0, pause_s(crashes) - max(0.0, age_s))
        self.trials[key] = _Trial(now + left_s + spread_s * self.rng.random())

    def cancel(self, key: str) -> None:
        """Forget a request that is no longer kept away."""
        self.trials.pop(key, None)

    def wait_s(self, key: str, now: float) -> float:
        """Return the seconds until a request may be tried; 0 if it may be now."""
        trial = self.trials.get(key)
        if trial is None:
            return 0.0
        left_s = max(trial.opens_at, trial.ends_at) - now
        return max(MIN_RETRY_AFTER_S, left_s) if left_s > 0.0 else 0.0

    def begin(self, key: str, now: float) -> None:
        """Begin a trial, during which no other request with the key passes."""
        trial = self.trials.get(key)
        if trial is not None:
            trial.ends_at = now + TRIAL_S
